package routing

import "time"

const (
	// trialEvery is the minimum interval between an owner's trials of a target that is
	// limited to one slot. One in trialOneIn eligible requests is considered for a
	// trial.
	trialEvery = 10 * time.Second
	trialOneIn = 32
	// trialSlack is the share of the remaining time that a trial may take by estimate.
	trialSlack = 0.5
)

// needsTrial reports whether the target's limit was reduced to one slot and the target
// is idle. Without an occasional request its recovery would not be noticed.
func needsTrial(t *target, v *view) bool {
	return v.limit == 1 && t.prior.limit > 1 && v.inFlight == 0 && v.queued == 0
}

// trial returns a target that should be tried with this request, or nil. Only requests
// that tolerate a slow target are used: short, idempotent, below the top tier and with
// time to spare.
func (r *Router) trial(q *query) *target {
	req := q.req
	if req.Tier == 0 || !req.Idempotent || q.long || len(q.pool.trialTargets) == 0 {
		return nil
	}
	if r.random.IntN(trialOneIn) != 0 {
		return nil
	}
	t := q.pool.trialTargets[r.random.IntN(len(q.pool.trialTargets))]
	if !t.lastTrial.IsZero() && q.now.Sub(t.lastTrial) < trialEvery {
		return nil
	}
	c := r.singleCandidate(t)
	if !r.consider(q, c) || !needsTrial(t, &c.view) || c.finish > trialSlack*q.remaining {
		return nil
	}
	t.lastTrial = q.now
	return t
}
