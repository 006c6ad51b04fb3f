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

// index returns a document that requires a version of model m, with adapters, at
// targets of a class that checks fencing numbers, and of model o at a target of a class
// that does not.
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

// engine holds what it was last ordered, without delay; some engines check fencing
// numbers.
type engine struct {
	checks  bool
	fencing int64
	held    orders.Order
}

type testEnv struct {
	now      time.Time
	log      []record.Order
	loggedAt []time.Time
	engines  map[string]*engine
	// loseAnswer: appends are written but not confirmed; loseRecord: they are not even
	// written.
	loseAnswer, loseRecord bool
}

func newTestEnv() *testEnv {
	env := &testEnv{now: time.Unix(1_000_000, 0), engines: map[string]*engine{}}
	for _, name := range []string{"c1", "c2", "c3", "c4", "t1"} {
		env.engines[name] = &engine{checks: name[0] == 'c'}
	}
	return env
}

type holder struct {
	*orders.Orders
	env  *testEnv
	next int
	// delayOrders keeps orders that are on their way out of the process in outgoing.
	delayOrders bool
	outgoing    []orders.Order
	sent        []string
}

func (env *testEnv) holder(name ident.Incarnation, held ...string) *holder {
	cfg := orders.DefaultConfig(name)
	h := &holder{Orders: orders.New(cfg), env: env}
	h.perform(h.SetDocument(env.now, index("1")))
	h.perform(h.CaughtUp(env.now))
	h.perform(h.SetHeld(env.now, held))
	return h
}

func (h *holder) perform(effects []orders.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case orders.Append:
			h.append(e)
		case orders.Order:
			h.sent = append(h.sent, fmt.Sprintf("%s=%s%v#%d", e.Target, e.Version, e.Adapters, e.Fencing))
			h.outgoing = append(h.outgoing, e)
			if !h.delayOrders {
				h.deliver()
			}
		}
	}
}

func (h *holder) append(e orders.Append) {
	if h.env.loseRecord {
		h.perform(h.Appended(h.env.now, e.Tag, -1, false))
		return
	}
	h.env.log = append(h.env.log, *e.Record.Order)
	h.env.loggedAt = append(h.env.loggedAt, h.env.now)
	offset := int64(len(h.env.log))
	if h.env.loseAnswer {
		offset = -1
	}
	h.perform(h.Appended(h.env.now, e.Tag, offset, false))
}

func (h *holder) deliver() {
	for _, o := range h.outgoing {
		e := h.env.engines[o.Target]
		refused := e.checks && o.Fencing < e.fencing
		if !refused {
			e.held, e.fencing = o, max(e.fencing, o.Fencing)
		}
		h.perform(h.OrderDone(h.env.now, o.Target, refused, false))
	}
	h.outgoing = nil
}

// poll reads the log and the engines' reports.
func (h *holder) poll(targets ...string) {
	for ; h.next < len(h.env.log); h.next++ {
		h.perform(h.Record(h.env.now, int64(h.next+1), h.env.now.Sub(h.env.loggedAt[h.next]), h.env.log[h.next]))
	}
	for _, name := range targets {
		held := h.env.engines[name].held
		h.perform(h.Observed(h.env.now, name, held.Model, held.Version, held.Adapters))
	}
	h.perform(h.Tick(h.env.now))
}

func (env *testEnv) advance(d time.Duration) { env.now = env.now.Add(d) }

