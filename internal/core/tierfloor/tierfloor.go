// Package tierfloor implements the exchange between the schedulers of a pool
// before one of them refuses a request for lack of capacity.
//
// A tier floor at tier t means that nothing below t is admitted in the pool. The
// scheduler that has to refuse a request asks all others. Each either names a
// target that can accept the request, or promises the floor for a limited time.
// When all have promised, the floor is in force at the requester, which may then
// refuse tier t and everything below.
//
// Time: the requester counts a promise from when it sent its request, the
// promising scheduler from when it received it. The latter therefore always ends
// later, whatever the transit time, and no clocks need to agree. If the requester
// counted from the reply's arrival, a slow reply would make it refuse high work
// after the other scheduler serves low work again.
//
// Failure detection: a scheduler that did not reply within the failure-detection
// timeout counts as having promised. This is safe because a scheduler that has
// lost contact with half or more of the members admits only the top tier after
// the same timeout, by its own clock. The requester waits a margin longer, since
// clocks run at different rates.
package tierfloor

import (
	"slices"
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/request"
)

// NoFloor is below every tier, and means that no floor is in force.
const NoFloor = request.Tier(255)

const (
	// marginDivisor gives the part of the failure-detection timeout that
	// the requester adds to it, for clocks that run at different rates and for a
	// late tick.
	marginDivisor = 10
	// maxPromise bounds the time of a promise, whatever is requested.
	maxPromise = 10 * time.Second
	// recoveryDivisor gives the part of a floor's time that each step of the
	// recovery takes.
	recoveryDivisor = 2
)

// Floors holds the promises given and obtained by one scheduler.
type Floors struct {
	seq      uint64
	duration time.Duration
	timeout  time.Duration
	tiers    int
	pools    map[string]*pool
	names    []string
}

// New returns Floors without pools.
func New() *Floors {
	return &Floors{pools: make(map[string]*pool)}
}

// Configure sets how long a floor is in force, the failure-detection timeout and
// the number of tiers.
func (f *Floors) Configure(duration, failureTimeout time.Duration, tiers int) {
	f.duration = min(duration, maxPromise)
	f.timeout = failureTimeout
	f.tiers = tiers
}

// ReplyTimeout returns how long a requester waits for replies.
func (f *Floors) ReplyTimeout() time.Duration { return f.timeout + f.timeout/marginDivisor }

// SetPool sets the other schedulers of a pool. A member that is no longer listed
// is still asked for the failure-detection timeout, since it may not know yet
// that its targets have another scheduler, and may serve low work meanwhile.
// PeerTerminated ends that.
func (f *Floors) SetPool(now time.Time, name string, others []ident.Incarnation) {
	f.pool(name).setOthers(others, now.Add(f.timeout))
}

// PeerTerminated records that a process has ended and serves nothing any more.
// It returns the results of the exchanges that this ends.
func (f *Floors) PeerTerminated(now time.Time, who ident.Incarnation) []Result {
	var results []Result
	for _, name := range f.names {
		p := f.pools[name]
		p.removeMember(who)
		for _, e := range slices.Clone(p.exchanges) {
			if e.markReplied(who) {
				results = f.conclude(now, p, e, results)
			}
		}
	}
	return results
}

// Result is a result of an exchange.
type Result struct {
	Pool string
	Tier request.Tier
	// Target can accept the request; the exchange may continue. Cost is the tokens
	// computed by the run that has to be cancelled there, or 0 if none has to be.
	Target string
	Cost   int
	// Ended reports that all schedulers have replied or timed out. InForce reports
	// that the floor is in force: no target can accept the request, not even by
	// preemption, and no scheduler has joined since the start.
	Ended   bool
	InForce bool
	// Preempting reports that some schedulers are cancelling lower runs.
	Preempting bool
	// Spared reports that some schedulers spared lower runs that have cost far
	// more than the request.
	Spared bool
}

// Candidate is a target that could accept a request if a run there were
// cancelled, and the cost of that run, in tokens and at least 1.
type Candidate struct {
	Target string
	Cost   int
}

// Begin is BeginWith for a requester that has no candidate of its own.
func (f *Floors) Begin(now time.Time, name string, t request.Tier, need message.Offer) (message.FloorRequest, []ident.Incarnation, []Result) {
	return f.BeginWith(now, name, t, need, Candidate{})
}

// BeginWith starts an exchange, unless one is running for the same pool and tier.
// It returns the request and its addressees. If there are none, it returns the
// results at once. own is the requester's own candidate.
func (f *Floors) BeginWith(now time.Time, name string, t request.Tier, need message.Offer, own Candidate) (message.FloorRequest, []ident.Incarnation, []Result) {
	p := f.pool(name)
	if p.exchange(t) != nil {
		return message.FloorRequest{}, nil, nil
	}
	p.dropDeparted(now)
	f.seq++
	e := &exchange{tier: t, seq: f.seq, sent: now, valid: f.duration, pending: p.members()}
	e.consider(own)
	p.addExchange(e)
	ask := message.FloorRequest{Seq: e.seq, Pool: name, Tier: t, For: f.duration, Need: need}
	if len(e.pending) == 0 {
		return ask, nil, f.conclude(now, p, e, nil)
	}
	return ask, slices.Clone(e.pending), nil
}

