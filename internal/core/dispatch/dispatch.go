// Package dispatch decides which target runs a request, and when. Targets admit
// requests as they arrive and know no priorities, so what waits has to wait here:
// each target gets about as many requests at once as it runs at once, and the
// queue in front is ordered by importance and by what can still be in time.
//
// Entries share the targets. Each tells the others what it has in flight, so the
// load of a target is the sum over all entries and milliseconds old. Overfilling a
// target for a moment is harmless, since it queues a few requests itself.
//
// Time is an argument and nothing here waits or does I/O, so every decision can
// be replayed. A Scheduler is not safe for concurrent use.
package dispatch

import (
	"cmp"
	"slices"
	"time"

	"sycamoretrail/internal/core/bounded"
	"sycamoretrail/internal/core/catalog"
)

// Ask is what the scheduler knows of a request.
type Ask struct {
	ID      string
	Service string
	// Class groups requests of alike duration, such as those of one route.
	Class string
	// Priority is the organisation's or, where that has none, the route's; Rank is
	// the route's and decides among equal priorities. 0 is the highest.
	Priority, Rank int
	Arrived        time.Time
	// Objective is when the answer, or its first event, should be there for its
	// full worth; zero: none.
	Objective time.Time
	// Expires is when the caller or the route stops waiting, BeginBy when the answer
	// must have begun for the caller not to leave before that.
	Expires, BeginBy time.Time
	// Gap is the longest pause between events of a stream that is still in time; 0:
	// none declared.
	Gap time.Duration
	// Work is what it asks of a target.
	Work Work
	// Tried lists the incarnations of targets that this request has been sent to.
	Tried []string
}

// Ticket is a request between Submit and Done or Cancel.
type Ticket struct {
	Ask
	// sequence keeps arrival order among equals.
	sequence uint64
	target   *target
	granted  time.Time
	// turn is the arrival by which the queue is ordered.
	turn time.Time
	// timely is the last moment at which sending it should meet the objective.
	timely time.Time
	// ahead is the number of prompt tokens that the target had to read before this
	// one's when it was granted; predicted is the estimated time to its first event.
	ahead     int
	predicted time.Duration
}

// Grant tells that a request may be sent to a target now.
type Grant struct {
	Ticket *Ticket
	Target catalog.Target
	// Load is the number of requests at the target as known, this one included.
	Load int
	// LoadAge is the age of the oldest peer report in Load.
	LoadAge time.Duration
	// Backlog is the number of prompt tokens that the target has to read before this
	// request's, PredictedFirst the estimated time to its first event; 0: not known.
	Backlog        int
	PredictedFirst time.Duration
}

// Reason says why a request was refused.
type Reason string

// The reasons of refusals. In all of them the request has not run.
const (
	// ReasonNoTarget: no target of the service is known that may be used.
	ReasonNoTarget Reason = "no_target"
	// ReasonOverload: the estimated wait exceeds what is left of its time.
	ReasonOverload Reason = "overload"
	// ReasonPaused: all targets want to be left alone for longer than it can wait.
	ReasonPaused Reason = "targets_paused"
	// ReasonExpired: its time ran out in the queue.
	ReasonExpired Reason = "expired_in_queue"
)

// Refusal ends a request that has not run.
type Refusal struct {
	Ticket *Ticket
	Reason Reason
	// RetryAfter is when a place is likely; at least MinRetryAfter.
	RetryAfter time.Duration
	// Waiting and Wait are the inputs: the queue's length and the estimated wait.
	Waiting int
	Wait    time.Duration
}

// Outcome is what became of a request at a target.
type Outcome uint8

const (
	// Answered: a whole answer came that is not the target's own failure.
	Answered Outcome = iota
	// Failed: the target answered with a failure of its own.
	Failed
	// Broken: the connection ended or fell silent before the answer was whole.
	Broken
	// TimedOut: it took the request and did not answer in the time of the try.
	TimedOut
	// Unreachable: no connection could be made, so nothing was sent.
	Unreachable
	// Rejected: the target said that it did not run the request.
	Rejected
	// Replaced: another server answers at the target's address.
	Replaced
	// Abandoned: the caller left or the time ran out; says nothing of the target.
	Abandoned
)

// Report is what was seen of a request at a target.
type Report struct {
	Outcome Outcome
	// Latency is the mean time between events of a stream, or the time to the answer
	// of another request; 0: not known.
	Latency time.Duration
	// First is the time to the first event of a stream, Rest the time from there to
	// the end; 0: not known.
	First, Rest time.Duration
	// Longest is the longest pause between two events of a stream.
	Longest time.Duration
}

// Effects are what a call leads to: requests to send, requests to end, and targets' limits
// that have changed.
type Effects struct {
	Grants   []Grant
	Refusals []Refusal
	Limits   []LimitChange
}

// Config holds what a scheduler needs to know of its place.
type Config struct {
	// Name is the entry's own, Zone its zone; targets in it are preferred a little.
	Name, Zone string
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
	// samples are own measurements that the cell has not been told.
	samples []Sample
	// cell is this entry's of so many cells; see SetCell.
	cell, cells int
	// former holds the words of targets that have left the register.
	former *bounded.Map[ownWord]
}

