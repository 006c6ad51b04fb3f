package dispatch_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/core/poolview"
)

const waveLength = 24 * time.Second

// firstAttempt returns the first attempt of a request.
func (r *waveRequest) firstAttempt() *waveAttempt { return r.attempts[0] }

// turnedAway reports whether the first attempt was refused.
func (r *waveRequest) turnedAway() bool { return !r.firstAttempt().refused.IsZero() }

// atDoor reports whether an attempt was refused within an eighth of its objective.
func (a *waveAttempt) atDoor() bool {
	return !a.refused.IsZero() && a.refused.Sub(a.arrived) <= a.request.kind.objective/8
}

// openedAfter returns when an entry first opened a rank after a time.
func (e *waveEntry) openedAfter(after time.Duration) time.Duration {
	before := 0
	for _, c := range e.changes {
		if c.at > after && c.closed < before {
			return c.at
		}
		before = c.closed
	}
	return 0
}

// Guards against refusals by expiry in the queue: under a crest of demand the least urgent
// rank must be turned away when it arrives, the most urgent one be served, and the ranks be
// opened after the crest without changing back and forth.
func TestCrestOfAWave(t *testing.T) {
	for _, height := range []float64{1.6, 2.5} {
		t.Run(fmt.Sprintf("%.1f times capacity", height), func(t *testing.T) {
			g := NewWithT(t)
			entries, inTime, cycles := 0, 0, 0
			for seed := range uint64(4) {
				w := newWave(seed, true, false)
				w.run(waveLength, crest(height))
				expectCrestServed(g, w)
				for _, e := range w.entries {
					highest := 0
					for _, c := range e.changes {
						highest = max(highest, c.closed)
					}
					g.Expect(highest).To(BeNumerically(">", 0))
					g.Expect(e.changes[len(e.changes)-1].closed).To(BeZero())
					entries++
					cycles += len(e.changes)/2 - highest
					if e.openedAfter(crestUntil) <= crestUntil+500*time.Millisecond {
						inTime++
					}
				}
			}
			t.Logf("of %d entries, %d opened a rank within half a second; ranks were closed again %d times", entries, inTime, cycles)
			// A rank may be closed again when arrivals happen to be few in the crest.
			g.Expect(inTime).To(BeNumerically(">=", entries*3/4))
			g.Expect(cycles).To(BeNumerically("<=", entries/4))
		})
	}
}

// expectCrestServed checks who was served and refused in the crest.
func expectCrestServed(g *WithT, w *risingLoad) {
	refused, atDoor := 0, 0
	for _, r := range w.all {
		// In the first second the ranks are being closed.
		if at := r.arrived.Sub(start); r.kind.rank != 2 || at < crestFrom+time.Second || at >= crestUntil || !r.turnedAway() {
			continue
		}
		refused++
		if r.firstAttempt().atDoor() {
			atDoor++
		}
	}
	g.Expect(refused).To(BeNumerically(">", 0))
	// One in eight of a closed rank is let into the queue and may be refused there.
	g.Expect(float64(atDoor)).To(BeNumerically(">=", 0.75*float64(refused)))
	g.Expect(w.share(0, crestFrom, crestUntil, (*waveRequest).inTime)).To(BeNumerically(">=", 0.95))
	all := w.share(-1, 0, waveLength, (*waveRequest).served)
	for rank := range 3 {
		g.Expect(w.share(rank, 0, waveLength, (*waveRequest).served)).To(BeNumerically(">=", all/4), "rank %d", rank)
	}
}

// Guards against callers that come back into the same overload: they must be told a time so
// late that most of them find room.
func TestReturnsAfterABurst(t *testing.T) {
	for seed := range uint64(3) {
		g := NewWithT(t)
		w := newWave(seed, true, true)
		w.run(waveLength, crest(1.6))
		refused, again := 0, 0
		for _, r := range w.all {
			if !r.turnedAway() {
				continue
			}
			refused++
			left := r.kind.timeout - r.firstAttempt().refused.Sub(r.arrived)
			g.Expect(r.firstAttempt().refusal.RetryAfter).To(And(BeNumerically(">=", dispatch.MinRetryAfter), BeNumerically("<=", max(dispatch.MinRetryAfter, left/3))))
			if !r.last().refused.IsZero() {
				again++
			}
		}
		t.Logf("refused %d, again %d, in time in the crest %.2f %.2f %.2f", refused, again,
			w.share(0, crestFrom, crestUntil, (*waveRequest).inTime), w.share(1, crestFrom, crestUntil, (*waveRequest).inTime), w.share(2, crestFrom, crestUntil, (*waveRequest).inTime))
		g.Expect(refused).To(BeNumerically(">", 0))
		g.Expect(float64(again)).To(BeNumerically("<=", float64(refused)/5))
	}
}

