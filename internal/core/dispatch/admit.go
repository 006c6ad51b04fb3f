package dispatch

import (
	"math"
	"time"

	"sycamoretrail/internal/core/admission"
	"sycamoretrail/internal/core/poolview"
)

// Admission is what admission control knew when it refused a request; the zero value means
// that it is not active in the pool.
type Admission struct {
	// Closed is the number of closed ranks, Forecast the estimated wait of the request's rank.
	Closed   int
	Forecast time.Duration
	// Returned: the caller was refused before and had come back.
	Returned bool
	// Scheduled: RetryAfter is already spread over time.
	Scheduled bool
}

// maxClosedRanks leaves all ranks but the least urgent one to the order of the queue: a late
// answer of those is worth more than what the least urgent rank would get instead.
const maxClosedRanks = 1

// LevelChange is a change of the ranks that a pool accepts.
type LevelChange struct {
	Service string
	// Rank is the rank that was closed or opened, Closed the number of closed ranks since.
	Rank, Closed int
	Forecast     time.Duration
	View         poolview.View
}

// maxLevelChanges bounds the changes that wait to be read.
const maxLevelChanges = 64

// LevelChanges returns the changes since the last call.
func (s *Scheduler) LevelChanges() []LevelChange {
	changes := s.levelChanges
	s.levelChanges = nil
	return changes
}

// admitting reports whether admission control is active in a pool: only ranks with an objective
// can be compared with each other.
func (s *Scheduler) admitting(p *pool) bool {
	if !s.config.Admission {
		return false
	}
	first, several := math.MinInt, false
	for _, c := range p.classes {
		switch {
		case c.hold.samples == 0:
		case !c.hasObjective:
			return false
		case first == math.MinInt:
			first = c.rank
		case c.rank != first:
			several = true
		}
	}
	return several
}

// refuseAtDoor decides on a request where admission control is active, before the estimate of
// the queue. Requests that have been sent to a target before, or have begun to be answered, are
// always admitted.
func (s *Scheduler) refuseAtDoor(now time.Time, p *pool, ticket *Ticket) (Refusal, bool) {
	if !s.admitting(p) {
		if p.admission != nil {
			change, changed := p.admission.Reset()
			s.recordLevel(p, change, changed)
		}
		return Refusal{}, false
	}
	if p.admission == nil {
		p.admission = &admission.Controller{MaxClosed: maxClosedRanks}
	}
	view := s.view(now, p)
	s.observeLevel(now, p, view)
	if ticket.Objective.IsZero() || len(ticket.Tried) > 0 {
		return Refusal{}, false
	}
	request := ticket.admissionRequest(now)
	decision := p.admission.Decide(now, request)
	if decision.Admit || p.privileged(ticket) {
		return Refusal{}, false
	}
	refusal := s.refusal(p, ticket, ReasonOverload, decision.Forecast)
	refusal.RetryAfter = decision.RetryAfter
	refusal.Admission = Admission{Closed: decision.Closed, Forecast: decision.Forecast, Returned: request.Returned, Scheduled: true}
	return refusal, true
}

// privileged reports whether a request has the priority of an organisation that goes before
// others of the pool: it must not be refused while those are served.
func (p *pool) privileged(ticket *Ticket) bool {
	return !ticket.RoutePriority && !ticket.Excess && ticket.Priority < p.lowestPriority
}

// observeInterval is the least time between two observations of a pool that no request causes.
const observeInterval = 10 * time.Millisecond

// observeQueue updates the level of a pool with a queue or closed ranks: between two requests
// at this entry a rank may be due to close or open.
func (s *Scheduler) observeQueue(now time.Time, p *pool) {
	if p.admission == nil || p.admission.Closed() == 0 && len(p.waiting) == 0 {
		return
	}
	if now.Sub(p.admission.Observed()) >= observeInterval {
		s.observeLevel(now, p, s.view(now, p))
	}
}

func (s *Scheduler) observeLevel(now time.Time, p *pool, view poolview.View) {
	change, changed := p.admission.Observe(now, view)
	s.recordLevel(p, change, changed)
}

func (s *Scheduler) recordLevel(p *pool, change admission.Change, changed bool) {
	if changed && len(s.levelChanges) < maxLevelChanges {
		s.levelChanges = append(s.levelChanges, LevelChange{
			Service: p.service, Rank: change.Rank, Closed: change.Closed, Forecast: change.Forecast, View: change.View,
		})
	}
}

// minObjectiveShare is the least part of the objective that counts as time to wait: the time to
// the first event of a long prompt can exceed the objective.
const minObjectiveShare = 0.5

func (t *Ticket) admissionRequest(now time.Time) admission.Request {
	objective := t.Objective.Sub(t.Arrived)
	return admission.Request{
		Rank: t.servedRank(), Work: t.expected.Seconds(),
		Objective: max(t.latestTimely.Sub(t.Arrived), time.Duration(minObjectiveShare*float64(objective))),
		Patience:  t.latestStart().Sub(now), Left: t.Expires.Sub(now), Returned: t.Waited > 0,
	}
}

// scheduleReturn replaces the retry delay of a refusal by that of the calendar, where admission
// control is active.
func (s *Scheduler) scheduleReturn(now time.Time, p *pool, refusal Refusal) Refusal {
	if p.admission == nil || !s.admitting(p) {
		return refusal
	}
	request := refusal.Ticket.admissionRequest(now)
	refusal.RetryAfter, _ = p.admission.Return(now, request)
	refusal.Admission = Admission{Closed: p.admission.Closed(), Forecast: refusal.Wait, Returned: request.Returned, Scheduled: true}
	return refusal
}

// AdmissionLoad is the state of admission control of a service.
type AdmissionLoad struct {
	Service string
	// Closed is the number of closed ranks, Promises the number of callers so far that were told
	// a time at which there is room for them.
	Closed   int
	Promises int64
}

// AdmissionLoads returns the state of the pools in which admission control is active.
func (s *Scheduler) AdmissionLoads(now time.Time) []AdmissionLoad {
	var loads []AdmissionLoad
	for _, p := range s.pools {
		if p.admission != nil {
			s.observeLevel(now, p, s.view(now, p))
			loads = append(loads, AdmissionLoad{Service: p.service, Closed: p.admission.Closed(), Promises: p.admission.Promises()})
		}
	}
	return loads
}
