package gateway

import (
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/peerset"
	"sycamoretrail/internal/core/streams"
	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/gossip"
)

const (
	// originCopies is the number of other entries that are told of a stream, originQueries the
	// number that are asked: more, since entries may have joined or left meanwhile.
	originCopies  = 3
	originQueries = 8
	// originWait bounds the wait for an origin, originQueryPause is the time after which those
	// that have not replied are asked again.
	originWait       = 400 * time.Millisecond
	originQueryPause = 60 * time.Millisecond
	// originMargin is how long an origin is kept after its caller's time is up: clocks differ, and
	// the request that reconnects is on its way.
	originMargin = 2 * time.Second
	// originsPerMessage is the number of origins that fit a datagram, with names of maxOriginName
	// bytes. A version may be an image digest, of 71 bytes.
	originsPerMessage = 4
	maxOriginName     = 128
	// maxSeveral bounds the services of a reply, so that it fits a datagram.
	maxSeveral = 8
	// maxTargetsAge is the age of what is known of the targets from which on an entry without contact
	// to any other may have missed a version.
	maxTargetsAge = 5 * time.Second
	// maxUncheckedAge is that from which on any entry may have, if it cannot read what is recorded.
	maxUncheckedAge = 2 * time.Second
)

// origins tracks by which service and version streams were begun, at this entry and at others.
type origins struct {
	gateway *Gateway
	mutex   sync.Mutex
	known   *streams.Registry
	// versions are those of all targets.
	versions *streams.Versions
	queries  map[streams.Key]*originQuery
	// log and versionLog are what the store holds of both.
	log        *originLog
	versionLog *versionLog
}

// originQuery is a query to other entries. Several callers may wait for the same one.
type originQuery struct {
	waiting int
	// answered is closed when an origin has been found.
	answered chan struct{}
	// asked are the entries that were asked, unknownAt those that don't know the stream, several the
	// services of which they know several versions: this entry may have started since.
	asked, unknownAt, several map[string]bool
	// replied receives a signal with each of them.
	replied chan struct{}
	// recorded is closed when the recorder has replied that the stream is not in the store.
	recorded chan struct{}
}

func newOrigins(g *Gateway) *origins {
	o := &origins{gateway: g, known: streams.NewRegistry(), versions: streams.NewVersions(), queries: make(map[streams.Key]*originQuery)}
	o.log, o.versionLog = newOriginLog(g, o), newVersionLog(g, o)
	return o
}

// recordBegin remembers the origin of a stream at this entry and at others, and has it recorded. If await is
// set, the channel that it returns is closed once it has been.
func (o *origins) recordBegin(key streams.Key, origin streams.Origin, keep time.Duration, await bool) <-chan struct{} {
	now := time.Now()
	o.mutex.Lock()
	o.known.Record(now, key, origin, keep, true)
	o.versions.Note(now, origin)
	o.mutex.Unlock()
	l := o.gateway.links
	m := l.message()
	record := streams.Record{Key: key, Origin: origin, Keep: keep}
	m.Origins = []gossip.Origin{originMessage(record)}
	recorder, self := o.log.current()
	l.send(m, slices.DeleteFunc(o.holders(key, originCopies, false), func(e peerset.Entry) bool { return !self && e.Name == recorder.Name }))
	if await {
		return o.log.submitAndAwait(record)
	}
	o.log.submit(record)
	return nil
}

// running returns the streams that were begun at this entry.
func (o *origins) running() []streams.Record {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.known.Own(time.Now())
}

func (o *origins) holders(key streams.Key, n int, draining bool) []peerset.Entry {
	s := o.gateway.state
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.peers.Holders(time.Now(), binary.BigEndian.Uint64(key[:]), n, draining)
}

func originMessage(r streams.Record) gossip.Origin {
	return gossip.Origin{Key: r.Key[:], Service: r.Origin.Service, Version: r.Origin.Version, KeepMS: r.Keep.Milliseconds()}
}

