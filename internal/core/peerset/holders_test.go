package peerset_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/peerset"
)

// viewOf returns the view of one of n entries in three zones, all of them live.
func viewOf(self, n int) *peerset.Set {
	entry := func(i int) peerset.Entry {
		return peerset.Entry{Name: fmt.Sprint("entry-", i), Incarnation: 1, Zone: fmt.Sprint("zone-", i%3), Links: fmt.Sprint("10.0.0.1:", i)}
	}
	s := peerset.New(peerset.Config{FailureTimeout: time.Second, RelayedFailureTimeout: time.Second, Removal: time.Minute}, entry(self))
	for i := range n {
		s.ApplyStatus(now, now, peerset.Status{Entry: entry(i), State: peerset.Ready, Sequence: 1})
	}
	return s
}

func names(entries []peerset.Entry) (names []string) {
	for _, e := range entries {
		names = append(names, e.Name)
	}
	return names
}

// Guards against what one entry stores at others not being found by a third, and against all copies being lost
// with one zone.
func TestHoldersAreFoundByOthers(t *testing.T) {
	g := NewWithT(t)
	for _, n := range []int{2, 6, 12, 195} {
		writer, reader := viewOf(0, n), viewOf(1, n)
		for key := range uint64(200) {
			copies := writer.Holders(now, key, 3, false)
			g.Expect(copies).To(HaveLen(min(3, n-1)))
			asked := append(names(reader.Holders(now, key, 8, true)), "entry-1")
			zones := make(map[string]bool)
			for _, c := range copies {
				zones[c.Zone] = true
				g.Expect(asked).To(ContainElement(c.Name), "%d entries, key %d", n, key)
			}
			if n >= 6 {
				g.Expect(len(zones)).To(BeNumerically(">=", 2))
			}
		}
	}
}

// Guards against a few entries holding everything.
func TestHoldersAreSpread(t *testing.T) {
	g := NewWithT(t)
	const entries, keys = 31, 3000
	s, count := viewOf(0, entries), make(map[string]int)
	for key := range uint64(keys) {
		for _, e := range s.Holders(now, key, 3, false) {
			count[e.Name]++
		}
	}
	for name, n := range count {
		g.Expect(n).To(BeNumerically("~", 3*keys/(entries-1), keys/10), name)
	}
	g.Expect(count).To(HaveLen(entries - 1))
}

func TestHoldersAreLive(t *testing.T) {
	g := NewWithT(t)
	s := viewOf(0, 6)
	s.ApplyStatus(now, now, peerset.Status{Entry: peerset.Entry{Name: "entry-1", Incarnation: 1, Links: "x"}, State: peerset.Draining, Sequence: 2})
	for key := range uint64(100) {
		g.Expect(names(s.Holders(now, key, 5, false))).NotTo(ContainElement("entry-1"))
		g.Expect(names(s.Holders(now, key, 5, true))).To(ContainElement("entry-1"))
	}
	g.Expect(s.Holders(now.Add(time.Hour), 1, 5, true)).To(BeEmpty())
}

func BenchmarkHolders(b *testing.B) {
	for _, n := range []int{6, 48, 195, 985} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := viewOf(0, n)
			for key := uint64(0); b.Loop(); key++ {
				s.Holders(now, key, 3, false)
			}
		})
	}
}
