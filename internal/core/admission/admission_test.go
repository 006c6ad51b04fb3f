package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/poolview"
)

var start = time.Unix(1_000_000, 0)

const tick = 10 * time.Millisecond

func request(rank int) Request {
	return Request{Rank: rank, Work: 0.5, Objective: 800 * time.Millisecond, Patience: 3 * time.Second, Left: 6 * time.Second}
}

// view returns a view of a cell of four entries that can do 40 slot seconds a second.
func view(arriving, backlog poolview.Work) poolview.View {
	return poolview.View{
		Capacity: 40, Arriving: arriving, Backlog: backlog, Entries: 4, Size: 4,
		Own: poolview.Demand{Arriving: arriving.Times(0.25), Backlog: backlog.Times(0.25)},
	}
}

// inUse returns a controller that has seen requests of three ranks.
func inUse() *Controller {
	c := &Controller{}
	c.Observe(start, view(poolview.Work{}, poolview.Work{}))
	for rank := range 3 {
		c.Decide(start, request(rank))
	}
	return c
}

// observe shows the same view for a time and returns the changes.
func observe(c *Controller, from time.Time, length time.Duration, v poolview.View) []Change {
	var changes []Change
	for at := time.Duration(0); at <= length; at += tick {
		if change, changed := c.Observe(from.Add(at), v); changed {
			changes = append(changes, change)
		}
	}
	return changes
}

var overload = view(poolview.Work{20, 20, 20}, poolview.Work{20, 20, 40})

// Guards against ranks that are closed for a short queue: a forecast must last.
func TestShortQueueClosesNothing(t *testing.T) {
	g := NewWithT(t)
	c := inUse()
	g.Expect(observe(c, start, closeAfter-tick, overload)).To(BeEmpty())
	g.Expect(observe(c, start.Add(closeAfter), tick, view(poolview.Work{}, poolview.Work{1, 1, 1}))).To(BeEmpty())
	g.Expect(observe(c, start.Add(closeAfter+2*tick), closeAfter-tick, overload)).To(BeEmpty())
}

// Guards against ranks that are turned away although the queue would serve them late.
func TestOnlyAsManyRanksAsAllowedAreClosed(t *testing.T) {
	g := NewWithT(t)
	c := inUse()
	c.MaxClosed = 1
	closing := observe(c, start, 2*time.Second, view(poolview.Work{80}, poolview.Work{60, 0, 0}))
	g.Expect(closing).To(HaveLen(1))
	g.Expect(closing[0].Rank).To(Equal(2))
	g.Expect(c.Decide(start.Add(2*time.Second), request(0)).Admit).To(BeTrue())
	g.Expect(c.Decide(start.Add(2*time.Second), request(1)).Admit).To(BeTrue())
	g.Expect(c.Decide(start.Add(2*time.Second), request(2)).Admit).To(BeFalse())
}

// Guards against a rank that is closed while a lower one is open, and against jumps of the
// level.
func TestLeastUrgentRankIsClosedFirstAndOpenedLast(t *testing.T) {
	g := NewWithT(t)
	c := inUse()
	all := view(poolview.Work{80}, poolview.Work{60, 0, 0})
	closing := observe(c, start, time.Second, all)
	g.Expect(closing).To(HaveLen(3))
	for i, change := range closing {
		g.Expect(change.Rank).To(Equal(2 - i))
		g.Expect(change.Closed).To(Equal(i + 1))
	}
	g.Expect(c.Decide(start.Add(time.Second), request(0)).Admit).To(BeFalse())
	opening := observe(c, start.Add(time.Second+tick), 3*time.Second, view(poolview.Work{}, poolview.Work{}))
	g.Expect(opening).To(HaveLen(3))
	for i, change := range opening {
		g.Expect(change.Rank).To(Equal(i))
		g.Expect(change.Closed).To(Equal(2 - i))
	}
}

// Guards against the failure "reports are older": the entry uses its own backlog and its share
// of the capacity.
func TestOldReportsAreReplacedByOwnFigures(t *testing.T) {
	g := NewWithT(t)
	old := overload
	old.Age = maxAge + tick
	old.Own = poolview.Demand{}
	g.Expect(observe(inUse(), start, time.Second, old)).To(BeEmpty(), "others' backlog is not used")
	old.Own = overload.Own
	c := inUse()
	g.Expect(observe(c, start, time.Second, old)).NotTo(BeEmpty())
	fresh := inUse()
	observe(fresh, start, time.Second, overload)
	g.Expect(c.forecasts).To(Equal(fresh.forecasts), "a quarter of the backlog over a quarter of the capacity")
}

// Guards against the failure "no capacity is known": all ranks are open.
func TestNoCapacityOpensAllRanks(t *testing.T) {
	g := NewWithT(t)
	c := inUse()
	observe(c, start, time.Second, overload)
	g.Expect(c.Closed()).To(BeNumerically(">", 0))
	unknown := overload
	unknown.Capacity = 0
	change, changed := c.Observe(start.Add(time.Second+tick), unknown)
	g.Expect(changed).To(BeTrue())
	g.Expect(change.Closed).To(BeZero())
	g.Expect(c.Decide(start.Add(time.Second+tick), request(2)).Admit).To(BeTrue())
}

