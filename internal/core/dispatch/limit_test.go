package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/dispatch"
)

// Guards against limits that nobody can see: who declared what, and what was sent meanwhile.
func TestChangesOfDeclaredLimitAreTold(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(targets(1, 4))
	limit := dispatch.Limit{Declared: true, PerSecond: 2}
	ticket, _ := s.Submit(start, ask("1"))
	change, changed := s.ObserveLimit(start, ticket, limit)
	g.Expect(changed).To(BeTrue())
	g.Expect(change).To(Equal(dispatch.LimitChange{Now: limit}))
	_, changed = s.ObserveLimit(start, ticket, limit)
	g.Expect(changed).To(BeFalse())
	g.Expect(s.Services(start)[0].Limited).To(Equal(1))
	later := start.Add(3 * time.Second)
	ticket, _ = s.Submit(later, ask("2"))
	change, _ = s.ObserveLimit(later, ticket, dispatch.Limit{})
	g.Expect(change).To(Equal(dispatch.LimitChange{Before: limit, Sent: 1, For: 3 * time.Second}))
}
