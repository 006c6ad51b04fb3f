package peerset_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/peerset"
)

var (
	now    = time.Unix(1_000_000, 0)
	config = peerset.Config{Heartbeat: 250 * time.Millisecond, Silence: 900 * time.Millisecond, Removal: 20 * time.Second}
)

func entry(name string, incarnation uint64) peerset.Entry {
	return peerset.Entry{Name: name, Incarnation: incarnation, Callers: name + ":80"}
}

func newSet() *peerset.Set { return peerset.New(config, entry("self", 1)) }

// The register names an entry that has long been gone. Callers must not be sent there.
func TestRegisteredIsNotServingBeforeItIsHeard(t *testing.T) {
	g := NewWithT(t)
	s := newSet()
	s.Registered(now, entry("a", 1))
	g.Expect(s.Serving(now)).To(BeEmpty())
	g.Expect(s.Size()).To(Equal(2), "it may be serving all the same")
	joined, replaced := s.Heard(now, entry("a", 1), peerset.Ready, time.Second, false)
	g.Expect(joined).To(BeTrue())
	g.Expect(replaced).To(BeFalse())
	g.Expect(s.Serving(now)).To(HaveLen(1))
}

func TestSilentAndDrainingGetNoCallers(t *testing.T) {
	g := NewWithT(t)
	s := newSet()
	s.Heard(now, entry("silent", 1), peerset.Ready, time.Second, false)
	later := now.Add(time.Second)
	s.Heard(later, entry("draining", 1), peerset.Draining, time.Second, false)
	s.Heard(later, entry("starting", 1), peerset.Starting, time.Second, false)
	g.Expect(s.Serving(later)).To(BeEmpty())
}

// An entry restarts; a datagram of its former incarnation arrives late. It must not
// bring the former one back.
func TestLateWordOfReplacedIncarnationIsIgnored(t *testing.T) {
	g := NewWithT(t)
	s := newSet()
	s.Heard(now, entry("a", 1), peerset.Ready, time.Hour, false)
	_, replaced := s.Heard(now.Add(time.Second), entry("a", 2), peerset.Ready, 100*time.Millisecond, false)
	g.Expect(replaced).To(BeTrue())
	s.Heard(now.Add(time.Second), entry("a", 1), peerset.Draining, time.Hour, false)
	g.Expect(s.Serving(now.Add(time.Second))).To(HaveLen(1))
}

// An entry hears nobody for long. It may be the one that is cut off, and the others
// count on its keeping to its share, so it forgets none of them.
func TestCutOffEntryForgetsNobody(t *testing.T) {
	g := NewWithT(t)
	s := newSet()
	for i := range 5 {
		s.Heard(now, entry(fmt.Sprint(i), 1), peerset.Ready, time.Second, false)
	}
	later := now.Add(time.Minute)
	g.Expect(s.Prune(later)).To(BeEmpty())
	for i := range 4 {
		s.Heard(later, entry(fmt.Sprint(i), 1), peerset.Ready, time.Second, false)
	}
	g.Expect(s.Prune(later)).To(HaveLen(1))
	g.Expect(s.Size()).To(Equal(5))
}

func TestReadersAreThoseThatCanSeeTheStore(t *testing.T) {
	g := NewWithT(t)
	s := newSet()
	s.Heard(now, entry("blind", 1), peerset.Ready, time.Second, true)
	g.Expect(s.Readers(now)).To(HaveLen(1), "nobody can: somebody has to try")
	s.Heard(now, entry("able", 1), peerset.Ready, time.Second, false)
	g.Expect(s.Readers(now)).To(HaveLen(1))
	g.Expect(s.Readers(now)[0].Name).To(Equal("able"))
}

func TestIntervalsGrowWithTheFleet(t *testing.T) {
	g := NewWithT(t)
	s := newSet()
	g.Expect(s.Heartbeat()).To(Equal(config.Heartbeat))
	for i := range 77 {
		s.Registered(now, entry(fmt.Sprint(i), 1))
	}
	g.Expect(s.Heartbeat()).To(Equal(4 * config.Heartbeat))
}
