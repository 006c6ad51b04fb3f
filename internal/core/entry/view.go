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

// Publish gives the edges a new immutable view of what they need to know.
// It is put out whenever the view changed.
type Publish struct{ View *View }

// View is what the edges read without asking the core.
type View struct {
	State message.State
	// Version of the document in force; 0 and a nil Document: none yet.
	Version  int64
	Document *document.Document
	// Entries are the members that callers may use, in this entry's order.
	Entries []message.Member
	// Probes are the targets whose readiness and load this entry watches.
	Probes []document.Target
	// Prefix for new ids, and until when it may be handed out and for how long
	// an answer to "which entry" is good.
	Prefix  ident.Prefix
	GoodFor time.Duration
}

// Owns reports whether a member is the owner of the prefix.
func (v *View) Owns(m message.Member) bool {
	holder, _, _ := strings.Cut(string(v.Prefix), ".")
	return string(m.Incarnation) == holder
}

// OwnerFirst lists the entries, the owner of the prefix first: at any other entry
// each request with the prefix would cost a question to the owner.
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

// Decision is a line for the operators' log and for explain.
type Decision struct {
	ID     ident.RequestID
	Event  Event
	Target string
	Tier   request.Tier
	Reason outcome.Reason
	Detail string
}

// Event names a decision.
type Event string

const (
	EventAccepted   Event = "accepted"
	EventOffered    Event = "offered"
	EventGranted    Event = "granted"
	EventDispatched Event = "dispatched"
	EventSettled    Event = "settled"
	EventPreempted  Event = "preempted"
	EventFloor      Event = "floor"
	EventConvicted  Event = "convicted"
	EventDocument   Event = "document"
	EventMember     Event = "member"
	EventOrder      Event = "order"
)
