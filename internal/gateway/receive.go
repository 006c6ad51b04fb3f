package gateway

import (
	"slices"
	"time"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/crashes"
	"sycamoretrail/internal/core/peerset"
	"sycamoretrail/internal/core/quota"
	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/feed"
	"sycamoretrail/internal/gossip"
)

// maxGreetedQuarantines bounds the quarantines that an entry reports to one that has joined, each in a
// datagram of its own.
const maxGreetedQuarantines = 30

// receive handles messages of the other entries until the socket is closed.
func (l *links) receive() {
	if err := l.conn.Receive(l.handle); err != nil {
		l.gateway.logger.WithError(err).Error("receiving from other entries failed")
	}
}

func (l *links) handle(m *gossip.Message) {
	if m.From == l.gateway.self.Name {
		return
	}
	if m.Crash != nil {
		l.handleCrash(m.From, m.Crash)
	}
	if m.Cleared != 0 {
		l.handleCleared(crashes.Fingerprint(m.Cleared))
	}
	if m.CauseReport != nil {
		l.handleCauseReport(m.CauseReport)
	}
	if d := m.Departure; d != nil {
		l.gateway.feeds.applyDeparture(catalog.Target{ID: d.Target, StartedMS: d.StartedMS}, m.From)
	}
	if m.Replica != nil {
		l.handleReplica(m.Replica)
	}
	if m.Fragment != nil {
		l.handleFragment(m)
	}
	if m.Digest != nil {
		l.handleDigest(m)
	}
	if m.Leases != nil {
		l.handleLeases(m)
	}
	if m.Heartbeat != nil {
		l.handleHeartbeat(m)
	}
	if m.Load != nil {
		l.handleLoad(m)
	}
	if m.History != nil {
		l.handleHistory(m)
	}
	l.gateway.origins.handleOrigins(m)
	if m.OriginQuery != nil {
		l.gateway.origins.handleQuery(m)
	}
	l.gateway.origins.log.handleRecorded(m.OriginsRecorded)
	if m.OriginReply != nil {
		l.gateway.origins.handleReply(m.From, m.OriginReply)
	}
	if m.RolloutStep != nil {
		l.handleRolloutStep(m.RolloutStep)
	}
	if m.RolloutReport != nil {
		l.handleRolloutReport(m.From, m.Incarnation, m.RolloutReport)
	}
}

func (l *links) handleHeartbeat(m *gossip.Message) {
	h := m.Heartbeat
	status := peerset.Status{
		Entry: peerset.Entry{Name: m.From, Incarnation: m.Incarnation, Zone: h.Zone, Callers: h.Callers, Links: h.Links},
		State: peerset.State(h.State), Sequence: m.Sequence, Age: milliseconds(m.AgeMS), StoreDisconnected: h.StoreDisconnected, Version: h.Version,
	}
	now := time.Now()
	l.gateway.state.mutex.Lock()
	change := l.applyStatus(now, now, status, mapValues(h.Totals, totalOf), h.Partial)
	l.gateway.state.mutex.Unlock()
	if change.Joined || change.Replaced {
		l.greet(status.Entry, change)
		l.gateway.origins.greet(status.Entry)
	}
	l.catchUp(h.Version)
}

// applyStatus records an entry's status and its totals, both as of the time at. partial:
// totals holds only some of the entry's totals. The caller holds the state's mutex.
func (l *links) applyStatus(now, at time.Time, status peerset.Status, totals map[string]quota.Total, partial bool) peerset.Update {
	g := l.gateway
	change := g.state.peers.ApplyStatus(now, at, status)
	if change.Outdated || change.Unknown {
		return change
	}
	if change.Replaced {
		g.state.deliver(g.state.sched.RemovePeer(now, status.Name))
	}
	if change.Joined || change.Replaced {
		l.scheduleCells(now)
		g.log.Write(eventlog.StateChange, eventPeer, eventlog.Fields{
			"peer": status.Name, "incarnation": status.Incarnation, "state": status.State.String(),
			"joined": change.Joined, "replaced": change.Replaced, "relayed": status.Relayed, "age_ms": now.Sub(at).Milliseconds(),
		})
	}
	g.state.quota.PeerTotals(at, status.Name, at.Add(-status.Age), totals, partial)
	g.state.quota.SetPeerStarting(now, status.Name, status.State == peerset.Starting)
	return change
}

