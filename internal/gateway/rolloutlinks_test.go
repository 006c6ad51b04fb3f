package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/core/rollout"
	"sycamoretrail/internal/gossip"
)

// A report must reach the leader unchanged: a lost flag would hide a version that is bad under
// load only. A report of the largest size must fit one datagram, or none would arrive once
// there is much to report.
func TestRolloutReportsArriveComplete(t *testing.T) {
	w := NewWithT(t)
	tracker := rollout.NewTracker(time.Now(), rollout.Order{ID: 1 << 40, Service: "wuka27a-of-a-long-name", To: "v2"}, rollout.Bounds{ExposureShare: 0.1})
	for i := range 200 {
		tracker.AddObservation(rollout.Observation{
			Route: 4_000_000_000, Target: 4_100_000_000, New: i%2 == 0, Load: 1 + i%4, Loaded: i%4 > 2, Failed: i%3 == 0, ConnectionLost: i%6 == 0,
			Pace: 123_456 * time.Microsecond, FirstEvent: 987_654 * time.Microsecond, Duration: 7_890 * time.Millisecond,
		})
	}
	report := tracker.Report(17)
	w.Expect(observationsOf(observationMessages(report.New), true)).To(Equal(report.New))
	w.Expect(observationsOf(observationMessages(report.Old), false)).To(Equal(report.Old))

	conn, err := gossip.Listen("127.0.0.1:0")
	w.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = conn.Encode(&gossip.Message{
		From: "front-of-a-long-name-195", Incarnation: 1<<64 - 1, AgeMS: 1 << 40,
		RolloutReport: &gossip.RolloutReport{
			Service: tracker.Order().Service, Order: report.Order, Phase: uint8(report.Phase), OldEngaged: report.OldOutstanding,
			New: observationMessages(report.New), Old: observationMessages(report.Old),
		},
	})
	w.Expect(err).NotTo(HaveOccurred())
}

// Guards against the rest of a stream going to the other version's targets during a roll-out.
func TestBoundRequestsUseThePoolOfTheirVersion(t *testing.T) {
	w := NewWithT(t)
	gateway, _ := newLoggingGateway()
	route := &catalog.Route{Host: "h", Prefix: "/p/"}
	pool := func(version string) string { return gateway.state.poolOfVersion("desk", route, version) }
	w.Expect(pool("v1")).To(Equal("desk"), "without a roll-out")
	gateway.state.rollouts.addOrder(rollout.Order{ID: 1, Service: "desk", To: "v2", Duration: time.Minute}, 1, false)
	for _, each := range []struct {
		phase    rollout.Phase
		old, new string
	}{
		{rollout.Unknown, "desk", "desk"},
		{rollout.Shifting, "desk", "desk@v2"},
		{rollout.Completed, "desk@v2", "desk@v2"},
	} {
		gateway.state.rollouts.services["desk"].tracker.ApplyStep(time.Now(), rollout.Step{Service: "desk", Order: 1, Phase: each.phase})
		w.Expect([]string{pool("v1"), pool("v2")}).To(Equal([]string{each.old, each.new}), each.phase.String())
	}
}

// Guards against a version whose answers are given up for their length passing for one without
// failures.
func TestOversizedAnswersCountAgainstTheirVersion(t *testing.T) {
	w := NewWithT(t)
	gateway, _ := newLoggingGateway()
	gateway.state.rollouts.addOrder(rollout.Order{ID: 1, Service: "desk", To: "v2", Duration: time.Minute}, 1, false)
	grant := &dispatch.Grant{Ticket: &dispatch.Ticket{}, Target: catalog.Target{ID: "i-1", Version: "v2", Slots: 4}}
	for outcome, failed := range map[dispatch.Outcome]bool{dispatch.Answered: false, dispatch.Failed: true, dispatch.Broken: true, dispatch.Oversized: true} {
		tracker := gateway.state.rollouts.services["desk"].tracker
		before := len(tracker.Report(0).New)
		gateway.state.recordObservation("desk", &catalog.Route{}, grant, dispatch.Report{Outcome: outcome}, time.Second)
		observed := tracker.Report(0).New
		w.Expect(observed).To(HaveLen(before+1), outcome.String())
		w.Expect(observed[before].Failed).To(Equal(failed), outcome.String())
	}
}
