package crashes_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/crashes"
)

var now = time.Unix(1_000_000, 0)

// The same request fails at one target after another. A run may be reported twice and
// counts once. At the threshold the request is refused, and after the retention time it
// is allowed again.
func TestQuarantinedAtTheThreshold(t *testing.T) {
	g := NewWithT(t)
	m := crashes.New()
	for i := range crashes.QuarantineThreshold {
		g.Expect(m.Quarantined(now, 7)).To(BeFalse())
		g.Expect(m.RecordFailure(now, 7, fmt.Sprint(i))).To(BeTrue())
		g.Expect(m.RecordFailure(now, 7, fmt.Sprint(i))).To(BeFalse())
	}
	g.Expect(m.Quarantined(now, 7)).To(BeTrue())
	g.Expect(m.Quarantined(now, 8)).To(BeFalse())
	g.Expect(m.Quarantined(now.Add(time.Hour), 7)).To(BeFalse())
}

// Callers keep sending new requests that fail. The memory stays bounded.
func TestMemoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	m := crashes.New()
	for i := range 10_000 {
		m.RecordFailure(now, crashes.Fingerprint(i), "r")
	}
	g.Expect(m.Count(now, 0)).To(BeZero())
	g.Expect(m.Count(now, 9_999)).To(Equal(1))
}

// Guards against an entry that has just started and runs requests which others refuse: it is told
// the failed runs that make them refuse, and no others.
func TestQuarantinedRunsMakeAnotherTrackerRefuse(t *testing.T) {
	g := NewWithT(t)
	m := crashes.New()
	for fingerprint := range crashes.Fingerprint(5) {
		for i := range int(fingerprint) {
			m.RecordFailure(now, fingerprint, fmt.Sprint(i))
		}
	}
	told := crashes.New()
	for _, run := range m.QuarantinedRuns(now, 6) {
		told.RecordFailure(now, run.Fingerprint, run.ID)
	}
	for fingerprint := range crashes.Fingerprint(5) {
		g.Expect(told.Quarantined(now, fingerprint)).To(Equal(m.Quarantined(now, fingerprint)))
	}
	g.Expect(told.Count(now, 2)).To(BeZero())
	g.Expect(m.QuarantinedRuns(now, 5)).To(HaveLen(3))
	g.Expect(m.QuarantinedRuns(now.Add(time.Hour), 6)).To(BeEmpty())
}

// Guards against the broken connections of a target that lives on counting as its crash, and against a target
// that is back after a crash passing for one that lived on.
func TestTargetThatAnswersDidNotCrash(t *testing.T) {
	g := NewWithT(t)
	m := crashes.New()
	for _, target := range []string{"a", "b", "c"} {
		m.RecordFailure(now, 7, target)
	}
	g.Expect(m.Quarantined(now, 7)).To(BeTrue())
	g.Expect(m.RecordLife("a", now.Add(-time.Millisecond))).To(BeZero(), "sent before the run broke")
	g.Expect(m.RecordLife("a", now.Add(2*time.Second))).To(BeZero(), "may have been restarted")
	g.Expect(m.RecordLife("a", now.Add(time.Millisecond))).To(Equal(1))
	g.Expect(m.RecordLife("a", now.Add(time.Millisecond))).To(BeZero())
	g.Expect(m.Quarantined(now, 7)).To(BeFalse())
	g.Expect(m.Count(now, 7)).To(Equal(2))
}

// Guards against one crash with many equal requests in flight counting as many.
func TestTargetCountsOnce(t *testing.T) {
	g := NewWithT(t)
	m := crashes.New()
	for range 100 {
		m.RecordFailure(now, 7, "a")
	}
	g.Expect(m.Count(now, 7)).To(Equal(1))
}

// Guards against a request that targets answer being refused because some of its connections break.
func TestAnswerClearsEvidence(t *testing.T) {
	g := NewWithT(t)
	m := crashes.New()
	for i := range crashes.QuarantineThreshold {
		m.RecordFailure(now, 7, fmt.Sprint(i))
	}
	g.Expect(m.RetryAfter(now.Add(time.Second), 7)).To(Equal(59 * time.Second))
	g.Expect(m.Clear(now, 7)).To(BeTrue())
	g.Expect(m.Clear(now, 7)).To(BeFalse())
	g.Expect(m.Quarantined(now, 7)).To(BeFalse())
	g.Expect(m.RetryAfter(now, 7)).To(BeZero())
	g.Expect(m.QuarantinedRuns(now, 10)).To(BeEmpty())
}

// Guards against one request that breaks at many targets using up the memory.
func TestTargetsOfRequestAreBounded(t *testing.T) {
	g := NewWithT(t)
	m := crashes.New()
	for i := range 10_000 {
		m.RecordFailure(now, 7, fmt.Sprint(i))
	}
	g.Expect(m.Count(now, 7)).To(BeNumerically("<=", 64))
}

func BenchmarkRecordLife(b *testing.B) {
	for _, held := range []int{0, 4000} {
		b.Run(fmt.Sprint(held), func(b *testing.B) {
			m := crashes.New()
			for i := range held {
				m.RecordFailure(now, crashes.Fingerprint(i), fmt.Sprint(i%1000))
			}
			for b.Loop() {
				m.RecordLife("none", now)
			}
		})
	}
}

// Guards against a crash not counting because an earlier run at the same target broke for another reason.
func TestCrashAfterRefutedRunCounts(t *testing.T) {
	g := NewWithT(t)
	m := crashes.New()
	m.RecordFailure(now, 7, "a")
	g.Expect(m.RecordLife("a", now.Add(time.Millisecond))).To(Equal(1))
	g.Expect(m.RecordFailure(now.Add(time.Second), 7, "a")).To(BeTrue())
	g.Expect(m.Count(now.Add(time.Second), 7)).To(Equal(1))
	g.Expect(m.RecordLife("a", now.Add(time.Second+time.Millisecond))).To(Equal(1))
}

// Guards against each answer of a target costing a look at all runs that ever broke there.
func BenchmarkRecordLifeAfterManyBrokenRuns(b *testing.B) {
	m := crashes.New()
	for i := range 4000 {
		m.RecordFailure(now, crashes.Fingerprint(i), "a")
	}
	for b.Loop() {
		m.RecordLife("a", now.Add(time.Minute))
	}
}
