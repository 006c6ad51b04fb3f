package gateway

import (
	"time"

	"sycamoretrail/internal/core/crashes"
	"sycamoretrail/internal/core/peerset"
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
	if m.Replica != nil {
		l.takeReplica(m.Replica)
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
	if m.History != nil {
		l.takeHistory(m)
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
	age := milliseconds(m.AgeMS)
	entry := peerset.Entry{Name: m.From, Incarnation: m.Incarnation, Zone: h.Zone, Callers: h.Callers, Links: h.Links}
	g.state.mutex.Lock()
	joined, replaced := g.state.peers.Heard(now, entry, peerset.State(h.State), age, h.Blind)
	if replaced {
		g.state.deliver(g.state.sched.PeerGone(now, m.From))
	}
	g.state.quota.PeerTotals(now, m.From, now.Add(-age), mapValues(h.Totals, totalOf))
	g.state.mutex.Unlock()
	if joined || replaced {
		g.log.Write(eventlog.Belief, eventPeer, eventlog.Fields{
			"peer": m.From, "incarnation": m.Incarnation, "state": peerset.State(h.State).String(), "joined": joined, "replaced": replaced,
		})
		l.updatePeers()
		l.greet(peerset.Member{Entry: entry})
	}
	l.catchUp(h.Version)
}

// greet tells an entry that has joined what it needs before the next heartbeat.
func (l *links) greet(entry peerset.Member) {
	l.send(l.heartbeat(), []peerset.Member{entry})
	l.gateway.state.mutex.Lock()
	histories := l.gateway.state.quota.History(time.Now())
	l.gateway.state.mutex.Unlock()
	if len(histories) > 0 {
		m := l.message()
		m.History = mapValues(histories, historyMessage)
		l.send(m, []peerset.Member{entry})
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
	g.state.quota.PeerTotals(now, m.From, now.Add(-milliseconds(m.AgeMS)), mapValues(m.Load.Totals, totalOf))
	g.state.deliver(g.state.sched.PeerLoad(now, m.From, loadOf(m.Load)))
}

func (l *links) takeReplica(n *gossip.Replica) {
	follower := l.gateway.feeds.targets
	if n.Topic == feed.Operators {
		follower = l.gateway.feeds.operators
	}
	asOf := time.Now().Add(-milliseconds(n.AgeMS))
	if n.Whole {
		follower.ReplicateSnapshot(n.To, n.Records, asOf)
		return
	}
	follower.Replicate(n.From, n.To, n.Records, asOf)
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
