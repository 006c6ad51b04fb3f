package budget_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/budget"
)

const (
	fleetRatio = 0.2
	// fleetLead is the time from the start of the entries to the first request.
	fleetLead = 10 * time.Second
	// fleetLength is the time from the first request to the last.
	fleetLength = 50 * time.Second
	fleetStep   = 10 * time.Millisecond
	// wantedRepeats is the number of further targets to which a failed request would be sent.
	wantedRepeats = 3
)

// fleetSize is the number of entries that a simulation begins with, the extra that they share,
// and their requests per second.
type fleetSize struct {
	entries     int
	extra, rate float64
}

var (
	smallFleet = fleetSize{entries: 9, extra: 58, rate: 80}
	fleetSizes = map[string]fleetSize{
		"small":              smallFleet,
		"large":              {entries: 78, extra: 196, rate: 800},
		"one extra an entry": {entries: 200, extra: 210, rate: 200},
		"little traffic":     {entries: 9, extra: 58, rate: 4},
	}
)

// fleet is a number of entries that receive requests for one service.
type fleet struct {
	random  *rand.Rand
	extra   float64
	now     time.Time
	entries []*fleetEntry
	// rate is the number of requests per second, failing the share of sends that fail.
	rate, failing float64
	// sent are the times of all requests, repeats those of all sends beyond the first.
	sent, repeats []time.Time
	// due are the scheduled actions by time since the first request.
	due map[time.Duration][]func()
}

type fleetEntry struct {
	budget *budget.Budget
	down   bool
}

func newFleet(size fleetSize, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), extra: size.extra, now: now, rate: size.rate, due: make(map[time.Duration][]func())}
	for range size.entries {
		f.add()
	}
	return f
}

// at schedules an action.
func (f *fleet) at(offset time.Duration, act func()) {
	offset = offset.Truncate(fleetStep)
	f.due[offset] = append(f.due[offset], act)
}

// add starts one more entry.
func (f *fleet) add() {
	e := &fleetEntry{}
	f.entries = append(f.entries, e)
	f.start(e)
	e.budget.SetFirstStart()
}

// start starts a new process of an entry, which knows the others as soon as it has read the
// registry.
func (f *fleet) start(e *fleetEntry) {
	e.down = false
	e.budget = budget.New(budget.Config{Window: window, Ratio: fleetRatio, Extra: f.extra}, f.now)
	f.after(300*time.Millisecond, func() { e.budget.SetEntries(f.now, len(f.entries)) })
}

func (f *fleet) after(pause time.Duration, act func()) {
	f.at(f.now.Sub(now)-fleetLead+pause, act)
}

// kill ends the processes of a share of the entries; new ones start after the pause.
func (f *fleet) kill(share float64, pause time.Duration) {
	killed := f.random.Perm(len(f.entries))[:int(share*float64(len(f.entries))+0.5)]
	for _, i := range killed {
		e := f.entries[i]
		if e.down {
			continue
		}
		e.down = true
		f.after(pause, func() { f.start(e) })
	}
}

// restartInTurn restarts one entry after the other.
func (f *fleet) restartInTurn(gap time.Duration) {
	for i, e := range f.entries {
		f.after(time.Duration(i)*gap, func() {
			e.down = true
			f.after(500*time.Millisecond, func() { f.start(e) })
		})
	}
}

// replace removes a share of the entries for good and adds as many.
func (f *fleet) replace(share float64) {
	for n := int(share * float64(len(f.entries))); n > 0; n-- {
		f.entries = f.entries[1:]
		f.add()
	}
}

// cut makes two halves of the fleet forget each other for a while.
func (f *fleet) cut(length time.Duration) {
	half := len(f.entries) / 2
	for i, e := range f.entries {
		known := half
		if i >= half {
			known = len(f.entries) - half
		}
		e.budget.SetEntries(f.now, known)
		f.after(length, func() { e.budget.SetEntries(f.now, len(f.entries)) })
	}
}

func (f *fleet) run() {
	f.now = now.Add(fleetLead)
	for offset := -fleetLead; offset < fleetLength; offset += fleetStep {
		f.now = now.Add(fleetLead + offset)
		for _, act := range f.due[offset] {
			act()
		}
		if offset < 0 {
			continue
		}
		for n := f.rate * fleetStep.Seconds(); n > 0; n-- {
			if n >= 1 || f.random.Float64() < n {
				f.request()
			}
		}
	}
}

// request sends one request to a random entry, which sends it to further targets while sends
// fail and the budget allows it.
func (f *fleet) request() {
	f.sent = append(f.sent, f.now)
	e := f.entries[f.random.IntN(len(f.entries))]
	if e.down {
		return
	}
	e.budget.Request(f.now, "engine")
	for n := 0; n < wantedRepeats && f.random.Float64() < f.failing; n++ {
		if !e.budget.Repeat(f.now, "engine").Allowed {
			return
		}
		f.repeats = append(f.repeats, f.now)
	}
}

