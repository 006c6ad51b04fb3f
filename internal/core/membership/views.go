package membership

import (
	"time"

	"sycamoretrail/internal/core/message"
)

// View is what operators see of a member.
type View struct {
	Member        message.Member
	State         message.State
	ConfigVersion int64
	InFlight      int
	// Linked: a link stands. Live: it may schedule. Counts: it counts for the quorum.
	Linked, Live, Counts bool
	// Silent is how long nothing was heard, Unechoed the age of our last
	// heartbeat that it received; negative: never.
	Silent, Unechoed time.Duration
	// Digests are the last that it sent, DigestAge how long ago.
	Digests   []message.Digest
	DigestAge time.Duration
}

// Members lists all known members but this one, by name.
func (m *Membership) Members(now time.Time) []View {
	views := make([]View, 0, len(m.peers))
	for _, p := range m.peers {
		v := View{
			Member:        p.Member,
			State:         p.beat.State,
			ConfigVersion: p.beat.ConfigVersion,
			InFlight:      p.beat.InFlight,
			Linked:        p.linked,
			Live:          p.live,
			Counts:        m.counts(now, p),
			Silent:        -1,
			Unechoed:      -1,
			Digests:       p.beat.Digests,
			DigestAge:     now.Sub(p.digested),
		}
		if !p.heard.IsZero() {
			v.Silent = now.Sub(p.heard)
		}
		if p.echoed > 0 {
			v.Unechoed = now.Sub(m.sentAt(p.echoed))
		}
		views = append(views, v)
	}
	return views
}

// Entries answers "which entry": the live members of the caller's zone first,
// then those of other zones, each group rotated by one more place on each call,
// so that callers that take the first are spread. All of them are ready and not
// draining; the list is empty after a pause until the next Tick.
func (m *Membership) Entries(now time.Time, zone string) []message.Member {
	m.touch(now)
	var near, far []message.Member
	for _, member := range m.live {
		if member.Incarnation == m.member.Incarnation && m.self.State != message.Ready {
			continue
		}
		if member.Zone == zone {
			near = append(near, member)
		} else {
			far = append(far, member)
		}
	}
	m.turn++
	return append(rotate(near, m.turn), rotate(far, m.turn)...)
}

func rotate(members []message.Member, by int) []message.Member {
	if len(members) == 0 {
		return nil
	}
	at := by % len(members)
	out := make([]message.Member, 0, len(members))
	out = append(out, members[at:]...)
	return append(out, members[:at]...)
}
