package gateway

import (
	"sync"
	"time"

	"sycamoretrail/internal/core/budget"
	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/crashes"
	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/core/fairshare"
	"sycamoretrail/internal/core/lending"
	"sycamoretrail/internal/core/peerset"
	"sycamoretrail/internal/core/quota"
	"sycamoretrail/internal/eventlog"
)

// queueTick is the interval at which non-empty queues are checked: slots that become free at
// other entries are reported within some milliseconds, and a refusal for lack of time may be
// late by as much.
const queueTick = 10 * time.Millisecond

// state combines the decision logic of internal/core under one lock. Each call is short and
// does no I/O.
type state struct {
	mutex    sync.Mutex
	log      *eventlog.Log
	sched    *dispatch.Scheduler
	quota    *quota.Limiter
	policer  *fairshare.Policer
	budget   *budget.Budget
	causes   *crashes.Causes
	rollouts *rollouts
	// leases is nil if lending is off.
	leases *lending.Ledger
	peers  *peerset.Set
	// peersKnown: the registry of entries has been read.
	peersKnown bool
	waiters    map[*dispatch.Ticket]chan slotResult
	ticking    bool
	// loadUrgent and loadChanged trigger a load report: at once, because a slot is taken that
	// other entries may count as free, or released while others wait for it; or soon.
	loadUrgent, loadChanged chan struct{}
}

// slotResult ends the wait for a slot: one of its fields is set.
type slotResult struct {
	grant   *dispatch.Grant
	refusal *dispatch.Refusal
}

// submit requests a slot; the channel receives one slotResult unless the ticket is cancelled.
func (s *state) submit(request dispatch.Request) (*dispatch.Ticket, <-chan slotResult) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	wait := make(chan slotResult, 1)
	ticket, effects := s.sched.Submit(time.Now(), request)
	s.waiters[ticket] = wait
	s.deliver(effects)
	if s.sched.Waiting() > 0 {
		s.reportNow()
	}
	return ticket, wait
}

// cancel stops the wait for a slot. It reports whether the ticket was still queued; if not,
// its slotResult is in the channel.
func (s *state) cancel(ticket *dispatch.Ticket) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	queued := s.sched.Cancel(ticket)
	if queued {
		delete(s.waiters, ticket)
	}
	return queued
}

// release releases a slot.
func (s *state) release(ticket *dispatch.Ticket, report dispatch.Report) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	s.deliver(s.sched.Done(now, ticket, report))
	if s.sched.Contended(now, ticket.Service) {
		s.reportNow()
	} else {
		s.reportSoon()
	}
}

// observeFirstEvent reports to the scheduler that the first event of a stream has arrived.
func (s *state) observeFirstEvent(ticket *dispatch.Ticket) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sched.ObserveFirstEvent(time.Now(), ticket)
	s.reportSoon()
}

// observeLatency reports the mean pause between the first events of a stream to the scheduler.
func (s *state) observeLatency(ticket *dispatch.Ticket, latency time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sched.ObserveLatency(ticket, latency)
}

// observeLimit reports the limit that an answer declares, or that it declares none, to the
// scheduler.
func (s *state) observeLimit(ticket *dispatch.Ticket, limit dispatch.Limit) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.deliver(s.sched.ObserveLimit(time.Now(), ticket, limit))
}

// observeBrittleness reports to the scheduler what an answer declares of the rejections that the
// target bears.
func (s *state) observeBrittleness(ticket *dispatch.Ticket, brittleness dispatch.Brittleness) (changed bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.sched.ObserveBrittleness(ticket, brittleness)
}

// forgetEjections lets requests go to all targets again, after this entry could reach none.
func (s *state) forgetEjections() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.deliver(s.sched.ForgetEjections(time.Now()))
}

// observePause reports to the scheduler that a target accepts no requests from this entry for
// a while.
func (s *state) observePause(ticket *dispatch.Ticket, pause time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.deliver(s.sched.ObservePause(time.Now(), ticket, pause))
}

