package orders_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/orders"
	"sycamoretrail/internal/core/record"
)

func TestOrders(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "orders")
}

// index wants version v of model m, with adapters, at targets of a
// class that checks fencing numbers and at one of a class that does not.
func index(version string) *document.Index {
	return document.NewIndex(&document.Document{
		Pools: []document.Pool{{Name: "p"}, {Name: "q"}},
		Models: []document.Model{
			{Name: "m", Pool: "p", Version: version, Adapters: []string{"y"}},
			{Name: "n", Pool: "p", Adapters: []string{"x", "y"}},
			{Name: "o", Pool: "q", Version: version},
		},
		Classes: []document.Class{
			{Name: "checks", Kind: document.KindEngine, ChecksFencing: true},
			{Name: "trusts", Kind: document.KindEngine},
		},
		Targets: []document.Target{
			{Name: "c1", Pool: "p", Class: "checks"},
			{Name: "c2", Pool: "p", Class: "checks"},
			{Name: "c3", Pool: "p", Class: "checks"},
			{Name: "c4", Pool: "p", Class: "checks"},
			{Name: "t1", Pool: "q", Class: "trusts"},
		},
	})
}

// engine holds what it was last ordered, at once; some check fencing numbers.
type engine struct {
	checks  bool
	fencing int64
	held    orders.Order
}

type world struct {
	now     time.Time
	log     []record.Order
	taken   []time.Time
	engines map[string]*engine
	// lose: appends land and no answer comes, or neither.
	loseAnswer, loseRecord bool
}

func newWorld() *world {
	w := &world{now: time.Unix(1_000_000, 0), engines: map[string]*engine{}}
	for _, name := range []string{"c1", "c2", "c3", "c4", "t1"} {
		w.engines[name] = &engine{checks: name[0] == 'c'}
	}
	return w
}

type holder struct {
	*orders.Orders
	w    *world
	next int
	// paused holds orders back that are on their way out of the process.
	paused bool
	onWay  []orders.Order
	sent   []string
}

func (w *world) holder(name ident.Incarnation, held ...string) *holder {
	cfg := orders.DefaultConfig(name)
	h := &holder{Orders: orders.New(cfg), w: w}
	h.do(h.SetDocument(w.now, index("1")))
	h.do(h.CaughtUp(w.now))
	h.do(h.SetHeld(w.now, held))
	return h
}

func (h *holder) do(effects []orders.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case orders.Append:
			h.append(e)
		case orders.Order:
			h.sent = append(h.sent, fmt.Sprintf("%s=%s%v#%d", e.Target, e.Version, e.Adapters, e.Fencing))
			h.onWay = append(h.onWay, e)
			if !h.paused {
				h.deliver()
			}
		}
	}
}

func (h *holder) append(e orders.Append) {
	if h.w.loseRecord {
		h.do(h.Appended(h.w.now, e.Tag, -1, false))
		return
	}
	h.w.log = append(h.w.log, *e.Record.Order)
	h.w.taken = append(h.w.taken, h.w.now)
	offset := int64(len(h.w.log))
	if h.w.loseAnswer {
		offset = -1
	}
	h.do(h.Appended(h.w.now, e.Tag, offset, false))
}

func (h *holder) deliver() {
	for _, o := range h.onWay {
		e := h.w.engines[o.Target]
		refused := e.checks && o.Fencing < e.fencing
		if !refused {
			e.held, e.fencing = o, max(e.fencing, o.Fencing)
		}
		h.do(h.OrderDone(h.w.now, o.Target, refused, false))
	}
	h.onWay = nil
}

// look reads the log and the engines' reports.
func (h *holder) look(targets ...string) {
	for ; h.next < len(h.w.log); h.next++ {
		h.do(h.Record(h.w.now, int64(h.next+1), h.w.now.Sub(h.w.taken[h.next]), h.w.log[h.next]))
	}
	for _, name := range targets {
		held := h.w.engines[name].held
		h.do(h.Observed(h.w.now, name, held.Model, held.Version, held.Adapters))
	}
	h.do(h.Tick(h.w.now))
}

func (w *world) pass(d time.Duration) { w.now = w.now.Add(d) }