// greet sends an entry that has joined what it needs before the next heartbeat. In a fleet of
// several cells only the entries of its own cell, the relays, and the entries that had lost
// contact with it do so: if all entries greeted each other when all start at once, the number
// of greetings would be the square of the fleet.
func (l *links) greet(entry peerset.Entry, change peerset.Update) {
	cells := l.cells.Load()
	inCell := slices.ContainsFunc(cells.Audience, func(e peerset.Entry) bool { return e.Name == entry.Name })
	if cells.Count > 1 && !inCell && !cells.IsRelay && !change.Returned {
		return
	}
	l.send(l.heartbeat(), []peerset.Entry{entry})
	now := time.Now()
	l.gateway.state.mutex.Lock()
	histories := l.gateway.state.quota.History(now)
	quarantines := l.gateway.state.causes.Quarantines(now, maxGreetedQuarantines)
	l.gateway.state.mutex.Unlock()
	for _, part := range partsOf(histories, heartbeatBytes, historyBytes) {
		m := l.message()
		m.History = mapValues(part, historyMessage)
		l.send(m, []peerset.Entry{entry})
	}
	for _, quarantine := range quarantines {
		l.sendQuarantine(quarantine, []peerset.Entry{entry})
	}
	l.sendDepartures(l.gateway.feeds.departed(), []peerset.Entry{entry})
}

func (l *links) handleHistory(m *gossip.Message) {
	l.gateway.state.mutex.Lock()
	defer l.gateway.state.mutex.Unlock()
	l.gateway.state.quota.PeerHistory(time.Now(), mapValues(m.History, historyOf))
}

// catchUp rereads the configuration if another entry has a later version and the reader's
// update has not arrived in time.
func (l *links) catchUp(version int64) {
	g := l.gateway
	if !g.isOlder(version) || !l.catchingUp.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(catchUpAfter, func() {
		l.catchingUp.Store(false)
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

func (l *links) handleLoad(m *gossip.Message) {
	g := l.gateway
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	now := time.Now()
	if !g.state.peers.RecordContact(now, m.From, m.Incarnation, m.Sequence) {
		return
	}
	g.state.quota.PeerTotals(now, m.From, now.Add(-milliseconds(m.AgeMS)), mapValues(m.Load.Totals, totalOf), m.Load.Partial)
	g.state.deliver(g.state.sched.SetPeerLoad(now, m.From, loadOf(m.Load)))
}

func (l *links) handleReplica(replica *gossip.Replica) {
	follower := l.gateway.feeds.targets
	if replica.Topic == feed.Operators {
		follower = l.gateway.feeds.operators
	}
	asOf := time.Now().Add(-milliseconds(replica.AgeMS))
	to := feed.Position{Generation: replica.Generation, Offset: replica.To}
	if replica.Snapshot {
		follower.ReplicateSnapshot(to, replica.Records, asOf)
		return
	}
	follower.Replicate(feed.Position{Generation: replica.Generation, Offset: replica.From}, to, replica.Records, asOf)
}

// handleFragment assembles an update that was sent in fragments. It is called by the receiving
// goroutine only.
func (l *links) handleFragment(m *gossip.Message) {
	update, err := l.assembler.Add(time.Now(), m.Incarnation, m.Fragment)
	if err != nil {
		l.gateway.log.Write(eventlog.StateChange, eventUndecodable, eventlog.Fields{"peer": m.From, "error": err.Error()})
		return
	}
	if update != nil {
		l.handleReplica(update)
	}
}
