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
)

// origins tracks by which service and version streams were begun, at this entry and at others.
type origins struct {
	gateway *Gateway
	mutex   sync.Mutex
	known   *streams.Registry
	// versions are those of all targets.
	versions *streams.Versions
	// observedSince is when this entry first read the list of targets.
	observedSince time.Time
	queries       map[streams.Key]*originQuery
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
}

func newOrigins(g *Gateway) *origins {
	return &origins{gateway: g, known: streams.NewRegistry(), versions: streams.NewVersions(), queries: make(map[streams.Key]*originQuery)}
}

// recordBegin remembers the origin of a stream at this entry and at others.
func (o *origins) recordBegin(key streams.Key, origin streams.Origin, keep time.Duration) {
	o.mutex.Lock()
	o.known.Record(time.Now(), key, origin, keep, true)
	o.mutex.Unlock()
	l := o.gateway.links
	m := l.message()
	m.Origins = []gossip.Origin{originMessage(streams.Record{Key: key, Origin: origin, Keep: keep})}
	l.send(m, o.holders(key, originCopies, false))
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
	o.mutex.Lock()
	own := o.known.Own(time.Now())
	o.mutex.Unlock()
	var messages []gossip.Origin
	for _, r := range own {
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
// other entries know several versions. asked and replied count the entries.
type finding struct {
	origin         streams.Origin
	found          bool
	several        map[string]bool
	asked, replied int
}

// find returns the origin of a stream, which it queries from other entries if need be.
func (o *origins) find(key streams.Key, limit time.Duration) finding {
	o.mutex.Lock()
	if origin, found := o.known.Lookup(time.Now(), key); found {
		o.mutex.Unlock()
		return finding{origin: origin, found: true}
	}
	query, found := o.queries[key]
	if !found {
		query = &originQuery{
			answered: make(chan struct{}), asked: make(map[string]bool), unknownAt: make(map[string]bool),
			several: make(map[string]bool), replied: make(chan struct{}, 1),
		}
		o.queries[key] = query
	}
	query.waiting++
	o.mutex.Unlock()
	o.await(key, query, limit)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if query.waiting--; query.waiting == 0 {
		delete(o.queries, key)
	}
	origin, found := o.known.Lookup(time.Now(), key)
	return finding{origin: origin, found: found, several: maps.Clone(query.several), asked: len(query.asked), replied: len(query.unknownAt)}
}

// await queries the entries that may know a stream until one does, none does, or time is up.
func (o *origins) await(key streams.Key, query *originQuery, limit time.Duration) {
	end := time.NewTimer(limit)
	defer end.Stop()
	for {
		asked := o.holders(key, originQueries, true)
		pending := o.withoutReply(query, asked)
		if len(asked) > 0 && len(pending) == 0 {
			return
		}
		m := o.gateway.links.message()
		m.OriginQuery = key[:]
		o.gateway.links.send(m, pending)
		if o.awaitReplies(query, asked, end.C) {
			return
		}
	}
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

// handleOrigins remembers streams that another entry has begun.
func (o *origins) handleOrigins(from string, messages []gossip.Origin) {
	for i := range messages {
		o.learn(from, &messages[i])
	}
}

func (o *origins) learn(from string, m *gossip.Origin) {
	if len(m.Key) != len(streams.Key{}) || len(m.Service) > maxOriginName || len(m.Version) > maxOriginName {
		o.gateway.log.Write(eventlog.StateChange, eventUndecodable, eventlog.Fields{
			"peer": from, "key_bytes": len(m.Key), "service_bytes": len(m.Service), "version_bytes": len(m.Version),
		})
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	key := streams.Key(m.Key)
	o.known.Record(time.Now(), key, streams.Origin{Service: m.Service, Version: m.Version}, milliseconds(m.KeepMS), false)
	if query, found := o.queries[key]; found {
		select {
		case <-query.answered:
		default:
			close(query.answered)
		}
	}
}

// handleQuery replies to an entry that asks for a stream's origin.
func (o *origins) handleQuery(from string, key []byte) {
	if len(key) != len(streams.Key{}) {
		return
	}
	o.mutex.Lock()
	record, found := o.known.Get(time.Now(), streams.Key(key))
	several := o.versions.Several(time.Now())
	o.mutex.Unlock()
	reply := &gossip.OriginReply{Key: key}
	if found {
		origin := originMessage(record)
		reply.Origin = &origin
	} else {
		reply.Several = several[:min(len(several), maxSeveral)]
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
		query.unknownAt[from] = true
		for _, service := range reply.Several {
			query.several[service] = true
		}
		signal(query.replied)
	}
}

// observeTargets records the versions of all targets.
func (o *origins) observeTargets(targets []catalog.Target) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := time.Now()
	if o.observedSince.IsZero() {
		o.observedSince = now
	}
	o.versions.Observe(now, targets)
}

// observed returns the versions that this entry knows of a service, and for how long it has observed the
// targets.
func (o *origins) observed(service string) (versions []string, since time.Duration) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := time.Now()
	return o.versions.Known(now, service), now.Sub(o.observedSince)
}

// onlyVersion returns the version of a service that had no other lately. Cut off from the store and
// all other entries, this entry cannot know.
func (o *origins) onlyVersion(service string) (string, bool) {
	if time.Since(o.gateway.targetsAsOf()) > maxTargetsAge && o.isAlone() {
		return "", false
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.versions.Only(time.Now(), service)
}

// isAlone reports whether there are other entries and none of them is live.
func (o *origins) isAlone() bool {
	s := o.gateway.state
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.peers.Size() > 1 && len(s.peers.Holders(time.Now(), 0, 1, true)) == 0
}

// size returns the number of streams whose origin is known here.
func (o *origins) size() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.known.Size()
}
