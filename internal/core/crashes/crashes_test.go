package crashes_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/crashes"
)

var now = time.Unix(1_000_000, 0)

// threshold is the number of crashes from which a request is refused.
const threshold = 3

// recordFailure records that a run of a request broke, and returns whether that adds anything.
func recordFailure(s *crashes.Causes, at time.Time, fingerprint crashes.Fingerprint, target string) bool {
	return len(s.RecordBroken(at, target, 0, []crashes.Evidence{{Cause: fingerprint.Cause()}})) > 0
}

func quarantined(s *crashes.Causes, at time.Time, fingerprint crashes.Fingerprint) bool {
	return s.Check(at, []crashes.Cause{fingerprint.Cause()}).Refused
}

func retryAfter(s *crashes.Causes, at time.Time, fingerprint crashes.Fingerprint) time.Duration {
	return s.Check(at, []crashes.Cause{fingerprint.Cause()}).RetryAfter
}

// The same request fails at one target after another. A run may be reported twice and
// counts once. At the threshold the request is refused, until it has not come for long.
func TestQuarantinedAtTheThreshold(t *testing.T) {
	g := NewWithT(t)
	m := newCauses()
	for i := range threshold {
		g.Expect(quarantined(m, now, 7)).To(BeFalse())
		g.Expect(recordFailure(m, now, 7, fmt.Sprint(i))).To(BeTrue())
		g.Expect(recordFailure(m, now, 7, fmt.Sprint(i))).To(BeFalse())
	}
	g.Expect(quarantined(m, now, 7)).To(BeTrue())
	g.Expect(quarantined(m, now, 8)).To(BeFalse())
	g.Expect(m.Check(now.Add(24*time.Hour), []crashes.Cause{crashes.Fingerprint(7).Cause()})).To(Equal(crashes.Decision{}))
}

// Guards against a request that goes on to crash targets being let through each time that its evidence ends.
func TestRequestIsRefusedAsLongAsItComes(t *testing.T) {
	const allowed, probes = 3, 2
	for _, pause := range []time.Duration{2 * time.Second, 30 * time.Second} {
		g := NewWithT(t)
		m := newCauses()
		causes := []crashes.Cause{crashes.Fingerprint(7).Cause()}
		crashed := 0
		for at := now; at.Before(now.Add(time.Hour)); at = at.Add(pause) {
			if !m.Claim(at, causes).Refused {
				crashed++
				recordFailure(m, at, 7, fmt.Sprint(crashed))
			}
		}
		g.Expect(crashed).To(BeNumerically("<=", allowed+probes))
	}
}

// Callers keep sending new requests that fail. The memory stays bounded.
func TestMemoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	m := newCauses()
	for i := range 10_000 {
		recordFailure(m, now, crashes.Fingerprint(i), "r")
	}
	g.Expect(m.Count(now, crashes.Fingerprint(0).Cause())).To(BeZero())
	g.Expect(m.Count(now, crashes.Fingerprint(9_999).Cause())).To(Equal(1))
}

// Guards against an entry that has just started and runs requests which others refuse: it is told
// the quarantines, and nothing else.
func TestQuarantinesMakeAnotherEntryRefuse(t *testing.T) {
	g := NewWithT(t)
	m := newCauses()
	for fingerprint := range crashes.Fingerprint(5) {
		for i := range int(fingerprint) {
			recordFailure(m, now, fingerprint, fmt.Sprint(i))
		}
	}
	joined := newCauses()
	for _, quarantine := range m.Quarantines(now, 6) {
		g.Expect(joined.ApplyQuarantine(now, quarantine)).To(BeTrue())
	}
	for fingerprint := range crashes.Fingerprint(5) {
		g.Expect(quarantined(joined, now, fingerprint)).To(Equal(quarantined(m, now, fingerprint)))
	}
	g.Expect(joined.Count(now, crashes.Fingerprint(2).Cause())).To(BeZero())
	g.Expect(m.Quarantines(now, 1)).To(HaveLen(1))
	g.Expect(m.Quarantines(now.Add(24*time.Hour), 6)).To(BeEmpty())
}

