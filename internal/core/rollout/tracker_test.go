package rollout_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/rollout"
)

var moment = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// targetsOf are targets of a version.
func targetsOf(version string, n int) []catalog.Target {
	var targets []catalog.Target
	for i := range n {
		targets = append(targets, catalog.Target{ID: fmt.Sprintf("%s-%d", version, i), Service: "engines", Version: version, Slots: 4})
	}
	return targets
}

// tracked is a tracker that has heard the leader and knows its targets.
func tracked(phase rollout.Phase) *rollout.Tracker {
	t := rollout.NewTracker(moment, rollout.Order{ID: 5, Service: "engines", To: "v2", Duration: 12 * time.Second}, rollout.Bounds{ExposureShare: 0.1, StopWithin: 5 * time.Second})
	t.Heard(moment, rollout.Step{Order: 5, Phase: phase})
	t.Place(moment, append(targetsOf("v1", 60), targetsOf("v2", 60)...), "engines")
	return t
}

func pools(targets []catalog.Target) map[string]int {
	n := make(map[string]int)
	for _, target := range targets {
		n[target.Service+" "+target.Version]++
	}
	return n
}

// The leader is cut off, or has died. An entry that does not hear it any more sends nothing
// to the new version, since nobody would tell it that this is bad; when it hears one again
// it goes on.
func TestSilenceOfTheLeaderClosesTheCanary(t *testing.T) {
	w := NewWithT(t)
	tracker := tracked(rollout.Canary)
	w.Expect(tracker.UsesNew(moment.Add(time.Second), 1, 0)).To(BeTrue())
	w.Expect(tracker.UsesNew(moment.Add(2*time.Second), 1, 0)).To(BeFalse())
	tracker.Heard(moment.Add(3*time.Second), rollout.Step{Order: 5, Phase: rollout.Canary})
	w.Expect(tracker.UsesNew(moment.Add(3*time.Second), 1, 0)).To(BeTrue())
}

// A leader that was paused wakes and tells what held before. No entry goes back to an
// earlier phase for it, and none takes the word of another order.
func TestPhasesOnlyRise(t *testing.T) {
	w := NewWithT(t)
	tracker := tracked(rollout.Completed)
	w.Expect(tracker.Heard(moment, rollout.Step{Order: 5, Phase: rollout.Canary})).To(BeFalse())
	w.Expect(tracker.Restore(moment, rollout.Record{Order: rollout.Order{ID: 5}, Phase: rollout.Shifting})).To(BeFalse())
	w.Expect(tracker.Heard(moment, rollout.Step{Order: 4, Phase: rollout.RolledBack})).To(BeFalse())
	w.Expect(tracker.Phase()).To(Equal(rollout.Completed))
}

// The canary is a few new targets, each with about the load of an old one; all targets of
// the old version stay in use, and the other new ones get nothing.
func TestTargetsByPhase(t *testing.T) {
	w := NewWithT(t)
	all := append(targetsOf("v1", 60), targetsOf("v2", 60)...)
	w.Expect(pools(tracked(rollout.Canary).Place(moment, all, "engines"))).To(Equal(map[string]int{"engines v1": 60, "engines@v2 v2": 6}))
	w.Expect(pools(tracked(rollout.Shifting).Place(moment, all, "engines"))).To(Equal(map[string]int{"engines v1": 60, "engines@v2 v2": 60}))
	w.Expect(pools(tracked(rollout.RolledBack).Place(moment, all, "engines"))).To(Equal(map[string]int{"engines v1": 60}))
}

// Old servers are stopped as soon as the operators read the end, but stay registered for
// some seconds. An entry that knows the end from the leader alone must not send there, and
// has to use a version that comes later without an order.
func TestStoppedTargetsGetNothingAfterTheEnd(t *testing.T) {
	w := NewWithT(t)
	tracker := tracked(rollout.Shifting)
	w.Expect(tracker.Heard(moment, rollout.Step{Order: 5, Phase: rollout.Completed})).To(BeTrue())
	all := append(append(targetsOf("v1", 60), targetsOf("v2", 60)...), targetsOf("v3", 2)...)
	w.Expect(pools(tracker.Place(moment, all, "engines"))).To(Equal(map[string]int{"engines@v2 v2": 60, "engines@v2 v3": 2}))
}

// The operators order the version that all servers have. Callers are served all the while.
func TestOrderOfThePresentVersion(t *testing.T) {
	w := NewWithT(t)
	tracker := tracked(rollout.Canary)
	w.Expect(pools(tracker.Place(moment, targetsOf("v2", 3), "engines"))).To(Equal(map[string]int{"engines@v2 v2": 3}))
	w.Expect(tracker.UsesNew(moment, 1, 0.99)).To(BeTrue())
}

// Servers of a new version register before the entry has read the order to move to them.
// They get nothing until the orders are known as of a later moment; without an order they
// are used then. Where nothing else serves, they are used at once.
func TestNewVersionWaitsForTheOrders(t *testing.T) {
	w := NewWithT(t)
	versions := rollout.NewVersions()
	usable, waits := versions.Usable(moment, moment, "engines", targetsOf("v1", 3), false)
	w.Expect(usable).To(HaveLen(3))
	w.Expect(waits).To(BeFalse())

	both := append(targetsOf("v1", 3), targetsOf("v2", 3)...)
	usable, waits = versions.Usable(moment.Add(time.Second), moment, "engines", both, false)
	w.Expect(pools(usable)).To(Equal(map[string]int{"engines v1": 3}))
	w.Expect(waits).To(BeTrue())

	usable, _ = versions.Usable(moment.Add(2*time.Second), moment.Add(1500*time.Millisecond), "engines", both, false)
	w.Expect(usable).To(HaveLen(6))

	usable, waits = versions.Usable(moment.Add(3*time.Second), moment, "engines", targetsOf("v3", 2), false)
	w.Expect(usable).To(HaveLen(2))
	w.Expect(waits).To(BeFalse())

	usable, waits = versions.Usable(moment.Add(3*time.Second), moment, "engines", targetsOf("v4", 2), true)
	w.Expect(usable).To(BeEmpty(), "others serve")
	w.Expect(waits).To(BeTrue())
}

// Servers of a service are unlike, and the first canary may be made of fast ones only, whose
// new version makes them as slow as the slowest. Others have their turn, as many at a time
// and the same at all entries; once all traffic is shifted there are no turns.
func TestOtherServersHaveTheirTurn(t *testing.T) {
	w := NewWithT(t)
	all := append(targetsOf("v1", 60), targetsOf("v2", 60)...)
	tracker := tracked(rollout.Canary)
	seen := make(map[string]bool)
	for turn := range 3 {
		now := moment.Add(time.Duration(turn)*4500*time.Millisecond + time.Second)
		w.Expect(tracker.TurnDue(now)).To(Equal(turn > 0))
		placed := tracker.Place(now, all, "engines")
		w.Expect(tracked(rollout.Canary).Place(now, all, "engines")).To(Equal(placed))
		for _, target := range placed[60:] {
			seen[target.ID] = true
		}
		w.Expect(tracker.TurnDue(now)).To(BeFalse())
	}
	w.Expect(seen).To(HaveLen(18))
	tracker.Heard(moment.Add(10*time.Second), rollout.Step{Order: 5, Phase: rollout.Shifting})
	w.Expect(tracker.TurnDue(moment.Add(20 * time.Second))).To(BeFalse())
}
