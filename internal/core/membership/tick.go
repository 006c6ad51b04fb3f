package membership

import (
	"sort"
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
)

// Tick lets time pass and returns what changed since the last one: Paused first,
// then the rest by name.
func (m *Membership) Tick(now time.Time) []Change {
	m.touch(now)
	changes := m.changes
	m.changes = nil
	for i := len(m.peers) - 1; i >= 0; i-- {
		changes = append(changes, m.tickPeer(now, m.peers[i])...)
	}
	if m.dirty {
		m.listLive()
	}
	sort.SliceStable(changes, func(i, j int) bool { return changes[i].Member.Name < changes[j].Member.Name })
	m.forgetFormer(now)
	if m.gap > 0 {
		changes = append([]Change{{Kind: Paused, Member: m.member, Gap: m.gap}}, changes...)
		m.gap = 0
	}
	return changes
}

// listLive forms a new list: the former one may still be held by others.
func (m *Membership) listLive() {
	m.dirty = false
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
	live := m.hears(now, p) && p.beat.State == message.Ready
	m.dirty = m.dirty || live != p.live
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
	// A name that is listed is kept though it does not count, else the next
	// list would seed it as new and it would count again.
	if removed && !p.listed && !p.linked {
		m.drop(p)
	}
	return changes
}

// forgetFormer bounds the replaced incarnations that are remembered: 590
// replacements a day are some 50 in the default removal time.
func (m *Membership) forgetFormer(now time.Time) {
	for incarnation, since := range m.former {
		if now.Sub(since) > m.cfg.Removal {
			delete(m.former, incarnation)
		}
	}
}

// Live lists the members that may schedule targets, this one included, by name,
// as of the last Tick; none after a pause until the next Tick. Act as a
// scheduler only while Quorum holds.
func (m *Membership) Live() []message.Member { return m.live }

// Quorum reports whether this entry exchanges heartbeats with so many members
// that they are, with itself, more than half of those known. Members that are
// proven dead, were pruned, or are silent for the removal time do not count.
func (m *Membership) Quorum(now time.Time) bool {
	m.touch(now)
	known, heard := 1, 1
	for _, p := range m.peers {
		if !m.counts(now, p) {
			continue
		}
		known++
		if m.hears(now, p) {
			heard++
		}
	}
	return 2*heard > known
}

// To is a heartbeat and its addressee.
type To struct {
	Peer ident.Incarnation
	Beat message.Heartbeat
}

// Beats returns the heartbeats that are due, by the peers' names.
func (m *Membership) Beats(now time.Time) []To {
	m.touch(now)
	var out []To
	for _, p := range m.peers {
		if !p.linked || now.Before(p.due) {
			continue
		}
		out = append(out, To{Peer: p.Incarnation, Beat: m.beat(now, p)})
		p.due = now.Add(m.wait(p))
	}
	return out
}

// wait spreads the second heartbeat to each peer over the interval, so that not
// all are due at once after a start or a change of state.
func (m *Membership) wait(p *peer) time.Duration {
	interval := m.Interval()
	if p.beats != 1 || interval <= 0 {
		return interval
	}
	return interval/2 + time.Duration(m.random.Int64N(int64(interval/2)+1))
}

func (m *Membership) beat(now time.Time, p *peer) message.Heartbeat {
	p.sent = m.seq(now, p.sent)
	beat := message.Heartbeat{
		Seq:           p.sent,
		State:         m.self.State,
		ConfigVersion: m.self.ConfigVersion,
		InFlight:      m.self.InFlight,
		Echo:          p.beat.Seq,
	}
	if p.Zone == m.member.Zone || p.beats%m.cfg.FarDigests == 0 {
		beat.Digests = m.self.Digests
	}
	p.beats++
	return beat
}