var _ = Describe("orders", func() {
	It("bring a target to the version and the adapters of its pool", func() {
		w := newWorld()
		h := w.holder("a", "c1")
		h.look("c1")
		h.look("c1")
		Expect(h.sent).To(Equal([]string{"c1=1[x y]#1"}))
		h.look("c1")
		Expect(w.log).To(HaveLen(1), "agrees, nothing more to do")
		h.do(h.SetDocument(w.now, index("2")))
		h.look("c1")
		Expect(h.sent[1:]).To(Equal([]string{"c1=2[x y]#2"}))
	})

	It("leave a target alone whose report was not seen, or whose document has no version", func() {
		w := newWorld()
		h := w.holder("a", "c1", "c2")
		h.do(h.SetDocument(w.now, index("")))
		h.look("c2")
		h.look("c2")
		h.do(h.SetDocument(w.now, index("1")))
		h.look()
		h.look()
		Expect(h.sent).To(ConsistOf(HavePrefix("c2=")))
	})

	// The append's answer is lost. The record is on the log, so reading it back
	// gives the fencing number; if it is not, the order is made anew later.
	DescribeTable("survive a lost answer", func(recordToo bool, after time.Duration) {
		w := newWorld()
		h := w.holder("a", "c1")
		w.loseAnswer, w.loseRecord = true, recordToo
		h.look("c1")
		w.loseAnswer, w.loseRecord = false, false
		w.pass(after)
		h.look("c1")
		h.look("c1")
		Expect(h.sent).To(Equal([]string{"c1=1[x y]#1"}))
	},
		Entry("record landed", false, time.Millisecond),
		Entry("record lost", true, time.Minute),
	)

	It("load no more targets of a pool at one time than the weight store bears", func() {
		w := newWorld()
		h := w.holder("a", "c1", "c2", "c3")
		h.paused = true
		h.look("c1", "c2", "c3")
		h.look("c1", "c2", "c3")
		Expect(h.sent).To(HaveLen(2))
		h.deliver()
		h.look("c1", "c2", "c3")
		h.look("c1", "c2", "c3")
		Expect(h.sent).To(HaveLen(3))
	})

	// Four entries begin an order in the same pool at one time, each unaware of
	// the others. The log's order says who goes first, and who when one is done.
	It("share a pool's places between holders in the order of the log", func() {
		w := newWorld()
		names := []string{"c1", "c2", "c3", "c4"}
		var holders []*holder
		for i, name := range names {
			h := w.holder(ident.Incarnation(fmt.Sprint("h", i)), name)
			h.do(h.Observed(w.now, name, "", "", nil))
			holders = append(holders, h)
		}
		Expect(w.log).To(HaveLen(4))
		sent := func() (out []int) {
			for _, h := range holders {
				out = append(out, len(h.sent))
			}
			return out
		}
		for _, h := range holders {
			h.look()
		}
		Expect(sent()).To(Equal([]int{1, 1, 0, 0}))
		for _, h := range holders {
			h.look("c1")
		}
		Expect(sent()).To(Equal([]int{1, 1, 1, 0}))
	})

	It("stop while the log is down, since nothing can be fenced", func() {
		w := newWorld()
		h := w.holder("a", "c1")
		h.do(h.Down(w.now))
		h.look("c1")
		Expect(w.log).To(BeEmpty())
		h.do(h.CaughtUp(w.now))
		h.look("c1")
		Expect(h.sent).To(HaveLen(1))
	})
})

var _ = Describe("a paused holder", func() {
	// The holder is paused after its order left the core and before it left
	// the process. A new holder brings the target to a later version. Then the
	// old order goes out: the target refuses its fencing number.
	It("is refused by a target that checks fencing", func() {
		w := newWorld()
		old := w.holder("a", "c1")
		old.paused = true
		old.look("c1")
		old.look()
		w.pass(time.Minute)
		fresh := w.holder("b", "c1")
		fresh.do(fresh.SetDocument(w.now, index("2")))
		fresh.look("c1")
		fresh.look("c1")
		Expect(w.engines["c1"].held.Version).To(Equal("2"))
		old.deliver()
		Expect(w.engines["c1"].held.Version).To(Equal("2"))
		w.pass(time.Second)
		old.look("c1")
		Expect(old.sent).To(HaveLen(1), "it reads that another ordered later")
	})

	// The same with a target that takes any order. The old order undoes the new
	// one; the new holder sees that in the report and orders again.
	It("is put right at a target that does not check", func() {
		w := newWorld()
		old := w.holder("a", "t1")
		w.pass(5 * time.Second)
		old.paused = true
		old.look("t1")
		old.look()
		Expect(old.sent).To(HaveLen(1))
		fresh := w.holder("b", "t1")
		fresh.do(fresh.SetDocument(w.now, index("2")))
		fresh.look("t1")
		fresh.look("t1")
		Expect(fresh.sent).To(BeEmpty(), "the former holder's orders are still valid")
		w.pass(5 * time.Second)
		fresh.look("t1")
		fresh.look("t1")
		Expect(w.engines["t1"].held.Version).To(Equal("2"))
		old.deliver()
		Expect(w.engines["t1"].held.Version).To(Equal("1"))
		fresh.look("t1")
		fresh.look("t1")
		Expect(w.engines["t1"].held.Version).To(Equal("2"))
	})

	// Paused between the append and its reading back, past the validity. The
	// order does not leave the process any more; where fencing is checked it may.
	DescribeTable("does not send what is past its validity", func(target string, sends int) {
		w := newWorld()
		h := w.holder("a", target)
		w.pass(5 * time.Second)
		h.look(target)
		Expect(w.log).To(HaveLen(1))
		w.pass(6 * time.Second)
		h.do(h.Record(w.now, 1, 6*time.Second, w.log[0]))
		Expect(h.sent).To(HaveLen(sends))
	},
		Entry("target that does not check", "t1", 0),
		Entry("target that checks", "c1", 1),
	)

	// Two entries believe to hold one target and want different versions. The
	// one whose order is earlier in the log stands back; they do not alternate.
	It("does not alternate with another that wants something else", func() {
		w := newWorld()
		a, b := w.holder("a", "c1"), w.holder("b", "c1")
		b.do(b.SetDocument(w.now, index("2")))
		for range 20 {
			w.pass(time.Second)
			a.look("c1")
			b.look("c1")
		}
		Expect(len(a.sent) + len(b.sent)).To(BeNumerically("<=", 2))
	})
})
