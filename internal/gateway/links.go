package gateway

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamoretrail/internal/core/crashes"
	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/core/peerset"
	"sycamoretrail/internal/core/quota"
	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/feed"
	"sycamoretrail/internal/gossip"
)

const (
	// loadPause is the least time between two reports of load: changes within it
	// go together. Callers' requests come some milliseconds apart at each entry.
	loadPause = 10 * time.Millisecond
	// crashCopies is how often news of a broken run is sent: a datagram may be lost,
	// and the next broken run would count one too few.
	crashCopies = 2
	// newsRecords is the number of targets' records that fit into a datagram.
	newsRecords = 4
	// zoneReaders is the number of entries from which each zone has its own reader.
	zoneReaders = peerset.ScaleMembers
)

// links speaks with the other entries.
type links struct {
	gateway *Gateway
	conn    *gossip.Conn
	beat    chan struct{}

	mutex sync.Mutex
	// resolved caches socket addresses by their text.
	resolved map[string]*net.UDPAddr
	// latest is the last sequence number by entry and incarnation.
	latest map[string]sender
	reader string
}

type sender struct{ incarnation, sequence uint64 }

func newLinks(g *Gateway, conn *gossip.Conn) *links {
	return &links{
		gateway: g, conn: conn, beat: make(chan struct{}, 1),
		resolved: make(map[string]*net.UDPAddr), latest: make(map[string]sender),
	}
}

// run sends heartbeats and load reports until the context ends.
func (l *links) run(ctx context.Context) {
	go l.reportLoad(ctx)
	for {
		l.sendHeartbeat()
		timer := time.NewTimer(l.heartbeatPause())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-l.beat:
			timer.Stop()
		}
	}
}

func (l *links) heartbeatPause() time.Duration {
	l.gateway.state.mutex.Lock()
	defer l.gateway.state.mutex.Unlock()
	return l.gateway.state.peers.Heartbeat()
}

// heartbeatNow sends a heartbeat without waiting for its time.
func (l *links) heartbeatNow() {
	select {
	case l.beat <- struct{}{}:
	default:
	}
}

func (l *links) message() *gossip.Message {
	return &gossip.Message{
		From: l.gateway.self.Name, Incarnation: l.gateway.self.Incarnation,
		AgeMS: time.Since(l.gateway.started).Milliseconds(),
	}
}

func (l *links) heartbeat() *gossip.Message {
	g := l.gateway
	m := l.message()
	m.Heartbeat = &gossip.Heartbeat{
		Zone: g.self.Zone, Callers: g.self.Callers, Links: g.self.Links, State: uint8(g.ownState()),
	}
	if c := g.configuration.Load(); c != nil {
		m.Heartbeat.Version = c.Version
	}
	g.state.mutex.Lock()
	m.Heartbeat.Totals = g.state.quota.Totals()
	g.state.mutex.Unlock()
	return m
}

func (l *links) sendHeartbeat() {
	l.send(l.heartbeat(), l.members())
	l.updatePeers()
}

func (l *links) members() []peerset.Member {
	l.gateway.state.mutex.Lock()
	defer l.gateway.state.mutex.Unlock()
	return l.gateway.state.peers.Members()
}

// reportLoad tells the others what this entry has at targets, soon after it changed.
func (l *links) reportLoad(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.gateway.state.loadChanged:
		}
		l.gateway.state.mutex.Lock()
		load := l.gateway.state.sched.OwnLoad()
		members := l.gateway.state.peers.Serving(time.Now())
		l.gateway.state.mutex.Unlock()
		m := l.message()
		m.Load = &gossip.Load{InFlight: load.InFlight, Waiting: load.Waiting}
		l.send(m, members)
		time.Sleep(loadPause)
	}
}

// send sends one message to entries. What cannot be sent is replaced by the next.
func (l *links) send(m *gossip.Message, members []peerset.Member) {
	if len(members) == 0 {
		return
	}
	datagram, err := l.conn.Encode(m)
	if err != nil {
		l.gateway.log.Write(eventlog.Belief, eventBadNews, eventlog.Fields{"error": err.Error()})
		return
	}
	for i := range members {
		if address := l.resolve(members[i].Links); address != nil {
			_ = l.conn.Send(address, datagram)
		}
	}
}