// greet tells an entry that has joined of the streams that it is to know: the process before it
// may have known them.
func (o *origins) greet(entry peerset.Entry) {
	var messages []gossip.Origin
	for _, r := range o.running() {
		if slices.ContainsFunc(o.holders(r.Key, originCopies, false), func(e peerset.Entry) bool { return e.Name == entry.Name }) {
			messages = append(messages, originMessage(r))
		}
	}
	for part := range slices.Chunk(messages, originsPerMessage) {
		m := o.gateway.links.message()
		m.Origins = part
		o.gateway.links.send(m, []peerset.Entry{entry})
	}
}

// finding is what is known of a stream's origin. If nobody knows it, several are the services of which
// other entries know several versions. asked counts the entries that were asked, replied those that don't know it.
// recordsRead: the recorded streams were looked through; versionsRead: the record of versions was read.
type finding struct {
	origin         streams.Origin
	found          bool
	several        map[string]bool
	asked, replied int
	recordsRead    bool
	versionsRead   bool
}

// allReplied reports whether all entries that may know the stream don't.
func (f *finding) allReplied(others int) bool {
	return f.asked == f.replied && (f.asked > 0 || others == 0)
}

// candidate is where a stream may have begun, and how long ago at most.
type candidate struct {
	key     streams.Key
	service string
	within  time.Duration
}