// Guards against an admission that keeps large requests out: they must not be turned away more
// than twice as often as small ones, and the largest decile must be served at least half as
// often as its kind.
func TestLargeRequestsAreAdmitted(t *testing.T) {
	g := NewWithT(t)
	var of []*waveRequest
	for seed := range uint64(4) {
		w := newWave(seed, true, true)
		w.run(waveLength, crest(1.6))
		for _, r := range w.all {
			if at := r.arrived.Sub(start); r.kind.rank == 2 && at >= crestFrom && at < crestUntil {
				of = append(of, r)
			}
		}
	}
	slices.SortFunc(of, func(a, b *waveRequest) int {
		return cmp.Compare(waveFirst(a.prompt)+waveMSPerEvent*float64(a.events), waveFirst(b.prompt)+waveMSPerEvent*float64(b.events))
	})
	share := func(of []*waveRequest, holds func(*waveRequest) bool) float64 {
		n := 0
		for _, r := range of {
			if holds(r) {
				n++
			}
		}
		return float64(n) / float64(len(of))
	}
	tenth := len(of) / 10
	small, large := share(of[:tenth], (*waveRequest).turnedAway), share(of[len(of)-tenth:], (*waveRequest).turnedAway)
	t.Logf("turned away: small %.2f, large %.2f; served: large %.2f, all %.2f", small, large, share(of[len(of)-tenth:], (*waveRequest).served), share(of, (*waveRequest).served))
	g.Expect(large).To(BeNumerically("<=", 2*small))
	g.Expect(share(of[len(of)-tenth:], (*waveRequest).served)).To(BeNumerically(">=", share(of, (*waveRequest).served)/2))
}

// Guards against a change of decisions where admission control must not be active: with the
// setting and a single rank, the decisions are those without the setting.
func TestSingleRankIsDecidedAsWithoutAdmission(t *testing.T) {
	kinds := waveKinds
	defer func() { waveKinds = kinds }()
	waveKinds = slices.Clone(kinds)
	for i := range waveKinds {
		waveKinds[i].rank = 1
	}
	for seed := range uint64(2) {
		g := NewWithT(t)
		without, with := newWave(seed, false, true), newWave(seed, true, true)
		without.run(waveLength, crest(2.5))
		with.run(waveLength, crest(2.5))
		g.Expect(with.decisions()).To(Equal(without.decisions()))
	}
}

// decisions lists what was decided on each attempt.
func (w *risingLoad) decisions() []string {
	var lines []string
	for i, r := range w.all {
		for _, a := range r.attempts {
			lines = append(lines, fmt.Sprint(i, a.arrived, a.granted, a.refused, a.refusal.Reason, a.refusal.RetryAfter, a.refusal.Wait, a.refusal.Admission, r.finished))
		}
	}
	return lines
}

// Guards against admission control of routes without an objective: the forecast cannot be
// compared with anything there.
func TestRanksWithoutObjectiveAreNotClosed(t *testing.T) {
	g := NewWithT(t)
	w := newWave(1, true, true)
	for _, e := range w.entries {
		ticket, _ := e.sched.Submit(start, dispatch.Request{ID: "x", Service: service, Class: "plain", Rank: 3, Arrived: start, Expires: start.Add(time.Second)})
		e.sched.Done(start.Add(time.Millisecond), ticket, dispatch.Report{Outcome: dispatch.Answered})
	}
	w.run(waveLength, crest(2.5))
	for _, e := range w.entries {
		g.Expect(e.changes).To(BeEmpty())
	}
	for _, r := range w.all {
		for _, a := range r.attempts {
			g.Expect(a.refusal.Admission).To(BeZero())
		}
	}
}

// Guards against an entry that cannot tell its own part of the demand, which it falls back to
// when reports are old, and against late requests that count as being ahead of timely ones.
func TestViewNamesOwnPart(t *testing.T) {
	g := NewWithT(t)
	s := dispatch.New(dispatch.Config{Name: "a", Zone: "a"})
	s.SetTargets(start, targets(1, 1))
	s.SetEntries(3)
	for i := range 2 {
		s.Submit(start, dispatch.Request{
			ID: fmt.Sprint(i), Service: service, Class: "c", Rank: 1, Arrived: start,
			Objective: start.Add(time.Second), Expires: start.Add(10 * time.Second),
		})
	}
	alone := s.View(start, service)
	g.Expect(alone.Size).To(Equal(3))
	g.Expect(alone.Backlog).To(Equal(alone.Own.Backlog.Times(3)), "the others are assumed to have as much")
	g.Expect(alone.Own.Backlog[1]).To(BeNumerically("~", 0.3, 1e-9))

	s.SetPeerLoad(start, "b", dispatch.Load{Pools: map[string]poolview.Demand{service: {Backlog: poolview.Work{5}}}})
	now := start.Add(2 * time.Second)
	both := s.View(now, service)
	g.Expect(both.Age).To(Equal(2 * time.Second))
	g.Expect(both.Backlog[0]).To(BeNumerically("==", 5))
	g.Expect(both.Own.Backlog[0]).To(BeZero())
	g.Expect(both.Own.Backlog[1]).To(BeZero(), "the request is late")
	g.Expect(both.Own.Backlog.Total()).To(BeNumerically("~", 0.3, 1e-9))
}