// Reply handles a reply. A reply to a previous exchange is ignored.
func (f *Floors) Reply(now time.Time, from ident.Incarnation, r message.FloorReply) []Result {
	p := f.pools[r.Pool]
	if p == nil {
		return nil
	}
	e := p.exchange(r.Tier)
	if e == nil || e.seq != r.Seq || !e.markReplied(from) {
		return nil
	}
	var results []Result
	if r.FreeTarget != "" && r.PreemptionCost > 0 {
		e.consider(Candidate{Target: r.FreeTarget, Cost: r.PreemptionCost})
	} else if r.FreeTarget != "" {
		e.hasCapacity, e.free = true, true
		results = append(results, Result{Pool: r.Pool, Tier: r.Tier, Target: r.FreeTarget})
	} else {
		e.valid = min(e.valid, r.Valid)
		e.lower = e.lower || r.LowerRuns
		e.preempting = e.preempting || r.Preempting
		e.spared = e.spared || r.Spared
	}
	return f.conclude(now, p, e, results)
}

// Tick ends the exchanges whose reply timeout has passed.
func (f *Floors) Tick(now time.Time) []Result {
	var results []Result
	for _, name := range f.names {
		p := f.pools[name]
		for _, e := range slices.Clone(p.exchanges) {
			if now.Sub(e.sent) <= f.ReplyTimeout() {
				continue
			}
			e.pending = nil
			results = f.conclude(now, p, e, results)
		}
	}
	return results
}

func (f *Floors) conclude(now time.Time, p *pool, e *exchange, results []Result) []Result {
	if len(e.pending) > 0 {
		return results
	}
	p.endExchange(e)
	if e.cheapest.Target != "" && !e.free {
		results = append(results, Result{Pool: p.name, Tier: e.tier, Target: e.cheapest.Target, Cost: e.cheapest.Cost})
	}
	until := e.sent.Add(e.valid)
	inForce := !e.hasCapacity && p.askedAll(e)
	if inForce {
		p.addObtained(obtainedFloor{tier: e.tier, until: until, lower: e.lower})
		p.promise(e.tier, until)
	}
	return append(results, Result{Pool: p.name, Tier: e.tier, Ended: true, InForce: inForce, Preempting: e.preempting, Spared: e.spared})
}

// Promise records a floor that this scheduler promises to another, and returns
// how long the promise is valid from now.
func (f *Floors) Promise(now time.Time, name string, t request.Tier, duration time.Duration) time.Duration {
	duration = min(duration, maxPromise)
	f.pool(name).promise(t, now.Add(duration))
	return duration
}

// Admission is the set of limits on what a pool's targets may admit here now.
type Admission struct {
	// Floor is the lowest tier admitted. Offers that wait below it are refused.
	Floor request.Tier
	// GrantFloor is the lowest tier granted while an exchange runs.
	GrantFloor request.Tier
	// QueueFloor is the lowest tier that may wait. Requests below it are admitted
	// into free slots only. After a floor has ended, QueueFloor moves down by one
	// tier at a time, so that the lower tiers do not all return at once and have
	// to be displaced again.
	QueueFloor request.Tier
}

// Admission returns the limits in force here for a pool.
func (f *Floors) Admission(now time.Time, name string) Admission {
	p := f.pools[name]
	if p == nil {
		return Admission{Floor: NoFloor, GrantFloor: NoFloor, QueueFloor: NoFloor}
	}
	return p.admission(now, f.duration/recoveryDivisor, f.tiers)
}

// MayRefuse reports whether this scheduler may refuse tier t in the pool: a
// floor at t or above is in force, and no lower work was left running under it.
func (f *Floors) MayRefuse(now time.Time, name string, t request.Tier) bool {
	p := f.pools[name]
	if p == nil {
		return false
	}
	s, ok := p.obtainedFor(now, t)
	return ok && !s.lower
}

// InForce reports whether a floor for tier t is in force, even if lower work
// that cannot be cancelled is still running under it, and until when.
func (f *Floors) InForce(now time.Time, name string, t request.Tier) (until time.Time, ok bool) {
	p := f.pools[name]
	if p == nil {
		return time.Time{}, false
	}
	s, ok := p.obtainedFor(now, t)
	return s.until, ok
}

// ExchangeRunning reports whether an exchange for the pool and tier is running.
func (f *Floors) ExchangeRunning(name string, t request.Tier) bool {
	p := f.pools[name]
	return p != nil && p.exchange(t) != nil
}

func (f *Floors) pool(name string) *pool {
	p := f.pools[name]
	if p == nil {
		p = &pool{name: name}
		f.pools[name] = p
		at, _ := slices.BinarySearch(f.names, name)
		f.names = slices.Insert(f.names, at, name)
	}
	return p
}

// MarkLowerWork records that lower work which cannot be cancelled runs at the
// requester's own targets, so that the floor does not allow a refusal yet.
func (f *Floors) MarkLowerWork(name string, t request.Tier) {
	p := f.pool(name)
	for i := range p.obtained {
		if p.obtained[i].tier == t {
			p.obtained[i].lower = true
		}
	}
}
