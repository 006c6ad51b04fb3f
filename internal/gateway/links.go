package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/crashes"
	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/core/peerset"
	"sycamoretrail/internal/core/quota"
	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/gossip"
)

const (
	// catchUpAfter is how long the reader's news may take after another entry's word
	// that it has a later configuration.
	catchUpAfter = 250 * time.Millisecond
	// viewPause is the least time between two looks at who is in which cell: when all
	// entries start at once, each joins all others within some hundred milliseconds.
	viewPause = 20 * time.Millisecond
	// crashCopies is how often news of a broken run is sent: a datagram may be lost,
	// and the next broken run would count one too few.
	crashCopies = 2
	// departureCopies is how often a target's word that it leaves is passed on; an entry that
	// misses it hears it from the target's next answer.
	departureCopies = 2
	// zoneReaders is the number of entries from which each zone has its own reader.
	zoneReaders = 24
)

// links speaks with the other entries.
type links struct {
	gateway *Gateway
	conn    *gossip.Conn
	// beat asks for a heartbeat at once; announcing: to all entries, not only the cell.
	beat       chan struct{}
	announcing atomic.Bool
	// turn counts heartbeats, from a number that differs by entry; see peerset.Set.Probed.
	turn int
	// cells is how the entries are divided, as last looked at; viewDue: a look is due.
	cells   atomic.Pointer[peerset.Cells]
	viewDue atomic.Bool
	viewed  time.Time

	mutex sync.Mutex
	// resolved caches socket addresses by their text.
	resolved map[string]*net.UDPAddr
	reader   string
	// fragmented numbers messages in fragments; assembler joins those of others.
	fragmented atomic.Uint64
	// catching: a look at whether the configuration has caught up is due.
	catching  atomic.Bool
	assembler *gossip.Assembler
	// toldInHeartbeats, toldInReports and toldInDigests are the organisations' turns.
	toldInHeartbeats, toldInReports, toldInDigests rotation
	// toldLimits are the turns of targets that declare a limit.
	toldLimits rotation
	// partial: the last heartbeat did not hold all totals.
	partial atomic.Bool
}

func newLinks(g *Gateway, conn *gossip.Conn) *links {
	l := &links{
		gateway: g, conn: conn, beat: make(chan struct{}, 1), turn: rand.IntN(1 << 16),
		resolved: make(map[string]*net.UDPAddr), assembler: gossip.NewAssembler(),
	}
	l.cells.Store(&peerset.Cells{Count: 1, Entries: 1})
	return l
}

