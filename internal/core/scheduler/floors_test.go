package scheduler

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/ident"
)

// busy occupies the only slot of target t, which scheduler a schedules.
const busy = `
a offer r1 t tier=0 once => grant r1
a running r1 t tier=0 once prompt=100 started =>
`

var _ = Describe("two schedulers of one pool", func() {
	DescribeTable("scripts", func(script string) {
		newCluster(testSettings(), "a: t/1", "b: u/1").run(busy + script)
	},
		// There is a free slot at the other scheduler's target, so no refusal is
		// settled.
		Entry("names a target with a free slot", `
a offer r2 t tier=0 for=15s from=a => queued r2
a offer r3 t tier=0 for=15s from=a => queued r3
a offer r4 t tier=0 final          => queued r4; refuse r4 overload try u
b offer r4 u tier=0                => grant r4`),
		// Two requests in a row have no other target. The only free queue position
		// at u is named once, since the first request is still on its way there.
		Entry("does not name the same capacity twice", `
a offer r2 t from=a           => queued r2
a offer r3 t from=a           => queued r3
b offer q0 u tier=0 once      => grant q0
b running q0 u tier=0 once    =>
b offer q1 u tier=0 from=b    => queued q1
a offer r4 t tier=0 final     => queued r4; refuse r4 overload try u
a offer r5 t tier=0 final     => queued r5; refuse r5 overload settled`),
		// Lower work waits at the other scheduler. It is refused there before the
		// higher request is refused here, and nothing lower is admitted while the
		// floor is in force.
		Entry("refuses the other scheduler's lower work, then keeps the floor in force", `
a offer r2 t tier=1 from=a       => queued r2
a offer r3 t tier=1 from=a       => queued r3
b offer q0 u tier=0 once prompt=9000 => grant q0
b offer q1 u tier=2 from=b       => queued q1
b offer q2 u tier=2 from=b       => queued q2
a offer r4 t tier=1 for=1s final => queued r4; refuse q2 overload; refuse q1 overload; refuse r4 overload settled
a offer r5 t tier=2 for=1s final => refuse r5 overload settled
b offer q3 u tier=2 from=b       => refuse q3 overload
b done q0 u                      =>
b offer q4 u tier=2 from=b       => refuse q4 overload
b offer q5 u tier=1              => grant q5`),
		// The other scheduler runs a lower call that may not be repeated. The higher
		// request waits for its end as long as its own deadline allows, and is
		// granted the slot.
		Entry("waits for lower work that can't be cancelled", `
a offer r2 t tier=0 from=a       => queued r2
a offer r3 t tier=0 from=a       => queued r3
b offer q0 u tier=2 once from=b prompt=9000 => grant q0
b running q0 u tier=2 once from=b prompt=9000 =>
a offer r4 t tier=0 for=2s final from=a => queued r4
wait 600ms                       =>
b done q0 u from=b               =>
wait 220ms                       => refuse r4 overload try u
b offer r4 u tier=0              => grant r4`),
		Entry("refuses when the deadline allows no further wait for such work", `
a offer r2 t tier=0 from=a       => queued r2
a offer r3 t tier=0 from=a       => queued r3
b offer q0 u tier=2 once from=b prompt=9000 => grant q0
b running q0 u tier=2 once from=b prompt=9000 =>
a offer r4 t tier=0 for=1s final from=a => queued r4
wait 780ms                       =>
wait 40ms                        => refuse r4 overload settled`),
		Entry("cancels the other scheduler's lower run that may be repeated", `
a offer r2 t tier=0 from=a       => queued r2
a offer r3 t tier=0 from=a       => queued r3
b offer q0 u tier=2 from=b prompt=9000 => grant q0
b running q0 u tier=2 from=b prompt=9000 =>
a offer r4 t tier=0 for=2s final => queued r4; refuse r4 overload try u
b offer r4 u tier=0 for=2s       => preempt q0; queued r4
b done q0 u from=b               => grant r4`),
		// The other scheduler is unresponsive. After the failure-detection timeout
		// it serves only the top tier by its own rule, so the refusal waits for that
		// and no longer.
		Entry("waits for the timeout of an unresponsive scheduler", `
cut a b
a offer r2 t tier=0 from=a   => queued r2
a offer r3 t tier=0 from=a   => queued r3
a offer r4 t tier=0 final from=a => queued r4
wait 320ms                   =>
wait 40ms                    => refuse r4 overload settled
a offer r5 t tier=1 final from=a => refuse r5 overload settled`),
		// The other half of that rule: without a quorum only the top tier is served,
		// and refusals state that this entry is the cause.
		Entry("serves only the top tier without a quorum", `
b offer q0 u tier=2 from=b prompt=5000 => grant q0
b offer q1 u tier=1 from=b   => queued q1
b quorum no
b done q0 u from=b           =>
wait 20ms                    => refuse q1 not_ready
b offer q2 u tier=1 final    => refuse q2 not_ready settled
b offer q3 u tier=0          => grant q3
b quorum yes
b offer q4 u tier=1 from=b   => queued q4`),
		// There is time for one round trip only. If the owner tried its other targets
		// as usual, the request would expire before any exchange for it.
		Entry("starts the exchange itself if the owner has no time to try other targets", `
a offer r2 t tier=0 for=400ms    => refuse r2 overload
a offer r3 t tier=0 for=300ms    => queued r3; refuse r3 overload try u`),
		// The other scheduler has just taken a target over and does not know the runs
		// there. They may be lower work, so no refusal is settled yet.
		Entry("does not assume during a takeover that no lower work runs", `
b offer q0 u tier=0 once prompt=9000 => grant q0
b running q0 u tier=0 once prompt=9000 =>
b targets u/1 w/1                =>
a offer r2 t tier=0 from=a       => queued r2
a offer r3 t tier=0 from=a       => queued r3
b offer q1 u tier=0 from=b       => queued q1
b offer q2 u tier=0 from=b       => queued q2
a offer r4 t tier=0 final from=a => queued r4
wait 220ms                       =>
wait 220ms                       => refuse r4 overload try w`),
		// Entry b is known to have terminated, so the exchange ends without waiting
		// for the failure-detection timeout.
		Entry("does not wait for a scheduler whose process has ended", `
cut a b
a offer r2 t tier=0 from=a   => queued r2
a offer r3 t tier=0 from=a   => queued r3
a offer r4 t tier=0 final    => queued r4
a gone b                     => refuse r4 overload settled`),
	)

	// After a floor has ended the tiers are admitted again one at a time: the lower
	// ones first into free slots only, and later into the queue.
	It("readmits the tiers one at a time", func() {
		newCluster(testSettings(), "a: t/1", "b: u/1").run(busy + `
a offer r2 t tier=0 from=a       => queued r2
a offer r3 t tier=0 from=a       => queued r3
b offer q0 u tier=0 from=b once prompt=9000 => grant q0
b running q0 u tier=0 from=b once prompt=9000 =>
b offer q1 u tier=0 from=b       => queued q1
b offer q2 u tier=0 from=b       => queued q2
a offer r4 t tier=0 final        => queued r4; refuse r4 overload settled
b withdraw q1 u from=b           =>
b withdraw q2 u from=b           =>
b offer q3 u tier=1 from=b       => refuse q3 overload
wait 420ms                       =>
b offer q4 u tier=2 from=b       => refuse q4 overload
b offer q5 u tier=1 from=b       => queued q5
wait 400ms                       =>
b offer q6 u tier=2 from=b       => queued q6`)
	})

	It("needs only one exchange for many refusals", func() {
		c := newCluster(testSettings(), "a: t/1", "b: u/1")
		c.run(busy + `
a offer r2 t tier=0 from=a => queued r2
a offer r3 t tier=0 from=a => queued r3
b offer q0 u tier=0 once prompt=9000 => grant q0
b running q0 u tier=0 once prompt=9000 =>
b offer q1 u tier=0 from=b => queued q1
b offer q2 u tier=0 from=b => queued q2`)
		c.sent = nil
		for i := range 50 {
			o := c.offer([]string{"x" + string(rune('A'+i)), "t", "tier=1", "final"})
			c.deliver("a", c.schedulers["a"].Offer(c.now, "o1", o))
		}
		Expect(c.sent).To(HaveLen(50 + 1))
		Expect(c.floorAsks).To(Equal(1))
	})

	// A third scheduler takes a target of the pool over. It has promised nothing,
	// so the floor obtained without it no longer allows a refusal.
	It("starts another exchange when a scheduler joins the pool", func() {
		c := newCluster(testSettings(), "a: t/1", "b: u/1", "c: v/1")
		c.schedulers["a"].SetPool("p", []ident.Incarnation{"b"})
		c.wait(400 * time.Millisecond)
		c.run(busy + `
a offer r2 t tier=0 from=a => queued r2
a offer r3 t tier=0 from=a => queued r3
b offer q0 u tier=0 once prompt=9000 => grant q0
b offer q1 u tier=0 from=b => queued q1
b offer q2 u tier=0 from=b => queued q2
a offer r4 t tier=1 final => queued r4; refuse r4 overload settled`)
		c.schedulers["a"].SetPool("p", []ident.Incarnation{"b", "c"})
		c.run(`a offer r5 t tier=1 final => queued r5; refuse r5 overload try v`)
	})
})

