package dispatch_test

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// twoCells is a fleet of two cells with engines of which a third take 4.4 times as long, and
// three kinds of streams of which the least urgent occupy engines for the longest time. At a
// steady load of 0.8 times its rates 0.977 of the streams are in time, at 1.0 times 0.842.
var twoCells = fleetShape{
	entries: 18, engines: 24, slots: 4, factors: []float64{0.68, 0.68, 3},
	kinds: []kind{
		{rank: 0, perSecond: 60, prompt: 3720, spread: 1.1, events: [2]int{20, 30}, objective: time.Second, timeout: 12 * time.Second, gap: 600 * time.Millisecond},
		{rank: 1, perSecond: 70, prompt: 2890, spread: 1.1, events: [2]int{9, 13}, objective: 700 * time.Millisecond, timeout: 8 * time.Second, gap: 600 * time.Millisecond},
		{rank: 2, perSecond: 50, prompt: 1110, spread: 1.1, events: [2]int{29, 43}, objective: 500 * time.Millisecond, timeout: 5 * time.Second, gap: 500 * time.Millisecond},
	},
	organisations: []organisation{
		{name: "large", weight: 4, share: 0.4, priority: 1},
		{name: "medium", weight: 2, share: 0.25, priority: 1},
		{name: "small", weight: 1, share: 0.1, priority: 1},
		{name: "hot", weight: 1, share: 0.1},
		{name: "other", weight: 1.5, share: 0.15, priority: 1},
	},
	returns: true,
}

// withRate returns the shape with a rate of one organisation.
func (s fleetShape) withRate(name string, rate func(time.Duration) float64) fleetShape {
	s.organisations = slices.Clone(s.organisations)
	for i := range s.organisations {
		if s.organisations[i].name == name {
			s.organisations[i].rate = rate
		}
	}
	return s
}

// wave is a load with the given mean and a crest of 1.55 times as much, every 20 s, first after 5 s.
func wave(mean float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		return mean * (1 + 0.55*math.Sin(2*math.Pi*at.Seconds()/20))
	}
}

// between returns a factor that applies from one time to another.
func between(from, until time.Duration, factor float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < until {
			return factor
		}
		return 1
	}
}

// tally counts the results of streams.
type tally struct {
	offered int
	// inTime, late and abandoned were answered: in time, late, and after the caller's time.
	inTime, late, abandoned int
	// refused were refused at least once, refusedTwice again when they came back, unserved
	// received no answer.
	refused, refusedTwice, unserved int
	held                            time.Duration
}

func (c *tally) add(s *stream) {
	c.offered++
	if s.refusals > 0 {
		c.refused++
		c.held += s.held
	}
	if s.refusals > 1 {
		c.refusedTwice++
	}
	switch {
	case !s.done:
		c.unserved++
	case s.last.Sub(s.born) > s.kind.timeout:
		c.abandoned++
	case s.inTime():
		c.inTime++
	default:
		c.late++
	}
}

// served is the share that was answered within the caller's time.
func (c tally) served() float64 { return float64(c.inTime+c.late) / float64(max(1, c.offered)) }

func (c tally) String() string {
	share := func(n int) float64 { return float64(n) / float64(max(1, c.offered)) }
	return fmt.Sprintf("%5d offered, in time %.3f, late %.3f, abandoned %.3f, refused %.3f (after %v), refused twice %.3f, unserved %.3f",
		c.offered, share(c.inTime), share(c.late), share(c.abandoned), share(c.refused),
		(c.held / time.Duration(max(1, c.refused))).Round(time.Millisecond), share(c.refusedTwice), share(c.unserved))
}

// summary counts the results of a period: of all, by rank, by organisation, by cell of the last
// attempt, and by rank and tenth of the size, smallest first.
type summary struct {
	all           tally
	ranks         map[int]*tally
	organisations map[string]*tally
	cells         map[int]*tally
	tenths        map[int]*[10]tally
}

func newSummary() *summary {
	return &summary{ranks: make(map[int]*tally), organisations: make(map[string]*tally), cells: make(map[int]*tally), tenths: make(map[int]*[10]tally)}
}

