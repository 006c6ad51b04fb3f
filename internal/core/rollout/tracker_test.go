package rollout_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/rollout"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// targetsOf returns n targets of a version.
func targetsOf(version string, n int) []catalog.Target {
	var targets []catalog.Target
	for i := range n {
		targets = append(targets, catalog.Target{ID: fmt.Sprintf("%s-%d", version, i), Service: "engines", Version: version, Slots: 4})
	}
	return targets
}

// newTracker returns a tracker that has received a step of the leader and has placed its
// targets.
func newTracker(phase rollout.Phase) *rollout.Tracker {
	t := rollout.NewTracker(startTime, rollout.Order{ID: 5, Service: "engines", To: "v2", Duration: 12 * time.Second}, rollout.Bounds{ExposureShare: 0.1, StopWithin: 5 * time.Second})
	t.ApplyStep(startTime, rollout.Step{Order: 5, Phase: phase})
	t.Place(startTime, append(targetsOf("v1", 60), targetsOf("v2", 60)...), "engines")
	return t
}

func pools(targets []catalog.Target) map[string]int {
	n := make(map[string]int)
	for _, target := range targets {
		n[target.Service+" "+target.Version]++
	}
	return n
}

// The leader is partitioned or has crashed. An entry that does not hear from it sends
// nothing to the new version, since it would not learn that this is bad. When the entry
// hears from a leader again it resumes.
func TestCanaryClosesWithoutALeader(t *testing.T) {
	w := NewWithT(t)
	tracker := newTracker(rollout.Canary)
	w.Expect(tracker.UsesNew(startTime.Add(time.Second), 1, 0)).To(BeTrue())
	w.Expect(tracker.UsesNew(startTime.Add(2*time.Second), 1, 0)).To(BeFalse())
	tracker.ApplyStep(startTime.Add(3*time.Second), rollout.Step{Order: 5, Phase: rollout.Canary})
	w.Expect(tracker.UsesNew(startTime.Add(3*time.Second), 1, 0)).To(BeTrue())
}

// A leader resumes after a pause and sends an outdated step. No entry goes back to an
// earlier phase because of it, and none applies a step of another order.
func TestPhasesOnlyAdvance(t *testing.T) {
	w := NewWithT(t)
	tracker := newTracker(rollout.Completed)
	w.Expect(tracker.ApplyStep(startTime, rollout.Step{Order: 5, Phase: rollout.Canary})).To(BeFalse())
	w.Expect(tracker.Restore(startTime, rollout.Record{Order: rollout.Order{ID: 5}, Phase: rollout.Shifting})).To(BeFalse())
	w.Expect(tracker.ApplyStep(startTime, rollout.Step{Order: 4, Phase: rollout.RolledBack})).To(BeFalse())
	w.Expect(tracker.Phase()).To(Equal(rollout.Completed))
}

// The canary consists of a few new targets, each with about the load of an old one. All
// targets of the old version stay in use, and the other new ones get no requests.
func TestTargetsByPhase(t *testing.T) {
	w := NewWithT(t)
	all := append(targetsOf("v1", 60), targetsOf("v2", 60)...)
	w.Expect(pools(newTracker(rollout.Canary).Place(startTime, all, "engines"))).To(Equal(map[string]int{"engines v1": 60, "engines@v2 v2": 6}))
	w.Expect(pools(newTracker(rollout.Shifting).Place(startTime, all, "engines"))).To(Equal(map[string]int{"engines v1": 60, "engines@v2 v2": 60}))
	w.Expect(pools(newTracker(rollout.RolledBack).Place(startTime, all, "engines"))).To(Equal(map[string]int{"engines v1": 60}))
}

// Old servers are stopped as soon as the operators read that the roll-out is completed, but
// stay registered for some seconds. An entry that learns of the completion from the leader
// alone must not send to them, and has to use a version that appears later without an order.
func TestStoppedTargetsReceiveNoRequests(t *testing.T) {
	w := NewWithT(t)
	tracker := newTracker(rollout.Shifting)
	w.Expect(tracker.ApplyStep(startTime, rollout.Step{Order: 5, Phase: rollout.Completed})).To(BeTrue())
	all := append(append(targetsOf("v1", 60), targetsOf("v2", 60)...), targetsOf("v3", 2)...)
	w.Expect(pools(tracker.Place(startTime, all, "engines"))).To(Equal(map[string]int{"engines@v2 v2": 60, "engines@v2 v3": 2}))
}

