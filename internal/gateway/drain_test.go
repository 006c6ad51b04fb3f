package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// An entry receives the signal to stop and has a grace period of eight seconds. A caller with
// an old list sends a long stream four seconds later, on a connection that is still open. If
// the stream were accepted, it would be aborted at the end of the grace period; if it is
// refused as not run, the caller goes to another entry at once.
func TestStoppingEntryAcceptsWhatItCanFinish(t *testing.T) {
	g := NewWithT(t)
	began := time.Unix(1_000_000, 0)
	at := func(s float64) time.Time { return began.Add(time.Duration(s * float64(time.Second))) }
	s := newShutdownTimes(began, 8*time.Second)
	g.Expect(s.accepts(at(1), at(16))).To(BeTrue(), "callers may still have an old list")
	g.Expect(s.accepts(at(3.8), at(18.8))).To(BeFalse())
	g.Expect(s.accepts(at(3.8), at(4.4))).To(BeTrue(), "it expires before the process ends")
	g.Expect((&shutdownTimes{}).accepts(at(3.8), at(4.4))).To(BeFalse(), "no request is running and the process is about to end")
	g.Expect((*shutdownTimes)(nil).accepts(at(3.8), at(18.8))).To(BeTrue(), "an entry that is not stopping")
}

// Guards against a stopping entry that passes on a request so late that its run is cut.
func TestStoppingEntryPassesOnWhatItCanFinish(t *testing.T) {
	g := NewWithT(t)
	began := time.Unix(1_000_000, 0)
	at := func(s float64) time.Time { return began.Add(time.Duration(s * float64(time.Second))) }
	s := newShutdownTimes(began, 8*time.Second)
	g.Expect(s.passesOn(at(4.7), at(16))).To(BeTrue(), "it has a third of the grace period to run")
	g.Expect(s.passesOn(at(4.9), at(16))).To(BeFalse())
	g.Expect(s.passesOn(at(6), at(7))).To(BeTrue(), "it expires before the process ends")
	g.Expect((*shutdownTimes)(nil).passesOn(at(6), at(16))).To(BeTrue(), "an entry that is not stopping")
}
