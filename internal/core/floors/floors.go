// Package floors is the exchange between the schedulers of a pool before one of
// them refuses a request for want of capacity.
//
// A floor at tier t means: nothing below t is admitted in the pool. The
// scheduler that must refuse asks all others; each names a target that can take
// the request, or promises the floor for a time. When all have promised, the
// floor stands at the asker, which may then refuse tier t and everything below.
//
// Time: the asker counts a promise from when it sent the ask, the giver from
// when it received it. The giver's end is the later one whatever the transit
// took, so no clocks need to agree. (Counting from the reply's arrival instead
// fails when the reply is slow: the giver would serve low work again while the
// asker still refuses high work.)
//
// Silence: a scheduler that did not answer within the silence limit counts as
// having promised. That holds because a scheduler out of touch with half or
// more of the members admits only the top tier, by its own clock, after the
// same limit; the asker waits a margin longer, since clocks run apart.
package floors

import (
	"slices"
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/request"
)

// Lowest is a tier that nothing is below of: no floor.
const Lowest = request.Tier(255)

const (
	// marginPart of the silence limit is added to it by the asker, for clocks
	// that run at different rates and for a late tick.
	marginPart = 10
	// maxHold bounds a promise, whatever the asker wants.
	maxHold = 10 * time.Second
	// fallPart of a floor's time is spent on each step of its fall.
	fallPart = 2
)

// Floors holds the promises given and obtained by one scheduler.
type Floors struct {
	seq     uint64
	hold    time.Duration
	silence time.Duration
	tiers   int
	pools   map[string]*pool
	names   []string
}

// New returns Floors without pools.
func New() *Floors {
	return &Floors{pools: make(map[string]*pool)}
}

// Configure sets how long a floor stands, the silence limit, and the number of
// tiers.
func (f *Floors) Configure(hold, silence time.Duration, tiers int) {
	f.hold = min(hold, maxHold)
	f.silence = silence
	f.tiers = tiers
}

// Patience is how long an asker waits for an answer.
func (f *Floors) Patience() time.Duration { return f.silence + f.silence/marginPart }

// SetPool says who else schedules targets of a pool. A member that is gone from
// the list is still asked for the silence limit, since it may not know yet that
// another took its targets and may serve low work meanwhile; Gone ends that.
func (f *Floors) SetPool(now time.Time, name string, others []ident.Incarnation) {
	f.pool(name).setOthers(others, now.Add(f.silence))
}

// Gone says that a process has ended and serves nothing any more. It returns
// the exchanges that this completes.
func (f *Floors) Gone(now time.Time, who ident.Incarnation) []Verdict {
	var verdicts []Verdict
	for _, name := range f.names {
		p := f.pools[name]
		p.forget(who)
		for _, e := range slices.Clone(p.exchanges) {
			if e.answered(who) {
				verdicts = f.conclude(now, p, e, verdicts)
			}
		}
	}
	return verdicts
}

// Verdict is what an exchange has come to.
type Verdict struct {
	Pool string
	Tier request.Tier
	// Room is a target that can take the request; the exchange may go on. Cost is
	// what the run has cost that must be cancelled there, 0 if none must.
	Room string
	Cost int
	// Over: all have answered or were silent. Stands: all promised.
	Over   bool
	Stands bool
	// Cutting: some who promised are cancelling lower runs.
	Cutting bool
	// Dear: some spared lower runs that have cost far more than the request.
	Dear bool
}

// Candidate is a target that could take a request if a run there were cancelled,
// and what that run has cost, in tokens and at least 1.
type Candidate struct {
	Room string
	Cost int
}

// Begin is BeginWith for an asker that has no candidate of its own.
func (f *Floors) Begin(now time.Time, name string, t request.Tier, need message.Offer) (message.FloorAsk, []ident.Incarnation, []Verdict) {
	return f.BeginWith(now, name, t, need, Candidate{})
}

// BeginWith starts an exchange, unless one runs for the same pool and tier. It
// returns the ask and whom to send it to; with nobody to ask, the verdict is
// there at once. own is what the asker could do itself.
func (f *Floors) BeginWith(now time.Time, name string, t request.Tier, need message.Offer, own Candidate) (message.FloorAsk, []ident.Incarnation, []Verdict) {
	p := f.pool(name)
	if p.exchange(t) != nil {
		return message.FloorAsk{}, nil, nil
	}
	p.dropFormer(now)
	f.seq++
	e := &exchange{tier: t, seq: f.seq, sent: now, valid: f.hold, waiting: p.members()}
	e.consider(own)
	p.addExchange(e)
	ask := message.FloorAsk{Seq: e.seq, Pool: name, Tier: t, For: f.hold, Need: need}
	if len(e.waiting) == 0 {
		return ask, nil, f.conclude(now, p, e, nil)
	}
	return ask, slices.Clone(e.waiting), nil
}

