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
	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/core/peerset"
	"sycamoretrail/internal/core/quota"
	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/gossip"
)

const (
	// catchUpAfter is how long this entry waits for the reader's update after another entry
	// has reported a later configuration.
	catchUpAfter = 250 * time.Millisecond
	// cellsPause is the least time between two updates of the cells: when all entries start at
	// once, each joins all others within some hundred milliseconds.
	cellsPause = 20 * time.Millisecond
	// crashCopies is the number of times that a broken run is announced: if the only datagram
	// were lost, the count of broken runs would be one too low.
	crashCopies = 2
	// departureCopies is the number of times that a target's departure is announced; an entry
	// that misses the announcement receives it with the target's next answer.
	departureCopies = 2
	// maxDepartures bounds the departures that an entry tells together, each in a datagram of its own.
	maxDepartures = 30
	// zoneReaders is the number of other entries from which on each zone has its own reader.
	zoneReaders = 24
)

// links exchanges messages with the other entries.
type links struct {
	gateway *Gateway
	conn    *gossip.Conn
	// heartbeatDue triggers a heartbeat at once; announcing: it goes to all entries, not only
	// to the cell.
	heartbeatDue chan struct{}
	announcing   atomic.Bool
	// heartbeatCount counts heartbeats, from a start that differs by entry; see peerset.Set.NextProbe.
	heartbeatCount int
	// cells is the division of entries into cells, as last updated at cellsAt; cellsDue: an
	// update is scheduled.
	cells    atomic.Pointer[peerset.Cells]
	cellsDue atomic.Bool
	cellsAt  time.Time

	mutex sync.Mutex
	// resolved caches socket addresses by their text.
	resolved map[string]*net.UDPAddr
	reader   string
	// fragmented numbers messages that are sent in fragments; assembler joins those of other
	// entries.
	fragmented atomic.Uint64
	// catchingUp: a check of whether the configuration has caught up is scheduled.
	catchingUp atomic.Bool
	assembler  *gossip.Assembler
	// heartbeatRotation, reportRotation and digestRotation select the organisations of each
	// message in turn.
	heartbeatRotation, reportRotation, digestRotation rotation
	// limitRotation selects in turn the targets whose declared limits are reported.
	limitRotation rotation
	// droppedLogAt is when a dropped announcement was logged last; used by the receiving
	// goroutine only.
	droppedLogAt time.Time
	// partial: the last heartbeat did not contain all totals.
	partial atomic.Bool
}

func newLinks(g *Gateway, conn *gossip.Conn) *links {
	l := &links{
		gateway: g, conn: conn, heartbeatDue: make(chan struct{}, 1), heartbeatCount: rand.IntN(1 << 16),
		resolved: make(map[string]*net.UDPAddr), assembler: gossip.NewAssembler(),
	}
	l.cells.Store(&peerset.Cells{Count: 1, Entries: 1})
	return l
}

// run sends heartbeats, digests and load reports until the context ends.
func (l *links) run(ctx context.Context) {
	go l.reportLoad(ctx)
	go l.relay(ctx)
	go l.lend(ctx)
	for {
		l.sendHeartbeat()
		timer := time.NewTimer(heartbeatEvery)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-l.heartbeatDue:
			timer.Stop()
		}
	}
}

// heartbeatNow triggers a heartbeat to the cell before its regular time.
func (l *links) heartbeatNow() {
	signal(l.heartbeatDue)
}

// announce triggers a heartbeat to all entries: changes that decide which entries get callers
// must not wait for a relay.
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
		StoreDisconnected: g.feeds.isStoreDisconnected(),
	}
	if c := g.configuration.Load(); c != nil {
		m.Heartbeat.Version = c.Version
	}
	g.state.mutex.Lock()
	totals, complete := shareOf(&l.heartbeatRotation, g.state.quota.Totals(), heartbeatBytes, totalBytes)
	g.state.mutex.Unlock()
	l.partial.Store(!complete)
	m.Heartbeat.Totals, m.Heartbeat.Partial = mapValues(totals, totalMessage), !complete
	return m
}

func (l *links) sendHeartbeat() {
	l.send(l.heartbeat(), l.heartbeatReceivers())
	l.updateCells()
}

// heartbeatReceivers returns the receivers of this heartbeat: the cell and one
// unresponsive entry, or all entries if there is one cell only or this is an announcement.
func (l *links) heartbeatReceivers() []peerset.Entry {
	l.heartbeatCount++
	peers := l.gateway.state.peers
	l.gateway.state.mutex.Lock()
	defer l.gateway.state.mutex.Unlock()
	if l.announcing.Swap(false) || dispatch.Cells(peers.Size()) == 1 {
		return entriesOf(peers.Members())
	}
	to := l.cells.Load().Audience
	if probed, found := peers.NextProbe(time.Now(), l.heartbeatCount); found {
		return append(slices.Clone(to), probed)
	}
	return to
}

