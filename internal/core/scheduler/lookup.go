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

// Fingerprint returns the fingerprint of the request that runs at a target
// under an id.
func (s *Scheduler) Fingerprint(target string, id ident.RequestID) (request.Fingerprint, bool) {
	t := s.targets[target]
	if t == nil {
		return 0, false
	}
	r := t.runs[id]
	if r == nil {
		return 0, false
	}
	return r.offer.Fingerprint, true
}
