package entry

import (
	"strings"
	"time"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
)

// Publish gives the edges a new immutable view. It is emitted whenever the view
// has changed.
type Publish struct{ View *View }

// View is the state that the edges read without calling the core.
type View struct {
	State message.State
	// Version is the version of the document in force. Without a document, it
	// is 0 and Document is nil.
	Version  int64
	Document *document.Document
	// Entries are the members that callers may use, in this entry's order.
	Entries []message.Member
	// Probes are the targets whose readiness and load this entry probes.
	Probes []document.Target
	// Prefix is the prefix for new ids. GoodFor is how long it may be handed
	// out and how long an answer to "which entry" is valid.
	Prefix  ident.Prefix
	GoodFor time.Duration
}

// Owns reports whether a member is the owner of the prefix.
func (v *View) Owns(m message.Member) bool {
	holder, _, _ := strings.Cut(string(v.Prefix), ".")
	return string(m.Incarnation) == holder
}

// OwnerFirst returns the entries with the owner of the prefix first: at any
// other entry each request with the prefix costs a query to the owner.
func (v *View) OwnerFirst() []message.Member {
	members := make([]message.Member, 0, len(v.Entries))
	for _, owner := range []bool{true, false} {
		for _, m := range v.Entries {
			if v.Owns(m) == owner {
				members = append(members, m)
			}
		}
	}
	return members
}

// Decision is a line in the operators' log and in an explanation.
type Decision struct {
	ID     ident.RequestID
	Event  Event
	Target string
	Tier   request.Tier
	Reason outcome.Reason
	Detail string
}

// Event is the kind of a decision.
type Event string

const (
	EventAccepted    Event = "accepted"
	EventOffered     Event = "offered"
	EventGranted     Event = "granted"
	EventDispatched  Event = "dispatched"
	EventSettled     Event = "settled"
	EventPreempted   Event = "preempted"
	EventFloor       Event = "floor"
	EventQuarantined Event = "convicted"
	EventReleased    Event = "released"
	EventDocument    Event = "document"
	EventMember      Event = "member"
	EventOrder       Event = "order"
)
