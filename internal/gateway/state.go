package gateway

import (
	"sync"
	"time"

	"sycamoretrail/internal/core/budget"
	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/crashes"
	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/core/peerset"
	"sycamoretrail/internal/core/quota"
	"sycamoretrail/internal/eventlog"
)

// queueTick is how often queues are looked at while something waits in them: what
// comes free at other entries is told within some milliseconds, and a refusal for
// want of time may be that late.
const queueTick = 10 * time.Millisecond

// state joins the decisions under one lock. Each call is short and does no I/O.
type state struct {
	mutex    sync.Mutex
	log      *eventlog.Log
	sched    *dispatch.Scheduler
	quota    *quota.Limiter
	budget   *budget.Budget
	crashes  *crashes.Memory
	rollouts *rollouts
	peers    *peerset.Set
	waiters  map[*dispatch.Ticket]chan verdict
	ticking  bool
	// loadTaken and loadSettled are told, without waiting, that the others should hear the
	// load: at once, since it takes a place that they may take for free or gives one for
	// which they wait, or soon.
	loadTaken, loadSettled chan struct{}
}

// verdict ends the wait for a place: one of the two is set.
type verdict struct {
	grant   *dispatch.Grant
	refusal *dispatch.Refusal
}

// submit asks for a place; the channel gets one verdict unless the ticket is cancelled.
func (s *state) submit(ask dispatch.Ask) (*dispatch.Ticket, <-chan verdict) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	wait := make(chan verdict, 1)
	ticket, effects := s.sched.Submit(time.Now(), ask)
	s.waiters[ticket] = wait
	s.deliver(effects)
	if s.sched.Waiting() > 0 {
		s.taken()
	}
	return ticket, wait
}

// cancel gives up waiting. It reports whether the ticket was still queued; if not,
// its verdict is in the channel.
func (s *state) cancel(ticket *dispatch.Ticket) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	queued := s.sched.Cancel(ticket)
	if queued {
		delete(s.waiters, ticket)
	}
	return queued
}

// done gives a place back.
func (s *state) done(ticket *dispatch.Ticket, report dispatch.Report) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	s.deliver(s.sched.Done(now, ticket, report))
	if s.sched.Contended(now, ticket.Service) {
		s.taken()
	} else {
		s.settled()
	}
}

// began tells that the first event of a stream has come.
func (s *state) began(ticket *dispatch.Ticket) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sched.ObserveFirstEvent(time.Now(), ticket)
	s.settled()
}

// latencyTold tells the mean pause between the first events of a stream.
func (s *state) latencyTold(ticket *dispatch.Ticket, latency time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sched.ObserveLatency(ticket, latency)
}

// limited tells the limit that an answer declares, or that it declares none.
func (s *state) limited(ticket *dispatch.Ticket, limit dispatch.Limit) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.deliver(s.sched.ObserveLimit(time.Now(), ticket, limit))
}

// paused tells that a target wants nothing from this entry for a while.
func (s *state) paused(ticket *dispatch.Ticket, pause time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.deliver(s.sched.ObservePause(time.Now(), ticket, pause))
}

// deliver hands effects to those who wait. The mutex is held.
func (s *state) deliver(effects dispatch.Effects) {
	for i := range effects.Grants {
		s.tell(effects.Grants[i].Ticket, verdict{grant: &effects.Grants[i]})
	}
	for i := range effects.Refusals {
		s.tell(effects.Refusals[i].Ticket, verdict{refusal: &effects.Refusals[i]})
	}
	for i := range effects.Limits {
		s.logLimit(&effects.Limits[i])
	}
	if len(effects.Grants) > 0 || len(effects.Refusals) > 0 || len(effects.Limits) > 0 {
		s.taken()
	}
	if s.sched.Waiting() > 0 && !s.ticking {
		s.ticking = true
		time.AfterFunc(queueTick, s.tick)
	}
}

func (s *state) logLimit(change *dispatch.LimitChange) {
	s.log.Write(eventlog.Belief, eventLimit, eventlog.Fields{
		"target": change.Target, "limited": change.Now.Declared, "per_second": change.Now.PerSecond, "peer": change.Peer,
		"before_per_second": change.Before.PerSecond, "sent": change.Sent, "for_ms": change.For.Milliseconds(),
	})
}

func (s *state) tell(ticket *dispatch.Ticket, v verdict) {
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

// taken asks for the load to be told at once, settled soon. The mutex is held.
func (s *state) taken() { signal(s.loadTaken) }

func (s *state) settled() { signal(s.loadSettled) }

// signal tells a channel without waiting; one that has not been heard stands for both.
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

// admit checks a request against its organisation's quota.
func (s *state) admit(organisation string, cost float64, rank int) quota.Verdict {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.quota.Admit(time.Now(), organisation, cost, rank)
}

// charge applies one of the limiter's steps after admission to a request's cost.
func (s *state) charge(step func(*quota.Limiter, time.Time, string, float64), organisation string, cost float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	step(s.quota, time.Now(), organisation, cost)
}

// countRequest adds to the retry budget, mayRepeat draws on it.
func (s *state) countRequest(service string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.budget.Request(time.Now(), service)
}

func (s *state) mayRepeat(service string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.budget.Repeat(time.Now(), service, s.peers.Size())
}

func (s *state) convicted(fingerprint crashes.Fingerprint) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.crashes.Convicted(time.Now(), fingerprint)
}

// broken counts a broken run; false: it was known.
func (s *state) broken(fingerprint crashes.Fingerprint, id string) (news bool, count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	return s.crashes.Broken(now, fingerprint, id), s.crashes.Count(now, fingerprint)
}
