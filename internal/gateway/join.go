package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"sycamoretrail/internal/backoff"
	"sycamoretrail/internal/core/peerset"
	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/feed"
	"sycamoretrail/internal/gossip"
)

// An entry that starts reads one page of the registry of entries, registers itself unless it
// is registered already, and joins the others through one of them. It takes configuration and
// targets from an entry that has them, and reads them itself only if there is none.

const (
	// registerRetryMin and registerRetryMax bound the pause after a failed call for the
	// registry.
	registerRetryMin = time.Second
	registerRetryMax = 8 * time.Second
	// joinRetryMin and joinRetryMax bound the pause after a failed attempt to join.
	joinRetryMin = 250 * time.Millisecond
	joinRetryMax = 2 * time.Second
	// registryPatience is how long a start waits for the registry before it goes on without
	// it.
	registryPatience = 700 * time.Millisecond
	// joinPatience is how long an entry of a large fleet waits for a copy of what others have
	// before it reads the store itself.
	joinPatience = 4 * time.Second
	// smallFleet is the number of other entries up to which one reader reads for all, and each
	// entry may read the store when it starts. In a larger fleet, if all start at once and none has a copy, startReaders of
	// them do so at each attempt, and the others copy what these have read.
	smallFleet   = 24
	startReaders = 8
	// registryEvery is the interval at which a reader reads what is new in the registry, which
	// reveals entries that could not reach others. It is shorter while the reader is young,
	// as others may be starting too.
	registryEvery      = 15 * time.Second
	youngRegistryEvery = 2 * time.Second
	youngReader        = 20 * time.Second
	// unknownPatience is how long statuses of unknown entries must keep arriving before this
	// entry asks another for all statuses: usually the next blocks hold theirs.
	unknownPatience = 3 * time.Second
)

// entryRecord is the registration of an entry.
type entryRecord struct {
	Incarnation uint64 `json:"incarnation"`
	Zone        string `json:"zone"`
	Callers     string `json:"callers"`
	Links       string `json:"links"`
}

func entryOf(name string, r entryRecord) peerset.Entry {
	return peerset.Entry{Name: name, Incarnation: r.Incarnation, Zone: r.Zone, Callers: r.Callers, Links: r.Links}
}

// isAt reports whether the record has the addresses of an entry.
func (r entryRecord) isAt(e peerset.Entry) bool {
	return r.Zone == e.Zone && r.Callers == e.Callers && r.Links == e.Links
}

// registryState is what this entry has done with the registry of entries.
type registryState int32

const (
	// registryUnread: the registry has not answered yet.
	registryUnread registryState = iota
	// registryRead: this entry has read a page, but not after it registered itself, so that
	// those that started with it may be missing.
	registryRead
	// registrySettled: this entry knows others, or there are none.
	registrySettled
)

// followEntries registers this entry and joins the others. Then it keeps itself registered and,
// while it is a reader, follows the registry.
func (f *feeds) followEntries(ctx context.Context) {
	retry := backoff.Backoff{Min: registerRetryMin, Max: registerRetryMax}
	registered, err := f.findEntries()
	for err != nil && retry.Sleep(ctx, nil) {
		registered, err = f.findEntries()
	}
	go f.joinOthers(ctx)
	f.ensureRegistered(ctx, registered)
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.entriesDue:
			if registered, err := f.findEntries(); err == nil {
				f.ensureRegistered(ctx, registered)
			}
		case <-time.After(f.registryPause()):
			if f.gateway.isReader() {
				f.readRegistry()
			}
		}
	}
}

func (f *feeds) registryPause() time.Duration {
	pause := registryEvery
	if time.Since(f.gateway.started) < youngReader {
		pause = youngRegistryEvery
	}
	return pause/2 + rand.N(pause)
}

// ensureRegistered registers this entry if necessary. While it knows no other entry it reads
// the registry again after each attempt.
func (f *feeds) ensureRegistered(ctx context.Context, registered bool) {
	retry := backoff.Backoff{Min: registerRetryMin, Max: registerRetryMax}
	for first := true; !registered; first = false {
		if !first && !retry.Sleep(ctx, nil) {
			return
		}
		registered = f.registerSelf()
		if f.gateway.peerCount() > 0 {
			continue
		}
		if listed, err := f.findEntries(); err == nil {
			registered = registered || listed
		}
	}
	f.setRegistryState(registrySettled)
}

