package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// An entry is told to stop and has eight seconds. A caller with an old list sends a long
// stream four seconds later, on a connection that is still open. Taken, the stream would
// be cut when the time runs out; refused as not run, the caller goes elsewhere at once.
func TestStoppingEntryTakesWhatItCanFinish(t *testing.T) {
	g := NewWithT(t)
	began := time.Unix(1_000_000, 0)
	at := func(s float64) time.Time { return began.Add(time.Duration(s * float64(time.Second))) }
	s := newStopping(began, 8*time.Second)
	g.Expect(s.takes(at(1), at(16))).To(BeTrue(), "callers have not heard yet")
	g.Expect(s.takes(at(3.8), at(18.8))).To(BeFalse())
	g.Expect(s.takes(at(3.8), at(4.4))).To(BeTrue(), "it is over before the end")
	g.Expect((&stopping{}).takes(at(3.8), at(4.4))).To(BeFalse(), "nothing runs any more and the process is about to end")
	g.Expect((*stopping)(nil).takes(at(3.8), at(18.8))).To(BeTrue(), "an entry that is not told to stop")
}
