package membership

import (
	"fmt"

	"sycamoretrail/internal/core/ident"
)

// Reachable reports whether a link stands to this very incarnation.
func (m *Membership) Reachable(incarnation ident.Incarnation) bool {
	p := m.byInc[incarnation]
	return p != nil && p.linked && p.Incarnation == incarnation
}

// CallerAddress is where callers reach a peer to which a link stands.
func (m *Membership) CallerAddress(incarnation ident.Incarnation) (string, bool) {
	if !m.Reachable(incarnation) {
		return "", false
	}
	return m.byInc[incarnation].CallerAddress, true
}

// String tells the change for logs.
func (c Change) String() string {
	if c.Kind == Paused {
		return fmt.Sprintf("this process stood still for %s", c.Gap)
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
