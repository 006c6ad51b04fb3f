package rollout_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/rollout"
)

// A sound version answers within a millisecond, and the entries that measure it are busy:
// every fifth answer of the new one is seen some milliseconds late, of the old one every
// tenth. That is no reason to send the version back, since no caller notices.
func TestNoiseOfEntriesIsNotSlowness(t *testing.T) {
	w := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 2))
	judge := rollout.NewJudge(moment, rollout.Order{ID: 5, Duration: 6 * time.Second})
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
		now := moment.Add(time.Duration(tick) * 250 * time.Millisecond)
		report := rollout.Report{Order: 5, Phase: rollout.Canary}
		for range 8 {
			report.New = append(report.New, observe(true, 0.2))
		}
		for range 40 {
			report.Old = append(report.Old, observe(false, 0.1))
		}
		judge.Take(now, "entry", 1, report)
		if decision = judge.Decide(now, rollout.Canary, now.Sub(moment), []string{"entry"}); decision.Action != rollout.Wait {
			break
		}
	}
	w.Expect(decision.Action).To(Equal(rollout.Shift), "%+v", decision)
}

// The one target of a canary is seen two milliseconds late in every answer, by entries that
// are busy with it. Three times the time of the old ones, it is no slow version.
func TestNoiseOfEntriesIsNoSlowTarget(t *testing.T) {
	w := NewWithT(t)
	judge := rollout.NewJudge(moment, rollout.Order{ID: 5, Duration: 6 * time.Second})
	report := rollout.Report{Order: 5, Phase: rollout.Canary}
	for n := range uint64(40) {
		report.Old = append(report.Old, rollout.Observation{Number: n + 1, Target: 1 + uint32(n%2), Load: 1, Pace: time.Millisecond})
		report.New = append(report.New, rollout.Observation{Number: n + 1, Target: 9, New: true, Load: 1, Pace: 3 * time.Millisecond})
	}
	judge.Take(moment, "entry", 1, report)
	w.Expect(judge.Decide(moment, rollout.Canary, time.Second, nil).Action).To(Equal(rollout.Wait))
}

// unlikeServers reports the answers of twelve old servers, a third of which takes four times
// as long, and of six new ones with the given times in milliseconds.
func unlikeServers(news []int) rollout.Report {
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

// A version makes all answers five times as long. On four fast servers of its canary that
// looks like a slow server; two slow ones take four times as long as any old one. Their
// callers wait, so the version goes back, at three answers of each. One such server alone
// may be sick.
func TestTwoServersSlowerThanAnyCondemn(t *testing.T) {
	w := NewWithT(t)
	decide := func(news ...int) rollout.Action {
		judge := rollout.NewJudge(moment, rollout.Order{ID: 5, Duration: 12 * time.Second})
		judge.Take(moment, "entry", 1, unlikeServers(news))
		return judge.Decide(moment, rollout.Canary, time.Second, nil).Action
	}
	w.Expect(decide(50, 50, 50, 50, 225, 225)).To(Equal(rollout.RollBack))
	w.Expect(decide(50, 50, 50, 50, 50, 225)).To(Equal(rollout.Wait))
	w.Expect(decide(10, 10, 10, 10, 45, 45)).To(Equal(rollout.Wait))
}
