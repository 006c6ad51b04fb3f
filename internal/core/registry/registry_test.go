package registry_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/registry"
)

var now = time.Unix(1_000_000, 0)

func filled(n int) *registry.Registry {
	r := registry.New()
	for i := range n {
		r.Put(catalog.Target{ID: fmt.Sprintf("t-%d", i), Address: "10.0.0.1:80"})
	}
	return r
}

func TestPutReportsOnlyChanges(t *testing.T) {
	g := NewWithT(t)
	r := filled(1)
	target := catalog.Target{ID: "t-0", Address: "10.0.0.1:80"}
	g.Expect(r.Put(target)).To(BeFalse())
	target.Leaving = true
	g.Expect(r.Put(target)).To(BeTrue())
}

func TestDropWithoutOutageTakesEffectAtOnce(t *testing.T) {
	g := NewWithT(t)
	r := filled(2)
	g.Expect(r.Drop(now, "t-0", time.Time{})).To(BeTrue())
	g.Expect(r.Targets()).To(HaveLen(1))
	g.Expect(r.Drop(now, "t-0", time.Time{})).To(BeFalse())
}

// The store was unavailable for longer than registrations are valid, so all of them expired.
// Running targets register again within two seconds; the others are removed then.
func TestExpiredTargetsAreKeptUntilRenewedOrRemoved(t *testing.T) {
	g := NewWithT(t)
	r := filled(3)
	until := now.Add(2 * time.Second)
	for i := range 3 {
		r.Drop(now, fmt.Sprintf("t-%d", i), until)
	}
	g.Expect(r.Targets()).To(HaveLen(3))
	g.Expect(r.Put(catalog.Target{ID: "t-1", Address: "10.0.0.1:80"})).To(BeTrue())
	removed, next := r.Expire(now.Add(time.Second))
	g.Expect(removed).To(BeEmpty())
	g.Expect(next).To(Equal(until))
	removed, _ = r.Expire(until)
	g.Expect(removed).To(Equal([]string{"t-0", "t-2"}))
	g.Expect(r.Targets()).To(HaveLen(1))
}

// An entry was disconnected while a few of many targets left. If they were taken for expired
// ones, they would receive requests for seconds after their departure.
func TestFewDropsAreNotTreatedAsOutage(t *testing.T) {
	g := NewWithT(t)
	r := filled(9)
	g.Expect(r.IsMassExpiry(4)).To(BeFalse())
	g.Expect(r.IsMassExpiry(6)).To(BeTrue())
	g.Expect(filled(1).IsMassExpiry(1)).To(BeFalse(), "a single target that leaves is not an outage")
}

func TestMissing(t *testing.T) {
	NewWithT(t).Expect(filled(2).Missing(map[string]bool{"t-1": true})).To(Equal([]string{"t-0"}))
}

// A server starts again under its id. The registration of its previous process is read again
// afterwards, from an older snapshot or an update of another entry. If it were applied, it
// would restore an address where nothing runs, or a drain that has ended.
func TestRegistrationOfEarlierStartIsIgnored(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	previous := catalog.Target{ID: "t-0", StartedMS: 1000, Address: "10.0.0.1:80", Leaving: true}
	current := catalog.Target{ID: "t-0", StartedMS: 2000, Address: "10.0.0.2:80"}
	undeclared := catalog.Target{ID: "t-0", Address: "10.0.0.3:80"}
	g.Expect(r.Put(previous)).To(BeTrue())
	g.Expect(r.Put(current)).To(BeTrue())
	g.Expect(r.Put(previous)).To(BeFalse())
	g.Expect(r.Put(undeclared)).To(BeFalse())
	g.Expect(r.Targets()).To(Equal([]catalog.Target{current}))
}

// The later process has ended too when the registration of the previous one is read again.
func TestRegistrationOfEarlierStartIsIgnoredAfterDrop(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	r.Put(catalog.Target{ID: "t-0", StartedMS: 2000, Address: "10.0.0.2:80"})
	r.Drop(now, "t-0", time.Time{})
	g.Expect(r.Put(catalog.Target{ID: "t-0", StartedMS: 1000, Address: "10.0.0.1:80"})).To(BeFalse())
	g.Expect(r.Targets()).To(BeEmpty())
	g.Expect(r.Put(catalog.Target{ID: "t-0", StartedMS: 2000, Address: "10.0.0.2:80"})).To(BeTrue(), "expired and registered again")
}

