// Package dispatch decides which target runs a request, and when. Targets admit
// requests in order of arrival and have no priorities, so requests are queued here:
// each target receives about as many requests as it runs concurrently, and the
// queue is ordered by priority, by rank and by which requests can still be in time; see order.go.
//
// Entries share the targets and report their requests in flight to each other. The load
// of a target is the sum over all entries and is milliseconds old. Overfilling a target
// briefly is harmless, since it queues a few requests itself.
//
// Time is an argument and nothing here blocks or does I/O, so every decision can
// be replayed. A Scheduler is not safe for concurrent use.
package dispatch

import (
	"cmp"
	"slices"
	"time"

	"sycamoretrail/internal/core/bounded"
	"sycamoretrail/internal/core/catalog"
)

// Request describes a request to the scheduler.
type Request struct {
	ID      string
	Service string
	// Class groups requests of similar duration, such as those of one route.
	Class string
	// Priority is that of the organisation, or that of the route if the organisation has
	// none; Rank is that of the route and decides among equal priorities. 0 is the highest.
	Priority, Rank int
	// RoutePriority means that Priority is that of the route.
	RoutePriority bool
	Arrived       time.Time
	// Objective is the time by which the answer, or its first event, should arrive for
	// its full value; zero means none.
	Objective time.Time
	// Expires is when the caller or the route stops waiting, BeginBy when the answer
	// must have begun because the caller would otherwise disconnect.
	Expires, BeginBy time.Time
	// Gap is the longest acceptable pause between events of a stream; 0 means none
	// declared.
	Gap time.Duration
	// Work is the size of the request as declared by the caller.
	Work Work
	// Organisation is the caller's, empty for none; Weight is its share of a contended pool
	// relative to the others, 0 means none declared.
	Organisation string
	Weight       float64
	// Excess marks a request beyond its organisation's pace.
	Excess bool
	// Waited is how long the caller had been waiting before the request arrived, as when it
	// was refused before and told to return.
	Waited time.Duration
	// Tried lists the incarnations of targets that this request has been sent to.
	Tried []string
	// Version is the only software version that may run the request; nil means any.
	Version *string
}

// Ticket is a request between Submit and Done or Cancel.
type Ticket struct {
	Request
	// sequence preserves the order of arrival among equals.
	sequence uint64
	target   *target
	granted  time.Time
	// queueTime is the adjusted arrival time by which the queue is ordered.
	queueTime time.Time
	// urgency is the urgency when the queue was last ordered, tag the position among the
	// requests of that urgency if several organisations share it, cost the work divided by the
	// organisation's weight.
	urgency   Urgency
	tag, cost float64
	// expected is the estimated time that it occupies a slot at a target of mean speed.
	expected time.Duration
	// latestTimely is the last moment at which sending it should meet the objective.
	latestTimely time.Time
	// ahead is the number of prompt tokens that the target had to read before this
	// request's when it was granted; predicted is the estimated time to its first event.
	ahead     int
	predicted time.Duration
}

// Grant permits sending a request to a target now.
type Grant struct {
	Ticket *Ticket
	Target catalog.Target
	// Load is the known number of requests at the target, including this one.
	Load int
	// LoadAge is the age of the oldest peer report in Load.
	LoadAge time.Duration
	// Backlog is the number of prompt tokens that the target has to read before this
	// request's, PredictedFirst the estimated time to its first event; 0 means unknown.
	Backlog        int
	PredictedFirst time.Duration
	// Borrowed means that the target belongs to another cell, Late that the request is
	// expected to miss its objective.
	Borrowed, Late bool
}

// Reason states why a request was refused.
type Reason string

// The reasons of refusals. In all cases the request has not run.
const (
	// ReasonNoTarget means that the service has no usable target, ReasonNoVersion that it has
	// none of the version that the request is bound to.
	ReasonNoTarget  Reason = "no_target"
	ReasonNoVersion Reason = "no_version"
	// ReasonOverload means that the estimated wait exceeds the remaining time.
	ReasonOverload Reason = "overload"
	// ReasonPaused means that all targets requested a pause longer than it can wait.
	ReasonPaused Reason = "targets_paused"
	// ReasonExpired means that its time ran out in the queue.
	ReasonExpired Reason = "expired_in_queue"
)

// Refusal ends a request that has not run.
type Refusal struct {
	Ticket *Ticket
	Reason Reason
	// RetryAfter is the time after which a slot is likely; at least MinRetryAfter.
	RetryAfter time.Duration
	// Waiting and Wait are the length of the queue and the estimated wait.
	Waiting   int
	Wait      time.Duration
	Admission Admission
}

// Outcome is the outcome of a request at a target.
type Outcome uint8