// The operators order the version that all servers already run. Callers are served
// throughout.
func TestOrderForTheCurrentVersion(t *testing.T) {
	w := NewWithT(t)
	tracker := newTracker(rollout.Canary)
	w.Expect(pools(tracker.Place(startTime, targetsOf("v2", 3), "engines"))).To(Equal(map[string]int{"engines@v2 v2": 3}))
	w.Expect(tracker.UsesNew(startTime, 1, 0.99)).To(BeTrue())
}

// Guards against an entry that takes the previous version for gone because its registrations are missing:
// it would send all requests to a version under roll-out.
func TestMissingTargetsAreNotLostAtOnce(t *testing.T) {
	const renewal = 2 * time.Second
	for _, c := range []struct {
		name    string
		renewal time.Duration
		// before are the targets of the previous version at the start.
		before  int
		elapsed time.Duration
		usesNew bool
	}{
		{"none seen since the start", renewal, 0, renewal - 1, false},
		{"none seen for long", renewal, 0, renewal, true},
		{"seen before", renewal, 3, 0, true},
		{"followed since before the order", 0, 0, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := NewWithT(t)
			tracker := rollout.NewTracker(startTime, rollout.Order{ID: 5, Service: "engines", To: "v2", Duration: 12 * time.Second}, rollout.Bounds{ExposureShare: 0.1, StopWithin: 5 * time.Second, RenewalTime: c.renewal})
			tracker.Place(startTime, append(targetsOf("v1", c.before), targetsOf("v2", 3)...), "engines")
			at := startTime.Add(c.elapsed)
			tracker.Place(at, targetsOf("v2", 3), "engines")
			w.Expect(tracker.UsesNew(at, 1, 0.99)).To(Equal(c.usesNew))
		})
	}
}

// Servers of a new version register before the entry has read the order to move to them.
// They get no requests until the orders have been read up to a later moment; without an
// order they are used from then on. If nothing else serves, they are used at once.
func TestNewVersionWaitsForOrders(t *testing.T) {
	w := NewWithT(t)
	versions := rollout.NewVersions()
	usable, waits := versions.Usable(startTime, startTime, "engines", targetsOf("v1", 3), false)
	w.Expect(usable).To(HaveLen(3))
	w.Expect(waits).To(BeFalse())

	both := append(targetsOf("v1", 3), targetsOf("v2", 3)...)
	usable, waits = versions.Usable(startTime.Add(time.Second), startTime, "engines", both, false)
	w.Expect(pools(usable)).To(Equal(map[string]int{"engines v1": 3}))
	w.Expect(waits).To(BeTrue())

	usable, _ = versions.Usable(startTime.Add(2*time.Second), startTime.Add(1500*time.Millisecond), "engines", both, false)
	w.Expect(usable).To(HaveLen(6))

	usable, waits = versions.Usable(startTime.Add(3*time.Second), startTime, "engines", targetsOf("v3", 2), false)
	w.Expect(usable).To(HaveLen(2))
	w.Expect(waits).To(BeFalse())

	usable, waits = versions.Usable(startTime.Add(3*time.Second), startTime, "engines", targetsOf("v4", 2), true)
	w.Expect(usable).To(BeEmpty(), "others serve")
	w.Expect(waits).To(BeTrue())
}

// Servers of a service differ in speed, and the first canary may consist of fast ones only,
// which the new version makes as slow as the slowest. The canary therefore rotates: it has
// the same size each time and is the same at all entries. After the shift there are no more
// rotations.
func TestCanaryRotatesOverServers(t *testing.T) {
	w := NewWithT(t)
	all := append(targetsOf("v1", 60), targetsOf("v2", 60)...)
	tracker := newTracker(rollout.Canary)
	seen := make(map[string]bool)
	for rotation := range 3 {
		now := startTime.Add(time.Duration(rotation)*4500*time.Millisecond + time.Second)
		w.Expect(tracker.RotationDue(now)).To(Equal(rotation > 0))
		placed := tracker.Place(now, all, "engines")
		w.Expect(newTracker(rollout.Canary).Place(now, all, "engines")).To(Equal(placed))
		for _, target := range placed[60:] {
			seen[target.ID] = true
		}
		w.Expect(tracker.RotationDue(now)).To(BeFalse())
	}
	w.Expect(seen).To(HaveLen(18))
	tracker.ApplyStep(startTime.Add(10*time.Second), rollout.Step{Order: 5, Phase: rollout.Shifting})
	w.Expect(tracker.RotationDue(startTime.Add(20 * time.Second))).To(BeFalse())
}
