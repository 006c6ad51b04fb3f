package gateway

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

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
	// loadAgain is the time after which an unchanged load is told again; reports
	// count for three seconds.
	loadAgain = time.Second
	// catchUpAfter is how long the reader's news may take after another entry's word
	// that it has a later configuration.
	catchUpAfter = 250 * time.Millisecond
	// pressingPause is the pause between heartbeats while an organisation is close to
	// its quota: one that sends six times its usual uses a twentieth of it meanwhile.
	pressingPause = 300 * time.Millisecond
	// crashCopies is how often news of a broken run is sent: a datagram may be lost,
	// and the next broken run would count one too few.
	crashCopies = 2
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
	// fragmented numbers messages in fragments; assembler joins those of others.
	fragmented atomic.Uint64
	// catching: a look at whether the configuration has caught up is due.
	catching  atomic.Bool
	assembler *gossip.Assembler
}

type sender struct{ incarnation, sequence uint64 }

func newLinks(g *Gateway, conn *gossip.Conn) *links {
	return &links{
		gateway: g, conn: conn, beat: make(chan struct{}, 1),
		resolved: make(map[string]*net.UDPAddr), latest: make(map[string]sender),
		assembler: gossip.NewAssembler(),
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
	usual := l.gateway.state.peers.Heartbeat()
	if usual > pressingPause && l.gateway.state.quota.Pressing(time.Now()) {
		return pressingPause
	}
	return usual
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
		Blind: g.feeds.isBlind(),
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

// reportLoad tells the cell what this entry has at targets, soon after it changed,
// and now and then while it does not change, since reports lapse.
func (l *links) reportLoad(ctx context.Context) {
	again := time.NewTicker(loadAgain)
	defer again.Stop()
	idle := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.gateway.state.loadChanged:
		case <-again.C:
			if idle {
				continue
			}
		}
		l.gateway.state.mutex.Lock()
		load := l.gateway.state.sched.OwnLoad()
		totals := l.gateway.state.quota.Totals()
		members := cellmates(l.gateway.state.peers.Serving(time.Now()), l.gateway.self.Name)
		l.gateway.state.mutex.Unlock()
		idle = len(load.InFlight) == 0
		m := l.message()
		m.Load = &gossip.Load{InFlight: load.InFlight, Waiting: load.Waiting, Totals: totals}
		l.send(m, members)
		time.Sleep(loadPause)
	}
}

// place returns the place of an entry among all that serve, in the order on which
// they agree, and their number.
func place(serving []peerset.Member, self string) (place, entries int) {
	for _, m := range serving {
		if dispatch.Rank(m.Name, self) < 0 {
			place++
		}
	}
	return place, len(serving) + 1
}

