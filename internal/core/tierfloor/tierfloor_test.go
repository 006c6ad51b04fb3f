package tierfloor

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

	It("is in force when all have promised, counted from the request", func() {
		ask, others, _ := f.Begin(at(0), "p", 1, message.Offer{})
		Expect(others).To(Equal([]ident.Incarnation{"b", "c"}))
		Expect(f.Reply(at(10*ms), "b", promise(ask.Seq))).To(BeEmpty())
		Expect(f.MayRefuse(at(10*ms), "p", 1)).To(BeFalse())
		Expect(f.Reply(at(100*ms), "c", promise(ask.Seq))).To(ConsistOf(Result{Pool: "p", Tier: 1, Ended: true, InForce: true}))
		Expect(f.MayRefuse(at(399*ms), "p", 1)).To(BeTrue())
		Expect(f.MayRefuse(at(399*ms), "p", 3)).To(BeTrue())
		Expect(f.MayRefuse(at(399*ms), "p", 0)).To(BeFalse())
		Expect(f.MayRefuse(at(400*ms), "p", 1)).To(BeFalse())
	})

	It("is not in force when one scheduler names a target", func() {
		ask, _, _ := f.Begin(at(0), "p", 1, message.Offer{})
		f.Reply(at(0), "b", promise(ask.Seq))
		reply := promise(ask.Seq)
		reply.FreeTarget = "u"
		Expect(f.Reply(at(0), "c", reply)).To(Equal([]Result{{Pool: "p", Tier: 1, Target: "u"}, {Pool: "p", Tier: 1, Ended: true}}))
		Expect(f.MayRefuse(at(0), "p", 1)).To(BeFalse())
	})

	// A reply to a previous exchange arrives late, and one reply arrives twice.
	// Neither may count, since the promise in it may have ended.
	It("ignores late and duplicate replies", func() {
		first, _, _ := f.Begin(at(0), "p", 1, message.Offer{})
		f.Tick(at(331 * ms))
		second, _, _ := f.Begin(at(500*ms), "p", 1, message.Offer{})
		f.Reply(at(510*ms), "b", promise(second.Seq))
		Expect(f.Reply(at(520*ms), "b", promise(second.Seq))).To(BeEmpty())
		Expect(f.Reply(at(520*ms), "c", promise(first.Seq))).To(BeEmpty())
		Expect(f.MayRefuse(at(520*ms), "p", 1)).To(BeFalse())
	})

	// One scheduler is unresponsive. It serves only the top tier after the timeout
	// by its own clock, which may be slower, so the requester waits a margin longer.
	It("counts a missing reply as a promise only after the timeout and a margin", func() {
		ask, _, _ := f.Begin(at(0), "p", 1, message.Offer{})
		f.Reply(at(0), "b", promise(ask.Seq))
		Expect(f.Tick(at(330 * ms))).To(BeEmpty())
		Expect(f.Tick(at(331 * ms))).To(ConsistOf(Result{Pool: "p", Tier: 1, Ended: true, InForce: true}))
	})

	// A member leaves the list, perhaps only in this scheduler's view. Until it
	// notices, it may continue to serve low work, so it is still asked that long.
	It("still asks a member that has just left, unless its process has ended", func() {
		f.SetPool(at(0), "p", []ident.Incarnation{"b"})
		_, others, _ := f.Begin(at(100*ms), "p", 1, message.Offer{})
		Expect(others).To(ConsistOf(ident.Incarnation("b"), ident.Incarnation("c")))
		f.PeerTerminated(at(100*ms), "c")
		_, others, _ = f.Begin(at(100*ms), "p", 2, message.Offer{})
		Expect(others).To(ConsistOf(ident.Incarnation("b")))
	})

	// A scheduler joins while an exchange is running, and was not asked.
	It("is not in force without a member that joined during the exchange", func() {
		ask, _, _ := f.Begin(at(0), "p", 1, message.Offer{})
		f.Reply(at(0), "b", promise(ask.Seq))
		f.SetPool(at(0), "p", []ident.Incarnation{"b", "c", "d"})
		Expect(f.Reply(at(0), "c", promise(ask.Seq))).To(ConsistOf(Result{Pool: "p", Tier: 1, Ended: true}))
	})

	It("readmits one tier at a time after a promise has ended", func() {
		f.Promise(at(0), "p", 0, 400*ms)
		Expect(f.Admission(at(399*ms), "p")).To(Equal(Admission{Floor: 0, GrantFloor: NoFloor, QueueFloor: NoFloor}))
		Expect(f.Admission(at(400*ms), "p")).To(Equal(Admission{Floor: NoFloor, GrantFloor: NoFloor, QueueFloor: 1}))
		Expect(f.Admission(at(600*ms), "p").QueueFloor).To(BeEquivalentTo(2))
		Expect(f.Admission(at(800*ms), "p").QueueFloor).To(Equal(NoFloor))
	})
})