// setRegistryState advances the state. A change may end the wait of the followers.
func (f *feeds) setRegistryState(state registryState) {
	if registryState(f.registryState.Load()) >= state {
		return
	}
	f.registryState.Store(int32(state))
	f.operators.Wake()
	f.targets.Wake()
}

// minContacts is the number of other entries that one page of the registry should hold. With
// fewer, the page from the beginning of the registry is read too.
const minContacts = 8

// findEntries reads the pages of the registry that hold this entry and some others. It reports
// whether this entry is registered with its present addresses.
func (f *feeds) findEntries() (registered bool, err error) {
	name := f.gateway.self.Name
	records, next, more, err := f.gateway.platform.Page(feed.Entries, name[:len(name)-1])
	complete := false
	if err == nil && !more && len(records) <= minContacts {
		records, next, more, err = f.gateway.platform.Page(feed.Entries, "")
		complete = !more
	}
	if err != nil {
		f.logStoreError(feed.Entries, err)
		return false, err
	}
	f.registryAt.Store(&next)
	entries, own := f.decodeEntries(records)
	if own == nil && registryState(f.registryState.Load()) == registryUnread {
		f.gateway.state.setFirstStart()
	}
	f.gateway.links.addRegistered(entries, complete)
	f.setRegistryState(registryRead)
	if len(entries) > 0 {
		f.setRegistryState(registrySettled)
	}
	return own != nil && own.isAt(f.gateway.self), nil
}

// decodeEntries returns the other entries in records, and the record of this one.
func (f *feeds) decodeEntries(records []feed.Record) (others []peerset.Entry, own *entryRecord) {
	for _, record := range records {
		var entry entryRecord
		if err := json.Unmarshal(record.Value, &entry); err != nil {
			f.logUndecodable(feed.Entries, record, err)
			continue
		}
		if record.Key == f.gateway.self.Name {
			own = &entry
			continue
		}
		others = append(others, entryOf(record.Key, entry))
	}
	return others, own
}

func (f *feeds) registerSelf() bool {
	self := f.gateway.self
	value, err := json.Marshal(entryRecord{Incarnation: self.Incarnation, Zone: self.Zone, Callers: self.Callers, Links: self.Links})
	if err == nil {
		err = f.gateway.platform.Put(feed.Entries, feed.Record{Key: self.Name, Value: value})
	}
	if err != nil {
		f.logStoreError(feed.Entries, err)
		return false
	}
	return true
}

// readRegistry reads what is new in the registry of entries.
func (f *feeds) readRegistry() {
	var records []feed.Record
	var next feed.Position
	err := feed.ErrTruncated
	if at := f.registryAt.Load(); at != nil {
		records, next, err = f.gateway.platform.Read(feed.Entries, *at, 0)
	}
	if errors.Is(err, feed.ErrTruncated) {
		records, next, err = f.gateway.platform.Snapshot(feed.Entries)
	}
	if err != nil {
		f.logStoreError(feed.Entries, err)
		return
	}
	f.registryAt.Store(&next)
	entries, _ := f.decodeEntries(records)
	if len(entries) > 0 {
		f.gateway.links.addRegistered(entries, false)
	}
}

// mayRead reports whether this entry may read the store although it is not the reader. While
// it starts in a large fleet it waits for others that have what it needs.
func (f *feeds) mayRead() bool {
	elapsed := time.Since(f.gateway.started)
	switch registryState(f.registryState.Load()) {
	case registryUnread:
		return elapsed > registryPatience
	case registrySettled:
		others := f.gateway.peerCount()
		return others < smallFleet || elapsed > joinPatience || rand.IntN(others) < startReaders
	default:
		return elapsed > joinPatience
	}
}

// attemptsToJoin is the number of attempts after which an entry that reaches none of the
// others reads the whole registry instead.
const attemptsToJoin = 4

// joinOthers gets the statuses of all entries from one of them.
func (f *feeds) joinOthers(ctx context.Context) {
	retry := backoff.Backoff{Min: joinRetryMin, Max: joinRetryMax}
	for attempt := 0; ; attempt++ {
		if f.gateway.links.join() {
			return
		}
		if attempt == attemptsToJoin && f.gateway.peerCount() > 0 && !f.gateway.knowsPeers() {
			f.registryAt.Store(nil)
			f.readRegistry()
			f.gateway.links.addRegistered(nil, true)
		}
		if !retry.Sleep(ctx, nil) {
			return
		}
	}
}

