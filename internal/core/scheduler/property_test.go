package scheduler

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/request"
)

const (
	step     = 5 * time.Millisecond
	maxDelay = 30 * time.Millisecond
	pool     = "p"
)

// world simulates two schedulers with three targets, and one owner of all
// requests. Messages take a random time and stay in order on each link. The
// owner behaves correctly: it refreshes offers, uses grants while they are
// valid, reports runs and tries other targets.
type world struct {
	t           *rapid.T
	now         time.Time
	set         Settings
	schedulers  map[ident.Incarnation]*Scheduler
	slots       map[string]int
	schedulerOf map[string]ident.Incarnation // as the owner sees them
	inTransit   []envelope
	last        map[string]time.Time
	requests    map[ident.RequestID]*call
	order       []*call
	asks        uint64
	floors      []floorSeen
	unsettled   map[string]bool // targets whose takeover is in progress
	stats       map[string]int
}

type envelope struct {
	at       time.Time
	from, to ident.Incarnation
	m        message.Message
}

// call is a request as its owner sees it.
type call struct {
	offer      message.Offer
	length     time.Duration
	deadline   time.Time
	slack      time.Duration
	redirected time.Time // when it was last directed to another target with capacity
	due        time.Time
	sent       map[uint64]time.Time // by ask
	lastSent   time.Time
	tried      int
	offered    bool
	running    bool
	started    time.Time
	answered   string
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Unix(1e6, 0), set: testSettings(),
		schedulers: map[ident.Incarnation]*Scheduler{}, last: map[string]time.Time{},
		slots:       map[string]int{"t": 1, "u": 2, "v": 1},
		schedulerOf: map[string]ident.Incarnation{"t": "a", "u": "b", "v": "a"},
		requests:    map[ident.RequestID]*call{}, unsettled: map[string]bool{}, stats: map[string]int{},
	}
	w.set.Preempt = rapid.Bool().Draw(t, "preempt")
	for i, name := range []ident.Incarnation{"a", "b"} {
		s := New(name, uint64(i), nil)
		s.Configure(w.now, w.set)
		s.SetPool(pool, []ident.Incarnation{"a", "b"})
		w.schedulers[name] = s
	}
	w.schedulers["a"].SetTargets(w.now, w.targets("t", "v"))
	w.schedulers["b"].SetTargets(w.now, w.targets("u"))
	w.pass(w.set.FailureTimeout + w.set.FloorTime)
	return w
}

func (w *world) targets(names ...string) []Target {
	var list []Target
	for _, name := range names {
		list = append(list, Target{Name: name, Pool: pool, MaxInFlight: w.slots[name], PrefillRate: 5000, StepTime: 5 * time.Millisecond})
	}
	return list
}

func (w *world) post(from, to ident.Incarnation, m message.Message) {
	link := string(from + ">" + to)
	at := w.now
	if from != to {
		at = at.Add(time.Duration(rapid.IntRange(0, int(maxDelay/step)).Draw(w.t, "delay")) * step)
	}
	if at.Before(w.last[link]) {
		at = w.last[link]
	}
	w.last[link] = at
	w.inTransit = append(w.inTransit, envelope{at, from, to, m})
}

// pass advances the time and checks the invariants after every step.
func (w *world) pass(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		w.deliver()
		if w.now.UnixMilli()%20 == 0 {
			for _, name := range []ident.Incarnation{"a", "b"} {
				w.checkEffects(name, w.schedulers[name].Tick(w.now))
			}
			w.runOwner()
		}
		w.checkSlots()
	}
}

func (w *world) deliver() {
	var later, due []envelope
	for _, l := range w.inTransit {
		if l.at.After(w.now) {
			later = append(later, l)
		} else {
			due = append(due, l)
		}
	}
	w.inTransit = later
	for _, l := range due {
		s := w.schedulers[l.to]
		switch m := l.m.(type) {
		case message.Offer:
			w.checkEffects(l.to, s.Offer(w.now, l.from, m))
		case message.Done:
			w.checkEffects(l.to, s.Done(w.now, l.from, m))
		case message.Running:
			w.checkEffects(l.to, s.Running(w.now, l.from, m))
		case message.FloorRequest:
			w.checkEffects(l.to, s.FloorAsk(w.now, l.from, m))
		case message.FloorReply:
			w.checkEffects(l.to, s.FloorReply(w.now, l.from, m))
		case message.Grant:
			w.granted(m)
		case message.Refuse:
			w.refused(m)
		case message.Preempt:
			w.preempted(m)
		}
	}
}

func (w *world) submit() {
	id := ident.RequestID(fmt.Sprintf("r%d", len(w.order)))
	prompt := rapid.SampledFrom([]int{50, 400, 1500}).Draw(w.t, "prompt")
	total := time.Duration(prompt)*time.Second/5000 + 21*5*time.Millisecond
	remaining := total + time.Duration(rapid.IntRange(1, 200).Draw(w.t, "slack"))*10*time.Millisecond
	c := &call{
		sent: map[uint64]time.Time{},
		offer: message.Offer{
			ID: id, Organisation: rapid.SampledFrom([]string{"x", "y"}).Draw(w.t, "org"),
			Tier:         request.Tier(rapid.IntRange(0, 3).Draw(w.t, "tier")),
			PromptTokens: prompt, MaxTokens: 20, Idempotent: rapid.IntRange(0, 2).Draw(w.t, "once") > 0,
		},
		deadline: w.now.Add(remaining),
		due:      w.now.Add(remaining - total),
		slack:    remaining - total,
		length:   total * time.Duration(rapid.IntRange(2, 10).Draw(w.t, "length")) / 10,
		tried:    rapid.IntRange(0, 2).Draw(w.t, "first"),
	}
	w.requests[id] = c
	w.order = append(w.order, c)
	w.offer(c, []string{"t", "u", "v"}[c.tried], false)
}

