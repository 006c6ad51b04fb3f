package membership

import (
	"time"

	"sycamoretrail/internal/core/message"
)

// peer is one name: a member that was met, or a row of the list that was not.
// Its Incarnation is empty until a link stood.
type peer struct {
	message.Member
	// known is when it was met or first listed.
	known time.Time
	// linked: a link stands. gone: proven dead.
	linked, gone bool
	// listed: in the platform's last list; shown: in any list so far.
	listed, shown bool
	// heard is when the last new heartbeat or hello came.
	heard time.Time
	// beat is the last heartbeat, with the last digests that came.
	beat     message.Heartbeat
	digested time.Time
	// sent is the Seq of our last heartbeat to it, echoed of the last that it
	// says it received. A Seq is a time: see Membership.seq.
	sent, echoed uint64
	beats        int
	due          time.Time
	// live and removed are as of the last Tick.
	live, removed bool
}

// forgetBeats lets only a new exchange make the peer live again.
func (p *peer) forgetBeats() {
	p.heard = time.Time{}
	p.echoed = 0
}

// seq numbers heartbeats by the milliseconds since the start, so that an echo
// tells when the heartbeat was sent without a list of those under way.
func (m *Membership) seq(now time.Time, after uint64) uint64 {
	return max(after+1, uint64(now.Sub(m.started).Milliseconds()))
}

func (m *Membership) sentAt(seq uint64) time.Time {
	return m.started.Add(time.Duration(seq) * time.Millisecond)
}

// hears: a heartbeat that we sent within the silence limit reached the peer and
// its echo came back, so both directions work.
func (m *Membership) hears(now time.Time, p *peer) bool {
	if p.gone || p.echoed == 0 {
		return false
	}
	return now.Sub(m.sentAt(p.echoed)) <= m.Silence()
}

// counts: the peer belongs to the members of which a quorum hears more than half.
func (m *Membership) counts(now time.Time, p *peer) bool {
	if p.gone {
		return false
	}
	last := p.known
	if p.heard.After(last) {
		last = p.heard
	}
	return now.Sub(last) <= m.cfg.Removal
}
