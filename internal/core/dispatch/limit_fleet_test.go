package dispatch_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/dispatch"
)

// limitedFleet simulates entries and the targets of one service, some of which declare a
// limit from limitFrom to limitUntil, on a virtual clock.
type limitedFleet struct {
	entries, targets, slots int
	// perSecond is the number of requests a second over all entries, hold the time for
	// which a target works on one.
	perSecond float64
	hold      time.Duration
	// limited is the number of targets that declare limit.
	limited int
	limit   float64
	// grace is the time from the first declaration until the limit binds: a window that ends
	// later is checked with all its requests, including those sent before.
	grace time.Duration
	// loss is the share of reports between entries that is lost.
	loss float64
	seed uint64
}

const (
	limitFrom  = 3 * time.Second
	limitUntil = 15 * time.Second
	runLength  = 20 * time.Second
	// A limit binds the requests of any limitWindow.
	limitWindow = 4 * time.Second
)

// limitedRun is the state of a simulation.
type limitedRun struct {
	fleet   limitedFleet
	random  *rand.Rand
	now     time.Time
	pending events
	sched   []*dispatch.Scheduler
	// changed means that the entry's load has changed since its last report, at reportedAt.
	changed    []bool
	reportedAt []time.Time
	arrivals   map[string][]time.Duration
	// due is the number of requests that arrived early enough to be answered within the
	// run, answered the time that each of those took, sorted by share.
	due      int
	answered []time.Duration
	sent     int
}

func (f limitedFleet) run() *limitedRun {
	r := &limitedRun{fleet: f, random: rand.New(rand.NewPCG(f.seed, 7)), now: start, arrivals: make(map[string][]time.Duration)}
	list := targets(f.targets, f.slots)
	cells := dispatch.Cells(f.entries)
	for i := range f.entries {
		s := dispatch.New(dispatch.Config{Name: fmt.Sprintf("e-%d", i), Zone: "a"})
		s.SetTargets(start, list)
		s.SetEntries(f.entries)
		s.SetCell(start, dispatch.CellOf(i, f.entries), cells)
		r.sched = append(r.sched, s)
		r.changed, r.reportedAt = append(r.changed, false), append(r.reportedAt, start)
		r.arrive(i)
		r.report(i)
	}
	for len(r.pending) > 0 {
		e := heap.Pop(&r.pending).(event)
		if e.at.Sub(start) > runLength {
			break
		}
		r.now = e.at
		e.do()
	}
	return r
}

func (r *limitedRun) after(pause time.Duration, do func()) {
	heap.Push(&r.pending, event{at: r.now.Add(pause), do: do})
}

// arrive generates requests at an entry.
func (r *limitedRun) arrive(i int) {
	mean := float64(time.Second) * float64(r.fleet.entries) / r.fleet.perSecond
	r.after(time.Duration(r.random.ExpFloat64()*mean), func() {
		r.sent++
		if r.isDue(r.now) {
			r.due++
		}
		_, effects := r.sched[i].Submit(r.now, dispatch.Request{
			ID: fmt.Sprint("r", r.sent), Service: service, Class: "c", Arrived: r.now,
			Objective: r.now.Add(800 * time.Millisecond), Expires: r.now.Add(4 * time.Second),
		})
		r.apply(i, effects)
		r.arrive(i)
	})
}

func (r *limitedRun) apply(i int, effects dispatch.Effects) {
	r.changed[i] = r.changed[i] || len(effects.Grants) > 0 || len(effects.Limits) > 0
	for _, grant := range effects.Grants {
		id, sentAt := grant.Target.ID, r.now.Sub(start)
		r.arrivals[id] = append(r.arrivals[id], sentAt)
		hold := time.Duration(float64(r.fleet.hold) * (0.5 + r.random.Float64()))
		r.after(hold, func() {
			if r.isDue(grant.Ticket.Arrived) {
				r.answered = append(r.answered, r.now.Sub(grant.Ticket.Arrived))
			}
			r.changed[i] = true
			r.apply(i, r.sched[i].ObserveLimit(r.now, grant.Ticket, r.declared(id)))
			r.apply(i, r.sched[i].Done(r.now, grant.Ticket, dispatch.Report{Outcome: dispatch.Answered, Latency: hold}))
		})
	}
}

// declared returns the limit that a target's answer declares now.
func (r *limitedRun) declared(id string) dispatch.Limit {
	at := r.now.Sub(start)
	var number int
	_, _ = fmt.Sscanf(id, "t-%d", &number)
	if number >= r.fleet.limited || at < limitFrom || at >= limitUntil {
		return dispatch.Limit{}
	}
	return dispatch.Limit{Declared: true, PerSecond: r.fleet.limit}
}

