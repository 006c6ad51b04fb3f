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