// cellmates returns the entries of the same cell.
func cellmates(serving []peerset.Member, self string) []peerset.Member {
	if dispatch.Cells(len(serving)+1) == 1 {
		return serving
	}
	own, entries := place(serving, self)
	slices.SortFunc(serving, func(a, b peerset.Member) int { return dispatch.Rank(a.Name, b.Name) })
	var mates []peerset.Member
	for i, m := range serving {
		if i >= own {
			i++
		}
		if dispatch.CellOf(i, entries) == dispatch.CellOf(own, entries) {
			mates = append(mates, m)
		}
	}
	return mates
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
	if m.Fragment != nil {
		l.takeFragment(m)
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
	joined, replaced := g.state.peers.Heard(now, entry, peerset.State(h.State), age, h.Blind)
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
	l.catchUp(h.Version)
}

// catchUp reads the configuration anew if another entry has a later version and the
// reader's news of it does not come.
func (l *links) catchUp(version int64) {
	g := l.gateway
	if !g.isOlder(version) || !l.catching.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(catchUpAfter, func() {
		l.catching.Store(false)
		if g.isOlder(version) {
			g.feeds.operators.Refresh()
		}
	})
}

// isOlder reports whether the configuration in force is older than a version.
func (g *Gateway) isOlder(version int64) bool {
	c := g.configuration.Load()
	return c != nil && c.Version < version
}

func (l *links) takeLoad(m *gossip.Message) {
	g := l.gateway
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	now := time.Now()
	g.state.quota.PeerTotals(now, m.From, now.Add(-time.Duration(m.AgeMS)*time.Millisecond), m.Load.Totals)
	g.state.deliver(g.state.sched.PeerLoad(now, m.From, dispatch.Load{InFlight: m.Load.InFlight, Waiting: m.Load.Waiting}))
}

func (l *links) takeNews(n *gossip.News) {
	follower := l.gateway.feeds.targets
	if n.Topic == feed.Operators {
		follower = l.gateway.feeds.operators
	}
	asOf := time.Now().Add(-time.Duration(n.AgeMS) * time.Millisecond)
	if n.Whole {
		follower.ToldAll(n.To, n.Records, asOf)
		return
	}
	follower.Told(n.From, n.To, n.Records, asOf)
}

// takeFragment joins news that came in pieces. Only the receiving goroutine calls it.
func (l *links) takeFragment(m *gossip.Message) {
	news, err := l.assembler.Add(time.Now(), m.Incarnation, m.Fragment)
	if err != nil {
		l.gateway.log.Write(eventlog.Belief, eventBadNews, eventlog.Fields{"entry": m.From, "error": err.Error()})
		return
	}
	if news != nil {
		l.takeNews(news)
	}
}

func (l *links) takeCrash(c *gossip.Crash) {
	news, count := l.gateway.state.broken(crashes.Fingerprint(c.Fingerprint), c.ID)
	if news {
		l.gateway.log.Write(eventlog.Belief, eventSuspect, eventlog.Fields{"id": c.ID, "fingerprint": crashes.Fingerprint(c.Fingerprint).String(), "count": count})
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
	g.state.quota.SetPeers(now, peers)
	own, entries := place(g.state.peers.Serving(now), g.self.Name)
	g.state.sched.SetEntries(entries)
	g.state.deliver(g.state.sched.SetCell(now, dispatch.CellOf(own, entries), dispatch.Cells(entries)))
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
	news := &gossip.News{Topic: u.Topic, From: u.From, To: u.To, Records: changed, AgeMS: time.Since(u.AsOf).Milliseconds(), Whole: u.Reset}
	members := l.readFor(l.members())
	if len(changed) == 0 {
		m := l.message()
		m.News = news
		l.send(m, members)
		return
	}
	fragments, err := gossip.Split(l.fragmented.Add(1), news)
	if err != nil {
		l.gateway.log.Write(eventlog.Belief, eventBadNews, eventlog.Fields{"topic": u.Topic.String(), "error": err.Error()})
		return
	}
	for i := range fragments {
		m := l.message()
		m.Fragment = &fragments[i]
		l.send(m, members)
	}
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

// leads reports whether this entry reads the store for the others: the first in rank
// of those that can, in all or, from zoneReaders on, in its zone. Two at once, or
// none, cost a few calls or some patience, no more.
func (g *Gateway) leads() bool {
	now := time.Now()
	g.state.mutex.Lock()
	readers := g.state.peers.Readers(now)
	g.state.mutex.Unlock()
	able := len(readers) > 0 && readers[0].State == peerset.Ready && !readers[0].Blind
	if able && (!g.ready() || g.feeds.isBlind()) {
		g.links.noteReader("another")
		return false
	}
	if !able && g.ready() && !g.feeds.isBlind() {
		g.links.noteReader(g.self.Name)
		return true
	}
	reader := g.self.Name
	for _, m := range g.links.readFor(readers) {
		if dispatch.Rank(m.Name, reader) < 0 {
			reader = m.Name
		}
	}
	g.links.noteReader(reader)
	return reader == g.self.Name
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
