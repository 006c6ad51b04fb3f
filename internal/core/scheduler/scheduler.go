// Package scheduler gives out the places at the targets that this entry
// schedules: it queues offers, grants places, displaces and preempts lower
// work for higher, and refuses for want of capacity only under a floor.
//
// Invariants, each with the schedule that breaks the alternative:
//
//   - A grant occupies its place until Done, Withdraw or its lapse, and its lapse
//     here comes after its lapse at the owner: the owner counts from when it sent
//     the ask, we from now. Counting both from the grant would let an owner that
//     was paused use a grant whose place has been given away.
//   - A run that was reported counts, whatever was granted. Otherwise a report
//     that crosses a lapse leaves the target one over its limit for good.
//   - Nothing of a lower tier is granted at a target while something higher waits
//     there, not even where the higher one is held back by the prefill budget: a
//     steady stream of short low work would keep it back for ever.
//   - A preempted place is given out only when Done comes. Granting at once
//     would put two requests where the engine has one place, and its own queue
//     knows no tiers.
//   - Tier t is refused for load with Settled only while a floor at t or above
//     stands at every scheduler of the pool and no lower work that could make
//     room is left. A local verdict is not enough: the neighbour may run tier 3.
//   - A promise to another scheduler does not settle our own refusals: the asker
//     may have got Room from a third, which then still serves lower work.
//   - After a takeover nothing is granted until the owners' reports came or the
//     wait passed, and only the top tier until a floor that the former scheduler
//     may have promised has ended.
package scheduler

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"sycamoretrail/internal/core/floors"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
)

// Settings are the rules in force, from the document.
type Settings struct {
	// QueuePerTarget bounds the offers that wait at one target.
	QueuePerTarget int
	// Grant is how long a grant is good, Floor how long a floor stands, Silence
	// the limit after which a peer counts as out of touch.
	Grant, Floor, Silence time.Duration
	// Early: refuse at once what the estimate says cannot be in time.
	Early bool
	// Preempt: cancel lower idempotent runs of engines for higher work.
	Preempt bool
	// ShortPromptTokens: prompts up to this size are short; 0: no distinction.
	ShortPromptTokens int
	// ShortShare is the part of places and of the prefill budget kept for them.
	ShortShare float64
	// PrefillBudget bounds prompt tokens granted and not yet computed per
	// target; 0: no bound.
	PrefillBudget int
	// RetryMin and RetryMax bound the advice when to come back.
	RetryMin, RetryMax time.Duration
	// Tiers is the number of tiers.
	Tiers int
	// Weights gives an organisation's share within its tier; nil: all equal.
	Weights func(org string) float64
}

// Target is what the document says of a target.
type Target struct {
	Name, Pool, Zone string
	MaxInFlight      int
	// PrefillRate is in tokens per second, StepTime between tokens.
	PrefillRate float64
	StepTime    time.Duration
	// Service: a plain service, not an engine.
	Service bool
}

// Estimator knows the speed of one target.
type Estimator interface {
	// FirstToken is the time to the first token of a request that starts now,
	// behind queuedPrefill prompt tokens and beside inFlight others.
	FirstToken(prompt, cached, queuedPrefill, inFlight int) time.Duration
	// Total is the time to the whole answer.
	Total(prompt, cached, maxTokens, queuedPrefill, inFlight int) time.Duration
	// Limit is how many requests the target should hold; 0: no opinion.
	Limit() int
	// Straggler: the target is much slower than its kind or its own past.
	Straggler() bool
	// Observe takes what a run showed.
	Observe(now time.Time, s message.Sample)
}

// Effect is a message to send. To may be this entry itself.
type Effect struct {
	To      ident.Incarnation
	Message message.Message
}

// Scheduler schedules the targets placed at this entry. It is not safe for
// concurrent use. Returned effects belong to the caller.
type Scheduler struct {
	self       ident.Incarnation
	random     *rand.Rand
	estimators func(Target) Estimator
	set        Settings
	now        time.Time
	quorum     bool
	targets    map[string]*target
	pools      map[string][]*target // each sorted by name
	floors     *floors.Floors
	holdings   map[holdKey]*holding
	holdKeys   []holdKey // sorted
	timers     timers
	members    []ident.Incarnation
	reports    reportBuffer
	early      earlyFull
	// parted is until when a pool counts as having lower work left, since a
	// target of it was handed over.
	parted map[string]time.Time
	out    []Effect
}

// New returns a scheduler without targets. seed feeds its jitter. estimators
// may be nil, or return nil for a target: then the document's figures serve.
func New(self ident.Incarnation, seed uint64, estimators func(target Target) Estimator) *Scheduler {
	return &Scheduler{
		self:       self,
		random:     rand.New(rand.NewPCG(seed, seed)),
		estimators: estimators,
		quorum:     true,
		targets:    make(map[string]*target),
		pools:      make(map[string][]*target),
		floors:     floors.New(),
		holdings:   make(map[holdKey]*holding),
		timers:     newTimers(),
		early:      make(earlyFull),
		parted:     make(map[string]time.Time),
	}
}

// Configure puts settings in force for all that is decided from now on.
func (s *Scheduler) Configure(now time.Time, set Settings) {
	s.tick(now)
	s.set = set
	s.floors.Configure(set.Floor, set.Silence, set.Tiers)
}

