package routing

import "time"

const (
	// trialEvery is how often one owner tries a target that holds one place,
	// trialChance the part of fit requests that look for one.
	trialEvery  = 10 * time.Second
	trialChance = 32
	// trialSlack is how much of the time left the trial may take by estimate.
	trialSlack = 0.5
)

// onTrial reports whether the target was cut to one place and stands idle:
// without a request now and then nobody would see it recover.
func onTrial(t *target, v *view) bool {
	return v.limit == 1 && t.prior.limit > 1 && v.inFlight == 0 && v.queued == 0
}

// trial names a target that should be tried with this request, if the request
// can bear it: short, idempotent, not of the top tier, with time to spare.
func (r *Router) trial(q *query) *target {
	req := q.req
	if req.Tier == 0 || !req.Idempotent || q.long || len(q.pool.trials) == 0 {
		return nil
	}
	if r.random.IntN(trialChance) != 0 {
		return nil
	}
	t := q.pool.trials[r.random.IntN(len(q.pool.trials))]
	if !t.lastTrial.IsZero() && q.now.Sub(t.lastTrial) < trialEvery {
		return nil
	}
	c := r.look(t)
	if !r.consider(q, c) || !onTrial(t, &c.view) || c.finish > trialSlack*q.remaining {
		return nil
	}
	t.lastTrial = q.now
	return t
}