// Guards against work beyond an organisation's pace that counts as urgent: it counts for the
// next rank, which is refused first.
func TestExcessCountsForTheNextRank(t *testing.T) {
	g := NewWithT(t)
	s := dispatch.New(dispatch.Config{Name: "a", Zone: "a", Admission: true})
	s.SetTargets(start, targets(1, 1))
	for i := range 2 {
		s.Submit(start, dispatch.Request{
			ID: fmt.Sprint(i), Service: service, Class: "c", Rank: 1, Arrived: start, Excess: true,
			Objective: start.Add(time.Second), Expires: start.Add(10 * time.Second),
		})
	}
	view := s.View(start, service)
	g.Expect(view.Backlog[1] + view.Arriving[1]).To(BeZero())
	g.Expect(view.Backlog[2]).To(BeNumerically("~", 0.3, 1e-9))
	g.Expect(view.Arriving[2]).To(BeNumerically(">", 0))
}

// Guards against callers that came back late in any case and take the slot of one that can still
// be in time.
func TestReturnedRequestWaitsInTurn(t *testing.T) {
	g := NewWithT(t)
	s := dispatch.New(dispatch.Config{Name: "a", Zone: "a", Admission: true})
	s.SetTargets(start, targets(1, 1))
	request := func(id string, rank int, at time.Time) dispatch.Request {
		return dispatch.Request{
			ID: id, Service: service, Class: fmt.Sprint(rank), Rank: rank, Arrived: at,
			Objective: at.Add(2 * time.Second), Expires: at.Add(10 * time.Second),
		}
	}
	for rank := range 2 {
		ticket, _ := s.Submit(start, request("learn", rank, start))
		s.Done(start.Add(100*time.Millisecond), ticket, dispatch.Report{Outcome: dispatch.Answered})
	}
	now := start.Add(time.Second)
	running, _ := s.Submit(now, request("running", 0, now))
	_, effects := s.Submit(now, request("new", 1, now))
	g.Expect(effects).To(BeZero())
	now = now.Add(10 * time.Millisecond)
	returned := request("returned", 1, now)
	returned.Waited = time.Second
	_, effects = s.Submit(now, returned)
	g.Expect(effects).To(BeZero())
	effects = s.Done(now.Add(100*time.Millisecond), running, dispatch.Report{Outcome: dispatch.Answered})
	g.Expect(effects.Grants).To(HaveLen(1))
	g.Expect(effects.Grants[0].Ticket.ID).To(Equal("new"))
}

// BenchmarkAdmission measures a request of a closed rank, and the same request without admission
// control, at an entry that hears from eleven others of its cell, with 13 targets and fifty
// requests in the queue.
func BenchmarkAdmission(b *testing.B) {
	for _, admission := range []bool{false, true} {
		b.Run(fmt.Sprint(admission), func(b *testing.B) {
			s := dispatch.New(dispatch.Config{Name: "a", Zone: "a", Admission: admission})
			s.SetTargets(start, targets(13, 4))
			s.SetEntries(12)
			now := start
			submit := func(rank int) *dispatch.Ticket {
				ticket, _ := s.Submit(now, dispatch.Request{
					ID: "x", Service: service, Class: fmt.Sprint(rank), Rank: rank, Arrived: now,
					Objective: now.Add(time.Second), Expires: now.Add(10 * time.Second), Work: dispatch.Work{Prompt: 1000, Output: 30},
				})
				return ticket
			}
			for rank := range 3 {
				s.Done(now.Add(300*time.Millisecond), submit(rank), dispatch.Report{Outcome: dispatch.Answered})
			}
			load := dispatch.Load{Pools: map[string]poolview.Demand{service: {Backlog: poolview.Work{0, 10}}}}
			for i := range 11 {
				s.SetPeerLoad(now, fmt.Sprintf("peer-%d", i), load)
			}
			for range 13*4 + 50 {
				submit(1)
			}
			for range 30 {
				now = now.Add(10 * time.Millisecond)
				s.Cancel(submit(2))
			}
			if admission && len(s.LevelChanges()) == 0 {
				b.Fatal("no rank is closed")
			}
			b.ReportAllocs()
			for b.Loop() {
				s.Cancel(submit(2))
			}
		})
	}
}
