package tierfloor

import (
	"slices"
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/request"
)

// pool is the state of one pool's floors.
type pool struct {
	name     string
	others   []ident.Incarnation
	departed []departedMember
	// promised are the floors promised to others and to this scheduler's own
	// exchanges, sorted by tier. obtained are the floors under which this scheduler
	// may refuse.
	promised  []promise
	obtained  []obtainedFloor
	exchanges []*exchange
	recovery  promise
}

type departedMember struct {
	who   ident.Incarnation
	until time.Time
}

type promise struct {
	tier  request.Tier
	until time.Time
}

type obtainedFloor struct {
	tier  request.Tier
	until time.Time
	lower bool
}

// exchange is one round of requests to the other schedulers. pending are those
// that have not replied.
type exchange struct {
	tier        request.Tier
	seq         uint64
	sent        time.Time
	valid       time.Duration
	pending     []ident.Incarnation
	hasCapacity bool
	lower       bool
	preempting  bool
	spared      bool
	// cheapest is the candidate of least cost. It is used at the end of the
	// exchange if no target could accept the request without preemption (free).
	cheapest Candidate
	free     bool
	// stale reports that a scheduler joined the pool after the requests were sent.
	stale bool
}

func (e *exchange) consider(c Candidate) {
	if c.Target != "" && (e.cheapest.Target == "" || c.Cost < e.cheapest.Cost) {
		e.cheapest = c
		e.hasCapacity = true
	}
}

func (e *exchange) markReplied(who ident.Incarnation) bool {
	at, found := slices.BinarySearch(e.pending, who)
	if found {
		e.pending = slices.Delete(e.pending, at, at+1)
	}
	return found
}

// setOthers replaces the members. A new member has promised nothing, so the
// floors obtained without it no longer allow a refusal: under them a high
// request could be refused while the new member serves low work.
func (p *pool) setOthers(others []ident.Incarnation, keepUntil time.Time) {
	next := slices.Clone(others)
	slices.Sort(next)
	next = slices.Compact(next)
	for _, who := range p.others {
		if !slices.Contains(next, who) {
			p.departed = append(p.departed, departedMember{who: who, until: keepUntil})
		}
	}
	joined := false
	for _, who := range next {
		if !slices.Contains(p.others, who) {
			joined = true
		}
	}
	p.departed = slices.DeleteFunc(p.departed, func(x departedMember) bool { return slices.Contains(next, x.who) })
	p.others = next
	if !joined {
		return
	}
	p.obtained = nil
	for _, e := range p.exchanges {
		e.stale = true
	}
}

func (p *pool) removeMember(who ident.Incarnation) {
	p.others = slices.DeleteFunc(p.others, func(x ident.Incarnation) bool { return x == who })
	p.departed = slices.DeleteFunc(p.departed, func(x departedMember) bool { return x.who == who })
}

func (p *pool) dropDeparted(now time.Time) {
	p.departed = slices.DeleteFunc(p.departed, func(x departedMember) bool { return now.After(x.until) })
}

func (p *pool) members() []ident.Incarnation {
	all := slices.Clone(p.others)
	for _, x := range p.departed {
		all = append(all, x.who)
	}
	slices.Sort(all)
	return all
}

func (p *pool) exchange(t request.Tier) *exchange {
	for _, e := range p.exchanges {
		if e.tier == t {
			return e
		}
	}
	return nil
}

func (p *pool) addExchange(e *exchange) {
	p.exchanges = append(p.exchanges, e)
	slices.SortFunc(p.exchanges, func(a, b *exchange) int { return int(a.tier) - int(b.tier) })
}

func (p *pool) endExchange(e *exchange) {
	p.exchanges = slices.DeleteFunc(p.exchanges, func(x *exchange) bool { return x == e })
}

func (p *pool) askedAll(e *exchange) bool { return !e.stale }

func (p *pool) promise(t request.Tier, until time.Time) {
	for i := range p.promised {
		if p.promised[i].tier == t {
			if until.After(p.promised[i].until) {
				p.promised[i].until = until
			}
			return
		}
	}
	p.promised = append(p.promised, promise{tier: t, until: until})
	slices.SortFunc(p.promised, func(a, b promise) int { return int(a.tier) - int(b.tier) })
}

func (p *pool) addObtained(s obtainedFloor) {
	p.obtained = slices.DeleteFunc(p.obtained, func(x obtainedFloor) bool { return x.tier == s.tier })
	p.obtained = append(p.obtained, s)
}

// obtainedFor returns a floor at t or above that is in force: preferably one
// without lower work left under it, then the one that ends last.
func (p *pool) obtainedFor(now time.Time, t request.Tier) (obtainedFloor, bool) {
	var best obtainedFloor
	found := false
	for _, s := range p.obtained {
		if t.Above(s.tier) || !now.Before(s.until) {
			continue
		}
		better := !found || best.lower && !s.lower || best.lower == s.lower && s.until.After(best.until)
		if better {
			best = s
			found = true
		}
	}
	return best, found
}

func (p *pool) admission(now time.Time, step time.Duration, tiers int) Admission {
	p.expire(now, step)
	a := Admission{Floor: NoFloor, GrantFloor: NoFloor, QueueFloor: NoFloor}
	if len(p.promised) > 0 {
		a.Floor = p.promised[0].tier
	}
	if len(p.exchanges) > 0 {
		a.GrantFloor = p.exchanges[0].tier
	}
	if !p.recovery.until.IsZero() {
		a.QueueFloor = p.recoveryTier(now, step, tiers)
	}
	return a
}

// expire deletes promises that have ended. The recovery starts from the
// strictest of them.
func (p *pool) expire(now time.Time, step time.Duration) {
	for len(p.promised) > 0 && !now.Before(p.promised[0].until) {
		ended := p.promised[0]
		p.promised = p.promised[1:]
		if p.recovery.until.IsZero() || !p.recovery.tier.Above(ended.tier) {
			p.recovery = promise{tier: ended.tier + 1, until: ended.until.Add(step)}
		}
	}
	p.promised = slices.DeleteFunc(p.promised, func(x promise) bool { return !now.Before(x.until) })
}

// recoveryTier advances the recovery and returns the lowest tier that may wait.
func (p *pool) recoveryTier(now time.Time, step time.Duration, tiers int) request.Tier {
	for !now.Before(p.recovery.until) && int(p.recovery.tier) < tiers-1 && step > 0 {
		p.recovery.tier++
		p.recovery.until = p.recovery.until.Add(step)
	}
	if int(p.recovery.tier) >= tiers-1 || step <= 0 {
		p.recovery = promise{}
		return NoFloor
	}
	return p.recovery.tier
}
