package membership

import (
	"time"

	"sycamoretrail/internal/core/message"
)

// View is the status of a member for operators.
type View struct {
	Member        message.Member
	State         message.State
	ConfigVersion int64
	InFlight      int
	// Linked: a link is open. Live: it may schedule targets. Counts: it counts for the
	// quorum.
	Linked, Live, Counts bool
	// SinceContact is the time since the last contact, SinceEcho the age of the last of our
	// heartbeats that it received; negative: never.
	SinceContact, SinceEcho time.Duration
	// Digests are the last ones received from it, DigestAge is how long ago.
	Digests   []message.Digest
	DigestAge time.Duration
}

// Members returns all known members except this one, by name.
func (m *Membership) Members(now time.Time) []View {
	views := make([]View, 0, len(m.peers))
	for _, p := range m.peers {
		v := View{
			Member:        p.Member,
			State:         p.lastHeartbeat.State,
			ConfigVersion: p.lastHeartbeat.ConfigVersion,
			InFlight:      p.lastHeartbeat.InFlight,
			Linked:        p.linked,
			Live:          p.live,
			Counts:        m.counts(now, p),
			SinceContact:  -1,
			SinceEcho:     -1,
			Digests:       p.lastHeartbeat.Digests,
			DigestAge:     now.Sub(p.digestsAt),
		}
		if !p.lastContact.IsZero() {
			v.SinceContact = now.Sub(p.lastContact)
		}
		if p.echoed > 0 {
			v.SinceEcho = now.Sub(m.sentAt(p.echoed))
		}
		views = append(views, v)
	}
	return views
}

// Entries returns the entries that a caller may use: the live members of the caller's zone
// first, then those of other zones. Each group is rotated by one position per call, so that
// callers that take the first one are spread. All of them are ready and not draining; the
// list is empty after a pause until the next Tick.
func (m *Membership) Entries(now time.Time, zone string) []message.Member {
	m.detectPause(now)
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
	m.rotation++
	return append(rotate(near, m.rotation), rotate(far, m.rotation)...)
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
