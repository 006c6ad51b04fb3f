package floors

import (
	"slices"
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/request"
)

// pool is the state of one pool's floors.
type pool struct {
	name   string
	others []ident.Incarnation
	former []former
	// promised are floors given to others and to this scheduler's own
	// exchanges, by tier; obtained are floors that stand for refusing.
	promised  []promise
	obtained  []standing
	exchanges []*exchange
	fall      promise
}

type former struct {
	who   ident.Incarnation
	until time.Time
}

type promise struct {
	tier  request.Tier
	until time.Time
}

type standing struct {
	tier  request.Tier
	until time.Time
	lower bool
}

// exchange is one round of asks. waiting are those who have not answered.
type exchange struct {
	tier    request.Tier
	seq     uint64
	sent    time.Time
	valid   time.Duration
	waiting []ident.Incarnation
	room    bool
	lower   bool
	cutting bool
	dear    bool
	// least is the room that costs least of those that cost something; it is
	// taken at the end, if there was none for nothing.
	least Candidate
	free  bool
	// stale: a scheduler joined the pool after the asks were sent.
	stale bool
}

func (e *exchange) consider(c Candidate) {
	if c.Room != "" && (e.least.Room == "" || c.Cost < e.least.Cost) {
		e.least = c
		e.room = true
	}
}

func (e *exchange) answered(who ident.Incarnation) bool {
	at, found := slices.BinarySearch(e.waiting, who)
	if found {
		e.waiting = slices.Delete(e.waiting, at, at+1)
	}
	return found
}

// setOthers replaces the members. A new member has promised nothing, so the
// floors obtained without it no longer allow a refusal; kept, they would let a
// high request be refused while the newcomer serves low work.
func (p *pool) setOthers(others []ident.Incarnation, keepUntil time.Time) {
	next := slices.Clone(others)
	slices.Sort(next)
	next = slices.Compact(next)
	for _, who := range p.others {
		if !slices.Contains(next, who) {
			p.former = append(p.former, former{who: who, until: keepUntil})
		}
	}
	joined := false
	for _, who := range next {
		if !slices.Contains(p.others, who) {
			joined = true
		}
	}
	p.former = slices.DeleteFunc(p.former, func(x former) bool { return slices.Contains(next, x.who) })
	p.others = next
	if !joined {
		return
	}
	p.obtained = nil
	for _, e := range p.exchanges {
		e.stale = true
	}
}

func (p *pool) forget(who ident.Incarnation) {
	p.others = slices.DeleteFunc(p.others, func(x ident.Incarnation) bool { return x == who })
	p.former = slices.DeleteFunc(p.former, func(x former) bool { return x.who == who })
}

func (p *pool) dropFormer(now time.Time) {
	p.former = slices.DeleteFunc(p.former, func(x former) bool { return now.After(x.until) })
}

func (p *pool) members() []ident.Incarnation {
	all := slices.Clone(p.others)
	for _, x := range p.former {
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

func (p *pool) stillAsked(e *exchange) bool { return !e.stale }

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

func (p *pool) stand(s standing) {
	p.obtained = slices.DeleteFunc(p.obtained, func(x standing) bool { return x.tier == s.tier })
	p.obtained = append(p.obtained, s)
}

// standingFor finds a floor at t or above that stands, one without lower work
// left under it by preference, then the longest.
func (p *pool) standingFor(now time.Time, t request.Tier) (standing, bool) {
	var best standing
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
	a := Admission{Floor: Lowest, Pause: Lowest, Calm: Lowest}
	if len(p.promised) > 0 {
		a.Floor = p.promised[0].tier
	}
	if len(p.exchanges) > 0 {
		a.Pause = p.exchanges[0].tier
	}
	if !p.fall.until.IsZero() {
		a.Calm = p.fallen(now, step, tiers)
	}
	return a
}

// expire drops promises that have ended; the strictest of them begins to fall.
func (p *pool) expire(now time.Time, step time.Duration) {
	for len(p.promised) > 0 && !now.Before(p.promised[0].until) {
		ended := p.promised[0]
		p.promised = p.promised[1:]
		if p.fall.until.IsZero() || !p.fall.tier.Above(ended.tier) {
			p.fall = promise{tier: ended.tier + 1, until: ended.until.Add(step)}
		}
	}
	p.promised = slices.DeleteFunc(p.promised, func(x promise) bool { return !now.Before(x.until) })
}

// fallen lets the fall go on and returns where it stands.
func (p *pool) fallen(now time.Time, step time.Duration, tiers int) request.Tier {
	for !now.Before(p.fall.until) && int(p.fall.tier) < tiers-1 && step > 0 {
		p.fall.tier++
		p.fall.until = p.fall.until.Add(step)
	}
	if int(p.fall.tier) >= tiers-1 || step <= 0 {
		p.fall = promise{}
		return Lowest
	}
	return p.fall.tier
}