// Reply takes an answer. An answer to a former exchange changes nothing.
func (f *Floors) Reply(now time.Time, from ident.Incarnation, r message.FloorReply) []Verdict {
	p := f.pools[r.Pool]
	if p == nil {
		return nil
	}
	e := p.exchange(r.Tier)
	if e == nil || e.seq != r.Seq || !e.answered(from) {
		return nil
	}
	var verdicts []Verdict
	if r.Room != "" && r.Cost > 0 {
		e.consider(Candidate{Room: r.Room, Cost: r.Cost})
	} else if r.Room != "" {
		e.room, e.free = true, true
		verdicts = append(verdicts, Verdict{Pool: r.Pool, Tier: r.Tier, Room: r.Room})
	} else {
		e.valid = min(e.valid, r.Valid)
		e.lower = e.lower || r.Lower
		e.cutting = e.cutting || r.Cutting
		e.dear = e.dear || r.Dear
	}
	return f.conclude(now, p, e, verdicts)
}

// Tick ends the exchanges whose silent members have had their time.
func (f *Floors) Tick(now time.Time) []Verdict {
	var verdicts []Verdict
	for _, name := range f.names {
		p := f.pools[name]
		for _, e := range slices.Clone(p.exchanges) {
			if now.Sub(e.sent) <= f.Patience() {
				continue
			}
			e.waiting = nil
			verdicts = f.conclude(now, p, e, verdicts)
		}
	}
	return verdicts
}

func (f *Floors) conclude(now time.Time, p *pool, e *exchange, verdicts []Verdict) []Verdict {
	if len(e.waiting) > 0 {
		return verdicts
	}
	p.endExchange(e)
	if e.least.Room != "" && !e.free {
		verdicts = append(verdicts, Verdict{Pool: p.name, Tier: e.tier, Room: e.least.Room, Cost: e.least.Cost})
	}
	until := e.sent.Add(e.valid)
	stands := !e.room && p.stillAsked(e)
	if stands {
		p.stand(standing{tier: e.tier, until: until, lower: e.lower})
		p.promise(e.tier, until)
	}
	return append(verdicts, Verdict{Pool: p.name, Tier: e.tier, Over: true, Stands: stands, Cutting: e.cutting, Dear: e.dear})
}

// Promise records a floor that this scheduler has promised to another, and
// returns for how long it will hold from now.
func (f *Floors) Promise(now time.Time, name string, t request.Tier, hold time.Duration) time.Duration {
	hold = min(hold, maxHold)
	f.pool(name).promise(t, now.Add(hold))
	return hold
}

// Admission says what a pool's targets may admit here now.
type Admission struct {
	// Floor: nothing below it is admitted; what waits below it is refused.
	Floor request.Tier
	// Pause: nothing below it is granted while an exchange runs.
	Pause request.Tier
	// Calm: what is below it gets free places only, and does not wait. It
	// falls by a tier at a time after a floor ended, so that the lower tiers
	// do not all come back at once and have to be displaced again.
	Calm request.Tier
}

// Admission reports the floors in force here for a pool.
func (f *Floors) Admission(now time.Time, name string) Admission {
	p := f.pools[name]
	if p == nil {
		return Admission{Floor: Lowest, Pause: Lowest, Calm: Lowest}
	}
	return p.admission(now, f.hold/fallPart, f.tiers)
}

// Standing reports whether this scheduler may refuse tier t in the pool: a
// floor at t or above stands, and no lower work was left running under it.
func (f *Floors) Standing(now time.Time, name string, t request.Tier) bool {
	p := f.pools[name]
	if p == nil {
		return false
	}
	s, ok := p.standingFor(now, t)
	return ok && !s.lower
}

// Covered reports whether a floor for tier t stands, even where lower work
// that cannot be cancelled is still running under it, and until when.
func (f *Floors) Covered(now time.Time, name string, t request.Tier) (until time.Time, ok bool) {
	p := f.pools[name]
	if p == nil {
		return time.Time{}, false
	}
	s, ok := p.standingFor(now, t)
	return s.until, ok
}

// Running reports whether an exchange for the pool and tier runs.
func (f *Floors) Running(name string, t request.Tier) bool {
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

// LeaveLower notes that lower work which cannot be cancelled runs at the
// asker's own targets, so that the floor does not allow a refusal yet.
func (f *Floors) LeaveLower(name string, t request.Tier) {
	p := f.pool(name)
	for i := range p.obtained {
		if p.obtained[i].tier == t {
			p.obtained[i].lower = true
		}
	}
}