func (l *links) resolve(text string) *net.UDPAddr {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if known, found := l.resolved[text]; found {
		return known
	}
	address, err := net.ResolveUDPAddr("udp4", text)
	if err != nil {
		l.gateway.log.Write(eventlog.Belief, eventBadNews, eventlog.Fields{"address": text, "error": err.Error()})
	}
	l.resolved[text] = address
	return address
}

// receive takes the others' messages until the socket is closed.
func (l *links) receive() {
	if err := l.conn.Receive(l.take); err != nil {
		l.gateway.logger.WithError(err).Error("links ended")
	}
}

func (l *links) take(m *gossip.Message) {
	if m.From == l.gateway.self.Name {
		return
	}
	if m.Crash != nil {
		l.takeCrash(m.Crash)
	}
	if m.News != nil {
		l.takeNews(m.News)
	}
	if !l.newest(m) {
		return
	}
	if m.Heartbeat != nil {
		l.takeHeartbeat(m)
	}
	if m.Load != nil {
		l.takeLoad(m)
	}
}

// newest reports whether a message is later than those before from its sender, and
// not from an incarnation that has been replaced.
func (l *links) newest(m *gossip.Message) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.latest[m.From]
	if known.incarnation == m.Incarnation && m.Sequence <= known.sequence {
		return false
	}
	l.latest[m.From] = sender{m.Incarnation, m.Sequence}
	return true
}

func (l *links) takeHeartbeat(m *gossip.Message) {
	g := l.gateway
	h := m.Heartbeat
	now := time.Now()
	age := time.Duration(m.AgeMS) * time.Millisecond
	entry := peerset.Entry{Name: m.From, Incarnation: m.Incarnation, Zone: h.Zone, Callers: h.Callers, Links: h.Links}
	g.state.mutex.Lock()
	joined, replaced := g.state.peers.Heard(now, entry, peerset.State(h.State), age, h.Version)
	if replaced {
		g.state.deliver(g.state.sched.PeerGone(now, m.From))
	}
	g.state.quota.PeerTotals(now, m.From, now.Add(-age), h.Totals)
	g.state.mutex.Unlock()
	if joined || replaced {
		g.log.Write(eventlog.Belief, eventPeer, eventlog.Fields{
			"entry": m.From, "incarnation": m.Incarnation, "state": peerset.State(h.State).String(), "joined": joined, "replaced": replaced,
		})
		l.updatePeers()
		l.send(l.heartbeat(), []peerset.Member{{Entry: entry}})
	}
	if c := g.configuration.Load(); c != nil && h.Version > c.Version {
		g.feeds.operators.Refresh()
	}
}

func (l *links) takeLoad(m *gossip.Message) {
	g := l.gateway
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	g.state.deliver(g.state.sched.PeerLoad(time.Now(), m.From, dispatch.Load{InFlight: m.Load.InFlight, Waiting: m.Load.Waiting}))
}

func (l *links) takeNews(n *gossip.News) {
	follower := l.gateway.feeds.targets
	if n.Topic == feed.Operators {
		follower = l.gateway.feeds.operators
	}
	if n.ReadYourself {
		follower.Refresh()
		return
	}
	now := time.Now()
	follower.Told(n.From, n.To, n.Records, now.Add(-time.Duration(n.AgeMS)*time.Millisecond))
}

func (l *links) takeCrash(c *gossip.Crash) {
	news, count := l.gateway.state.broken(crashes.Fingerprint(c.Fingerprint), c.ID)
	if news {
		l.gateway.log.Write(eventlog.Belief, eventSuspect, eventlog.Fields{"id": c.ID, "fingerprint": c.Fingerprint, "count": count})
	}
}