// report sends an entry's load to its cell if it has changed, or after a second, and checks
// its queue.
func (r *limitedRun) report(i int) {
	r.after(10*time.Millisecond, func() {
		if r.changed[i] || r.now.Sub(r.reportedAt[i]) >= time.Second {
			r.changed[i], r.reportedAt[i] = false, r.now
			r.sendToCell(i, r.sched[i].OwnLoad(r.now))
		}
		if r.sched[i].Waiting() > 0 {
			r.apply(i, r.sched[i].Tick(r.now))
		}
		r.report(i)
	})
}

func (r *limitedRun) sendToCell(i int, load dispatch.Load) {
	cell := dispatch.CellOf(i, r.fleet.entries)
	for j := range r.sched {
		if j == i || dispatch.CellOf(j, r.fleet.entries) != cell || r.random.Float64() < r.fleet.loss {
			continue
		}
		r.after(reportDelay, func() { r.apply(j, r.sched[j].SetPeerLoad(r.now, fmt.Sprintf("e-%d", i), load)) })
	}
}

// most returns the highest number of requests that a target got in one window while its limit bound.
func (r *limitedRun) most(id string) int {
	most := 0
	for _, first := range r.arrivals[id] {
		if first+limitWindow < limitFrom+r.fleet.grace || first+limitWindow > limitUntil {
			continue
		}
		most = max(most, r.count(id, first, first+limitWindow))
	}
	return most
}

func (r *limitedRun) count(id string, from, to time.Duration) int {
	n := 0
	for _, at := range r.arrivals[id] {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// allowed returns 1.5 times the limit of a window, plus five requests.
func (f limitedFleet) allowed() int { return int(1.5*f.limit*limitWindow.Seconds() + 5) }

// isDue reports whether a request with this arrival time counts.
func (r *limitedRun) isDue(arrived time.Time) bool {
	return arrived.Sub(start) < runLength-time.Second
}

// share returns the share of all due requests that was answered within some time.
func (r *limitedRun) share(within time.Duration) float64 {
	slices.Sort(r.answered)
	n, _ := slices.BinarySearch(r.answered, within+1)
	return float64(n) / float64(r.due)
}

var limitedFleets = map[string]limitedFleet{
	"six entries, two of twelve engines":    {entries: 6, targets: 12, slots: 4, perSecond: 60, hold: 400 * time.Millisecond, limited: 2, limit: 1.4, grace: 3 * time.Second},
	"six entries, one of three servers":     {entries: 6, targets: 3, slots: 6, perSecond: 60, hold: 40 * time.Millisecond, limited: 1, limit: 6, grace: 3 * time.Second},
	"a full cell":                           {entries: 17, targets: 20, slots: 4, perSecond: 120, hold: 400 * time.Millisecond, limited: 3, limit: 1.5, grace: 3 * time.Second},
	"six cells share three servers":         {entries: 78, targets: 3, slots: 6, perSecond: 150, hold: 60 * time.Millisecond, limited: 1, limit: 15, grace: 4 * time.Second},
	"sixteen cells share five, a low limit": {entries: 195, targets: 5, slots: 6, perSecond: 200, hold: 60 * time.Millisecond, limited: 1, limit: 1.5, grace: 5 * time.Second},
	"a tenth of the reports are lost":       {entries: 6, targets: 12, slots: 4, perSecond: 60, hold: 400 * time.Millisecond, limited: 2, limit: 1.4, grace: 3 * time.Second, loss: 0.1},
}

// Guards against targets that get more than the limit that they declare, because an entry
// ignores the limit or each entry keeps it alone while the sum of all exceeds it.
func TestDeclaredLimitIsKeptByAllEntriesTogether(t *testing.T) {
	for name, fleet := range limitedFleets {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for seed := range uint64(3) {
				fleet.seed = seed
				run := fleet.run()
				for i := range fleet.limited {
					g.Expect(run.most(fmt.Sprintf("t-%02d", i))).To(BeNumerically("<=", fleet.allowed()), "seed %d, target %d", seed, i)
				}
			}
		})
	}
}

// Guards against a limit that makes requests to the other targets late.
func TestLimitOfOneTargetKeepsOthersInTime(t *testing.T) {
	for name, least := range map[string]float64{"six entries, two of twelve engines": 0.99, "six cells share three servers": 0.99} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			run := limitedFleets[name].run()
			g.Expect(run.share(800 * time.Millisecond)).To(BeNumerically(">=", least))
		})
	}
}

// Guards against a target that stays throttled after it has ended its limit.
func TestTargetIsUsedFullyAfterLimitEnds(t *testing.T) {
	for name, fleet := range limitedFleets {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			run := fleet.run()
			g.Expect(run.count("t-00", runLength-limitWindow, runLength)).To(BeNumerically(">", fleet.allowed()))
		})
	}
}
