package scheduler

import (
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/request"
)

// Fingerprint identifies the request that runs at a target under an id.
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