// find returns the origin of a stream. If need be it queries other entries, and reads what is recorded in the
// store.
func (o *origins) find(stream candidate, limit time.Duration) finding {
	key := stream.key
	if origin, found := o.lookup(key); found {
		return finding{origin: origin, found: true}
	}
	o.mutex.Lock()
	query, found := o.queries[key]
	if !found {
		query = &originQuery{
			answered: make(chan struct{}), asked: make(map[string]bool), unknownAt: make(map[string]bool),
			several: make(map[string]bool), replied: make(chan struct{}, 1), recorded: make(chan struct{}),
		}
		o.queries[key] = query
	}
	query.waiting++
	o.mutex.Unlock()
	o.await(stream, query, limit)
	origin, found := o.lookup(key)
	recordsRead, versionsRead := false, false
	if !found {
		versionsRead = o.versionLog.read(min(limit, readWait))
		recordsRead = versionsRead && o.readRecords(stream, query, min(limit, readWait))
		origin, found = o.lookup(key)
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if query.waiting--; query.waiting == 0 {
		delete(o.queries, key)
	}
	return finding{
		origin: origin, found: found, several: maps.Clone(query.several),
		asked: len(query.asked), replied: query.repliedCount(), recordsRead: recordsRead, versionsRead: versionsRead,
	}
}

// repliedCount returns how many of the entries that were asked don't know the stream.
func (q *originQuery) repliedCount() (n int) {
	for name := range q.asked {
		if q.unknownAt[name] {
			n++
		}
	}
	return n
}

func (o *origins) lookup(key streams.Key) (streams.Origin, bool) {
	o.mutex.Lock()
	origin, found := o.known.Lookup(time.Now(), key)
	o.mutex.Unlock()
	if found {
		return origin, true
	}
	return o.log.lookup(key)
}

// readRecords reads what the store holds of a stream. In a fleet of several cells the recorder reads it, since
// the streams are too many for each entry to read. It reports whether the stream was looked for.
func (o *origins) readRecords(stream candidate, query *originQuery, limit time.Duration) bool {
	recorder, self := o.log.current()
	if !self && o.gateway.links.cells.Load().Count > 1 {
		m := o.queryMessage(stream)
		m.QueryRecords = true
		o.gateway.links.send(m, []peerset.Entry{recorder})
		timer := time.NewTimer(limit / 2)
		defer timer.Stop()
		select {
		case <-query.answered:
			return true
		case <-query.recorded:
			return true
		case <-timer.C:
		}
	}
	return o.log.read(limit)
}

// await queries the entries that may know a stream until one does, none does, or time is up.
func (o *origins) await(stream candidate, query *originQuery, limit time.Duration) {
	end := time.NewTimer(limit)
	defer end.Stop()
	for {
		asked := o.holders(stream.key, originQueries, true)
		pending := o.withoutReply(query, asked)
		if len(asked) > 0 && len(pending) == 0 {
			return
		}
		o.gateway.links.send(o.queryMessage(stream), pending)
		if o.awaitReplies(query, asked, end.C) {
			return
		}
	}
}

func (o *origins) queryMessage(stream candidate) *gossip.Message {
	m := o.gateway.links.message()
	m.OriginQuery, m.QueryService, m.QueryWithinMS = stream.key[:], stream.service, stream.within.Milliseconds()
	return m
}

// awaitReplies waits for a while until all entries that were asked have replied. It returns true if
// the query is to end.
func (o *origins) awaitReplies(query *originQuery, asked []peerset.Entry, end <-chan time.Time) bool {
	again := time.NewTimer(originQueryPause)
	defer again.Stop()
	for {
		select {
		case <-query.answered:
			return true
		case <-end:
			return true
		case <-query.replied:
			if len(o.withoutReply(query, asked)) == 0 {
				return false
			}
		case <-again.C:
			return false
		}
	}
}

func (o *origins) withoutReply(query *originQuery, asked []peerset.Entry) []peerset.Entry {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, e := range asked {
		query.asked[e.Name] = true
	}
	return slices.DeleteFunc(slices.Clone(asked), func(e peerset.Entry) bool { return query.unknownAt[e.Name] })
}

// handleOrigins remembers streams that another entry has begun, and records them if it asks for that.
func (o *origins) handleOrigins(m *gossip.Message) {
	for i := range m.Origins {
		each := &m.Origins[i]
		if !o.learn(m.From, each) || !m.RecordOrigins {
			continue
		}
		confirmTo := ""
		if m.AwaitRecord {
			confirmTo = m.From
		}
		o.log.addFor(confirmTo, streams.Record{Key: streams.Key(each.Key), Origin: originOf(each), Keep: milliseconds(each.KeepMS)})
	}
}

func originOf(m *gossip.Origin) streams.Origin {
	return streams.Origin{Service: m.Service, Version: m.Version}
}

// learn remembers a stream. It returns false if the message is invalid.
func (o *origins) learn(from string, m *gossip.Origin) bool {
	if len(m.Key) != len(streams.Key{}) || len(m.Service) > maxOriginName || len(m.Version) > maxOriginName {
		o.gateway.log.Write(eventlog.StateChange, eventUndecodable, eventlog.Fields{
			"peer": from, "key_bytes": len(m.Key), "service_bytes": len(m.Service), "version_bytes": len(m.Version),
		})
		return false
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now, key := time.Now(), streams.Key(m.Key)
	o.known.Record(now, key, originOf(m), milliseconds(m.KeepMS), false)
	o.versions.Note(now, originOf(m))
	if query, found := o.queries[key]; found {
		select {
		case <-query.answered:
		default:
			close(query.answered)
		}
	}
	return true
}

// handleQuery replies to an entry that asks for a stream's origin. It may have to read what is recorded.
func (o *origins) handleQuery(m *gossip.Message) {
	if len(m.OriginQuery) != len(streams.Key{}) {
		return
	}
	within := streams.VersionMemory
	if m.QueryWithinMS > 0 {
		within = min(within, milliseconds(m.QueryWithinMS))
	}
	stream := candidate{streams.Key(m.OriginQuery), m.QueryService, within}
	if m.QueryRecords {
		go o.reply(m.From, stream, true)
		return
	}
	o.reply(m.From, stream, false)
}

func (o *origins) reply(from string, stream candidate, readRecords bool) {
	key := stream.key
	recordsRead := readRecords && o.log.read(readWait)
	now := time.Now()
	o.mutex.Lock()
	record, found := o.known.Get(now, key)
	several := o.versions.Several(now, stream.within)
	o.mutex.Unlock()
	reply := &gossip.OriginReply{Key: key[:], RecordsRead: recordsRead}
	if !found && recordsRead {
		record.Origin, found = o.log.lookup(key)
		record.Key, record.Keep = key, archiveKeep
	}
	if found {
		origin := originMessage(record)
		reply.Origin = &origin
	} else {
		reply.Several = firstServices(several, stream.service)
	}
	s := o.gateway.state
	s.mutex.Lock()
	entry, known := s.peers.Entry(from)
	s.mutex.Unlock()
	if known {
		m := o.gateway.links.message()
		m.OriginReply = reply
		o.gateway.links.send(m, []peerset.Entry{entry})
	}
}

// firstServices returns as many of the services as fit a reply, the one that was asked for first.
func firstServices(services []string, asked string) []string {
	if at := slices.Index(services, asked); at > 0 {
		services[0], services[at] = services[at], services[0]
	}
	return services[:min(len(services), maxSeveral)]
}

func (o *origins) handleReply(from string, reply *gossip.OriginReply) {
	if reply.Origin != nil {
		o.learn(from, reply.Origin)
		return
	}
	if len(reply.Key) != len(streams.Key{}) {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if query, found := o.queries[streams.Key(reply.Key)]; found {
		for _, service := range reply.Several {
			query.several[service] = true
		}
		if reply.RecordsRead {
			select {
			case <-query.recorded:
			default:
				close(query.recorded)
			}
			return
		}
		query.unknownAt[from] = true
		signal(query.replied)
	}
}

// missTargets records that versions may have come and gone since the latest list of targets.
func (o *origins) missTargets() {
	o.mutex.Lock()
	o.versions.Missed(time.Now())
	o.mutex.Unlock()
	o.versionLog.reads.invalidate()
	o.log.reads.invalidate()
}

// observeTargets records the versions of all targets.
func (o *origins) observeTargets(targets []catalog.Target) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.versions.Observe(time.Now(), targets) {
		signal(o.versionLog.due)
	}
}

// note records that the versions of a batch served streams.
func (o *origins) note(now time.Time, batch streams.Batch) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	served := now
	if batch.Expires.Before(now) {
		served = batch.Expires
	}
	for _, group := range batch.Groups {
		o.versions.Note(served, group.Origin)
	}
}

// restore adds what is recorded of the services' versions. othersNew: services that are not recorded had no
// target before.
func (o *origins) restore(histories map[string]streams.History, incomplete, othersNew bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := time.Now()
	for service, history := range histories {
		o.versions.Restore(now, service, history, versionsClockError, incomplete)
	}
	if othersNew {
		o.versions.RestoreOthers()
	}
}

func (o *origins) histories(recorded map[string]streams.History, othersNew bool) map[string]streams.History {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.versions.Histories(time.Now(), recorded, othersNew)
}

// isAmbiguous reports whether a stream that begins at a service now could not be told from one that began at
// another version.
func (o *origins) isAmbiguous(service string) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	_, only := o.versions.Only(time.Now(), service, severalFor)
	return !only
}

