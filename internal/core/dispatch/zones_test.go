package dispatch_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/dispatch"
)

// The fleet has five zones of different size, and engines spread evenly over them. Divided
// by name alone, each cell has entries and engines of all zones, so four in five requests,
// with prompts of some kilobytes, and as many reports cross zones. Cells must follow zones
// and still be of equal size, or some would have more callers per engine than others.
func TestCellsKeepToZones(t *testing.T) {
	g := NewWithT(t)
	entriesIn := map[string]int{"cubao": 36, "ortigas": 35, "taft": 41, "monumento": 42, "alabang": 41}
	targetsIn := map[string]int{"cubao": 32, "ortigas": 31, "taft": 31, "monumento": 31, "alabang": 31}
	entries, targets := members(entriesIn, "entry"), members(targetsIn, "target")
	cells := dispatch.Cells(len(entries))
	pairs, sameZone := 0, 0
	for cell := range cells {
		ours, theirs := inCell(entries, cell, cells), inCell(targets, cell, cells)
		g.Expect(len(ours)).To(BeNumerically("~", len(entries)/cells, 1))
		g.Expect(len(theirs)).To(BeNumerically("~", len(targets)/cells, 1))
		for _, e := range ours {
			for _, t := range theirs {
				pairs++
				if e.zone == t.zone {
					sameZone++
				}
			}
		}
	}
	g.Expect(float64(sameZone) / float64(pairs)).To(BeNumerically(">", 0.75))
}

type member struct {
	zone string
	key  uint64
}

func members(counts map[string]int, kind string) []member {
	var members []member
	for zone, count := range counts {
		for i := range count {
			members = append(members, member{zone, dispatch.CellKey(zone, fmt.Sprint(kind, zone, i))})
		}
	}
	slices.SortFunc(members, func(a, b member) int {
		if a.key < b.key {
			return -1
		}
		return 1
	})
	return members
}

func inCell(members []member, cell, cells int) []member {
	var in []member
	for i, m := range members {
		if i*cells/len(members) == cell {
			in = append(in, m)
		}
	}
	return in
}