// tallyOf returns the tally of a key, which is added if it is new.
func tallyOf[K comparable](tallies map[K]*tally, key K) *tally {
	if tallies[key] == nil {
		tallies[key] = &tally{}
	}
	return tallies[key]
}

// summarise adds the streams that first arrived in a period to a summary.
func (f *fleet) summarise(sum *summary, from, until time.Duration) {
	byRank := make(map[int][]*stream)
	for _, s := range f.all {
		if at := s.born.Sub(start); at < from || at >= until {
			continue
		}
		sum.all.add(s)
		tallyOf(sum.ranks, s.kind.rank).add(s)
		tallyOf(sum.cells, s.entry.cell).add(s)
		if s.organisation != nil {
			tallyOf(sum.organisations, s.organisation.name).add(s)
		}
		byRank[s.kind.rank] = append(byRank[s.kind.rank], s)
	}
	for rank, streams := range byRank {
		slices.SortStableFunc(streams, func(a, b *stream) int { return cmp.Compare(a.size, b.size) })
		if sum.tenths[rank] == nil {
			sum.tenths[rank] = &[10]tally{}
		}
		for i, s := range streams {
			sum.tenths[rank][i*10/len(streams)].add(s)
		}
	}
}

// value is the share of the offered value that was earned. A rank has a third of the value of
// the next more urgent one, and a late answer 0.3 of the value of one in time.
func (s *summary) value() float64 {
	earned, offered := 0.0, 0.0
	for rank, each := range s.ranks {
		worth := math.Pow(1.0/3, float64(rank))
		earned += worth * (float64(each.inTime) + 0.3*float64(each.late))
		offered += worth * float64(each.offered)
	}
	return earned / max(1, offered)
}

func (s *summary) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "\nvalue            %.3f\nall              %v\n", s.value(), s.all)
	for _, rank := range slices.Sorted(maps.Keys(s.ranks)) {
		fmt.Fprintf(&text, "rank %d           %v\n", rank, s.ranks[rank])
	}
	for _, name := range slices.Sorted(maps.Keys(s.organisations)) {
		fmt.Fprintf(&text, "%-16s %v\n", name, s.organisations[name])
	}
	for _, cell := range slices.Sorted(maps.Keys(s.cells)) {
		fmt.Fprintf(&text, "cell %d           %v\n", cell, s.cells[cell])
	}
	for _, rank := range slices.Sorted(maps.Keys(s.tenths)) {
		for i, tenth := range s.tenths[rank] {
			fmt.Fprintf(&text, "rank %d, tenth %2d %v\n", rank, i+1, tenth)
		}
	}
	return text.String()
}

// expectNoStarvation checks that each rank and organisation is served at least a quarter as
// often as all, and the largest tenth of a rank at least half as often as the rank.
func (s *summary) expectNoStarvation(g *WithT) {
	for rank, each := range s.ranks {
		g.Expect(each.served()).To(BeNumerically(">=", s.all.served()/4), "rank %d", rank)
		g.Expect(s.tenths[rank][9].served()).To(BeNumerically(">=", each.served()/2), "largest tenth of rank %d", rank)
	}
	for name, each := range s.organisations {
		g.Expect(each.served()).To(BeNumerically(">=", s.all.served()/4), "organisation %s", name)
	}
}

// simulate runs several seeds of a shape and returns the summary of a period.
func (s fleetShape) simulate(seeds uint64, length time.Duration, factor func(time.Duration) float64, from, until time.Duration) *summary {
	sum := newSummary()
	for seed := range seeds {
		f := newFleet(seed, s)
		f.run(length, factor)
		f.summarise(sum, from, until)
	}
	return sum
}

// Guards against a rank, an organisation or large requests that are starved at the crest of a
// wave, of 1.24 times the capacity, while one organisation sends seven times its usual rate, which
// is another 0.5 times the capacity.
func TestWaveAndHotOrganisation(t *testing.T) {
	const length = 15 * time.Second
	hot := twoCells.withRate("hot", between(4*time.Second, 10*time.Second, 7))
	sum := hot.simulate(3, length, wave(0.8), 0, length)
	t.Log(sum)
	sum.expectNoStarvation(NewWithT(t))
}
