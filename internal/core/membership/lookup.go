package membership

import (
	"fmt"

	"sycamoretrail/internal/core/ident"
)

// Reachable reports whether a link to exactly this incarnation is open.
func (m *Membership) Reachable(incarnation ident.Incarnation) bool {
	p := m.byIncarnation[incarnation]
	return p != nil && p.linked && p.Incarnation == incarnation
}

// CallerAddress returns the address for callers of a peer to which a link is open.
func (m *Membership) CallerAddress(incarnation ident.Incarnation) (string, bool) {
	if !m.Reachable(incarnation) {
		return "", false
	}
	return m.byIncarnation[incarnation].CallerAddress, true
}

// String describes the change for logs.
func (c Change) String() string {
	if c.Kind == Paused {
		return fmt.Sprintf("this process was paused for %s", c.Gap)
	}
	return fmt.Sprintf("%s (%s) %s", c.Member.Name, c.Member.Incarnation, c.Kind)
}

// String returns the kind's name for logs.
func (k ChangeKind) String() string {
	switch k {
	case MemberLive:
		return "live"
	case MemberLost:
		return "lost"
	case MemberReplaced:
		return "replaced"
	case MemberRemoved:
		return "removed"
	}
	return "paused"
}