// SetMembers says whose Running reports a takeover waits for. Optional: without
// it a takeover lasts the whole wait.
func (s *Scheduler) SetMembers(now time.Time, members []ident.Incarnation) {
	s.tick(now)
	s.members = slices.Clone(members)
}

// SetTargets says which targets are placed at this entry now. Owners whose
// offers waited at a target that was taken away get a Refuse for which Moved
// is true, and offer again to its new scheduler.
func (s *Scheduler) SetTargets(now time.Time, list []Target) []Effect {
	s.tick(now)
	next := make(map[string]Target, len(list))
	for _, t := range list {
		next[t.Name] = t
	}
	for _, name := range sortedNames(s.targets) {
		if _, stays := next[name]; !stays {
			s.handOver(s.targets[name])
		}
	}
	for _, name := range sortedNames(next) {
		s.place(next[name])
	}
	s.indexPools()
	for _, name := range sortedNames(s.targets) {
		s.fill(s.targets[name])
	}
	return s.take()
}

// Moved reports whether a refusal only says that the target has another
// scheduler now: the owner offers again to that one, as if never refused.
func Moved(r message.Refuse) bool {
	return r.Reason == outcome.ReasonNone && r.Elsewhere == r.Target
}

func (s *Scheduler) place(desc Target) {
	if t := s.targets[desc.Name]; t != nil {
		t.desc = desc
		return
	}
	t := newTarget(s, desc)
	s.targets[desc.Name] = t
	s.reports.apply(s, t)
	s.early.apply(s, t)
}

func (s *Scheduler) handOver(t *target) {
	for _, o := range t.sortedOffers() {
		s.refuse(o, refusal{reason: outcome.ReasonNone, elsewhere: t.desc.Name})
	}
	for _, r := range t.sortedRuns() {
		t.endRun(r)
	}
	s.parted[t.desc.Pool] = s.now.Add(s.set.Silence)
	delete(s.targets, t.desc.Name)
}

func (s *Scheduler) indexPools() {
	clear(s.pools)
	for _, name := range sortedNames(s.targets) {
		t := s.targets[name]
		s.pools[t.desc.Pool] = append(s.pools[t.desc.Pool], t)
	}
}

// SetPool says which other entries schedule targets of a pool.
func (s *Scheduler) SetPool(pool string, others []ident.Incarnation) {
	others = slices.DeleteFunc(slices.Clone(others), func(x ident.Incarnation) bool { return x == s.self })
	s.floors.SetPool(s.now, pool, others)
}

// SetQuorum says whether this entry is in touch with more than half of the
// known members. Without it only the top tier is served here: the others count
// our silence as just that when they refuse higher work.
func (s *Scheduler) SetQuorum(now time.Time, ok bool) {
	s.tick(now)
	s.quorum = ok
}

// Scale uses only a fixed share of a target's limit, at least one place; for
// the baselines and for entries that lost the scheduler. 1 is the whole.
func (s *Scheduler) Scale(name string, share float64) {
	if t := s.targets[name]; t != nil {
		t.share = share
	}
}

// SetAvailable says whether a target may get work. One that leaves or died
// grants nothing more; what waits there is refused, so that owners try others.
func (s *Scheduler) SetAvailable(now time.Time, name string, available bool) []Effect {
	s.tick(now)
	t := s.targets[name]
	if t == nil || t.available == available {
		return s.take()
	}
	s.setAvailable(t, available)
	return s.take()
}

func (s *Scheduler) setAvailable(t *target, available bool) {
	t.available = available
	if available {
		s.fill(t)
		return
	}
	for _, o := range t.sortedOffers() {
		s.refuse(o, refusal{reason: outcome.ReasonNoTarget})
	}
}

// Tick lets time pass: grants and offers lapse, exchanges end, retries begin.
func (s *Scheduler) Tick(now time.Time) []Effect {
	s.tick(now)
	s.applyQuorum()
	s.verdicts(s.floors.Tick(s.now))
	s.timers.run(s)
	s.retryHoldings()
	for _, list := range s.poolLists() {
		for _, t := range list {
			s.fill(t)
		}
	}
	return s.take()
}

// applyQuorum refuses what waits below the top tier while out of touch.
func (s *Scheduler) applyQuorum() {
	if s.quorum {
		return
	}
	for _, list := range s.poolLists() {
		for _, t := range list {
			for _, o := range t.sortedOffers() {
				if o.Tier > topTier {
					s.refuseForLoad(o, outcome.ReasonNotReady)
				}
			}
		}
	}
}

func (s *Scheduler) poolLists() [][]*target {
	lists := make([][]*target, 0, len(s.pools))
	for _, name := range sortedNames(s.pools) {
		lists = append(lists, s.pools[name])
	}
	return lists
}

// tick moves the scheduler's time on; it never goes back.
func (s *Scheduler) tick(now time.Time) {
	if now.After(s.now) {
		s.now = now
	}
}

func (s *Scheduler) send(to ident.Incarnation, m message.Message) {
	s.out = append(s.out, Effect{To: to, Message: m})
}

func (s *Scheduler) take() []Effect {
	out := s.out
	s.out = nil
	return out
}

func sortedNames[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// topTier is the highest tier.
const topTier = request.Tier(0)