var _ = Describe("a target that changes its scheduler", func() {
	// The new scheduler does not know the current runs. It grants nothing until the
	// owners have reported or the wait has passed, and counts the reported runs.
	It("waits for the owners' reports and counts the runs they list", func() {
		c := newCluster(testSettings(), "a: t/2")
		c.schedulers["a"].SetMembers(c.now, []ident.Incarnation{"o1", "o2"})
		c.run(`
a running r9 u tier=1 from=o3   =>
a targets t/2 u/2               =>
a offer r1 u from=o1            => queued r1
a offer r2 u from=o1            => queued r2
a running r8 u from=o1 full     =>
wait 120ms                      =>
a offer r1 u from=o1            => queued r1
a idle from=o2                  =>
wait 200ms                      =>
a done r8 u from=o1             => grant r1`)
		Expect(c.schedulers["a"].Inspect(c.now)[1].InFlight).To(Equal(2))
	})

	It("grants after the wait if an owner does not report, and lower tiers after a floor's time", func() {
		newCluster(testSettings(), "a: t/1").run(`
a targets t/1 u/2           =>
a offer r1 u from=a         => queued r1
a offer r2 u from=a tier=1  => queued r2
wait 280ms                  =>
wait 20ms                   => grant r1
wait 80ms                   =>
wait 20ms                   => grant r2`)
	})

	// The previous scheduler still has a waiting offer and a run. The owners offer
	// again to the new scheduler; a late offer to the previous one is redirected.
	It("hands waiting offers over", func() {
		newCluster(testSettings(), "a: t/1 u/1").run(`
a offer r1 t    => grant r1
a offer r2 t    => queued r2
a targets u/1   => refuse r2  try t
a offer r3 t    => refuse r3  try t
a done r1 t     =>`)
	})

	// While membership views differ, two entries schedule one target, which may
	// then hold up to twice its limit. No run is lost: after the reports the
	// remaining scheduler counts both runs and grants nothing more.
	It("counts all runs after two schedulers overlapped", func() {
		c := newCluster(testSettings(), "a: t/1", "b: t/1")
		c.run(`
a offer r1 t from=o1 => grant r1
b offer r2 t from=o2 => grant r2
b targets u/1        =>
a running r1 t from=o1 full =>
a running r2 t from=o2 full =>
a offer r3 t from=a  => queued r3
a done r1 t from=o1  =>
a done r2 t from=o2  => grant r3`)
	})
})
