package crashes_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/crashes"
)

// A fleet of entries on a virtual clock, whose targets crash under requests with one part.

const (
	simRun             = 30 * time.Millisecond
	simRestart         = 1500 * time.Millisecond
	simConfirmAnswered = 200 * time.Millisecond
	simCell            = 12
	// simTellSoon is the time within which entries announce answers.
	simTellSoon = 100 * time.Millisecond
	badPart     = "bad"
	simService  = "s"
	// soundRequest and badRequest are repeated by their callers.
	soundRequest, badRequest = crashes.Fingerprint(8), crashes.Fingerprint(7)
	// boundAfter, crashesBefore and allowedLater are the users' bound: from some seconds after the fifth
	// crash on, three requests with the part may reach targets.
	boundAfter    = 3 * time.Second
	crashesBefore = 5
	allowedLater  = 3
)

// fleet is what a play is made of, and what it counts.
type fleet struct {
	random  *rand.Rand
	now     time.Time
	events  eventQueue
	entries []*crashes.Causes
	// cut entries exchange nothing with others.
	cut map[int]bool
	// restarted is when entries were restarted.
	restarted map[int]time.Time
	targets   []*simTarget
	loss      float64
	// idle entries get no sound requests.
	idle int
	// sound is set while the bad part is sound.
	sound bool
	// whole: the bad request is one that its callers repeat, and so is the sound one.
	whole bool
	// number counts the processes of targets and the requests.
	number int

	crashed []time.Time
	// arrived are the times at which requests with the bad part reached targets from entries in touch.
	arrived     []time.Time
	datagrams   int
	begun, sent map[time.Duration]int
}

type simTarget struct {
	id      string
	up      bool
	running map[*simRequest]bool
}

type simRequest struct {
	entry  int
	began  time.Time
	causes []crashes.Cause
	bad    bool
	again  bool
	claim  crashes.Decision
}

type simEvent struct {
	at     time.Time
	number int
	do     func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].number < q[j].number
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newFleet(entries, targets int, seed uint64) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), now: now, cut: make(map[int]bool), restarted: make(map[int]time.Time),
		begun: make(map[time.Duration]int), sent: make(map[time.Duration]int),
	}
	for range entries {
		f.entries = append(f.entries, f.newEntry())
	}
	for range targets {
		f.targets = append(f.targets, &simTarget{up: true, id: f.nextID(), running: make(map[*simRequest]bool)})
	}
	return f
}

func (f *fleet) newEntry() *crashes.Causes {
	return crashes.NewCauses(func(d time.Duration) time.Duration { return time.Duration(f.random.Int64N(int64(d) + 1)) })
}

// inTouch reports whether an entry is bound by the users' bound: not while it is cut, or just after a restart.
func (f *fleet) inTouch(entry int) bool {
	at, found := f.restarted[entry]
	return !f.cut[entry] && (!found || f.now.Sub(at) > boundAfter)
}

func (f *fleet) nextID() string {
	f.number++
	return fmt.Sprint(f.number)
}

func (f *fleet) after(d time.Duration, do func()) {
	f.number++
	heap.Push(&f.events, simEvent{f.now.Add(d), f.number, do})
}