// Guards against ranks that stay closed after their traffic, or all traffic, has ended.
func TestRankOpensWithoutRequests(t *testing.T) {
	g := NewWithT(t)
	c := inUse()
	observe(c, start, time.Second, overload)
	g.Expect(c.Closed()).To(BeNumerically(">", 0))
	idle := view(poolview.Work{}, poolview.Work{})
	for i := range 4 {
		c.Observe(start.Add(time.Duration(3+i)*time.Second), idle)
	}
	g.Expect(c.Closed()).To(BeZero())
}

// Guards against promises that outlive a crashed entry or are inherited: they are held by one
// entry, and expire if nobody takes them.
func TestUntakenPromiseExpires(t *testing.T) {
	g := NewWithT(t)
	var c, other Calendar
	at, found := c.Promise(start, 0.5, minRetryAfter, time.Second, Plan{Rate: 10})
	g.Expect(found).To(BeTrue())
	due := start.Add(at)
	g.Expect(c.Promised(due.Add(promiseTTL - interval))).To(BeNumerically("~", 0.5, 1e-9))
	g.Expect(other.Take(due, 0.5)).To(BeFalse())
	g.Expect(c.Take(due.Add(promiseTTL+interval), 0.5)).To(BeFalse())
	g.Expect(c.Promised(due.Add(promiseTTL + interval))).To(BeZero())
}

// Guards against more returning work than was promised room for.
func TestPromiseIsTakenOnce(t *testing.T) {
	g := NewWithT(t)
	var c Calendar
	at, _ := c.Promise(start, 0.5, interval, time.Second, Plan{Rate: 10})
	g.Expect(c.Take(start, 0.5)).To(BeFalse(), "not due yet")
	g.Expect(c.Take(start.Add(at), 0.5)).To(BeTrue())
	g.Expect(c.Take(start.Add(at), 0.5)).To(BeFalse())
}

// Guards against callers that are told to return at the same time: no interval is promised more
// than its room, and the returns are spread inside it.
func TestReturnsFitTheRoomAndAreSpread(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	var c Calendar
	plan := Plan{Rate: 8, Busy: 700 * time.Millisecond}
	room := plan.Rate * interval.Seconds()
	perInterval := make(map[time.Duration]int)
	offsets := make(map[time.Duration]bool)
	promised, refused := 0.0, 0
	for range 600 {
		work := 0.05 * math.Exp(random.NormFloat64())
		at, found := c.Promise(start, work, minRetryAfter, 4*time.Second, plan)
		if !found {
			refused++
			continue
		}
		promised += work
		g.Expect(at).To(And(BeNumerically(">=", plan.Busy), BeNumerically("<=", 4*time.Second)))
		perInterval[at/interval]++
		offsets[at%interval/(interval/5)] = true
		for _, work := range c.promised {
			g.Expect(work).To(BeNumerically("<=", room+1e-9))
		}
	}
	g.Expect(len(perInterval)).To(BeNumerically(">", 4))
	g.Expect(offsets).To(HaveLen(5))
	g.Expect(promised).To(BeNumerically("<=", plan.Rate*(horizon-plan.Busy).Seconds()+room))
	g.Expect(refused).To(BeNumerically(">", 0), "the work exceeds the room of all intervals")
}

// Guards against a short retry delay while there is no room, and against callers that return
// together: they are told the latest time for which they wait, slightly spread, and
// nothing is reserved.
func TestNoRoomMeansTheLatestTime(t *testing.T) {
	g := NewWithT(t)
	c := inUse()
	observe(c, start, time.Second, view(poolview.Work{50, 20, 20}, poolview.Work{40, 40, 40}))
	now := start.Add(time.Second)
	decision := c.Decide(now, request(2))
	g.Expect(decision.Admit).To(BeFalse())
	g.Expect(decision.Promised).To(BeFalse())
	g.Expect(decision.RetryAfter).To(And(BeNumerically("<=", 2*time.Second), BeNumerically(">", 2*time.Second-returnSpread)))
	parts := make(map[time.Duration]int)
	for range 60 {
		at, _ := c.Return(now, request(2))
		g.Expect(at).To(And(BeNumerically("<=", 2*time.Second), BeNumerically(">", 2*time.Second-returnSpread)))
		parts[(2*time.Second-at)/(returnSpread/6)]++
	}
	for _, n := range parts {
		g.Expect(n).To(BeNumerically("~", 10, 2), "callers refused at the same time return spread over returnSpread")
	}
	g.Expect(c.calendar.Promised(now)).To(BeZero())
	late := request(2)
	late.Left = 100 * time.Millisecond
	g.Expect(c.Decide(now, late).RetryAfter).To(Equal(minRetryAfter))
}

