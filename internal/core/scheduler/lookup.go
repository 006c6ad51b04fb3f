package scheduler

import (
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/request"
)

// RunOf returns the target at which a request runs and the organisation that
// sent it.
func (s *Scheduler) RunOf(id ident.RequestID) (target, organisation string, found bool) {
	for name, t := range s.targets {
		// A report sent before a change of schedulers may name a second target. The
		// choice must not depend on the map's iteration order.
		if r := t.runs[id]; r != nil && (!found || name < target) {
			target, organisation, found = name, r.offer.Organisation, true
		}
	}
	return target, organisation, found
}

// Fingerprints returns the fingerprints of the request that runs at a target under an id, and of the
// beginnings of its prompt.
func (s *Scheduler) Fingerprints(target string, id ident.RequestID) (whole request.Fingerprint, prefixes []request.Fingerprint, found bool) {
	t := s.targets[target]
	if t == nil {
		return 0, nil, false
	}
	r := t.runs[id]
	if r == nil {
		return 0, nil, false
	}
	return r.offer.Fingerprint, r.offer.Prefixes, true
}
