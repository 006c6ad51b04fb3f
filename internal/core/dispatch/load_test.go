package dispatch_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/dispatch"
)

// The load of these tests: engines of which a third are four times as slow as the
// rest, requests whose length differs tenfold, and bursts beyond the capacity of the
// engines, scaled down to one entry.

// engine is a target that runs as many requests as it has slots and queues the rest in order.
type engine struct {
	catalog.Target
	factor  float64
	running int
	queue   []*job
}

type job struct {
	id       string
	ticket   *dispatch.Ticket
	at       *engine
	arrived  time.Time
	work     dispatch.Work
	rank     int
	begun    time.Time
	finished time.Time
}

// The reference engine reads 48 prompt tokens in a millisecond and generates a token
// in 2.9 ms.
func (j *job) first() time.Duration {
	return time.Duration(j.at.factor * (14 + float64(j.work.Prompt)/48) * float64(time.Millisecond))
}

func (j *job) rest() time.Duration {
	return time.Duration(j.at.factor * 2.9 * float64(j.work.Output) * float64(time.Millisecond))
}

type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// world simulates the requests of one entry and the engines on a virtual clock.
type world struct {
	now     time.Time
	pending events
	sched   *dispatch.Scheduler
	engines map[string]*engine
	jobs    map[*dispatch.Ticket]*job
	all     []*job
	refused map[int]int
	random  *rand.Rand
	sized   bool
}

func newWorld(seed uint64, fast, slow int, sized bool) *world {
	w := &world{
		now: start, engines: make(map[string]*engine), jobs: make(map[*dispatch.Ticket]*job),
		refused: make(map[int]int), random: rand.New(rand.NewPCG(seed, 2)), sized: sized,
	}
	list := targets(fast+slow, 4)
	for i, target := range list {
		factor := 0.68
		if i >= fast {
			factor = 3
		}
		w.engines[target.ID] = &engine{Target: target, factor: factor}
	}
	w.sched = newScheduler(list)
	return w
}

func (w *world) after(pause time.Duration, do func()) {
	heap.Push(&w.pending, event{w.now.Add(pause), do})
}

// offer generates requests until a time, at a rate that depends on the time.
func (w *world) offer(until time.Duration, rate func(time.Duration) float64) {
	at := w.now.Sub(start)
	if at > until {
		return
	}
	w.arrive()
	w.after(time.Duration(w.random.ExpFloat64()/rate(at)*float64(time.Second)), func() { w.offer(until, rate) })
}

func (w *world) arrive() {
	j := &job{
		id: fmt.Sprint(len(w.all)), arrived: w.now, rank: w.random.IntN(3),
		work: dispatch.Work{
			Prompt: min(40000, int(1500*math.Exp(w.random.NormFloat64()))),
			Output: min(1200, 1+int(60*math.Exp(1.2*w.random.NormFloat64()))),
		},
	}
	w.all = append(w.all, j)
	work := dispatch.Work{}
	if w.sized {
		work = dispatch.Work{Prompt: j.work.Prompt, Output: int(float64(j.work.Output) * math.Exp(0.5*w.random.NormFloat64()))}
	}
	ticket, effects := w.sched.Submit(w.now, dispatch.Request{
		ID: j.id, Service: service, Class: "c", Rank: j.rank, Arrived: w.now, Work: work,
		Objective: w.now.Add(800 * time.Millisecond), BeginBy: w.now.Add(3200 * time.Millisecond), Expires: w.now.Add(8 * time.Second),
	})
	j.ticket = ticket
	w.jobs[ticket] = j
	w.apply(effects)
}

func (w *world) apply(effects dispatch.Effects) {
	for _, r := range effects.Refusals {
		w.refused[w.jobs[r.Ticket].rank]++
		delete(w.jobs, r.Ticket)
	}
	for _, grant := range effects.Grants {
		j := w.jobs[grant.Ticket]
		j.at = w.engines[grant.Target.ID]
		j.at.queue = append(j.at.queue, j)
		w.start(j.at)
	}
}