// Guards against a second refusal: a caller that has come back is admitted to a closed rank as
// long as it can be served before it must leave the queue.
func TestReturnedRequestIsAdmitted(t *testing.T) {
	g := NewWithT(t)
	c := inUse()
	observe(c, start, time.Second, view(poolview.Work{20, 20, 20}, poolview.Work{10, 10, 30}))
	now := start.Add(time.Second)
	g.Expect(c.Decide(now, request(2)).Admit).To(BeFalse())
	returned := request(2)
	returned.Returned = true
	returned.Patience = 30 * time.Second
	g.Expect(c.Decide(now, returned)).To(And(HaveField("Admit", true), HaveField("Reason", ReasonReturned)))
	returned.Patience = 100 * time.Millisecond
	g.Expect(c.Decide(now, returned).Admit).To(BeFalse())
}

// Guards against starvation of a closed rank and of its large requests: one in eight is let
// through, and large ones are turned away at most twice as often as small ones.
func TestProbesIncludeLargeRequests(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(3, 4))
	c := inUse()
	observe(c, start, time.Second, overload)
	admitted, all := [2]int{}, [2]int{}
	const n = 8000
	for range n {
		r := request(2)
		r.Work = math.Exp(1.1 * random.NormFloat64())
		size := 0
		if r.Work > 4 {
			// About the largest decile.
			size = 1
		}
		all[size]++
		if c.Decide(start.Add(time.Second), r).Admit {
			admitted[size]++
		}
	}
	share := func(size int) float64 { return float64(admitted[size]) / float64(all[size]) }
	t.Logf("admitted: small %.3f, large %.3f", share(0), share(1))
	g.Expect(float64(admitted[0]+admitted[1]) / n).To(BeNumerically("~", probeShare, 0.01))
	g.Expect(1 - share(1)).To(BeNumerically("<=", 2*(1-share(0))))
	g.Expect(share(1)).To(BeNumerically(">=", probeShare/2))
}

// Guards against lower ranks that take slots while a higher one is refused: a short queue lets a
// rank in only if all closed ranks above it are let in, whatever its own objective.
func TestLongObjectiveDoesNotFitBeforeAHigherRank(t *testing.T) {
	g := NewWithT(t)
	c := inUse()
	now := start.Add(time.Second)
	short, long := request(1), request(2)
	short.Objective, long.Objective = 200*time.Millisecond, 10*time.Second
	for range meanWindow * 4 {
		c.Decide(start, short)
		c.Decide(start, long)
	}
	observe(c, start, time.Second, view(poolview.Work{}, poolview.Work{0, 60, 0}))
	g.Expect(c.Closed()).To(BeNumerically(">=", 2))
	observe(c, now, tick, view(poolview.Work{0, 60, 0}, poolview.Work{0, 4, 0}))
	c.ranks[1].probes, c.ranks[2].probes = probes{}, probes{}
	g.Expect(c.Decide(now, short).Admit).To(BeFalse())
	g.Expect(c.Decide(now, long).Admit).To(BeFalse())
	observe(c, now.Add(tick), tick, view(poolview.Work{}, poolview.Work{0, 1, 0}))
	g.Expect(c.Decide(now, short)).To(HaveField("Reason", ReasonFits))
	g.Expect(c.Decide(now, long)).To(HaveField("Reason", ReasonFits))
}

// Guards against a rank that is closed by two short queues with nothing seen between them.
func TestPauseBetweenObservationsClosesNothing(t *testing.T) {
	g := NewWithT(t)
	c := inUse()
	c.Observe(start.Add(time.Second), overload)
	_, changed := c.Observe(start.Add(2*time.Second), overload)
	g.Expect(changed).To(BeFalse())
}

// Guards against a rank that stays closed long after a burst because of the mean rate, which
// decays over seconds.
func TestRecentRateFollowsTheEndOfABurst(t *testing.T) {
	g := NewWithT(t)
	var meter poolview.Meter
	var rate recentRate
	now := start
	for range 400 {
		now = now.Add(tick)
		meter.Add(now, 0, 0.6)
		rate.observe(now, poolview.View{Arriving: meter.Rate(now), Entries: 1})
	}
	g.Expect(rate.recent[0]).To(BeNumerically("~", 60, 2))
	for range int((rateWindow + rateStep) / tick) {
		now = now.Add(tick)
		meter.Add(now, 0, 0.1)
		rate.observe(now, poolview.View{Arriving: meter.Rate(now), Entries: 1})
	}
	g.Expect(meter.Rate(now)[0]).To(BeNumerically(">", 45))
	g.Expect(rate.recent[0]).To(BeNumerically("~", 10, 5))
	// A report that is lost changes the sum, not the demand.
	rate.observe(now.Add(tick), poolview.View{Arriving: poolview.Work{20}, Entries: 2})
	g.Expect(rate.recent[0]).To(BeNumerically("==", 20))
}

// BenchmarkDecide measures an observation and a decision in a closed rank. The state of a
// controller does not grow.
func BenchmarkDecide(b *testing.B) {
	c := inUse()
	observe(c, start, time.Second, overload)
	now := start.Add(time.Second)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		c.Observe(now, overload)
		c.Decide(now, request(2))
	}
}