// New ids appear over months. What is remembered of ended ones is bounded.
func TestRememberedStartsAreBounded(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	for i := range 5000 {
		id := fmt.Sprintf("t-%d", i)
		r.Put(catalog.Target{ID: id, StartedMS: 2000})
		r.Drop(now, id, time.Time{})
	}
	g.Expect(r.Put(catalog.Target{ID: "t-0", StartedMS: 1000})).To(BeTrue(), "forgotten")
	g.Expect(r.Put(catalog.Target{ID: "t-4999", StartedMS: 1000})).To(BeFalse())
}

// Guards against a leaving target that the registry restores: its registration may be written
// again as ready, expire during an outage of the store, or arrive late.
func TestAnnouncedDepartureLasts(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	target := catalog.Target{ID: "t-1", Service: "desk", Slots: 4, StartedMS: 5}
	r.Put(target)
	g.Expect(r.MarkLeaving(target)).To(BeTrue())
	g.Expect(r.MarkLeaving(target)).To(BeFalse())
	leaves := func() bool {
		known, _ := r.Get(target.ID)
		return known.Leaving && r.Targets()[0].Leaving
	}
	g.Expect(leaves()).To(BeTrue())
	r.Put(catalog.Target{ID: "t-2", Leaving: true})
	g.Expect(r.Departed()).To(Equal(r.Targets()[:1]), "a registration may be revoked")
	target.Slots = 5
	r.Put(target)
	g.Expect(leaves()).To(BeTrue(), "written again")
	r.Drop(now, target.ID, time.Time{})
	r.Put(target)
	g.Expect(leaves()).To(BeTrue(), "dropped and registered again")
	target.StartedMS = 6
	r.Put(target)
	g.Expect(leaves()).To(BeFalse(), "a process restarted under the id")
}

// Guards against targets that left or ended in the seconds that the store has lost: the copy
// that it was restored from shows them as ready.
func TestRestoredStoreRevivesNoTarget(t *testing.T) {
	g := NewWithT(t)
	r := filled(3)
	leaving, ended := catalog.Target{ID: "t-0", Leaving: true}, catalog.Target{ID: "t-1"}
	r.Put(leaving)
	r.Drop(now, ended.ID, time.Time{})
	g.Expect(r.IsStale(ended, 5)).To(BeFalse(), "the store was not restored")
	r.SetRestored(10)
	leaving.Leaving = false
	r.Put(leaving)
	known, _ := r.Get(leaving.ID)
	g.Expect(known.Leaving).To(BeTrue())
	g.Expect(r.IsStale(ended, 9)).To(BeTrue())
	g.Expect(r.IsStale(ended, 10)).To(BeFalse(), "written again")
	r.Put(ended)
	g.Expect(r.IsStale(ended, 9)).To(BeFalse(), "it registered again")
	g.Expect(r.IsStale(catalog.Target{ID: "t-2"}, 9)).To(BeFalse())
}

// Guards against a registered target whose start is forgotten because thousands of others have
// ended since it registered: a late registration would bring back its previous process.
func TestRegisteredTargetIsNotForgotten(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	r.Put(catalog.Target{ID: "t-0", StartedMS: 2000})
	for i := range 5000 {
		id := fmt.Sprint("ended-", i)
		r.Put(catalog.Target{ID: id, StartedMS: 2000})
		r.Drop(now, id, time.Time{})
	}
	g.Expect(r.Put(catalog.Target{ID: "t-0", StartedMS: 1000})).To(BeFalse())
}

// Guards against forgotten starts where more targets end at once than a small fleet has: late
// registrations would bring back processes that have ended.
func TestStartsOfManyTargetsAreRemembered(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	const targets = 6000
	for started := int64(1); started <= 2; started++ {
		for i := range targets {
			r.Put(catalog.Target{ID: fmt.Sprint("i-", i), StartedMS: started})
		}
	}
	for i := range targets {
		id := fmt.Sprint("i-", i)
		g.Expect(r.Put(catalog.Target{ID: id, StartedMS: 1})).To(BeFalse())
		r.Drop(now, id, time.Time{})
	}
	for i := range targets {
		g.Expect(r.Put(catalog.Target{ID: fmt.Sprint("i-", i), StartedMS: 1})).To(BeFalse())
	}
}