func (l *links) members() []peerset.Entry {
	l.gateway.state.mutex.Lock()
	defer l.gateway.state.mutex.Unlock()
	return entriesOf(l.gateway.state.peers.Members())
}

// mapValues returns a map with the same keys and converted values.
func mapValues[A, B any](values map[string]A, convert func(A) B) map[string]B {
	converted := make(map[string]B, len(values))
	for key, value := range values {
		converted[key] = convert(value)
	}
	return converted
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// send sends one message to entries. A message that cannot be sent is lost; the next one
// replaces it.
func (l *links) send(m *gossip.Message, members []peerset.Entry) {
	if len(members) == 0 {
		return
	}
	datagram, err := l.conn.Encode(m)
	if err != nil {
		l.gateway.log.Write(eventlog.StateChange, eventUndecodable, eventlog.Fields{"error": err.Error()})
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
		l.gateway.log.Write(eventlog.StateChange, eventUndecodable, eventlog.Fields{"address": text, "error": err.Error()})
	}
	l.resolved[text] = address
	return address
}

// updateCells passes the current peers and cells to the quota and the scheduler.
func (l *links) updateCells() {
	l.gateway.state.mutex.Lock()
	defer l.gateway.state.mutex.Unlock()
	l.setPeers(time.Now())
}

// scheduleCells updates the cells, at once or after cellsPause. The caller holds the state's
// mutex.
func (l *links) scheduleCells(now time.Time) {
	if now.Sub(l.cellsAt) >= cellsPause {
		l.setPeers(now)
		return
	}
	if l.cellsDue.CompareAndSwap(false, true) {
		time.AfterFunc(cellsPause, func() {
			l.cellsDue.Store(false)
			l.updateCells()
		})
	}
}

// setPeers updates peers and cells at once. The caller holds the state's mutex.
func (l *links) setPeers(now time.Time) {
	g := l.gateway
	l.cellsAt = now
	members := g.state.peers.Members()
	peers := make([]quota.Peer, 0, len(members))
	for _, m := range members {
		peers = append(peers, quota.Peer{Name: m.Name, Started: m.Started, Unresponsive: !g.state.peers.Live(now, m.Name)})
	}
	g.state.quota.SetPeers(now, peers)
	if g.state.peersKnown {
		g.state.budget.SetEntries(now, g.state.peers.Size())
	}
	cells := g.state.peers.Cells(now, g.ready())
	l.cells.Store(&cells)
	g.state.sched.SetEntries(cells.Entries)
	g.state.deliver(g.state.sched.SetCell(now, cells.Own, cells.Count))
	l.setLeaseCell(&cells)
}

// applyRegister applies the registry of entries and announces this entry to all.
func (l *links) applyRegister(entries []peerset.Entry) {
	l.addRegistered(entries)
	l.announce()
}

func (l *links) addRegistered(entries []peerset.Entry) {
	now := time.Now()
	l.gateway.state.mutex.Lock()
	defer l.gateway.state.mutex.Unlock()
	for _, entry := range entries {
		l.gateway.state.peers.AddRegistered(now, entry)
	}
	l.gateway.state.peersKnown = true
	l.setPeers(now)
	l.gateway.state.quota.SetPeersKnown(true)
}

// prune removes entries that have been unresponsive for long.
func (l *links) prune() {
	l.gateway.state.mutex.Lock()
	removed := l.gateway.state.peers.Prune(time.Now())
	l.gateway.state.mutex.Unlock()
	for _, entry := range removed {
		l.gateway.log.Write(eventlog.StateChange, eventPeer, eventlog.Fields{"peer": entry.Name, "incarnation": entry.Incarnation, "state": "removed"})
	}
}

// announceDeparture announces to the cell that a target is leaving.
func (l *links) announceDeparture(target catalog.Target) {
	for range departureCopies {
		l.sendDepartures([]catalog.Target{target}, l.cells.Load().Audience)
	}
}

// sendDepartures tells entries of departures that registrations may not show, maxDepartures at most.
func (l *links) sendDepartures(departed []catalog.Target, to []peerset.Entry) {
	for _, target := range departed[:min(len(departed), maxDepartures)] {
		m := l.message()
		m.Departure = &gossip.Departure{Target: target.ID, StartedMS: target.StartedMS}
		l.send(m, to)
	}
}
