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
