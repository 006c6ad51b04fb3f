package scheduler

import (
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/request"
)

// maxBuffered bounds the runs kept for targets that are not placed here yet.
const maxBuffered = 8192

// reportBuffer keeps reports on targets that this entry does not schedule yet:
// an owner may see a change of membership before we do, and reports only once.
type reportBuffer struct {
	reports map[ident.RequestID]earlyReport
}

type earlyReport struct {
	from ident.Incarnation
	at   time.Time
	run  message.RunningOne
}

func (b *reportBuffer) add(s *Scheduler, from ident.Incarnation, one message.RunningOne) {
	if b.reports == nil {
		b.reports = make(map[ident.RequestID]earlyReport)
	}
	if len(b.reports) >= maxBuffered {
		b.drop(func(r earlyReport) bool { return s.now.Sub(r.at) > s.set.Silence })
	}
	if len(b.reports) < maxBuffered {
		b.reports[one.Offer.ID] = earlyReport{from: from, at: s.now, run: one}
	}
}

func (b *reportBuffer) forget(from ident.Incarnation) {
	b.drop(func(r earlyReport) bool { return r.from == from })
}

func (b *reportBuffer) drop(gone func(earlyReport) bool) {
	for id, r := range b.reports {
		if gone(r) {
			delete(b.reports, id)
		}
	}
}

// apply counts the buffered runs of a target that has just been placed here.
func (b *reportBuffer) apply(s *Scheduler, t *target) {
	for _, id := range sortedNames(b.reports) {
		r := b.reports[id]
		if r.run.Offer.Target != t.desc.Name {
			continue
		}
		delete(b.reports, id)
		if age := s.now.Sub(r.at); age <= s.set.Silence {
			r.run.Age += age
			r.run.Offer.Remaining -= age
			s.reportOne(t, r.from, r.run)
		}
	}
}

// Running takes an owner's report of its runs. A full report also tells which
// runs have ended unheard, and counts towards the end of takeovers.
func (s *Scheduler) Running(now time.Time, from ident.Incarnation, m message.Running) []Effect {
	s.tick(now)
	for _, one := range m.Runs {
		t := s.targets[one.Offer.Target]
		if t == nil {
			s.reports.add(s, from, one)
			continue
		}
		s.reportOne(t, from, one)
		s.fill(t)
	}
	if m.Full {
		s.early.add(s, from, m.Moved)
		s.reconcile(from, m)
	}
	return s.take()
}

func (s *Scheduler) reportOne(t *target, from ident.Incarnation, one message.RunningOne) {
	if o := t.offers[one.Offer.ID]; o != nil && o.from == from {
		// Used under a grant of a former scheduler.
		s.remove(o)
	}
	r := t.runs[one.Offer.ID]
	if r == nil && t.past.over(s.now, one.Offer.ID, s.set.Silence) {
		return
	}
	if r == nil {
		r = s.reportedRun(t, from, one)
		t.addRun(r)
	}
	if r.from != from {
		return
	}
	r.reported = true
	r.started = r.started || one.Started
	r.tokens = max(r.tokens, one.Tokens)
	if r.started {
		t.endPrefill(r)
	}
	s.timers.set(r, r.nextTime(s))
	if r.preempting && s.now.Sub(r.preemptAt) > s.set.Grant {
		// The first order was lost, or its owner still holds the run.
		s.sendPreempt(r)
	}
}

func (s *Scheduler) reportedRun(t *target, from ident.Incarnation, one message.RunningOne) *run {
	m := one.Offer
	work := m.PromptTokens - t.cached(m)
	service := t.est.Total(work, 0, m.MaxTokens, 0, len(t.runs))
	began := s.now.Add(-one.Age)
	return &run{
		offer:    m,
		work:     work,
		from:     from,
		target:   t,
		lane:     t.lane(m.PromptTokens, m.Alone, m.Kind == request.Service),
		began:    began,
		service:  service,
		end:      began.Add(service),
		deadline: s.now.Add(m.Remaining),
		started:  one.Started,
	}
}

// reconcile drops runs that a full report of their owner does not list. Grants
// that were never reported stay: the report may have left before they came.
func (s *Scheduler) reconcile(from ident.Incarnation, m message.Running) {
	listed := make(map[ident.RequestID]struct{}, len(m.Runs))
	for _, one := range m.Runs {
		listed[one.Offer.ID] = struct{}{}
	}
	for _, name := range sortedNames(s.targets) {
		t := s.targets[name]
		delete(t.awaited, from)
		for _, r := range t.sortedRuns() {
			_, alive := listed[r.offer.ID]
			if r.from == from && r.reported && !alive {
				t.endRun(r)
			}
		}
		s.fill(t)
	}
}