// updatePeers tells the quota and the scheduler who shares with this entry.
func (l *links) updatePeers() {
	g := l.gateway
	now := time.Now()
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	members := g.state.peers.Members()
	peers := make([]quota.Peer, 0, len(members))
	for _, m := range members {
		peers = append(peers, quota.Peer{Name: m.Name, Started: m.Started, Silent: !g.state.peers.Live(now, m.Name)})
	}
	g.state.quota.SetPeers(peers)
	g.state.sched.SetEntries(len(g.state.peers.Serving(now)) + 1)
}

// registered takes the register of entries and greets those that are new.
func (l *links) registered(entries []peerset.Entry) {
	l.gateway.state.mutex.Lock()
	for _, entry := range entries {
		l.gateway.state.peers.Registered(time.Now(), entry)
	}
	l.gateway.state.mutex.Unlock()
	l.heartbeatNow()
}

// prune forgets entries that have been silent for long.
func (l *links) prune() {
	l.gateway.state.mutex.Lock()
	gone := l.gateway.state.peers.Prune(time.Now())
	l.gateway.state.mutex.Unlock()
	for _, entry := range gone {
		l.gateway.log.Write(eventlog.Belief, eventPeer, eventlog.Fields{"entry": entry.Name, "incarnation": entry.Incarnation, "state": "removed"})
	}
}

// tellNews passes on what this entry has read of a log.
func (l *links) tellNews(u feed.Update, changed []feed.Record) {
	members := l.members()
	from := u.From
	for {
		to, records := u.To, changed
		if len(changed) > newsRecords {
			records = changed[:newsRecords]
			to = records[newsRecords-1].Offset + 1
		}
		m := l.message()
		m.News = &gossip.News{
			Topic: u.Topic, From: from, To: to, Records: records,
			AgeMS: time.Since(u.AsOf).Milliseconds(),
		}
		l.send(m, l.readFor(members))
		changed = changed[len(records):]
		from = to
		if to == u.To {
			return
		}
	}
}

// tellRead has the others read a topic for themselves: its records are too long
// for a datagram.
func (l *links) tellRead(topic feed.Topic) {
	if !l.gateway.leads() {
		return
	}
	m := l.message()
	m.News = &gossip.News{Topic: topic, ReadYourself: true}
	l.send(m, l.readFor(l.members()))
}

// readFor returns the entries for which this one reads.
func (l *links) readFor(members []peerset.Member) []peerset.Member {
	if len(members) < zoneReaders {
		return members
	}
	var same []peerset.Member
	for _, m := range members {
		if m.Zone == l.gateway.self.Zone {
			same = append(same, m)
		}
	}
	return same
}

func (l *links) tellCrash(fingerprint crashes.Fingerprint, id string) {
	m := l.message()
	m.Crash = &gossip.Crash{Fingerprint: uint64(fingerprint), ID: id}
	members := l.members()
	for range crashCopies {
		l.send(m, members)
	}
}

// leads reports whether this entry reads the store for the others: the first by
// hash among those that serve, in all or, from zoneReaders on, in its zone. Two at
// once, or none, cost a few calls or some patience, no more.
func (g *Gateway) leads() bool {
	g.state.mutex.Lock()
	serving := g.state.peers.Serving(time.Now())
	g.state.mutex.Unlock()
	if !g.ready() {
		return len(serving) == 0
	}
	reader := g.self.Name
	for _, m := range g.links.readFor(serving) {
		if precedes(m.Name, reader) {
			reader = m.Name
		}
	}
	g.links.noteReader(reader)
	return reader == g.self.Name
}

func precedes(a, b string) bool {
	x, y := xxhash.Sum64String(a), xxhash.Sum64String(b)
	return x < y || x == y && strings.Compare(a, b) < 0
}

func (l *links) noteReader(reader string) {
	l.mutex.Lock()
	changed := l.reader != reader
	l.reader = reader
	l.mutex.Unlock()
	if changed {
		l.gateway.log.Write(eventlog.Belief, eventReader, eventlog.Fields{"entry": reader})
	}
}
