package membership

import (
	"time"

	"sycamoretrail/internal/core/message"
)

// peer is one name: a member to which there has been a link, or a listed name without one.
// Its Incarnation is empty until a link has been open.
type peer struct {
	message.Member
	// since is when it was first linked or listed.
	since time.Time
	// linked: a link is open. terminated: its process is proven to have ended.
	linked, terminated bool
	// listed: in the platform's last list. everListed: in any list so far.
	listed, everListed bool
	// lastContact is when the last new heartbeat or handshake arrived.
	lastContact time.Time
	// lastHeartbeat is the last heartbeat received, with the last digests received.
	lastHeartbeat message.Heartbeat
	digestsAt     time.Time
	// sent is the Seq of the last heartbeat sent to the peer, echoed that of the last one
	// that the peer reports as received. A Seq is a time: see Membership.seq.
	sent, echoed uint64
	heartbeats   int
	due          time.Time
	// live and removed are as of the last Tick.
	live, removed bool
}

// forgetHeartbeats makes the peer need a new exchange of heartbeats to be live again.
func (p *peer) forgetHeartbeats() {
	p.lastContact = time.Time{}
	p.echoed = 0
}

// seq numbers heartbeats by the milliseconds since the start, so that an echo shows when the
// heartbeat was sent without a list of outstanding ones.
func (m *Membership) seq(now time.Time, after uint64) uint64 {
	return max(after+1, uint64(now.Sub(m.started).Milliseconds()))
}

func (m *Membership) sentAt(seq uint64) time.Time {
	return m.started.Add(time.Duration(seq) * time.Millisecond)
}

// echoes reports whether the peer echoed a heartbeat sent within the failure-detection
// timeout, which shows that both directions of the link work.
func (m *Membership) echoes(now time.Time, p *peer) bool {
	if p.terminated || p.echoed == 0 {
		return false
	}
	return now.Sub(m.sentAt(p.echoed)) <= m.FailureTimeout()
}

// counts reports whether the peer counts for the quorum; see Quorum. It does not if its
// process is proven to have ended, or after the removal time without contact.
func (m *Membership) counts(now time.Time, p *peer) bool {
	if p.terminated {
		return false
	}
	last := p.since
	if p.lastContact.After(last) {
		last = p.lastContact
	}
	return now.Sub(last) <= m.cfg.Removal
}