// Guards against the broken connections of a target that lives on counting as its crash, and against a target
// that is back after a crash passing for one that lived on.
func TestTargetThatAnswersDidNotCrash(t *testing.T) {
	g := NewWithT(t)
	m := newCauses()
	for _, target := range []string{"a", "b", "c"} {
		recordFailure(m, now, 7, target)
	}
	g.Expect(quarantined(m, now, 7)).To(BeTrue())
	g.Expect(m.RecordLife("a", now.Add(-time.Millisecond))).To(BeZero(), "sent before the run broke")
	g.Expect(m.RecordLife("a", now.Add(2*time.Second))).To(BeZero(), "may have been restarted")
	g.Expect(m.RecordLife("a", now.Add(time.Millisecond))).To(Equal(1))
	g.Expect(m.RecordLife("a", now.Add(time.Millisecond))).To(BeZero())
	g.Expect(quarantined(m, now, 7)).To(BeFalse())
	g.Expect(m.Count(now, crashes.Fingerprint(7).Cause())).To(Equal(2))
}

// Guards against one crash with many equal requests in flight counting as many.
func TestTargetCountsOnce(t *testing.T) {
	g := NewWithT(t)
	m := newCauses()
	for range 100 {
		recordFailure(m, now, 7, "a")
	}
	g.Expect(m.Count(now, crashes.Fingerprint(7).Cause())).To(Equal(1))
}

// Guards against a request that targets answer being refused because some of its connections break.
func TestAnswerClearsEvidence(t *testing.T) {
	g := NewWithT(t)
	m := newCauses()
	causes := []crashes.Cause{crashes.Fingerprint(7).Cause()}
	for i := range threshold {
		recordFailure(m, now, 7, fmt.Sprint(i))
	}
	g.Expect(retryAfter(m, now, 7)).To(Equal(30 * time.Second))
	g.Expect(retryAfter(m, now.Add(time.Second), 7)).To(Equal(29 * time.Second))
	answered, _ := m.RecordAnswer(now, causes)
	g.Expect(answered).To(Equal(causes))
	answered, _ = m.RecordAnswer(now, causes)
	g.Expect(answered).To(BeEmpty())
	g.Expect(quarantined(m, now, 7)).To(BeFalse())
	g.Expect(retryAfter(m, now, 7)).To(BeZero())
	g.Expect(m.Quarantines(now, 10)).To(BeEmpty())
}

// Guards against one request that breaks at many targets using up the memory.
func TestTargetsOfRequestAreBounded(t *testing.T) {
	g := NewWithT(t)
	m := newCauses()
	for i := range 10_000 {
		recordFailure(m, now, 7, fmt.Sprint(i))
	}
	g.Expect(m.Count(now, crashes.Fingerprint(7).Cause())).To(BeNumerically("<=", 64))
}

// Guards against a request being refused because an entry lost its links to several targets that ran it.
func TestRunsLostTogetherCountOnce(t *testing.T) {
	g := NewWithT(t)
	m := newCauses()
	for i := range 10 {
		at := now.Add(time.Duration(i) * 500 * time.Microsecond)
		m.RecordBroken(at, fmt.Sprint(i), time.Second, []crashes.Evidence{{Cause: crashes.Fingerprint(7).Cause()}})
	}
	g.Expect(m.Count(now.Add(time.Second), crashes.Fingerprint(7).Cause())).To(Equal(1))
}

func BenchmarkRecordLife(b *testing.B) {
	for _, held := range []int{0, 4000} {
		b.Run(fmt.Sprint(held), func(b *testing.B) {
			m := newCauses()
			for i := range held {
				recordFailure(m, now, crashes.Fingerprint(i), fmt.Sprint(i%1000))
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
	m := newCauses()
	recordFailure(m, now, 7, "a")
	g.Expect(m.RecordLife("a", now.Add(time.Millisecond))).To(Equal(1))
	g.Expect(recordFailure(m, now.Add(time.Second), 7, "a")).To(BeTrue())
	g.Expect(m.Count(now.Add(time.Second), crashes.Fingerprint(7).Cause())).To(Equal(1))
	g.Expect(m.RecordLife("a", now.Add(time.Second+time.Millisecond))).To(Equal(1))
}

// Guards against each answer of a target costing a look at all runs that ever broke there.
func BenchmarkRecordLifeAfterManyBrokenRuns(b *testing.B) {
	m := newCauses()
	for i := range 4000 {
		recordFailure(m, now, crashes.Fingerprint(i), "a")
	}
	for b.Loop() {
		m.RecordLife("a", now.Add(time.Minute))
	}
}
