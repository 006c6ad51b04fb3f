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
	config = peerset.Config{FailureTimeout: 900 * time.Millisecond, RelayedFailureTimeout: 4 * time.Second, Removal: 20 * time.Second}
)

// receive applies an entry's own status to a set. Each status is later than those before.
func receive(s *peerset.Set, at time.Time, e peerset.Entry, state peerset.State, age time.Duration, blind bool) (joined, replaced bool) {
	sequence++
	update := s.ApplyStatus(at, at, peerset.Status{Entry: e, State: state, Age: age, StoreDisconnected: blind, Sequence: sequence})
	return update.Joined, update.Replaced
}

var sequence uint64

func entry(name string, incarnation uint64) peerset.Entry {
	return peerset.Entry{Name: name, Incarnation: incarnation, Callers: name + ":80"}
}

func newSet() *peerset.Set { return peerset.New(config, entry("self", 1)) }

// The registry has an entry that ended long ago. Callers must not be sent there.
func TestRegisteredEntryIsNotServingBeforeContact(t *testing.T) {
	g := NewWithT(t)
	s := newSet()
	s.AddRegistered(now, entry("a", 1))
	g.Expect(s.Serving(now)).To(BeEmpty())
	g.Expect(s.Size()).To(Equal(2), "it may be serving without contact")
	joined, replaced := receive(s, now, entry("a", 1), peerset.Ready, time.Second, false)
	g.Expect(joined).To(BeTrue())
	g.Expect(replaced).To(BeFalse())
	g.Expect(s.Serving(now)).To(HaveLen(1))
}

func TestUnresponsiveAndDrainingEntriesGetNoCallers(t *testing.T) {
	g := NewWithT(t)
	s := newSet()
	receive(s, now, entry("silent", 1), peerset.Ready, time.Second, false)
	later := now.Add(time.Second)
	receive(s, later, entry("draining", 1), peerset.Draining, time.Second, false)
	receive(s, later, entry("starting", 1), peerset.Starting, time.Second, false)
	g.Expect(s.Serving(later)).To(BeEmpty())
}

// An entry restarts, and a datagram of its previous incarnation arrives late. It must not
// bring the previous incarnation back.
func TestLateStatusOfReplacedIncarnationIsIgnored(t *testing.T) {
	g := NewWithT(t)
	s := newSet()
	receive(s, now, entry("a", 1), peerset.Ready, time.Hour, false)
	_, replaced := receive(s, now.Add(time.Second), entry("a", 2), peerset.Ready, 100*time.Millisecond, false)
	g.Expect(replaced).To(BeTrue())
	receive(s, now.Add(time.Second), entry("a", 1), peerset.Draining, time.Hour, false)
	g.Expect(s.Serving(now.Add(time.Second))).To(HaveLen(1))
}

// An entry has no contact for a long time. It may itself be partitioned, and the others rely
// on it to stay within its share, so it removes none of them.
func TestPartitionedEntryRemovesNoEntries(t *testing.T) {
	g := NewWithT(t)
	s := newSet()
	for i := range 5 {
		receive(s, now, entry(fmt.Sprint(i), 1), peerset.Ready, time.Second, false)
	}
	later := now.Add(time.Minute)
	g.Expect(s.Prune(later)).To(BeEmpty())
	for i := range 4 {
		receive(s, later, entry(fmt.Sprint(i), 1), peerset.Ready, time.Second, false)
	}
	g.Expect(s.Prune(later)).To(HaveLen(1))
	g.Expect(s.Size()).To(Equal(5))
}

func TestReadersCanReadTheStore(t *testing.T) {
	g := NewWithT(t)
	s := newSet()
	receive(s, now, entry("blind", 1), peerset.Ready, time.Second, true)
	g.Expect(s.Readers(now)).To(HaveLen(1), "none can read it, so one has to try")
	receive(s, now, entry("able", 1), peerset.Ready, time.Second, false)
	g.Expect(s.Readers(now)).To(HaveLen(1))
	g.Expect(s.Readers(now)[0].Name).To(Equal("able"))
}

// The status of entries of other cells arrives through relays, and some of these messages
// may be lost. With several cells the time without contact after which an entry gets no
// callers is therefore longer.
func TestFailureTimeoutIsLongerWithRelays(t *testing.T) {
	g := NewWithT(t)
	s := newSet()
	receive(s, now, entry("a", 1), peerset.Ready, time.Second, false)
	g.Expect(s.Live(now.Add(config.FailureTimeout), "a")).To(BeFalse())
	for i := range 77 {
		s.AddRegistered(now, entry(fmt.Sprint(i), 1))
	}
	g.Expect(s.Live(now.Add(config.RelayedFailureTimeout-time.Millisecond), "a")).To(BeTrue())
	g.Expect(s.Live(now.Add(config.RelayedFailureTimeout), "a")).To(BeFalse())
}
