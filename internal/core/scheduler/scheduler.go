// Package scheduler assigns the slots of the targets that this entry
// schedules: it queues offers, grants slots, displaces and preempts work of
// lower tiers for higher ones, and refuses requests for lack of capacity only
// under a tier floor (the lowest tier that a pool admits; see package tierfloor).
//
// Invariants, each with the failure that it prevents:
//
//   - A grant occupies its slot until Done, Withdraw or its expiry, and it
//     expires here after it expires at the owner: the owner counts from when it
//     sent the offer, this scheduler from now. If both counted from the grant,
//     an owner that was paused could use a grant whose slot has been reassigned.
//   - A reported run counts, whether or not it was granted here. Otherwise a
//     report that crosses an expiry leaves the target one over its limit for good.
//   - Nothing of a lower tier is granted at a target while a higher tier waits
//     there, even if the prefill budget holds the higher one back: a steady
//     stream of short low-tier work would hold it back forever.
//   - A preempted slot is reassigned only when Done arrives. Granting at once
//     would put two requests into one slot of the engine, whose own queue has no
//     tiers.
//   - Tier t is refused for load with PoolWide only while a floor at t or above
//     is in force at every scheduler of the pool and no lower work is left that
//     could free a slot. A local check is not enough: another scheduler may be
//     running tier 3.
//   - A promise to another scheduler does not settle this scheduler's refusals:
//     the requester may have received a FreeTarget from a third scheduler, which then
//     still serves lower work.
//   - After a takeover nothing is granted until the owners' reports have arrived
//     or the wait has passed, and only the top tier until a floor that the
//     previous scheduler may have promised has ended.
package scheduler

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/core/tierfloor"
)

// Settings are the scheduling rules of the document in force.
type Settings struct {
	// QueuePerTarget bounds the offers that wait at one target.
	QueuePerTarget int
	// GrantTime is how long a grant is valid, FloorTime how long a floor is in force,
	// FailureTimeout the failure-detection timeout of a peer.
	GrantTime, FloorTime, FailureTimeout time.Duration
	// RefuseEarly enables the immediate refusal of requests that by estimate cannot
	// meet their deadlines.
	RefuseEarly bool
	// Preempt enables the cancellation of idempotent runs of lower tiers at
	// engines for work of higher tiers.
	Preempt bool
	// ShortPromptTokens is the size up to which a prompt is short. If it is 0,
	// all prompts are treated alike.
	ShortPromptTokens int
	// ShortShare is the share of slots and of the prefill budget reserved for
	// short prompts.
	ShortShare float64
	// PrefillBudget bounds the prompt tokens per target that are granted and not
	// yet computed. 0 means no bound.
	PrefillBudget int
	// RetryMin and RetryMax bound the retry delay that refusals advise.
	RetryMin, RetryMax time.Duration
	// Tiers is the number of tiers.
	Tiers int
	// Weights returns an organisation's weight within its tier. If nil, all
	// weights are equal.
	Weights func(org string) float64
}

// Target is the document's description of a target.
type Target struct {
	Name, Pool, Zone string
	MaxInFlight      int
	// PrefillRate is in tokens per second; StepTime is the time between tokens.
	PrefillRate float64
	StepTime    time.Duration
	// Service reports whether the target is a plain service, not an engine.
	Service bool
}

// Estimator estimates the speed of one target.
type Estimator interface {
	// FirstToken returns the time to the first token of a request that starts
	// now, behind queuedPrefill prompt tokens and beside inFlight other requests.
	FirstToken(prompt, cached, queuedPrefill, inFlight int) time.Duration
	// Total returns the time to the complete answer.
	Total(prompt, cached, maxTokens, queuedPrefill, inFlight int) time.Duration
	// Limit returns how many requests the target should hold, or 0 if there is
	// no estimate.
	Limit() int
	// Straggler reports whether the target is much slower than others of its
	// class or than its own history.
	Straggler() bool
	// Observe records the measurements of a run.
	Observe(now time.Time, s message.Sample)
}

// Effect is a message to send. To may be this entry itself.
type Effect struct {
	To      ident.Incarnation
	Message message.Message
}

// Scheduler schedules the targets assigned to this entry. It is not safe for
// concurrent use. Returned effects belong to the caller.
type Scheduler struct {
	self        ident.Incarnation
	random      *rand.Rand
	estimators  func(Target) Estimator
	settings    Settings
	now         time.Time
	quorum      bool
	targets     map[string]*target
	pools       map[string][]*target // each sorted by name
	floors      *tierfloor.Floors
	held        map[heldKey]*heldGroup
	heldKeys    []heldKey // sorted
	timers      timers
	members     []ident.Incarnation
	reports     reportBuffer
	fullReports fullReportBuffer
	// handedOverUntil is, by pool, the time until which the pool counts as having
	// lower work left because one of its targets was handed over.
	handedOverUntil map[string]time.Time
	effects         []Effect
}

// New returns a scheduler without targets. seed seeds its jitter. If estimators
// is nil or returns nil for a target, estimates use the document's figures.
func New(self ident.Incarnation, seed uint64, estimators func(target Target) Estimator) *Scheduler {
	return &Scheduler{
		self:            self,
		random:          rand.New(rand.NewPCG(seed, seed)),
		estimators:      estimators,
		quorum:          true,
		targets:         make(map[string]*target),
		pools:           make(map[string][]*target),
		floors:          tierfloor.New(),
		held:            make(map[heldKey]*heldGroup),
		timers:          newTimers(),
		fullReports:     make(fullReportBuffer),
		handedOverUntil: make(map[string]time.Time),
	}
}

