package membership

import (
	"sort"
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
)

// Tick advances the time and returns the changes since the last call: Paused first, then the
// others by name.
func (m *Membership) Tick(now time.Time) []Change {
	m.detectPause(now)
	changes := m.changes
	m.changes = nil
	for i := len(m.peers) - 1; i >= 0; i-- {
		changes = append(changes, m.tickPeer(now, m.peers[i])...)
	}
	if m.liveStale {
		m.listLive()
	}
	sort.SliceStable(changes, func(i, j int) bool { return changes[i].Member.Name < changes[j].Member.Name })
	m.forgetReplaced(now)
	if m.gap > 0 {
		changes = append([]Change{{Kind: Paused, Member: m.member, Gap: m.gap}}, changes...)
		m.gap = 0
	}
	return changes
}

// listLive builds a new list, since callers may still hold the previous one.
func (m *Membership) listLive() {
	m.liveStale = false
	m.live = nil
	for _, p := range m.peers {
		if p.live {
			m.live = append(m.live, p.Member)
		}
	}
	if m.self.State == message.Ready {
		m.live = append(m.live, m.member)
	}
	sort.Slice(m.live, func(i, j int) bool { return m.live[i].Name < m.live[j].Name })
}

func (m *Membership) tickPeer(now time.Time, p *peer) []Change {
	var changes []Change
	live := m.echoes(now, p) && p.lastHeartbeat.State == message.Ready
	m.liveStale = m.liveStale || live != p.live
	if live && !p.live {
		changes = append(changes, Change{Kind: MemberLive, Member: p.Member})
	}
	if !live && p.live {
		changes = append(changes, Change{Kind: MemberLost, Member: p.Member})
	}
	p.live = live
	removed := !m.counts(now, p)
	if removed && !p.removed {
		changes = append(changes, Change{Kind: MemberRemoved, Member: p.Member})
	}
	p.removed = removed
	// A listed name is kept even if it no longer counts. Otherwise the next list would add
	// it as new and it would count again.
	if removed && !p.listed && !p.linked {
		m.drop(p)
	}
	return changes
}

// forgetReplaced bounds the number of replaced incarnations kept: 590 replacements a day are
// about 50 within the default removal time.
func (m *Membership) forgetReplaced(now time.Time) {
	for incarnation, since := range m.replaced {
		if now.Sub(since) > m.cfg.Removal {
			delete(m.replaced, incarnation)
		}
	}
}

// Live returns the members that may schedule targets, including this one, by name and as of
// the last Tick; it is empty after a pause until the next Tick. An entry may act as a
// scheduler only while Quorum holds.
func (m *Membership) Live() []message.Member { return m.live }

// Quorum reports whether this entry and the members with which it exchanges heartbeats are
// more than half of those known. Members that are proven to have terminated, were pruned, or
// have been unresponsive for the removal time do not count.
func (m *Membership) Quorum(now time.Time) bool {
	m.detectPause(now)
	known, connected := 1, 1
	for _, p := range m.peers {
		if !m.counts(now, p) {
			continue
		}
		known++
		if m.echoes(now, p) {
			connected++
		}
	}
	return 2*connected > known
}

// Outgoing is a heartbeat and its receiver.
type Outgoing struct {
	Peer      ident.Incarnation
	Heartbeat message.Heartbeat
}

// DueHeartbeats returns the heartbeats that are due, by the peers' names.
func (m *Membership) DueHeartbeats(now time.Time) []Outgoing {
	m.detectPause(now)
	var out []Outgoing
	for _, p := range m.peers {
		if !p.linked || now.Before(p.due) {
			continue
		}
		out = append(out, Outgoing{Peer: p.Incarnation, Heartbeat: m.heartbeat(now, p)})
		p.due = now.Add(m.nextInterval(p))
	}
	return out
}

// nextInterval spreads the second heartbeats to the peers over the interval, so that not all
// are due at once after a start or a change of state.
func (m *Membership) nextInterval(p *peer) time.Duration {
	interval := m.Interval()
	if p.heartbeats != 1 || interval <= 0 {
		return interval
	}
	return interval/2 + time.Duration(m.random.Int64N(int64(interval/2)+1))
}

func (m *Membership) heartbeat(now time.Time, p *peer) message.Heartbeat {
	p.sent = m.seq(now, p.sent)
	beat := message.Heartbeat{
		Seq:           p.sent,
		State:         m.self.State,
		ConfigVersion: m.self.ConfigVersion,
		InFlight:      m.self.InFlight,
		Echo:          p.lastHeartbeat.Seq,
	}
	if p.Zone == m.member.Zone || p.heartbeats%m.cfg.FarDigests == 0 {
		beat.Digests = m.self.Digests
	}
	p.heartbeats++
	return beat
}