// deliver passes effects on to the waiting calls. The caller holds the mutex.
func (s *state) deliver(effects dispatch.Effects) {
	for i := range effects.Grants {
		s.resolve(effects.Grants[i].Ticket, slotResult{grant: &effects.Grants[i]})
	}
	for i := range effects.Refusals {
		s.resolve(effects.Refusals[i].Ticket, slotResult{refusal: &effects.Refusals[i]})
	}
	for i := range effects.Limits {
		s.logLimit(&effects.Limits[i])
	}
	for _, change := range s.sched.LevelChanges() {
		s.logLevel(&change)
	}
	if len(effects.Grants) > 0 || len(effects.Refusals) > 0 || len(effects.Limits) > 0 {
		s.reportNow()
	}
	if s.sched.Waiting() > 0 && !s.ticking {
		s.ticking = true
		time.AfterFunc(queueTick, s.tick)
	}
}

func (s *state) logLimit(change *dispatch.LimitChange) {
	s.log.Write(eventlog.StateChange, eventLimit, eventlog.Fields{
		"target": change.Target, "limited": change.Now.Declared, "per_second": change.Now.PerSecond, "peer": change.Peer,
		"before_per_second": change.Before.PerSecond, "sent": change.Sent, "for_ms": change.For.Milliseconds(),
	})
}

func (s *state) logLevel(change *dispatch.LevelChange) {
	s.log.Write(eventlog.StateChange, eventAdmission, eventlog.Fields{
		"service": change.Service, "rank": change.Rank, "closed": change.Closed, "forecast_ms": change.Forecast.Milliseconds(),
		"capacity": change.View.Capacity, "backlog": change.View.Backlog.Total(), "age_ms": change.View.Age.Milliseconds(),
	})
}

func (s *state) resolve(ticket *dispatch.Ticket, v slotResult) {
	if wait, found := s.waiters[ticket]; found {
		delete(s.waiters, ticket)
		wait <- v
	}
}

func (s *state) tick() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ticking = false
	s.deliver(s.sched.Tick(time.Now()))
}

// reportNow triggers a load report at once, reportSoon soon. The caller holds the mutex.
func (s *state) reportNow() { signal(s.loadUrgent) }

func (s *state) reportSoon() { signal(s.loadChanged) }

// signal sends to a channel with a buffer of one without blocking; a pending signal stands for
// later ones too.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (s *state) setTargets(targets []catalog.Target) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.deliver(s.sched.SetTargets(time.Now(), targets))
}

// admit checks a request against its organisation's quota and, if police is set, an admitted
// one of an organisation with a quota against its pace.
func (s *state) admit(organisation string, cost float64, rank int, police bool) (quota.Result, fairshare.Profile) {
	return s.decideQuota((*quota.Limiter).Admit, organisation, cost, rank, police)
}

// readmit is admit for a request that the quota has held.
func (s *state) readmit(organisation string, cost float64, rank int, police bool) (quota.Result, fairshare.Profile) {
	return s.decideQuota((*quota.Limiter).Readmit, organisation, cost, rank, police)
}

func (s *state) decideQuota(
	decide func(*quota.Limiter, time.Time, string, float64, int) quota.Result, organisation string, cost float64, rank int, police bool,
) (quota.Result, fairshare.Profile) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	result := decide(s.quota, now, organisation, cost, rank)
	if result.Held {
		// The others decide on theirs by what is held here.
		s.reportNow()
	}
	if !police || !result.Admitted || result.Limit == 0 {
		return result, fairshare.Profile{}
	}
	return result, s.policer.Classify(now, fairshare.Demand{
		Organisation: organisation, Rank: rank, Cost: cost, Entries: s.sched.Entries(), Used: result.Used, Limit: result.Limit,
	})
}

// charge applies one of the limiter's steps after admission to a request's cost.
func (s *state) charge(step func(*quota.Limiter, time.Time, string, float64), organisation string, cost float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	step(s.quota, time.Now(), organisation, cost)
}

func (s *state) setFirstStart() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.budget.SetFirstStart()
}

// countRequest adds to the retry budget; mayRepeat draws on it.
func (s *state) countRequest(service string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.budget.Request(time.Now(), service)
}

func (s *state) mayRepeat(id, service string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	d := s.budget.Repeat(time.Now(), service)
	importance := eventlog.Routine
	if !d.Allowed {
		importance = eventlog.Failure
	}
	s.log.Write(importance, eventRepeat, eventlog.Fields{
		"id": id, "service": service, "allowed": d.Allowed, "tokens": d.Tokens, "capacity": d.Capacity,
		"requests": d.Requests, "entries": d.Entries,
	})
	return d.Allowed
}
