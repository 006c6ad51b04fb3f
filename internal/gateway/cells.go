package gateway

import (
	"slices"

	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/core/peerset"
)

// place returns the place of an entry among all that serve, in the order on which
// they agree, and their number.
func place(serving []peerset.Member, self string) (place, entries int) {
	for _, m := range serving {
		if dispatch.Rank(m.Name, self) < 0 {
			place++
		}
	}
	return place, len(serving) + 1
}

// cellmates returns the entries of the same cell.
func cellmates(serving []peerset.Member, self string) []peerset.Member {
	if dispatch.Cells(len(serving)+1) == 1 {
		return serving
	}
	own, entries := place(serving, self)
	slices.SortFunc(serving, func(a, b peerset.Member) int { return dispatch.Rank(a.Name, b.Name) })
	var mates []peerset.Member
	for i, m := range serving {
		if i >= own {
			i++
		}
		if dispatch.CellOf(i, entries) == dispatch.CellOf(own, entries) {
			mates = append(mates, m)
		}
	}
	return mates
}
