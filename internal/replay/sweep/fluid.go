package sweep

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// fluid models a pool as one machine that may divide its time arbitrarily. Work is
// in priced seconds: 1 is what all targets do in a second at full speed.
//
// Jobs belong to families, in each of which a later begin means no earlier end. The
// work of a family that must lie within slots a to b is then
// max(0, ended[b] − begun[a]): what ends by b, less what begins before a.
type fluid struct {
	// slot is the step of the time grid. Windows are widened to it, which keeps the
	// bound valid.
	slot time.Duration
	// done[i] is the work that the pool can do in the first i slots.
	done []float64
	// sets holds every set of families.
	sets []familySet
}

// familySet is the capacity left by the accepted work of a set of families, which
// is a bit set.
type familySet struct {
	families uint
	// before[a] is the accepted work that begins before a, less done[a].
	before []float64
	// after[b] is done[b], less the accepted work that ends by b.
	after []float64
}

// minSlot is short compared with the bounds of urgent requests. Slots are longer
// if a trace would have more than maxSlots.
const (
	minSlot  = 50 * time.Millisecond
	maxSlots = 3000
)

// newFluid makes an idle pool for some families of jobs. speed is the part of the
// full speed at an instant.
func newFluid(end time.Duration, speed func(time.Duration) float64, families int) *fluid {
	f := &fluid{slot: max(end/maxSlots, minSlot)}
	slots := int(end/f.slot) + 1
	f.done = make([]float64, slots+1)
	for i := range slots {
		f.done[i+1] = f.done[i] + f.work(i, speed)
	}
	for families := range uint(1) << families {
		set := familySet{families: families, before: make([]float64, slots+1), after: slices.Clone(f.done)}
		for i, done := range f.done {
			set.before[i] = -done
		}
		f.sets = append(f.sets, set)
	}
	return f
}

// samplesPerSlot is the number of intervals at which the speed is sampled within a
// slot. The maximum applies to the entire slot.
const samplesPerSlot = 4

func (f *fluid) work(slot int, speed func(time.Duration) float64) float64 {
	greatest := 0.0
	for i := range samplesPerSlot + 1 {
		at := time.Duration(slot)*f.slot + f.slot*time.Duration(i)/samplesPerSlot
		greatest = max(greatest, speed(at))
	}
	return greatest * f.slot.Seconds()
}

// job is a request's work within a window.
type job struct {
	tier, family int
	work         float64
	begin, end   time.Duration
}

// slots returns the window of the job on the grid.
func (f *fluid) slots(j *job) (a, b int) {
	last := len(f.done) - 1
	a = min(int(j.begin/f.slot), last-1)
	b = int(math.Ceil(float64(j.end) / float64(f.slot)))
	return a, max(min(b, last), a+1)
}

// accept accepts as much of a job's work as fits and returns its share, 0 to 1.
// Work accepted before is never dropped, but may be moved in time.
//
// Work can be scheduled if and only if, for all a and b, what must lie between a
// and b is no more than the pool does between them (one machine, preemptive).
// So the capacity for a job is the least slack of the intervals around its window.
// Of all sets of families, the one whose work is positive there gives the true
// slack, any other a greater one.
func (f *fluid) accept(j *job) float64 {
	if j.work <= 0 {
		return 1
	}
	if math.IsInf(j.work, 1) {
		return 0
	}
	first, last := f.slots(j)
	room := j.work
	for i := range f.sets {
		if set := &f.sets[i]; set.holds(j.family) {
			room = min(room, least(set.before[:first+1])+least(set.after[last:]))
		}
	}
	if room <= 0 {
		return 0
	}
	for i := range f.sets {
		if set := &f.sets[i]; set.holds(j.family) {
			set.add(first, last, room)
		}
	}
	return room / j.work
}

// least is slices.Min without the handling of NaN, which does not occur. Most of
// the time to compute the bound is spent here.
func least(values []float64) float64 {
	found := values[0]
	for _, v := range values {
		if v < found {
			found = v
		}
	}
	return found
}

func (s *familySet) holds(family int) bool { return s.families>>family&1 == 1 }

func (s *familySet) add(first, last int, work float64) {
	for a := first + 1; a < len(s.before); a++ {
		s.before[a] += work
	}
	for b := last; b < len(s.after); b++ {
		s.after[b] -= work
	}
}

// serve accepts jobs, higher tiers first and the cheapest first within a tier,
// and returns the number served of each tier, with jobs served in part counted by
// their share. The sets of work that can be scheduled are a polymatroid, on which
// this order gives each tier its maximum while the tiers above are at theirs.
func (f *fluid) serve(jobs []job, tiers int) []float64 {
	served := make([]float64, tiers)
	order := slices.Clone(jobs)
	slices.SortStableFunc(order, func(x, y job) int {
		return cmp.Or(cmp.Compare(x.tier, y.tier), cmp.Compare(x.work, y.work))
	})
	for i := range order {
		served[order[i].tier] += f.accept(&order[i])
	}
	return served
}

// after returns the first time by which the pool can do the given work in addition
// to what it can do until the given time, or the end of the grid if there is none.
func (f *fluid) after(at time.Duration, work float64) time.Duration {
	last := len(f.done) - 1
	i := min(int(math.Ceil(float64(at)/float64(f.slot))), last)
	for wanted := f.done[i] + work; i < last && f.done[i] < wanted; {
		i++
	}
	return time.Duration(i) * f.slot
}