// Configure applies new settings to all later decisions.
func (s *Scheduler) Configure(now time.Time, set Settings) {
	s.advance(now)
	s.settings = set
	s.floors.Configure(set.FloorTime, set.FailureTimeout, set.Tiers)
}

// SetMembers sets the members whose Running reports a takeover waits for.
// Without members, a takeover lasts for the full wait.
func (s *Scheduler) SetMembers(now time.Time, members []ident.Incarnation) {
	s.advance(now)
	s.members = slices.Clone(members)
}

// SetTargets replaces the list of targets that this entry schedules. Owners
// whose offers waited at a target that is no longer listed receive a Refuse for
// which Moved is true, and offer again to its new scheduler.
func (s *Scheduler) SetTargets(now time.Time, list []Target) []Effect {
	s.advance(now)
	next := make(map[string]Target, len(list))
	for _, t := range list {
		next[t.Name] = t
	}
	for _, name := range sortedKeys(s.targets) {
		if _, stays := next[name]; !stays {
			s.handOver(s.targets[name])
		}
	}
	for _, name := range sortedKeys(next) {
		s.addTarget(next[name])
	}
	s.indexPools()
	for _, name := range sortedKeys(s.targets) {
		s.fill(s.targets[name])
	}
	return s.takeEffects()
}

// Moved reports whether a refusal only announces that the target has another
// scheduler now. The owner offers again to that scheduler, as if never refused.
func Moved(r message.Refuse) bool {
	return r.Reason == outcome.ReasonNone && r.Alternative == r.Target
}

func (s *Scheduler) addTarget(desc Target) {
	if t := s.targets[desc.Name]; t != nil {
		t.desc = desc
		return
	}
	t := newTarget(s, desc)
	s.targets[desc.Name] = t
	s.reports.apply(s, t)
	s.fullReports.apply(s, t)
}

func (s *Scheduler) handOver(t *target) {
	for _, o := range t.sortedOffers() {
		s.refuse(o, refusal{reason: outcome.ReasonNone, elsewhere: t.desc.Name})
	}
	for _, r := range t.sortedRuns() {
		t.endRun(r)
	}
	s.handedOverUntil[t.desc.Pool] = s.now.Add(s.settings.FailureTimeout)
	delete(s.targets, t.desc.Name)
}

func (s *Scheduler) indexPools() {
	clear(s.pools)
	for _, name := range sortedKeys(s.targets) {
		t := s.targets[name]
		s.pools[t.desc.Pool] = append(s.pools[t.desc.Pool], t)
	}
}

// SetPool sets the other entries that schedule targets of a pool.
func (s *Scheduler) SetPool(pool string, others []ident.Incarnation) {
	others = slices.DeleteFunc(slices.Clone(others), func(x ident.Incarnation) bool { return x == s.self })
	s.floors.SetPool(s.now, pool, others)
}

// SetQuorum sets whether this entry has contact with more than half of the
// known members. Without a quorum only the top tier is served here: other
// schedulers rely on that when they refuse higher work without a reply from
// this one.
func (s *Scheduler) SetQuorum(now time.Time, ok bool) {
	s.advance(now)
	s.quorum = ok
}

// SetLimitShare restricts a target to a fixed share of its limit, at least one slot. It
// is for policies without a scheduler and for entries that lost contact with
// the scheduler. 1 is the full limit.
func (s *Scheduler) SetLimitShare(name string, share float64) {
	if t := s.targets[name]; t != nil {
		t.limitShare = share
	}
}

// SetAvailable sets whether a target accepts work. At a target that is leaving
// or has terminated nothing more is granted, and waiting offers are refused so
// that their owners try other targets.
func (s *Scheduler) SetAvailable(now time.Time, name string, available bool) []Effect {
	s.advance(now)
	t := s.targets[name]
	if t == nil || t.available == available {
		return s.takeEffects()
	}
	s.setAvailable(t, available)
	return s.takeEffects()
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

// Tick advances the time: grants and offers expire, exchanges end, retries
// begin.
func (s *Scheduler) Tick(now time.Time) []Effect {
	s.advance(now)
	s.applyQuorum()
	s.handleResults(s.floors.Tick(s.now))
	s.timers.run(s)
	s.retryHeld()
	for _, list := range s.poolLists() {
		for _, t := range list {
			s.fill(t)
		}
	}
	return s.takeEffects()
}

// applyQuorum refuses offers that wait below the top tier while there is no
// quorum.
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
	for _, name := range sortedKeys(s.pools) {
		lists = append(lists, s.pools[name])
	}
	return lists
}

// advance moves the scheduler's time forward, never back.
func (s *Scheduler) advance(now time.Time) {
	if now.After(s.now) {
		s.now = now
	}
}

func (s *Scheduler) send(to ident.Incarnation, m message.Message) {
	s.effects = append(s.effects, Effect{To: to, Message: m})
}

func (s *Scheduler) takeEffects() []Effect {
	out := s.effects
	s.effects = nil
	return out
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// topTier is the highest tier.
const topTier = request.Tier(0)
