package crashes_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/crashes"
)

var now = time.Unix(1_000_000, 0)

// The same request breaks off at one target after the other. News of one run may come
// twice and counts once; from the limit on the request is refused, and later forgotten.
func TestConvictedAfterTheLimit(t *testing.T) {
	g := NewWithT(t)
	m := crashes.New()
	for i := range crashes.Limit {
		g.Expect(m.Convicted(now, 7)).To(BeFalse())
		g.Expect(m.Broken(now, 7, fmt.Sprint(i))).To(BeTrue())
		g.Expect(m.Broken(now, 7, fmt.Sprint(i))).To(BeFalse())
	}
	g.Expect(m.Convicted(now, 7)).To(BeTrue())
	g.Expect(m.Convicted(now, 8)).To(BeFalse())
	g.Expect(m.Convicted(now.Add(time.Hour), 7)).To(BeFalse())
}

// Callers send ever new requests that break off. The memory stays bounded.
func TestMemoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	m := crashes.New()
	for i := range 10_000 {
		m.Broken(now, crashes.Fingerprint(i), "r")
	}
	g.Expect(m.Count(now, 0)).To(BeZero())
	g.Expect(m.Count(now, 9_999)).To(Equal(1))
}
