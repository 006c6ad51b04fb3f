package inflight

import (
	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/outcome"
)

// Referral ends a flight that has no answer of its own: it refers the caller to the
// answer of another request, at this entry or another one.
type Referral struct {
	// Flight is the other request at this entry; if it is nil, the entry at Address
	// holds the answer.
	Flight *Flight
	// ID is the id of the other request, and Target is where it runs or ran.
	ID      ident.RequestID
	Target  string
	Address string
}

// refer ends a flight by a referral.
func (f *Flight) refer(to Referral) {
	f.close(End{Status: outcome.Undetermined(outcome.ReasonDuplicateKey, "the answer belongs to another request id"), Referral: &to})
}

// joinOther refers a caller to the answer of another request at this entry, whose
// key or id its request repeats.
func (r *Registry) joinOther(f *Flight, of ident.RequestID) {
	other := r.Get(of)
	if other == nil || other.Organisation != f.Organisation {
		f.Finish(answerNotHeld())
		return
	}
	f.refer(Referral{Flight: other, ID: of})
}

// SeeOther refers a caller to the entry that holds the answer.
func (r *Registry) SeeOther(s entry.SeeOther) {
	if f := r.Get(s.ID); f != nil {
		f.refer(Referral{ID: s.Of, Target: s.Target, Address: s.Address})
	}
}