func (w *world) start(at *engine) {
	for at.running < at.Slots && len(at.queue) > 0 {
		j := at.queue[0]
		at.queue = at.queue[1:]
		at.running++
		j.begun = w.now.Add(j.first())
		w.after(j.first(), func() { w.sched.ObserveFirstEvent(w.now, j.ticket) })
		w.after(j.first()+j.rest(), func() { w.finish(j) })
	}
}

func (w *world) finish(j *job) {
	j.finished = w.now
	j.at.running--
	w.start(j.at)
	w.apply(w.sched.Done(w.now, j.ticket, dispatch.Report{
		Outcome: dispatch.Answered, First: j.first(), Rest: j.rest(), Latency: j.rest() / time.Duration(j.work.Output),
	}))
}

func (w *world) run() {
	w.tick()
	for w.pending.Len() > 0 {
		next := heap.Pop(&w.pending).(event)
		w.now = next.at
		next.do()
	}
}

func (w *world) tick() {
	w.apply(w.sched.Tick(w.now))
	if w.now.Sub(start) < 40*time.Second {
		w.after(20*time.Millisecond, w.tick)
	}
}

// timely returns the share of requests of a rank, or of all if it is negative, whose
// answer began within the objective and ended in time.
func (w *world) timely(rank int) float64 {
	in, all := 0, 0
	for _, j := range w.all {
		if rank >= 0 && j.rank != rank {
			continue
		}
		all++
		if !j.finished.IsZero() && j.begun.Sub(j.arrived) <= 800*time.Millisecond && j.finished.Sub(j.arrived) <= 8*time.Second {
			in++
		}
	}
	return float64(in) / float64(all)
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// burst returns a rate that rises for five seconds.
func burst(rate, factor float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at > 8*time.Second && at < 13*time.Second {
			return rate * factor
		}
		return rate
	}
}

// At two thirds of the engines' capacity nearly all answers are in time, although a
// third of the engines are slow and none declares its speed.
func TestEnginesOfDifferentSpeedAtModerateLoad(t *testing.T) {
	for seed := range uint64(3) {
		g := NewWithT(t)
		w := newWorld(seed, 6, 3, true)
		w.offer(30*time.Second, steady(60))
		w.run()
		g.Expect(w.timely(-1)).To(BeNumerically(">", 0.97))
	}
}

// Long work on a slow engine ends after its caller has disconnected. With declared sizes
// it waits for a fast engine, and more answers are in time than without.
func TestDeclaredSizesRaiseShareInTime(t *testing.T) {
	sized, unsized := 0.0, 0.0
	for seed := range uint64(4) {
		for _, w := range []*world{newWorld(seed, 6, 3, true), newWorld(seed, 6, 3, false)} {
			w.offer(30*time.Second, steady(85))
			w.run()
			if w.sized {
				sized += w.timely(-1) / 4
			} else {
				unsized += w.timely(-1) / 4
			}
		}
	}
	t.Logf("in time: %.3f with sizes, %.3f without", sized, unsized)
	NewWithT(t).Expect(sized).To(BeNumerically(">", unsized))
}

// During a burst beyond the engines' capacity urgent requests are still served, less
// urgent ones wait and are refused first, and the overload ends with the burst, since
// late requests do not delay timely ones.
func TestBurstServesUrgentFirstAndRecovers(t *testing.T) {
	for seed := range uint64(3) {
		g := NewWithT(t)
		w := newWorld(seed, 6, 3, true)
		w.offer(30*time.Second, burst(60, 3))
		w.run()
		g.Expect(w.timely(0)).To(BeNumerically(">", 0.85))
		g.Expect(w.timely(0)).To(BeNumerically(">", w.timely(2)))
		g.Expect(w.refused[2]).To(BeNumerically(">=", w.refused[0]))
		after := 0
		for _, j := range w.all {
			if j.arrived.Sub(start) > 17*time.Second && (j.finished.IsZero() || j.begun.Sub(j.arrived) > 800*time.Millisecond) {
				after++
			}
		}
		g.Expect(after).To(BeNumerically("<", len(w.all)/50), "late after the burst")
	}
}