// observed returns the versions at which a stream may have begun, and how far back all are known.
func (o *origins) observed(stream candidate) (versions []string, knownFor time.Duration) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := time.Now()
	return o.versions.Known(now, stream.service, stream.within), o.versions.KnownFor(now, stream.service)
}

// onlyVersion returns the version at which a stream has begun if its service had no other in that time.
func (o *origins) onlyVersion(stream candidate) (string, bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := time.Now()
	if o.versions.KnownFor(now, stream.service) < stream.within {
		return "", false
	}
	return o.versions.Only(now, stream.service, stream.within)
}

// knowsVersions reports whether this entry knows the versions of all services. Where what is recorded could not be
// read, its list of the targets must be recent and all others that may have seen more must have replied.
func (o *origins) knowsVersions(f *finding) bool {
	age := time.Since(o.gateway.targetsAsOf())
	if f.versionsRead {
		return age <= maxTargetsAge || !o.isAlone()
	}
	return age <= maxUncheckedAge && f.allReplied(o.others())
}

// others returns the number of other entries that may be running.
func (o *origins) others() int {
	s := o.gateway.state
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.peers.Size() - 1
}

// isAlone reports whether there are, or may be, other entries and none of them is live.
func (o *origins) isAlone() bool {
	s := o.gateway.state
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return (!s.peersKnown || s.peers.Size() > 1) && len(s.peers.Holders(time.Now(), 0, 1, true)) == 0
}

// size returns the number of streams whose origin is known here.
func (o *origins) size() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.known.Size()
}