// excess describes the first window with more repeats than allowed for the requests of it, of
// the one before or of the one half a window before, whichever are most. It is empty if there
// is none.
func (f *fleet) excess() string {
	for first, from := range f.repeats {
		repeats := countBetween(f.repeats[first:], from, from.Add(window))
		requests := countBetween(f.sent, from, from.Add(window))
		for _, earlier := range []time.Duration{window / 2, window} {
			requests = max(requests, countBetween(f.sent, from.Add(-earlier), from.Add(window-earlier)))
		}
		if allowed := fleetRatio*float64(requests) + f.extra; float64(repeats) > allowed {
			return fmt.Sprintf("from %v on %d repeats for %d requests, %.0f allowed", from.Sub(now)-fleetLead, repeats, requests, allowed)
		}
	}
	return ""
}

// countBetween counts sorted times.
func countBetween(times []time.Time, from, until time.Time) int {
	before := func(limit time.Time) int {
		n, _ := slices.BinarySearchFunc(times, limit, time.Time.Compare)
		return n
	}
	return before(until) - before(from)
}

// fail makes a share of the sends fail for a while.
func (f *fleet) fail(from, length time.Duration, share float64) {
	f.at(from, func() { f.failing = share })
	f.at(from+length, func() { f.failing = 0 })
}

// Guards against repeats beyond the budget when entries that have used it restart and begin
// with a new one.
func TestRestartsDoNotRenewTheBudget(t *testing.T) {
	faults := map[string]func(*fleet){
		"nine in ten killed": func(f *fleet) { f.at(10*time.Second, func() { f.kill(0.9, 500*time.Millisecond) }) },
		"power lost by all":  func(f *fleet) { f.at(10*time.Second, func() { f.kill(1, 2*time.Second) }) },
		"a third killed again and again": func(f *fleet) {
			for i := range 7 {
				f.at(time.Duration(8+2*i)*time.Second, func() { f.kill(0.33, 500*time.Millisecond) })
			}
		},
		"restarted in turn twice": func(f *fleet) {
			for _, at := range []time.Duration{8, 14} {
				f.at(at*time.Second, func() { f.restartInTurn(300 * time.Millisecond) })
			}
		},
		"replaced by entries with new names": func(f *fleet) {
			f.at(4*time.Second, func() { f.replace(1) })
		},
		"killed after each window": func(f *fleet) {
			for at := 6 * time.Second; at < fleetLength; at += window - time.Second {
				f.at(at, func() { f.kill(1, 500*time.Millisecond) })
			}
		},
	}
	for i := range 10 {
		at := 3*time.Second + time.Duration(i+1)*700*time.Millisecond
		faults[fmt.Sprintf("all killed %v after the failure", at-3*time.Second)] = func(f *fleet) {
			f.at(at, func() { f.kill(1, 300*time.Millisecond) })
		}
	}
	for name, inject := range faults {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				f := newFleet(smallFleet, seed)
				f.fail(3*time.Second, 30*time.Second, 0.65)
				inject(f)
				f.run()
				NewWithT(t).Expect(f.excess()).To(BeEmpty())
			})
		}
	}
}

// Guards against any other schedule of restarts, cuts, added entries, bursts and failures that
// lets the entries repeat more than the budget allows.
func TestNoScheduleExceedsTheBudget(t *testing.T) {
	for name, size := range fleetSizes {
		repeats := 0
		for seed := range uint64(60) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				f := newFleet(size, seed)
				f.schedule()
				f.run()
				repeats += len(f.repeats)
				NewWithT(t).Expect(f.excess()).To(BeEmpty())
			})
		}
		NewWithT(t).Expect(repeats).To(BeNumerically(">", 1000), name)
	}
}

// schedule draws failures and other disturbances.
func (f *fleet) schedule() {
	seconds := func(most int) time.Duration { return time.Duration(f.random.IntN(most*1000)) * time.Millisecond }
	for range 1 + f.random.IntN(3) {
		f.fail(seconds(35), time.Second+seconds(20), 0.2+0.8*f.random.Float64())
	}
	disturbances := []func(){
		func() { f.kill(f.random.Float64(), 200*time.Millisecond+seconds(3)) },
		func() { f.kill(1, 200*time.Millisecond+seconds(2)) },
		func() { f.restartInTurn(100*time.Millisecond + seconds(1)) },
		func() { f.cut(seconds(15)) },
		func() { f.add() },
		func() { f.rate *= 0.2 + 2.5*f.random.Float64() },
	}
	for range f.random.IntN(9) {
		f.at(seconds(45), disturbances[f.random.IntN(len(disturbances))])
	}
}