var _ = Describe("orders", func() {
	It("make a target hold the version and the adapters of its pool", func() {
		env := newTestEnv()
		h := env.holder("a", "c1")
		h.poll("c1")
		h.poll("c1")
		Expect(h.sent).To(Equal([]string{"c1=1[x y]#1"}))
		h.poll("c1")
		Expect(env.log).To(HaveLen(1), "the target agrees")
		h.perform(h.SetDocument(env.now, index("2")))
		h.poll("c1")
		Expect(h.sent[1:]).To(Equal([]string{"c1=2[x y]#2"}))
	})

	It("are not sent to a target without a report, or without a version in the document", func() {
		env := newTestEnv()
		h := env.holder("a", "c1", "c2")
		h.perform(h.SetDocument(env.now, index("")))
		h.poll("c2")
		h.poll("c2")
		h.perform(h.SetDocument(env.now, index("1")))
		h.poll()
		h.poll()
		Expect(h.sent).To(ConsistOf(HavePrefix("c2=")))
	})

	// The answer to the append is lost. If the record is on the log, reading it back
	// gives the fencing number; otherwise the order is repeated later.
	DescribeTable("survive a lost answer", func(recordToo bool, after time.Duration) {
		env := newTestEnv()
		h := env.holder("a", "c1")
		env.loseAnswer, env.loseRecord = true, recordToo
		h.poll("c1")
		env.loseAnswer, env.loseRecord = false, false
		env.advance(after)
		h.poll("c1")
		h.poll("c1")
		Expect(h.sent).To(Equal([]string{"c1=1[x y]#1"}))
	},
		Entry("record written", false, time.Millisecond),
		Entry("record lost", true, time.Minute),
	)

	It("load no more targets of a pool at the same time than the weight store may serve", func() {
		env := newTestEnv()
		h := env.holder("a", "c1", "c2", "c3")
		h.delayOrders = true
		h.poll("c1", "c2", "c3")
		h.poll("c1", "c2", "c3")
		Expect(h.sent).To(HaveLen(2))
		h.deliver()
		h.poll("c1", "c2", "c3")
		h.poll("c1", "c2", "c3")
		Expect(h.sent).To(HaveLen(3))
	})

	// Four entries begin an order in the same pool at the same time, without contact.
	// The order of the log determines which proceed first, and which one follows when
	// one is done.
	It("share a pool's slots between holders in the order of the log", func() {
		env := newTestEnv()
		names := []string{"c1", "c2", "c3", "c4"}
		var holders []*holder
		for i, name := range names {
			h := env.holder(ident.Incarnation(fmt.Sprint("h", i)), name)
			h.perform(h.Observed(env.now, name, "", "", nil))
			holders = append(holders, h)
		}
		Expect(env.log).To(HaveLen(4))
		sent := func() (out []int) {
			for _, h := range holders {
				out = append(out, len(h.sent))
			}
			return out
		}
		for _, h := range holders {
			h.poll()
		}
		Expect(sent()).To(Equal([]int{1, 1, 0, 0}))
		for _, h := range holders {
			h.poll("c1")
		}
		Expect(sent()).To(Equal([]int{1, 1, 1, 0}))
	})

	It("stop while the log is unavailable, since no order can be fenced", func() {
		env := newTestEnv()
		h := env.holder("a", "c1")
		h.perform(h.Down(env.now))
		h.poll("c1")
		Expect(env.log).To(BeEmpty())
		h.perform(h.CaughtUp(env.now))
		h.poll("c1")
		Expect(h.sent).To(HaveLen(1))
	})
})

var _ = Describe("a paused holder", func() {
	// The holder is paused after its order left the core and before it left the
	// process. A new holder makes the target load a later version. Then the old order
	// is sent: the target must refuse its fencing number.
	It("is refused by a target that checks fencing", func() {
		env := newTestEnv()
		paused := env.holder("a", "c1")
		paused.delayOrders = true
		paused.poll("c1")
		paused.poll()
		env.advance(time.Minute)
		successor := env.holder("b", "c1")
		successor.perform(successor.SetDocument(env.now, index("2")))
		successor.poll("c1")
		successor.poll("c1")
		Expect(env.engines["c1"].held.Version).To(Equal("2"))
		paused.deliver()
		Expect(env.engines["c1"].held.Version).To(Equal("2"))
		env.advance(time.Second)
		paused.poll("c1")
		Expect(paused.sent).To(HaveLen(1), "it reads the later order of another holder")
	})

	// The same with a target that accepts any order. The old order reverts the new one;
	// the new holder must notice this in the report and order again.
	It("is corrected at a target that does not check fencing", func() {
		env := newTestEnv()
		paused := env.holder("a", "t1")
		env.advance(5 * time.Second)
		paused.delayOrders = true
		paused.poll("t1")
		paused.poll()
		Expect(paused.sent).To(HaveLen(1))
		successor := env.holder("b", "t1")
		successor.perform(successor.SetDocument(env.now, index("2")))
		successor.poll("t1")
		successor.poll("t1")
		Expect(successor.sent).To(BeEmpty(), "the previous holder's orders are still valid")
		env.advance(5 * time.Second)
		successor.poll("t1")
		successor.poll("t1")
		Expect(env.engines["t1"].held.Version).To(Equal("2"))
		paused.deliver()
		Expect(env.engines["t1"].held.Version).To(Equal("1"))
		successor.poll("t1")
		successor.poll("t1")
		Expect(env.engines["t1"].held.Version).To(Equal("2"))
	})

	// The holder is paused between the append and its reading back, past the validity.
	// The order must not leave the process; if fencing is checked it may.
	DescribeTable("does not send an order past its validity", func(target string, sends int) {
		env := newTestEnv()
		h := env.holder("a", target)
		env.advance(5 * time.Second)
		h.poll(target)
		Expect(env.log).To(HaveLen(1))
		env.advance(6 * time.Second)
		h.perform(h.Record(env.now, 1, 6*time.Second, env.log[0]))
		Expect(h.sent).To(HaveLen(sends))
	},
		Entry("target that does not check", "t1", 0),
		Entry("target that checks", "c1", 1),
	)

	// Two entries consider themselves the holder of one target and have documents with
	// different versions. The one whose order is earlier in the log yields; they must
	// not alternate.
	It("does not alternate with another holder that has a different document", func() {
		env := newTestEnv()
		a, b := env.holder("a", "c1"), env.holder("b", "c1")
		b.perform(b.SetDocument(env.now, index("2")))
		for range 20 {
			env.advance(time.Second)
			a.poll("c1")
			b.poll("c1")
		}
		Expect(len(a.sent) + len(b.sent)).To(BeNumerically("<=", 2))
	})
})