// New makes a scheduler without targets.
func New(config Config) *Scheduler {
	return &Scheduler{
		config:  config,
		pools:   make(map[string]*pool),
		targets: make(map[string]*target),
		peers:   make(map[string]*peerLoad),
		entries: 1,
		cells:   1,
		former:  bounded.New[ownWord](maxFormer),
	}
}

// SetTargets replaces the known targets. A target that is gone gets nothing new;
// what runs there is still reported with Done.
func (s *Scheduler) SetTargets(now time.Time, listed []catalog.Target) Effects {
	seen := make(map[string]bool, len(listed))
	for _, each := range listed {
		incarnation := each.Incarnation()
		seen[incarnation] = true
		known, found := s.targets[incarnation]
		if !found {
			known = &target{incarnation: incarnation, pool: s.pool(each.Service), place: Place(each.Zone, incarnation)}
			s.restoreWord(known)
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
	for id, known := range s.targets {
		if !seen[id] {
			delete(s.targets, id)
			s.keepWord(now, known)
			known.Leaving = true
			known.pool.remove(known)
		}
	}
	for _, p := range s.pools {
		slices.SortFunc(p.targets, func(a, b *target) int { return cmp.Compare(a.incarnation, b.incarnation) })
		p.divide(s.cell, s.cells)
	}
	return s.Tick(now)
}

// SetEntries says how many entries share the targets, this one included.
func (s *Scheduler) SetEntries(n int) { s.entries = max(1, n) }

func (s *Scheduler) pool(service string) *pool {
	p, found := s.pools[service]
	if !found {
		p = &pool{service: service, classes: make(map[string]*class)}
		s.pools[service] = p
	}
	return p
}

// Submit asks for a place. The ticket is granted, refused or queued; in the last
// case later effects name it.
func (s *Scheduler) Submit(now time.Time, ask Ask) (*Ticket, Effects) {
	s.sequence++
	ticket := &Ticket{Ask: ask, sequence: s.sequence}
	p := s.pool(ask.Service)
	p.schedule(ticket)
	if refusal, refused := s.refuseAtOnce(now, p, ticket); refused {
		return ticket, Effects{Refusals: []Refusal{refusal}}
	}
	p.waiting = append(p.waiting, ticket)
	return ticket, s.advance(now, p)
}

// Redirect moves what waits for one service's targets to the queue of another's.
func (s *Scheduler) Redirect(now time.Time, from, to string) Effects {
	source, destination := s.pool(from), s.pool(to)
	if source == destination {
		return Effects{}
	}
	for _, ticket := range source.waiting {
		ticket.Service = to
		destination.schedule(ticket)
		destination.waiting = append(destination.waiting, ticket)
	}
	source.waiting = nil
	return s.advance(now, destination)
}

// Cancel takes a request out of the queue; false: it is not in it.
func (s *Scheduler) Cancel(ticket *Ticket) bool {
	return s.pool(ticket.Service).unqueue(ticket)
}

// Done gives a place back.
func (s *Scheduler) Done(now time.Time, ticket *Ticket, report Report) Effects {
	if ticket.target == nil {
		return Effects{}
	}
	at := ticket.target
	at.endReading(ticket)
	ticket.target = nil
	at.own--
	at.learn(now, report)
	if report.Latency > 0 || report.Longest > 0 {
		s.measured(at, Sample{Target: at.incarnation, Latency: report.Latency, Longest: report.Longest})
	}
	at.pool.learn(ticket, at, now.Sub(ticket.granted), report)
	at.releasedAt = now
	return s.advance(now, at.pool)
}

// Tick ends what waited too long and hands out places that came free elsewhere.
func (s *Scheduler) Tick(now time.Time) Effects { return s.tickAfter(now, 0) }

// tickAfter does so for the queues that have not been looked at for a time.
func (s *Scheduler) tickAfter(now time.Time, pause time.Duration) Effects {
	var all Effects
	for _, p := range s.pools {
		if len(p.waiting) > 0 && now.Sub(p.advancedAt) >= pause {
			effects := s.advance(now, p)
			all.Grants = append(all.Grants, effects.Grants...)
			all.Refusals = append(all.Refusals, effects.Refusals...)
		}
	}
	return all
}

// Waiting is the number of requests in all queues.
func (s *Scheduler) Waiting() int {
	n := 0
	for _, p := range s.pools {
		n += len(p.waiting)
	}
	return n
}

// advance refuses what can no longer be answered and grants what there is room for.
func (s *Scheduler) advance(now time.Time, p *pool) Effects {
	var effects Effects
	p.advancedAt = now
	p.order(now)
	effects.Refusals = s.refuseExpired(now, p)
	if len(p.waiting) == 0 {
		return effects
	}
	s.survey(now, p)
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
	if ticket.late(now) {
		at.pool.lateFate.note(now, true)
	}
	at.beginReading(ticket)
	at.own++
	at.limited.sent++
	s.takeTokens(now, at, 1)
	s.took(now, at, ticket)
	load, age := s.load(now, at)
	return Grant{Ticket: ticket, Target: at.Target, Load: load, LoadAge: age, Backlog: ticket.ahead, PredictedFirst: ticket.predicted}
}

func (o Outcome) String() string {
	return [...]string{"answered", "failed", "broken", "timed_out", "unreachable", "rejected", "replaced", "abandoned"}[o]
}
