package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/dispatch"
)

// sharesInTime simulates several seeds and returns the mean share in time by rank of the
// streams that arrived in a period.
func sharesInTime(load func(time.Duration) float64, from, until time.Duration, change func(*fleet)) [3]float64 {
	const seeds = 6
	var sum [3]float64
	for seed := range uint64(seeds) {
		f := newFleet(seed, oneCell)
		change(f)
		f.run(14*time.Second, load)
		for rank := range sum {
			sum[rank] += f.timely(rank, from, until) / seeds
		}
	}
	return sum
}

func moderate(time.Duration) float64 { return 0.65 }

// busy is about the capacity of the engines, so that the slow ones are used as well.
func busy(time.Duration) float64 { return 1.2 }

// doubled is a burst of five seconds beyond the capacity of the engines.
func doubled(at time.Duration) float64 {
	if at >= 3*time.Second && at < 8*time.Second {
		return 2
	}
	return 0.65
}

func unchanged(*fleet) {}

func TestStreamsAreInTimeAtModerateLoad(t *testing.T) {
	served := sharesInTime(moderate, 0, 14*time.Second, unchanged)
	t.Logf("in time: %.3f", served)
	for _, share := range served {
		NewWithT(t).Expect(share).To(BeNumerically(">", 0.93))
	}
}

// A prompt of some thousand tokens is read on an engine five times slower than the
// fastest, and all streams there pause for longer than their callers accept. Entries that
// have the longest acceptable pause send it elsewhere, and more streams are in time.
func TestLongPromptsAvoidSlowEngines(t *testing.T) {
	with := sharesInTime(busy, 0, 14*time.Second, unchanged)
	without := sharesInTime(busy, 0, 14*time.Second, func(f *fleet) { f.ignoreGap = true })
	t.Logf("in time: %.3f, without %.3f", with, without)
	NewWithT(t).Expect(with[1]).To(BeNumerically(">", without[1]+0.01))
}

// In the first seconds no entry has measured which engines are slow. Each entry receives few
// answers of a slow engine; with shared samples all entries detect it after the first few.
func TestSharedSamplesRaiseShareInTime(t *testing.T) {
	with := sharesInTime(moderate, 0, 8*time.Second, unchanged)
	without := sharesInTime(moderate, 0, 8*time.Second, func(f *fleet) {
		f.omit = func(l *dispatch.Load) { l.Samples = nil }
	})
	t.Logf("in time: %.3f, without %.3f", with, without)
	NewWithT(t).Expect(with[0] + with[1] + with[2]).To(BeNumerically(">", without[0]+without[1]+without[2]+0.03))
}

// For five seconds the load is twice the capacity. Entries take turns for freed slots;
// without reports of the others' waiting requests all of them take a slot at once, streams
// wait in the engines' own queues, and fewer are in time.
func TestEntriesTakeTurnsDuringBurst(t *testing.T) {
	with := sharesInTime(doubled, 3*time.Second, 8*time.Second, unchanged)
	without := sharesInTime(doubled, 3*time.Second, 8*time.Second, func(f *fleet) {
		f.omit = func(l *dispatch.Load) { l.Waiting = nil }
	})
	t.Logf("in time: %.3f, without %.3f", with, without)
	NewWithT(t).Expect(with[0] + with[1] + with[2]).To(BeNumerically(">", without[0]+without[1]+without[2]+0.03))
	NewWithT(t).Expect(with[0]).To(BeNumerically(">", with[1]))
}

// After a burst of twice the capacity the share in time recovers within three seconds:
// late requests do not delay those that follow.
func TestShareInTimeRecoversAfterBurst(t *testing.T) {
	before := sharesInTime(doubled, 0, 3*time.Second, unchanged)
	after := sharesInTime(doubled, 11*time.Second, 14*time.Second, unchanged)
	t.Logf("in time: %.3f before, %.3f after", before, after)
	for rank := range before {
		NewWithT(t).Expect(after[rank]).To(BeNumerically(">", before[rank]-0.05))
	}
}
