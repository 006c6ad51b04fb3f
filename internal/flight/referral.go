package flight

import (
	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/outcome"
)

// Referral ends a flight that has no answer of its own: its caller is to read
// the answer of another request, here or at another entry.
type Referral struct {
	// Flight is here; nil: the answer is at the entry at Address.
	Flight *Flight
	// ID names the request whose answer it is, and Target where it runs or ran.
	ID      ident.RequestID
	Target  string
	Address string
}

// refer ends a flight by a referral.
func (f *Flight) refer(to Referral) {
	f.close(End{Status: outcome.Undetermined(outcome.ReasonDuplicateKey, "the answer belongs to another request id"), See: &to})
}

// joinOther gives a caller the answer of another request here, whose key or id
// it repeats.
func (r *Registry) joinOther(f *Flight, of ident.RequestID) {
	other := r.Get(of)
	if other == nil || other.Organisation != f.Organisation {
		f.Finish(noAnswer())
		return
	}
	f.refer(Referral{Flight: other, ID: of})
}

// SeeOther sends a caller to the entry that holds the answer.
func (r *Registry) SeeOther(s entry.SeeOther) {
	if f := r.Get(s.ID); f != nil {
		f.refer(Referral{ID: s.Of, Target: s.Target, Address: s.Address})
	}
}