// join sends this entry's status to another and applies the statuses in its answer. It
// reports whether the other entry knew all others.
func (l *links) join() bool {
	for _, entry := range l.gateway.contacts(asksPerCopy) {
		answer := &gossip.JoinAnswer{}
		if err := l.transfer.call(entry.Links, gossip.PathJoin, l.numbered(l.heartbeat()), answer); err != nil {
			continue
		}
		l.applyJoin(answer)
		for i := range answer.Crashes {
			l.handleCrash(&answer.Crashes[i])
		}
		if answer.Settled || answer.Restored {
			l.gateway.feeds.applyUsage(answer.UsageRecords)
		}
		l.gateway.log.Write(eventlog.StateChange, eventJoined, eventlog.Fields{
			"peer": entry.Name, "complete": answer.Complete, "members": len(answer.Members), "settled": answer.Settled,
		})
		l.announce()
		if answer.Complete {
			return true
		}
	}
	return false
}

// numbered assigns a sequence number to a message that is not sent as a datagram.
func (l *links) numbered(m *gossip.Message) *gossip.Message {
	m.Sequence = l.conn.NextSequence()
	return m
}

// contacts returns some entries to join: live ones or, if there are none, registered ones.
func (g *Gateway) contacts(count int) []peerset.Entry {
	now := time.Now()
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	members := g.state.peers.Serving(now)
	if len(members) == 0 {
		members = g.state.peers.Members()
	}
	return g.nearest(members, count)
}

// applyJoin applies the answer of an entry that this one has joined.
func (l *links) applyJoin(answer *gossip.JoinAnswer) {
	now := time.Now()
	g := l.gateway
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	for i := range answer.Members {
		l.applyReported(now, now, &answer.Members[i])
	}
	if answer.Complete {
		l.setPeersKnown()
	}
	l.setPeers(now)
	g.state.quota.PeerHistory(now, mapValues(answer.Histories, historyOf))
}

// answerJoin applies the status of an entry that has started and returns the packed answer.
func (l *links) answerJoin(m *gossip.Message) ([]byte, error) {
	if m.Heartbeat == nil {
		return nil, errTransfer
	}
	g := l.gateway
	own := l.ownStatus()
	status := statusOf(m)
	now := time.Now()
	g.state.mutex.Lock()
	l.applyStatus(now, now, status, nil, true)
	l.setPeers(now)
	answer := &gossip.JoinAnswer{Complete: g.state.peersKnown, Members: []gossip.Status{own}}
	for _, member := range g.state.peers.Members() {
		if g.state.peers.Live(now, member.Name) && member.Name != m.From {
			answer.Members = append(answer.Members, statusMessage(now, &member))
		}
	}
	if histories := g.state.quota.History(now); histories != nil {
		answer.Settled, answer.Histories = true, mapValues(histories, historyMessage)
	} else if restored := g.feeds.restored.Load(); restored != nil {
		answer.Restored, answer.UsageRecords = true, *restored
	}
	for _, run := range g.state.crashes.QuarantinedRuns(now, maxGreetedRuns) {
		answer.Crashes = append(answer.Crashes, gossip.Crash{Fingerprint: uint64(run.Fingerprint), ID: run.ID})
	}
	g.state.mutex.Unlock()
	signal(l.blockDue)
	return gossip.Pack(answer)
}

// noteUnknownEntries is called while others report entries that this one does not know. It
// joins again if that goes on.
func (f *feeds) noteUnknownEntries(now time.Time) {
	since := f.unknownSince.Load()
	switch {
	case since == nil || now.Sub(*since) > 2*unknownPatience:
		f.unknownSince.Store(&now)
	case now.Sub(*since) > unknownPatience && f.rejoining.CompareAndSwap(false, true):
		f.unknownSince.Store(nil)
		go func() {
			defer f.rejoining.Store(false)
			f.gateway.links.join()
		}()
	}
}

// peerCount returns the number of other entries that may be serving.
func (g *Gateway) peerCount() int {
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	return g.state.peers.Size() - 1
}

// inSmallFleet reports whether there are fewer than smallFleet other entries.
func (g *Gateway) inSmallFleet() bool { return g.peerCount() < smallFleet }

// knowsPeers reports whether all other entries are known.
func (g *Gateway) knowsPeers() bool {
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	return g.state.peersKnown
}
