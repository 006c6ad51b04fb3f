package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/rollout"
	"sycamoretrail/internal/gossip"
)

// fullReport returns an entry's report of the largest size.
func fullReport(entry int) rollout.Report {
	tracker := rollout.NewTracker(time.Now(), rollout.Order{ID: 1, Service: "engines", To: "v2"}, rollout.Bounds{ExposureShare: 0.1})
	for i := range 120 {
		tracker.AddObservation(rollout.Observation{
			Route: uint32(i % 3), Target: uint32(entry*7+i) % 66, New: i%2 == 0, Load: 1 + i%4,
			Pace: time.Duration(15+i%7) * time.Millisecond, FirstEvent: time.Duration(20+i%9) * time.Microsecond, Duration: 400 * time.Millisecond,
		})
	}
	return tracker.Report(3)
}

// BenchmarkRolloutReport measures the leader's cost of decoding and applying one report, most
// of which it has already received with the previous one.
func BenchmarkRolloutReport(b *testing.B) {
	report := fullReport(1)
	data, err := cbor.Marshal(&gossip.Message{From: "entry-1", RolloutReport: &gossip.RolloutReport{
		Service: "engines", Order: 1, New: observationMessages(report.New), Old: observationMessages(report.Old),
	}})
	if err != nil {
		b.Fatal(err)
	}
	judge := rollout.NewJudge(time.Now(), rollout.Order{ID: 1})
	for b.Loop() {
		var m gossip.Message
		if err := cbor.Unmarshal(data, &m); err != nil {
			b.Fatal(err)
		}
		judge.AddReport(time.Now(), "entry-1", 1, rollout.Report{
			Order: 1, New: observationsOf(m.RolloutReport.New, true), Old: observationsOf(m.RolloutReport.Old, false),
		})
	}
	b.ReportMetric(float64(len(data)), "B/report")
}

// BenchmarkRolloutDecision measures the leader's cost of one evaluation of all reports.
func BenchmarkRolloutDecision(b *testing.B) {
	for _, entries := range []int{24, 71, 195, 410} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			now := time.Now()
			judge := rollout.NewJudge(now, rollout.Order{ID: 1, Duration: 30 * time.Second})
			for i := range entries {
				judge.AddReport(now.Add(time.Duration(i%20)*time.Second), fmt.Sprint(i), 1, fullReport(i))
			}
			for b.Loop() {
				judge.Decide(now, rollout.Canary, time.Second, nil)
			}
		})
	}
}

// BenchmarkAssignPools measures the cost of a change of one target, apart from passing all
// targets to the scheduler, without a roll-out and with one.
func BenchmarkAssignPools(b *testing.B) {
	for _, active := range []bool{false, true} {
		b.Run(fmt.Sprintf("active %v", active), func(b *testing.B) {
			g := &Gateway{state: &state{}}
			r := newRollouts(g)
			targets := make([]catalog.Target, 999)
			for i := range targets {
				targets[i] = catalog.Target{ID: fmt.Sprintf("i-%06x", i*7919), Service: "engines", Version: "v1", Slots: 4}
			}
			r.assignPools(targets, time.Time{})
			if active {
				r.services["other"] = &serviceRollout{tracker: rollout.NewTracker(time.Now(), rollout.Order{ID: 1, Service: "other", To: "v2"}, rollout.Bounds{ExposureShare: 0.1})}
			}
			for b.Loop() {
				r.assignPools(targets, time.Time{})
			}
		})
	}
}