// run sends heartbeats, digests and load reports until the context ends.
func (l *links) run(ctx context.Context) {
	go l.reportLoad(ctx)
	go l.relay(ctx)
	for {
		l.sendHeartbeat()
		timer := time.NewTimer(heartbeat)
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

// heartbeatNow sends a heartbeat to the cell without waiting for its time.
func (l *links) heartbeatNow() {
	signal(l.beat)
}

// announce sends a heartbeat to all entries: what changes who gets callers must not wait
// for a relay.
func (l *links) announce() {
	l.announcing.Store(true)
	l.heartbeatNow()
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
	totals, whole := shareOf(&l.toldInHeartbeats, g.state.quota.Totals(), heartbeatBytes, totalBytes)
	g.state.mutex.Unlock()
	l.partial.Store(!whole)
	m.Heartbeat.Totals, m.Heartbeat.Partial = mapValues(totals, totalMessage), !whole
	return m
}

func (l *links) sendHeartbeat() {
	l.send(l.heartbeat(), l.heartbeatTo())
	l.lookAtCells()
}

// heartbeatTo returns those who hear this heartbeat: the cell and one silent entry, or all
// where one cell can hold them or this is an announcement.
func (l *links) heartbeatTo() []peerset.Entry {
	l.turn++
	peers := l.gateway.state.peers
	l.gateway.state.mutex.Lock()
	defer l.gateway.state.mutex.Unlock()
	if l.announcing.Swap(false) || dispatch.Cells(peers.Size()) == 1 {
		return entriesOf(peers.Members())
	}
	to := l.cells.Load().Audience
	if probed, found := peers.Probed(time.Now(), l.turn); found {
		return append(slices.Clone(to), probed)
	}
	return to
}

func (l *links) members() []peerset.Entry {
	l.gateway.state.mutex.Lock()
	defer l.gateway.state.mutex.Unlock()
	return entriesOf(l.gateway.state.peers.Members())
}

// mapValues returns a map with the same keys and each value turned into another.
func mapValues[A, B any](values map[string]A, turn func(A) B) map[string]B {
	turned := make(map[string]B, len(values))
	for key, value := range values {
		turned[key] = turn(value)
	}
	return turned
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// send sends one message to entries. What cannot be sent is replaced by the next.
func (l *links) send(m *gossip.Message, members []peerset.Entry) {
	if len(members) == 0 {
		return
	}
	datagram, err := l.conn.Encode(m)
	if err != nil {
		l.gateway.log.Write(eventlog.Belief, eventUndecodable, eventlog.Fields{"error": err.Error()})
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
		l.gateway.log.Write(eventlog.Belief, eventUndecodable, eventlog.Fields{"address": text, "error": err.Error()})
	}
	l.resolved[text] = address
	return address
}

// lookAtCells tells the quota and the scheduler who shares with this entry.
func (l *links) lookAtCells() {
	l.gateway.state.mutex.Lock()
	defer l.gateway.state.mutex.Unlock()
	l.setPeers(time.Now())
}

// changed has the cells looked at anew, soon. The state's mutex is held.
func (l *links) changed(now time.Time) {
	if now.Sub(l.viewed) >= viewPause {
		l.setPeers(now)
		return
	}
	if l.viewDue.CompareAndSwap(false, true) {
		time.AfterFunc(viewPause, func() {
			l.viewDue.Store(false)
			l.lookAtCells()
		})
	}
}

// setPeers looks at the cells at once. The state's mutex is held.
func (l *links) setPeers(now time.Time) {
	g := l.gateway
	l.viewed = now
	members := g.state.peers.Members()
	peers := make([]quota.Peer, 0, len(members))
	for _, m := range members {
		peers = append(peers, quota.Peer{Name: m.Name, Started: m.Started, Silent: !g.state.peers.Live(now, m.Name)})
	}
	g.state.quota.SetPeers(now, peers)
	cells := g.state.peers.Cells(now, g.ready())
	l.cells.Store(&cells)
	g.state.sched.SetEntries(cells.Entries)
	g.state.deliver(g.state.sched.SetCell(now, cells.Own, cells.Count))
}

// registered takes the register of entries and greets those that are new.
func (l *links) registered(entries []peerset.Entry) {
	l.meet(entries)
	l.announce()
}

func (l *links) meet(entries []peerset.Entry) {
	now := time.Now()
	l.gateway.state.mutex.Lock()
	defer l.gateway.state.mutex.Unlock()
	for _, entry := range entries {
		l.gateway.state.peers.Registered(now, entry)
	}
	l.setPeers(now)
	l.gateway.state.quota.SetListed(true)
}

// prune forgets entries that have been silent for long.
func (l *links) prune() {
	l.gateway.state.mutex.Lock()
	gone := l.gateway.state.peers.Prune(time.Now())
	l.gateway.state.mutex.Unlock()
	for _, entry := range gone {
		l.gateway.log.Write(eventlog.Belief, eventPeer, eventlog.Fields{"peer": entry.Name, "incarnation": entry.Incarnation, "state": "removed"})
	}
}

// tellDeparture tells the cell that a target has said that it leaves.
func (l *links) tellDeparture(target catalog.Target) {
	m := l.message()
	m.Departure = &gossip.Departure{Target: target.ID, StartedMS: target.StartedMS}
	for range departureCopies {
		l.send(m, l.cells.Load().Audience)
	}
}

func (l *links) tellCrash(fingerprint crashes.Fingerprint, id string) {
	m := l.message()
	m.Crash = &gossip.Crash{Fingerprint: uint64(fingerprint), ID: id}
	members := l.members()
	for range crashCopies {
		l.send(m, members)
	}
}