const (
	// Answered means that a complete answer arrived that is not a failure of the target.
	Answered Outcome = iota
	// Failed means that the target answered with a failure of its own.
	Failed
	// Broken means that the connection ended or stalled before the answer was complete.
	Broken
	// TimedOut means that the target accepted the request and did not answer within the
	// timeout of the attempt.
	TimedOut
	// Oversized means that the target's answer exceeded a bound on its bytes.
	Oversized
	// Unreachable means that no connection could be made, so nothing was sent.
	Unreachable
	// Rejected means that the target declared that it did not run the request.
	Rejected
	// Replaced means that another server answers at the target's address.
	Replaced
	// Abandoned means that the caller disconnected or the time ran out; it implies nothing
	// about the target.
	Abandoned
)

// Report describes the run of a request at a target.
type Report struct {
	Outcome Outcome
	// Latency is the mean time between events of a stream, or the time to the answer
	// of any other request; 0 means unknown.
	Latency time.Duration
	// First is the time to the first event of a stream, Rest the time from there to
	// the end; 0 means unknown.
	First, Rest time.Duration
	// LongestPause is the longest pause between two events of a stream.
	LongestPause time.Duration
}

// Effects are the results of a call: requests to send, requests to refuse, and changes
// of targets' limits.
type Effects struct {
	Grants   []Grant
	Refusals []Refusal
	Limits   []LimitChange
}

// Config identifies the entry of a scheduler.
type Config struct {
	// Name is the name of the entry, Zone its zone; targets in the same zone are
	// slightly preferred.
	Name, Zone string
	// Admission refuses requests of pools with several ranks at the door while they cannot be
	// served in time; see refuseAtDoor.
	Admission bool
	// Lending means that cells lend targets to each other by the demand that entries report.
	Lending bool
	// LateLast serves late requests after all that can still be in time, of whatever rank,
	// instead of by their value for engine time.
	LateLast bool
}

// Scheduler holds the targets and queues of all services.
type Scheduler struct {
	config   Config
	pools    map[string]*pool
	targets  map[string]*target
	sequence uint64
	peers    map[string]*peerLoad
	// entries is the number of entries that share the targets, at least 1.
	entries int
	// samples are own measurements not yet reported to the cell.
	samples []Sample
	// cell is the index of this entry's cell out of cells; see SetCell.
	cell, cells int
	// levelChanges are changes of pools' levels that have not been read yet.
	levelChanges []LevelChange
	// departed holds the declarations of targets that have left the registry.
	departed *bounded.Map[declarations]
}

// New returns a scheduler without targets.
func New(config Config) *Scheduler {
	return &Scheduler{
		config:   config,
		pools:    make(map[string]*pool),
		targets:  make(map[string]*target),
		peers:    make(map[string]*peerLoad),
		entries:  1,
		cells:    1,
		departed: bounded.New[declarations](minDeparted),
	}
}

// SetTargets replaces the known targets. A removed target receives no new requests;
// those that run there are still reported with Done.
func (s *Scheduler) SetTargets(now time.Time, listed []catalog.Target) Effects {
	seen := make(map[string]bool, len(listed))
	for _, each := range listed {
		incarnation := each.Incarnation()
		seen[incarnation] = true
		known, found := s.targets[incarnation]
		if !found {
			known = &target{incarnation: incarnation, pool: s.pool(each.Service), cellKey: CellKey(each.Zone, incarnation)}
			s.restoreDeclarations(known)
			s.targets[incarnation] = known
			known.pool.targets = append(known.pool.targets, known)
		}
		if moved := s.pool(each.Service); known.pool != moved {
			known.pool.remove(known)
			known.pool = moved
			moved.targets = append(moved.targets, known)
		}
		known.Target = each
	}
	s.departed.Grow(len(s.targets))
	for id, known := range s.targets {
		if !seen[id] {
			delete(s.targets, id)
			s.saveDeclarations(now, known)
			known.Leaving = true
			known.pool.remove(known)
		}
	}
	for _, p := range s.pools {
		slices.SortFunc(p.targets, func(a, b *target) int { return cmp.Compare(a.incarnation, b.incarnation) })
		p.assignCell(s.cell, s.cells)
	}
	return s.Tick(now)
}

// SetEntries sets the number of entries that share the targets, including this one.
func (s *Scheduler) SetEntries(n int) { s.entries = max(1, n) }

// Entries returns the number of entries that share the targets, including this one.
func (s *Scheduler) Entries() int { return s.entries }

func (s *Scheduler) pool(service string) *pool {
	p, found := s.pools[service]
	if !found {
		p = &pool{service: service, classes: make(map[string]*class), lateLast: s.config.LateLast}
		s.pools[service] = p
	}
	return p
}

