package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/dispatch"
)

// Guards against a brittle target that is full crashing because all entries go on to try it, also those
// of other cells with which the target is shared.
func TestBrittleTargetRejectsNoMoreThanItBears(t *testing.T) {
	for _, entries := range []int{1, 6, 12, 17, 36} {
		for _, bears := range []int{1, 3, 8} {
			t.Run(fmt.Sprintf("%d entries, bears %d", entries, bears), func(t *testing.T) {
				g := NewWithT(t)
				rejected := rejectionsOfFullTarget(entries, dispatch.Brittleness{Declared: true, Rejections: bears})
				for second, n := range rejected[1:] {
					g.Expect(n).To(BeNumerically("<=", bears), "second %d", second+1)
				}
			})
		}
	}
}

// Guards against a target that is not brittle being left alone for as long.
func TestFullTargetIsTriedSoon(t *testing.T) {
	g := NewWithT(t)
	for _, n := range rejectionsOfFullTarget(1, dispatch.Brittleness{}) {
		g.Expect(n).To(BeNumerically(">=", 8))
	}
}

// rejectionsOfFullTarget returns, for each second of a minute, the number of requests that a target
// rejects to entries, which know of the others of their cell but not of each other's requests.
func rejectionsOfFullTarget(entries int, brittleness dispatch.Brittleness) []int {
	const seconds, step, held = 60, 10 * time.Millisecond, 2 * time.Millisecond
	cellOf := func(entry int) int { return dispatch.CellOf(entry, entries) }
	schedulers := make([]*dispatch.Scheduler, entries)
	for i := range schedulers {
		schedulers[i] = dispatch.New(dispatch.Config{Zone: "a", Name: fmt.Sprint("entry-", i)})
		schedulers[i].SetTargets(start, targets(1, 4))
		schedulers[i].SetCell(start, cellOf(i), dispatch.Cells(entries))
	}
	rejected := make([]int, seconds)
	for at := time.Duration(0); at < seconds*time.Second; at += step {
		now := start.Add(at)
		for i, s := range schedulers {
			var grants []dispatch.Grant
			for peer := range schedulers {
				if peer != i && cellOf(peer) == cellOf(i) {
					grants = append(grants, s.SetPeerLoad(now, fmt.Sprint("entry-", peer), dispatch.Load{}).Grants...)
				}
			}
			request := ask(fmt.Sprint(i, "-", at))
			request.Arrived, request.Objective, request.Expires = now, now.Add(time.Second), now.Add(time.Second)
			_, effects := s.Submit(now, request)
			grants = append(append(grants, effects.Grants...), s.Tick(now).Grants...)
			for _, grant := range grants {
				rejected[at/time.Second]++
				s.ObserveBrittleness(grant.Ticket, brittleness)
				s.Done(now.Add(held), grant.Ticket, dispatch.Report{Outcome: dispatch.Rejected})
			}
		}
	}
	return rejected
}

// Guards against a declaration that can't be read ending or replacing the one before, and against a report of
// a change for each answer.
func TestMalformedBrittlenessIsIgnored(t *testing.T) {
	malformed := dispatch.Brittleness{Malformed: true}
	declared := dispatch.Brittleness{Declared: true, Rejections: 2}
	for name, test := range map[string]struct {
		answers []dispatch.Brittleness
		changes []bool
		brittle int
	}{
		"at first":            {[]dispatch.Brittleness{malformed, malformed}, []bool{true, false}, 0},
		"after a declaration": {[]dispatch.Brittleness{declared, malformed, malformed}, []bool{true, true, false}, 1},
		"before its end":      {[]dispatch.Brittleness{declared, malformed, {}, {}}, []bool{true, true, true, false}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := dispatch.New(dispatch.Config{Zone: "a", Name: "entry-1"})
			s.SetTargets(start, targets(1, 4))
			_, effects := s.Submit(start, ask("1"))
			ticket := effects.Grants[0].Ticket
			var changes []bool
			for _, answer := range test.answers {
				changes = append(changes, s.ObserveBrittleness(ticket, answer))
			}
			g.Expect(changes).To(Equal(test.changes))
			brittle := 0
			for _, sum := range s.Services(start) {
				brittle += sum.Brittle
			}
			g.Expect(brittle).To(Equal(test.brittle))
		})
	}
}
