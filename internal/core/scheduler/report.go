package scheduler

import (
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/request"
)

// maxBufferedRuns bounds the runs stored for targets that are not assigned to
// this scheduler yet.
const maxBufferedRuns = 8192

// reportBuffer stores reports on targets that this entry does not schedule yet:
// an owner may see a change of membership earlier, and reports only once.
type reportBuffer struct {
	reports map[ident.RequestID]bufferedReport
}

type bufferedReport struct {
	from ident.Incarnation
	at   time.Time
	run  message.Run
}

func (b *reportBuffer) add(s *Scheduler, from ident.Incarnation, one message.Run) {
	if b.reports == nil {
		b.reports = make(map[ident.RequestID]bufferedReport)
	}
	if len(b.reports) >= maxBufferedRuns {
		b.drop(func(r bufferedReport) bool { return s.now.Sub(r.at) > s.settings.FailureTimeout })
	}
	if len(b.reports) < maxBufferedRuns {
		b.reports[one.Offer.ID] = bufferedReport{from: from, at: s.now, run: one}
	}
}

func (b *reportBuffer) dropFrom(from ident.Incarnation) {
	b.drop(func(r bufferedReport) bool { return r.from == from })
}

func (b *reportBuffer) drop(match func(bufferedReport) bool) {
	for id, r := range b.reports {
		if match(r) {
			delete(b.reports, id)
		}
	}
}

// apply counts the buffered runs of a target that has just been assigned to this
// scheduler.
func (b *reportBuffer) apply(s *Scheduler, t *target) {
	for _, id := range sortedKeys(b.reports) {
		r := b.reports[id]
		if r.run.Offer.Target != t.desc.Name {
			continue
		}
		delete(b.reports, id)
		if age := s.now.Sub(r.at); age <= s.settings.FailureTimeout {
			r.run.Age += age
			r.run.Offer.Remaining -= age
			s.reportOne(t, r.from, r.run)
		}
	}
}

// Running handles an owner's report of its runs. A full report also reveals runs
// whose Done was lost, and counts towards the end of takeovers.
func (s *Scheduler) Running(now time.Time, from ident.Incarnation, m message.Running) []Effect {
	s.advance(now)
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
		s.fullReports.add(s, from, m.TakenOver)
		s.reconcile(from, m)
	}
	return s.takeEffects()
}

func (s *Scheduler) reportOne(t *target, from ident.Incarnation, one message.Run) {
	if o := t.offers[one.Offer.ID]; o != nil && o.from == from {
		// It runs under a grant of a previous scheduler.
		s.remove(o)
	}
	r := t.runs[one.Offer.ID]
	if r == nil && t.endedRuns.contains(s.now, one.Offer.ID, s.settings.FailureTimeout) {
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
	s.timers.set(r, r.nextTimer(s))
	if r.preempting && s.now.Sub(r.preemptedAt) > s.settings.GrantTime {
		// The first Preempt was lost, or the owner has not cancelled the run yet.
		s.sendPreempt(r)
	}
}

func (s *Scheduler) reportedRun(t *target, from ident.Incarnation, one message.Run) *run {
	m := one.Offer
	work := m.PromptTokens - t.cached(m)
	service := t.estimator.Total(work, 0, m.MaxTokens, 0, len(t.runs))
	began := s.now.Add(-one.Age)
	return &run{
		offer:          m,
		uncachedPrompt: work,
		from:           from,
		target:         t,
		lane:           t.lane(m.PromptTokens, m.Isolated, m.Kind == request.Service),
		began:          began,
		service:        service,
		expectedEnd:    began.Add(service),
		deadline:       s.now.Add(m.Remaining),
		started:        one.Started,
	}
}

// reconcile ends runs that a full report of their owner does not list. Grants
// that were never reported remain: the report may have been sent before they
// arrived.
func (s *Scheduler) reconcile(from ident.Incarnation, m message.Running) {
	listed := make(map[ident.RequestID]struct{}, len(m.Runs))
	for _, one := range m.Runs {
		listed[one.Offer.ID] = struct{}{}
	}
	for _, name := range sortedKeys(s.targets) {
		t := s.targets[name]
		delete(t.awaited, from)
		for _, r := range t.sortedRuns() {
			_, running := listed[r.offer.ID]
			if r.from == from && r.reported && !running {
				t.endRun(r)
			}
		}
		s.fill(t)
	}
}
