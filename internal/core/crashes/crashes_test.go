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