func (f *fleet) run(length time.Duration) {
	end := f.now.Add(length)
	for len(f.events) > 0 && f.events[0].at.Before(end) {
		e := heap.Pop(&f.events).(simEvent)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// tell delivers a message of an entry to all others, in two copies that may be lost.
func (f *fleet) tell(from int, apply func(*crashes.Causes)) {
	for to := range f.entries {
		if to == from {
			continue
		}
		f.datagrams += 2
		if f.cut[from] || f.cut[to] || f.random.Float64() < f.loss*f.loss {
			continue
		}
		f.after(time.Millisecond+time.Duration(f.random.Int64N(int64(4*time.Millisecond))), func() { apply(f.entries[to]) })
	}
}

// each calls a function at intervals.
func (f *fleet) each(pause time.Duration, do func(n int)) {
	var again func(n int)
	again = func(n int) {
		do(n)
		f.after(pause, func() { again(n + 1) })
	}
	f.after(pause, func() { again(0) })
}

func partsOf(ids ...string) []crashes.Cause {
	var causes []crashes.Cause
	for _, id := range ids {
		causes = append(causes, crashes.Cause{Kind: crashes.Part, Service: simService, ID: id})
	}
	return causes
}

// sendSound sends a request with the shared parts of those with the bad part, but without that one.
func (f *fleet) sendSound(n int) {
	second := f.now.Sub(now).Truncate(time.Second)
	f.sent[second]++
	if f.arrive(&simRequest{entry: f.random.IntN(len(f.entries) - f.idle), causes: f.causesOf(soundRequest, "first", fmt.Sprint("a", n%5))}) {
		f.begun[second]++
	}
}

func (f *fleet) sendBad(n int) {
	f.arrive(&simRequest{entry: f.random.IntN(len(f.entries)), causes: f.causesOf(badRequest, "first", fmt.Sprint("a", n%5), badPart), bad: !f.sound})
}

// causesOf returns the causes of a request: itself, if it is repeated, or its shared parts.
func (f *fleet) causesOf(request crashes.Fingerprint, parts ...string) []crashes.Cause {
	if f.whole {
		return []crashes.Cause{request.Cause()}
	}
	return partsOf(parts...)
}

// arrive brings a request to a target. It returns false if it is refused or no target is up.
func (f *fleet) arrive(r *simRequest) bool {
	entry := f.entries[r.entry]
	if r.again && !entry.MayRepeat(f.now, r.causes) {
		return false
	}
	if r.claim = entry.Claim(f.now, r.causes); r.claim.Refused {
		return false
	}
	if d := r.claim; d.Probe {
		f.tell(r.entry, func(other *crashes.Causes) { other.ApplyProbe(f.now, d.Cause, d.Stage) })
	}
	var up []*simTarget
	for _, t := range f.targets {
		if t.up {
			up = append(up, t)
		}
	}
	if len(up) == 0 {
		return false
	}
	t := up[f.random.IntN(len(up))]
	t.running[r], r.began = true, f.now
	if r.bad {
		if f.inTouch(r.entry) {
			f.arrived = append(f.arrived, f.now)
		}
		f.after(simRun/3, func() { f.crash(t, r) })
		return true
	}
	f.after(simRun, func() {
		if t.running[r] {
			delete(t.running, r)
			f.answer(r)
		}
	})
	return true
}

func (f *fleet) answer(r *simRequest) {
	entry := f.entries[r.entry]
	atOnce, soon := entry.RecordAnswer(f.now, r.causes)
	f.tellAnswered(r.entry, atOnce)
	if len(soon) > 0 {
		f.after(time.Duration(f.random.Int64N(int64(simTellSoon))), func() { f.tellAnswered(r.entry, entry.Unreported(soon)) })
	}
}

func (f *fleet) tellAnswered(from int, causes []crashes.Cause) {
	if len(causes) > 0 {
		f.tell(from, func(other *crashes.Causes) { other.Clear(f.now, causes) })
	}
}

// crash ends a target under a request. Another process takes its place.
func (f *fleet) crash(t *simTarget, by *simRequest) {
	if !t.running[by] {
		return
	}
	f.crashed = append(f.crashed, f.now)
	f.end(t)
}

// end ends a target with all its runs.
func (f *fleet) end(t *simTarget) {
	target, broken := t.id, t.running
	t.up, t.running = false, make(map[*simRequest]bool)
	f.after(simRestart, func() { t.up, t.id = true, f.nextID() })
	for r := range broken {
		f.after(time.Duration(f.random.Int64N(int64(2*time.Millisecond))), func() { f.breakOff(target, r) })
	}
}

func (f *fleet) breakOff(target string, r *simRequest) {
	entry := f.entries[r.entry]
	var evidence []crashes.Evidence
	for _, cause := range r.causes {
		evidence = append(evidence, crashes.Evidence{Cause: cause, Answered: entry.Remembers(cause)})
	}
	entry.RecordBroken(f.now, target, f.now.Sub(r.began), evidence)
	f.tell(r.entry, func(other *crashes.Causes) {
		added := other.RecordBroken(f.now, target, f.now.Sub(r.began), evidence)
		if len(other.ToConfirm(f.now, added)) > 0 {
			f.confirmLater(other, added)
		}
		if i := slices.Index(f.entries, other); !f.cut[i] && f.inCell(i, r.entry) {
			f.tellQuarantines(i, r.entry, r.causes)
		}
	})
	if !r.again {
		f.arrive(&simRequest{entry: r.entry, causes: r.causes, bad: r.bad, again: true})
	}
}

func (f *fleet) inCell(a, b int) bool { return a/simCell == b/simCell }

func (f *fleet) confirmLater(entry *crashes.Causes, causes []crashes.Cause) {
	f.after(time.Duration(f.random.Int64N(int64(simConfirmAnswered))), func() {
		confirmed := entry.ToConfirm(f.now, causes)
		for i, e := range f.entries {
			if e == entry && len(confirmed) > 0 {
				e.ConfirmAnswered(f.now, confirmed)
				f.tell(i, func(other *crashes.Causes) { other.ConfirmAnswered(f.now, confirmed) })
			}
		}
	})
}

// restart replaces an entry by one that has lost its memory.
func (f *fleet) restart(entry int) {
	f.restarted[entry] = f.now
	f.entries[entry] = f.newEntry()
	f.greet(entry)
}

// greet brings an entry to know what those of its cell tell it.
func (f *fleet) greet(entry int) {
	for i := 1; i < min(simCell, len(f.entries)); i++ {
		f.tellQuarantines((entry+i)%len(f.entries), entry, nil)
	}
}

// tellQuarantines tells an entry what another one refuses; only some causes, if given.
func (f *fleet) tellQuarantines(from, to int, causes []crashes.Cause) {
	for _, quarantine := range f.entries[from].Quarantines(f.now, 30) {
		if causes != nil && !slices.Contains(causes, quarantine.Cause) {
			continue
		}
		f.after(5*time.Millisecond, func() { f.entries[to].ApplyQuarantine(f.now, quarantine) })
	}
}

// later returns the number of requests with the bad part that reach targets too late.
func (f *fleet) later() (later int) {
	if len(f.crashed) < crashesBefore {
		return 0
	}
	for _, at := range f.arrived {
		if at.After(f.crashed[crashesBefore-1].Add(boundAfter)) {
			later++
		}
	}
	return later
}

// soundShares returns the share of sound requests that begin before the first crash, and that from
// some seconds after the fifth crash or the last.
func (f *fleet) soundShares() (before, after float64) {
	first := f.crashed[0].Sub(now)
	from := f.crashed[min(len(f.crashed), crashesBefore)-1].Add(2 * boundAfter).Sub(now)
	var sent, begun [2]int
	for second, n := range f.sent {
		switch {
		case second+time.Second <= first:
			sent[0], begun[0] = sent[0]+n, begun[0]+f.begun[second]
		case second >= from:
			sent[1], begun[1] = sent[1]+n, begun[1]+f.begun[second]
		}
	}
	return float64(begun[0]) / float64(max(1, sent[0])), float64(begun[1]) / float64(max(1, sent[1]))
}

// Guards against a part that crashes targets going on to reach them, and against requests that share its
// other parts being refused, over fleets that lose messages, restart, begin without memory or are cut.
func TestFleetRefusesPartThatCrashesTargets(t *testing.T) {
	const history, length = 5 * time.Second, 60 * time.Second
	plays := map[string]func(f *fleet){
		"calm":              func(*fleet) {},
		"messages are lost": func(f *fleet) { f.loss = 0.1 },
		"entries restart": func(f *fleet) {
			f.each(1030*time.Millisecond, func(n int) { f.restart(n % len(f.entries)) })
		},
		"an entry is cut off": func(f *fleet) {
			f.cut[0] = true
			f.after(20*time.Second, func() {
				f.cut[0] = false
				f.greet(0)
			})
		},
		"targets crash for other reasons, some entries are idle": func(f *fleet) {
			f.idle = len(f.entries) / 2
			f.each(400*time.Millisecond, func(n int) {
				if t := f.targets[n%len(f.targets)]; t.up {
					f.end(t)
				}
			})
		},
	}
	for _, size := range []struct{ entries, targets int }{{6, 14}, {60, 200}, {985, 3000}} {
		for name, disturb := range plays {
			t.Run(fmt.Sprintf("%d/%s", size.entries, name), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				f := newFleet(size.entries, size.targets, 1)
				f.each(10*time.Millisecond, f.sendSound)
				f.run(history)
				disturb(f)
				f.each(150*time.Millisecond, f.sendBad)
				f.run(length)
				f.run(4 * boundAfter) // the fifth crash may be a probe at the end
				before, after := f.soundShares()
				t.Logf("%d crashes, %d requests reached targets, %d of them late; sound begun %.3f, %.3f; %d datagrams", len(f.crashed), len(f.arrived), f.later(), before, after, f.datagrams)
				g.Expect(f.later()).To(BeNumerically("<=", allowedLater))
				g.Expect(after).To(BeNumerically(">=", before/2))
				for _, e := range f.entries {
					g.Expect(e.Check(f.now, partsOf("first")).Refused).To(BeFalse())
				}
			})
		}
	}
}

// Guards against a request that its callers repeat at any entry taking down one target after the other, and
// against a sound one that many callers repeat being refused with it.
func TestFleetRefusesRepeatedRequestThatCrashesTargets(t *testing.T) {
	for _, size := range []struct{ entries, targets int }{{6, 14}, {985, 3000}} {
		for seed := range uint64(5) {
			g := NewWithT(t)
			f := newFleet(size.entries, size.targets, seed)
			f.whole = true
			f.each(10*time.Millisecond, f.sendSound)
			f.run(2 * time.Second)
			f.each(150*time.Millisecond, f.sendBad)
			f.run(20 * time.Second)
			_, after := f.soundShares()
			g.Expect(len(f.crashed)).To(BeNumerically("<=", 3), "%d entries, seed %d", size.entries, seed)
			g.Expect(after).To(BeNumerically(">=", 0.99), "%d entries, seed %d", size.entries, seed)
		}
	}
}

// Guards against a fleet that has just started refusing sound requests together with those that crash its
// targets: nothing has been answered yet that would tell them apart.
func TestFleetWithoutMemoryServesSoundRequests(t *testing.T) {
	for _, size := range []struct{ entries, targets int }{{6, 14}, {985, 3000}} {
		for seed := range uint64(20) {
			g := NewWithT(t)
			f := newFleet(size.entries, size.targets, seed)
			f.each(30*time.Millisecond, f.sendBad)
			f.each(20*time.Millisecond, f.sendSound)
			f.run(60 * time.Second)
			_, after := f.soundShares()
			g.Expect(f.later()).To(BeNumerically("<=", allowedLater), "seed %d", seed)
			g.Expect(after).To(BeNumerically(">=", 0.5), "seed %d", seed)
		}
	}
}

// Guards against a part that has been answered, and crashes targets since, being taken for sound.
func TestPartThatBecomesBadIsRefused(t *testing.T) {
	for _, size := range []struct{ entries, targets int }{{6, 14}, {985, 3000}} {
		for seed := range uint64(10) {
			g := NewWithT(t)
			f := newFleet(size.entries, size.targets, seed)
			f.sound = true
			f.each(10*time.Millisecond, f.sendSound)
			f.each(150*time.Millisecond, f.sendBad)
			f.run(5 * time.Second)
			f.sound = false
			f.run(60 * time.Second)
			_, after := f.soundShares()
			g.Expect(f.later()).To(BeNumerically("<=", allowedLater), "seed %d", seed)
			g.Expect(after).To(BeNumerically(">=", 0.5), "seed %d", seed)
		}
	}
}

// Guards against probes of a part that goes on to crash targets costing more of them than the bound allows,
// and against evidence that ends while its requests still come.
func TestProbesOverHoursCostFewTargets(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(6, 14, 1)
	f.each(time.Second, f.sendSound)
	f.run(time.Minute)
	f.each(2*time.Second, f.sendBad)
	f.run(12 * time.Hour)
	t.Logf("%d crashes", len(f.crashed))
	g.Expect(f.later()).To(BeNumerically("<=", allowedLater))
}

// Guards against a sound part that was refused by mistake staying refused.
func TestProbeLiftsMistakenQuarantine(t *testing.T) {
	for _, entries := range []int{6, 985} {
		g := NewWithT(t)
		f := newFleet(entries, 14, 1)
		for i := range 3 {
			f.after(time.Duration(i)*time.Second, func() {
				f.breakOff(fmt.Sprint("t", i), &simRequest{entry: i, causes: partsOf("sound"), again: true})
			})
		}
		f.run(4 * time.Second)
		g.Expect(f.entries[0].Check(f.now, partsOf("sound")).Refused).To(BeTrue())
		f.each(20*time.Millisecond, func(int) { f.arrive(&simRequest{entry: f.random.IntN(entries), causes: partsOf("sound")}) })
		f.run(45 * time.Second)
		for _, e := range f.entries {
			g.Expect(e.Check(f.now, partsOf("sound")).Refused).To(BeFalse())
		}
	}
}

// Guards against an entry that runs no requests with a part refusing it, as it hears of all crashes and of
// no answers.
func TestEntryWithoutAnswersOfItsOwnServes(t *testing.T) {
	for _, entries := range []int{6, 985} {
		g := NewWithT(t)
		f := newFleet(entries, 14, 1)
		f.idle = 1
		f.each(10*time.Millisecond, f.sendSound)
		f.run(5 * time.Second)
		f.each(150*time.Millisecond, func(int) {
			for _, target := range f.targets {
				if len(target.running) > 0 {
					f.end(target)
					return
				}
			}
		})
		for range 20 {
			f.run(time.Second)
			for _, e := range f.entries {
				g.Expect(e.Check(f.now, partsOf("first")).Refused).To(BeFalse())
			}
		}
	}
}