// Submit requests a slot. The ticket is granted, refused or queued; if it is queued,
// later effects contain its grant or refusal.
func (s *Scheduler) Submit(now time.Time, request Request) (*Ticket, Effects) {
	s.sequence++
	ticket := &Ticket{Request: request, sequence: s.sequence}
	p := s.pool(request.Service)
	p.schedule(ticket)
	p.arriving.Add(now, ticket.servedRank(), ticket.expected.Seconds())
	if refusal, refused := s.refuseAtOnce(now, p, ticket); refused {
		return ticket, Effects{Refusals: []Refusal{refusal}}
	}
	p.waiting = append(p.waiting, ticket)
	return ticket, s.advance(now, p)
}

// Redirect moves the waiting requests of one service to the queue of another, except for those
// that are bound to a version.
func (s *Scheduler) Redirect(now time.Time, from, to string) Effects {
	source, destination := s.pool(from), s.pool(to)
	if source == destination {
		return Effects{}
	}
	var bound []*Ticket
	for _, ticket := range source.waiting {
		if ticket.Version != nil {
			bound = append(bound, ticket)
			continue
		}
		ticket.Service = to
		destination.schedule(ticket)
		destination.arriving.Add(now, ticket.servedRank(), ticket.expected.Seconds())
		destination.waiting = append(destination.waiting, ticket)
	}
	source.waiting = bound
	return s.advance(now, destination)
}

// Cancel removes a request from the queue and reports whether it was queued.
func (s *Scheduler) Cancel(ticket *Ticket) bool {
	return s.pool(ticket.Service).unqueue(ticket)
}

// Done releases the slot of a request.
func (s *Scheduler) Done(now time.Time, ticket *Ticket, report Report) Effects {
	if ticket.target == nil {
		return Effects{}
	}
	at := ticket.target
	at.endReading(ticket)
	ticket.target = nil
	at.own--
	at.learn(now, report)
	if report.Outcome == Rejected {
		at.rejected(now, s.turnsAt(now, at))
	}
	if report.Latency > 0 || report.LongestPause > 0 {
		s.recordSample(at, Sample{Target: at.incarnation, Latency: report.Latency, LongestPause: report.LongestPause})
	}
	at.pool.learn(ticket, at, now.Sub(ticket.granted), report)
	at.releasedAt = now
	return s.advance(now, at.pool)
}

// Tick refuses requests that have waited too long and grants slots that other entries freed.
func (s *Scheduler) Tick(now time.Time) Effects { return s.tickAfter(now, 0) }

// tickAfter does the same for the queues that were last checked at least pause ago.
func (s *Scheduler) tickAfter(now time.Time, pause time.Duration) Effects {
	var all Effects
	for _, p := range s.pools {
		s.observeQueue(now, p)
		if len(p.waiting) > 0 && now.Sub(p.advancedAt) >= pause {
			effects := s.advance(now, p)
			all.Grants = append(all.Grants, effects.Grants...)
			all.Refusals = append(all.Refusals, effects.Refusals...)
		}
	}
	return all
}

// Waiting returns the number of requests in all queues.
func (s *Scheduler) Waiting() int {
	n := 0
	for _, p := range s.pools {
		n += len(p.waiting)
	}
	return n
}

// advance refuses requests that can no longer be answered and grants others as far as
// there are free slots.
func (s *Scheduler) advance(now time.Time, p *pool) Effects {
	var effects Effects
	p.advancedAt = now
	p.order(now)
	effects.Refusals = s.refuseExpired(now, p)
	if len(p.waiting) == 0 {
		return effects
	}
	s.updateSnapshots(now, p)
	for i := 0; i < len(p.waiting) && p.anyFree(); {
		ticket := p.waiting[i]
		chosen := s.choose(now, p, ticket)
		if chosen == nil {
			i++
			continue
		}
		p.waiting = slices.Delete(p.waiting, i, i+1)
		effects.Grants = append(effects.Grants, s.grant(now, ticket, chosen))
	}
	return effects
}

func (s *Scheduler) grant(now time.Time, ticket *Ticket, at *target) Grant {
	ticket.target = at
	ticket.granted = now
	late := ticket.late(now)
	if late {
		at.pool.lateRate(ticket).record(now, true)
	}
	at.pool.countShare(ticket)
	at.beginReading(ticket)
	at.own++
	at.limited.sent++
	s.takeTokens(now, at, 1)
	s.addGranted(now, at, ticket)
	load, age := s.load(now, at)
	return Grant{Ticket: ticket, Target: at.Target, Load: load, LoadAge: age, Backlog: ticket.ahead, PredictedFirst: ticket.predicted, Borrowed: at.lease.borrowed, Late: late}
}

func (o Outcome) String() string {
	return [...]string{"answered", "failed", "broken", "timed_out", "oversized", "unreachable", "rejected", "replaced", "abandoned"}[o]
}
