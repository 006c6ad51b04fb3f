package routing

import (
	"time"

	"sycamoretrail/internal/core/request"
)

// TwoChoices returns the less loaded of two random targets according to their last load
// reports. Entries use it when they decide independently, without schedulers; it uses
// no digests, estimates or affinity.
func (r *Router) TwoChoices(now time.Time, req *request.Request, exclude func(target string) bool) (string, Status) {
	p := r.pools[req.Pool]
	switch {
	case p == nil:
		return "", UnknownPool
	case len(p.targets) == 0:
		return "", EmptyPool
	}
	first, status := r.randomTarget(p, req, exclude, nil)
	if first == nil {
		return "", status
	}
	second, _ := r.randomTarget(p, req, exclude, first)
	if second != nil && second.reportedLoad(now) < first.reportedLoad(now) {
		return second.name, Chosen
	}
	return first.name, Chosen
}

// randomTarget returns the first eligible target other than one, starting from a random
// position in the pool.
func (r *Router) randomTarget(p *pool, req *request.Request, exclude func(string) bool, other *target) (*target, Status) {
	status := EmptyPool
	at := r.random.IntN(len(p.targets))
	for i := range p.targets {
		t := p.targets[(at+i)%len(p.targets)]
		switch {
		case t == other || t.kind != req.Kind:
		case !t.reachable || t.leaving:
			status = max(status, NoneAvailable)
		case exclude != nil && exclude(t.name):
			status = max(status, AllExcluded)
		default:
			return t, Chosen
		}
	}
	return nil, status
}

func (t *target) reportedLoad(now time.Time) float64 {
	if !t.hasReport || now.Sub(t.reportAt) >= reportValidity {
		return 0
	}
	return float64(t.running+t.waiting) / float64(t.prior.limit)
}
