package rollout_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/rollout"
)

// A good version answers within a millisecond, and the entries that measure it are busy:
// every fifth answer of the new version is measured some milliseconds late, and every tenth
// of the old one. The version must not be rolled back for it, since no caller notices.
func TestEntryDelayIsNotSlowness(t *testing.T) {
	w := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 2))
	judge := rollout.NewJudge(startTime, rollout.Order{ID: 5, Duration: 6 * time.Second})
	number := uint64(0)
	observe := func(isNew bool, late float64) rollout.Observation {
		number++
		o := rollout.Observation{Number: number, Route: uint32(number % 2), Target: uint32(number%3) + 10, New: isNew, Load: 1, Pace: 400 * time.Microsecond}
		if isNew {
			o.Target = 99
		}
		if rng.Float64() < late {
			o.Pace += time.Duration(1+rng.IntN(6)) * time.Millisecond
		}
		return o
	}
	var decision rollout.Decision
	for tick := range 24 {
		now := startTime.Add(time.Duration(tick) * 250 * time.Millisecond)
		report := rollout.Report{Order: 5, Phase: rollout.Canary}
		for range 8 {
			report.New = append(report.New, observe(true, 0.2))
		}
		for range 40 {
			report.Old = append(report.Old, observe(false, 0.1))
		}
		judge.AddReport(now, "entry", 1, report)
		if decision = judge.Decide(now, rollout.Canary, now.Sub(startTime), []string{"entry"}); decision.Action != rollout.Wait {
			break
		}
	}
	w.Expect(decision.Action).To(Equal(rollout.Shift), "%+v", decision)
}

// Busy entries measure every answer of the canary's only target two milliseconds late. That
// is three times the time of the old targets, but must not count as slow.
func TestEntryDelayIsNotASlowTarget(t *testing.T) {
	w := NewWithT(t)
	judge := rollout.NewJudge(startTime, rollout.Order{ID: 5, Duration: 6 * time.Second})
	report := rollout.Report{Order: 5, Phase: rollout.Canary}
	for n := range uint64(40) {
		report.Old = append(report.Old, rollout.Observation{Number: n + 1, Target: 1 + uint32(n%2), Load: 1, Pace: time.Millisecond})
		report.New = append(report.New, rollout.Observation{Number: n + 1, Target: 9, New: true, Load: 1, Pace: 3 * time.Millisecond})
	}
	judge.AddReport(startTime, "entry", 1, report)
	w.Expect(judge.Decide(startTime, rollout.Canary, time.Second, nil).Action).To(Equal(rollout.Wait))
}

// mixedSpeedReport returns a report with answers of twelve old servers, a third of which
// take four times as long, and of six new ones with the given times in milliseconds.
func mixedSpeedReport(news []int) rollout.Report {
	report := rollout.Report{Order: 5, Phase: rollout.Canary}
	for n := range uint64(72) {
		pace := 10 * time.Millisecond
		if n%12 < 4 {
			pace = 45 * time.Millisecond
		}
		report.Old = append(report.Old, rollout.Observation{Number: n + 1, Target: 100 + uint32(n%12), Load: 1, Pace: pace})
	}
	for n := range uint64(18) {
		pace := time.Duration(news[n%6]) * time.Millisecond
		report.New = append(report.New, rollout.Observation{Number: n + 1, Target: 1 + uint32(n%6), New: true, Load: 1, Pace: pace})
	}
	return report
}

// A version makes all answers five times as long. On the four fast servers of its canary
// that looks like a slow server, but the two slow ones take four times as long as any old
// one. The version is rolled back, after three answers of each. A single such server may be
// faulty.
func TestTwoMuchSlowerServersRejectAVersion(t *testing.T) {
	w := NewWithT(t)
	decide := func(news ...int) rollout.Action {
		judge := rollout.NewJudge(startTime, rollout.Order{ID: 5, Duration: 12 * time.Second})
		judge.AddReport(startTime, "entry", 1, mixedSpeedReport(news))
		return judge.Decide(startTime, rollout.Canary, time.Second, nil).Action
	}
	w.Expect(decide(50, 50, 50, 50, 225, 225)).To(Equal(rollout.RollBack))
	w.Expect(decide(50, 50, 50, 50, 50, 225)).To(Equal(rollout.Wait))
	w.Expect(decide(10, 10, 10, 10, 45, 45)).To(Equal(rollout.Wait))
}
