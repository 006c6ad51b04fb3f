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
	if d := m.Departure; d != nil {
		l.gateway.feeds.departs(catalog.Target{ID: d.Target, StartedMS: d.StartedMS}, m.From)
	}
	if m.Replica != nil {
		l.takeReplica(m.Replica)
	}
	if m.Fragment != nil {
		l.takeFragment(m)
	}
	if m.Digest != nil {
		l.takeDigest(m)
	}
	if m.Heartbeat != nil {
		l.takeHeartbeat(m)
	}
	if m.Load != nil {
		l.takeLoad(m)
	}
	if m.History != nil {
		l.takeHistory(m)
	}
	if m.RolloutStep != nil {
		l.takeRolloutStep(m.RolloutStep)
	}
	if m.RolloutReport != nil {
		l.takeRolloutReport(m.From, m.Incarnation, m.RolloutReport)
	}
}

func (l *links) takeHeartbeat(m *gossip.Message) {
	h := m.Heartbeat
	word := peerset.Word{
		Entry: peerset.Entry{Name: m.From, Incarnation: m.Incarnation, Zone: h.Zone, Callers: h.Callers, Links: h.Links},
		State: peerset.State(h.State), Sequence: m.Sequence, Age: milliseconds(m.AgeMS), Blind: h.Blind, Version: h.Version,
	}
	now := time.Now()
	l.gateway.state.mutex.Lock()
	news := l.heard(now, now, word, mapValues(h.Totals, totalOf), h.Partial)
	l.gateway.state.mutex.Unlock()
	if news.Joined || news.Replaced {
		l.greet(word.Entry, news)
	}
	l.catchUp(h.Version)
}

// heard takes an entry's word and its totals, both as they were at a moment; partial: some
// of the totals. The state's mutex is held.
func (l *links) heard(now, at time.Time, word peerset.Word, totals map[string]quota.Total, partial bool) peerset.News {
	g := l.gateway
	news := g.state.peers.Heard(now, at, word)
	if news.Old || news.Unknown {
		return news
	}
	if news.Replaced {
		g.state.deliver(g.state.sched.PeerGone(now, word.Name))
	}
	if news.Joined || news.Replaced {
		l.changed(now)
		g.log.Write(eventlog.Belief, eventPeer, eventlog.Fields{
			"peer": word.Name, "incarnation": word.Incarnation, "state": word.State.String(),
			"joined": news.Joined, "replaced": news.Replaced, "relayed": word.Relayed, "age_ms": now.Sub(at).Milliseconds(),
		})
	}
	g.state.quota.PeerTotals(at, word.Name, at.Add(-word.Age), totals, partial)
	return news
}

// greet tells an entry that has joined what it needs before the next heartbeat. In a fleet
// of several cells its own cell and the relays do so, and whoever it was lost to: when all
// start at once, greetings of everyone to everyone would be the square of the fleet.
func (l *links) greet(entry peerset.Entry, news peerset.News) {
	cells := l.cells.Load()
	inCell := slices.ContainsFunc(cells.Audience, func(e peerset.Entry) bool { return e.Name == entry.Name })
	if cells.Count > 1 && !inCell && !cells.Relays && !news.Returned {
		return
	}
	l.send(l.heartbeat(), []peerset.Entry{entry})
	l.gateway.state.mutex.Lock()
	histories := l.gateway.state.quota.History(time.Now())
	l.gateway.state.mutex.Unlock()
	for _, part := range partsOf(histories, heartbeatBytes, historyBytes) {
		m := l.message()
		m.History = mapValues(part, historyMessage)
		l.send(m, []peerset.Entry{entry})
	}
}

func (l *links) takeHistory(m *gossip.Message) {
	l.gateway.state.mutex.Lock()
	defer l.gateway.state.mutex.Unlock()
	l.gateway.state.quota.PeerHistory(time.Now(), mapValues(m.History, historyOf))
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
	if !g.state.peers.Touched(now, m.From, m.Incarnation, m.Sequence) {
		return
	}
	g.state.quota.PeerTotals(now, m.From, now.Add(-milliseconds(m.AgeMS)), mapValues(m.Load.Totals, totalOf), m.Load.Partial)
	g.state.deliver(g.state.sched.PeerLoad(now, m.From, loadOf(m.Load)))
}

func (l *links) takeReplica(n *gossip.Replica) {
	follower := l.gateway.feeds.targets
	if n.Topic == feed.Operators {
		follower = l.gateway.feeds.operators
	}
	asOf := time.Now().Add(-milliseconds(n.AgeMS))
	to := feed.Position{Generation: n.Generation, Offset: n.To}
	if n.Whole {
		follower.ReplicateSnapshot(to, n.Records, asOf)
		return
	}
	follower.Replicate(feed.Position{Generation: n.Generation, Offset: n.From}, to, n.Records, asOf)
}

// takeFragment joins news that came in pieces. Only the receiving goroutine calls it.
func (l *links) takeFragment(m *gossip.Message) {
	news, err := l.assembler.Add(time.Now(), m.Incarnation, m.Fragment)
	if err != nil {
		l.gateway.log.Write(eventlog.Belief, eventUndecodable, eventlog.Fields{"peer": m.From, "error": err.Error()})
		return
	}
	if news != nil {
		l.takeReplica(news)
	}
}

func (l *links) takeCrash(c *gossip.Crash) {
	news, count := l.gateway.state.broken(crashes.Fingerprint(c.Fingerprint), c.ID)
	if news {
		l.gateway.log.Write(eventlog.Belief, eventSuspect, eventlog.Fields{"id": c.ID, "fingerprint": crashes.Fingerprint(c.Fingerprint).String(), "count": count})
	}
}
