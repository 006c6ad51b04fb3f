package floors

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
)

func TestFloors(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "floors")
}

const ms = time.Millisecond

var _ = Describe("Floors", func() {
	var f *Floors
	start := time.Unix(1e6, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	promise := func(seq uint64) message.FloorReply {
		return message.FloorReply{Seq: seq, Pool: "p", Tier: 1, Valid: 400 * ms}
	}

	BeforeEach(func() {
		f = New()
		f.Configure(400*ms, 300*ms, 4)
		f.SetPool(start, "p", []ident.Incarnation{"b", "c"})
	})

	It("stands when all have promised, counted from the ask", func() {
		ask, others, _ := f.Begin(at(0), "p", 1, message.Offer{})
		Expect(others).To(Equal([]ident.Incarnation{"b", "c"}))
		Expect(f.Reply(at(10*ms), "b", promise(ask.Seq))).To(BeEmpty())
		Expect(f.Standing(at(10*ms), "p", 1)).To(BeFalse())
		Expect(f.Reply(at(100*ms), "c", promise(ask.Seq))).To(ConsistOf(Verdict{Pool: "p", Tier: 1, Over: true, Stands: true}))
		Expect(f.Standing(at(399*ms), "p", 1)).To(BeTrue())
		Expect(f.Standing(at(399*ms), "p", 3)).To(BeTrue())
		Expect(f.Standing(at(399*ms), "p", 0)).To(BeFalse())
		Expect(f.Standing(at(400*ms), "p", 1)).To(BeFalse())
	})

	It("does not stand when one has room", func() {
		ask, _, _ := f.Begin(at(0), "p", 1, message.Offer{})
		f.Reply(at(0), "b", promise(ask.Seq))
		room := promise(ask.Seq)
		room.Room = "u"
		Expect(f.Reply(at(0), "c", room)).To(Equal([]Verdict{{Pool: "p", Tier: 1, Room: "u"}, {Pool: "p", Tier: 1, Over: true}}))
		Expect(f.Standing(at(0), "p", 1)).To(BeFalse())
	})

	// A reply to a former exchange arrives late, and one arrives twice. Neither
	// may count: the promise it carries may have ended.
	It("ignores replies that answer nothing", func() {
		first, _, _ := f.Begin(at(0), "p", 1, message.Offer{})
		f.Tick(at(331 * ms))
		second, _, _ := f.Begin(at(500*ms), "p", 1, message.Offer{})
		f.Reply(at(510*ms), "b", promise(second.Seq))
		Expect(f.Reply(at(520*ms), "b", promise(second.Seq))).To(BeEmpty())
		Expect(f.Reply(at(520*ms), "c", promise(first.Seq))).To(BeEmpty())
		Expect(f.Standing(at(520*ms), "p", 1)).To(BeFalse())
	})

	// One is silent. It has stopped below the top tier by its own clock only
	// after the limit, which may run slower than ours: so a margin longer.
	It("counts silence as a promise only after the limit and a margin", func() {
		ask, _, _ := f.Begin(at(0), "p", 1, message.Offer{})
		f.Reply(at(0), "b", promise(ask.Seq))
		Expect(f.Tick(at(330 * ms))).To(BeEmpty())
		Expect(f.Tick(at(331 * ms))).To(ConsistOf(Verdict{Pool: "p", Tier: 1, Over: true, Stands: true}))
	})

	// A member leaves the list, perhaps only in our view: it may go on serving
	// low work for as long as it takes to notice, and is still asked for so long.
	It("still asks one that has just left, unless its process has ended", func() {
		f.SetPool(at(0), "p", []ident.Incarnation{"b"})
		_, others, _ := f.Begin(at(100*ms), "p", 1, message.Offer{})
		Expect(others).To(ConsistOf(ident.Incarnation("b"), ident.Incarnation("c")))
		f.Gone(at(100*ms), "c")
		_, others, _ = f.Begin(at(100*ms), "p", 2, message.Offer{})
		Expect(others).To(ConsistOf(ident.Incarnation("b")))
	})

	// A new scheduler joins while an exchange runs, and was not asked.
	It("does not stand without a member that joined during the exchange", func() {
		ask, _, _ := f.Begin(at(0), "p", 1, message.Offer{})
		f.Reply(at(0), "b", promise(ask.Seq))
		f.SetPool(at(0), "p", []ident.Incarnation{"b", "c", "d"})
		Expect(f.Reply(at(0), "c", promise(ask.Seq))).To(ConsistOf(Verdict{Pool: "p", Tier: 1, Over: true}))
	})

	It("falls by a tier at a time after a promise has ended", func() {
		f.Promise(at(0), "p", 0, 400*ms)
		Expect(f.Admission(at(399*ms), "p")).To(Equal(Admission{Floor: 0, Pause: Lowest, Calm: Lowest}))
		Expect(f.Admission(at(400*ms), "p")).To(Equal(Admission{Floor: Lowest, Pause: Lowest, Calm: 1}))
		Expect(f.Admission(at(600*ms), "p").Calm).To(BeEquivalentTo(2))
		Expect(f.Admission(at(800*ms), "p").Calm).To(Equal(Lowest))
	})
})