func (w *world) offer(c *call, target string, final bool) {
	c.offer.Target = target
	c.offer.Final = final
	c.offered = true
	w.refresh(c)
}

func (w *world) refresh(c *call) {
	w.asks++
	c.sent[w.asks] = w.now
	c.lastSent = w.now
	o := c.offer
	o.Seq = w.asks
	o.Remaining = c.deadline.Sub(w.now)
	w.post("o", w.schedulerOf[o.Target], o)
}

func (w *world) granted(m message.Grant) {
	c := w.requests[m.ID]
	valid := c.offered && !c.running && c.answered == "" && m.Target == c.offer.Target
	if !valid || !w.now.Before(c.sent[m.OfferSeq].Add(m.Valid)) {
		return
	}
	c.running = true
	c.started = w.now
	w.stats["ran"]++
}

func (w *world) refused(m message.Refuse) {
	c := w.requests[m.ID]
	if c.running || c.answered != "" || m.Target != c.offer.Target {
		return
	}
	switch {
	case m.PoolWide:
		c.answered = string(m.Reason)
	case Moved(m):
		c.offered = false // offered again by runOwner
	case m.Alternative != "":
		c.redirected = w.now
		w.offer(c, m.Alternative, false)
		w.stats["elsewhere"]++
	case c.offer.Final:
		c.offered = false
	default:
		c.tried++
		w.offer(c, []string{"t", "u", "v"}[c.tried%3], c.tried >= 3)
	}
}

func (w *world) preempted(m message.Preempt) {
	c := w.requests[m.ID]
	if !c.offer.Idempotent {
		w.t.Fatalf("%s may not be repeated and was preempted", m.ID)
	}
	w.stats["preempted"]++
	c.answered = "preempted"
	w.end(c, message.ResultCancelled)
}

func (w *world) end(c *call, result message.Result) {
	c.running = false
	w.post("o", w.schedulerOf[c.offer.Target], message.Done{ID: c.offer.ID, Target: c.offer.Target, Result: result})
}

// runOwner performs the owner's periodic work, every 20 ms.
func (w *world) runOwner() {
	runs := map[ident.Incarnation][]message.Run{}
	for _, c := range w.order {
		switch {
		case c.running && w.now.Sub(c.started) >= c.length:
			c.answered = "answered"
			w.end(c, message.ResultComplete)
		case c.running:
			o := c.offer
			o.Remaining = c.deadline.Sub(w.now)
			assigned := w.schedulerOf[o.Target]
			runs[assigned] = append(runs[assigned], message.Run{Offer: o, Age: w.now.Sub(c.started), Started: w.now.Sub(c.started) > c.length/2})
		case c.answered == "" && !c.offered:
			w.offer(c, c.offer.Target, c.offer.Final)
		case c.answered == "" && w.now.Sub(c.lastSent) >= w.set.GrantTime/2:
			w.refresh(c)
		}
	}
	for _, home := range []ident.Incarnation{"a", "b"} {
		if len(runs[home]) > 0 {
			w.post("o", home, message.Running{Runs: runs[home]})
		}
	}
}

// move assigns target v to the other scheduler; the views change one by one.
func (w *world) move() {
	w.unsettled["v"] = true
	views := rapid.Permutation([]func(){
		func() { w.checkEffects("b", w.schedulers["b"].SetTargets(w.now, w.targets("u", "v"))) },
		func() { w.checkEffects("a", w.schedulers["a"].SetTargets(w.now, w.targets("t"))) },
		func() { w.schedulerOf["v"] = "b" },
	}).Draw(w.t, "views")
	for _, change := range views {
		change()
		w.pass(time.Duration(rapid.IntRange(0, 10).Draw(w.t, "apart")) * step)
	}
}

// TestMain sets the seed and the number of schedules, unless flags set them.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		f := flag.Lookup(name)
		if f.Value.String() != f.DefValue {
			continue
		}
		if err := f.Value.Set(value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestSchedulerInvariants runs random schedules and checks the following at every
// step. No lower work is granted before waiting higher work, nor after a settled
// refusal while its floor is in force. When a refusal is settled, no lower work
// waits at any target, and lower runs have been waited for as long as the
// deadline allows. Targets hold no more requests than they have slots. Calls that
// may not be repeated are never preempted. Every request is answered.
func TestSchedulerInvariants(t *testing.T) {
	total := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		n := rapid.IntRange(1, 60).Draw(t, "requests")
		moveAt := rapid.IntRange(0, 2*n).Draw(t, "move")
		for i := range n {
			w.submit()
			w.pass(time.Duration(rapid.IntRange(0, 8).Draw(t, "gap")) * step)
			if i == moveAt {
				w.move()
			}
		}
		w.pass(6 * time.Second)
		for _, c := range w.order {
			if c.answered == "" {
				t.Fatalf("%s has no answer", c.offer.ID)
			}
			w.stats[c.answered]++
		}
		for k, v := range w.stats {
			total[k] += v
		}
	})
	t.Log(total)
	if total["settled"] == 0 || total["preempted"] == 0 || total["elsewhere"] == 0 {
		t.Fatal("the random schedules reached no settled refusal, no preemption or no redirection")
	}
}
