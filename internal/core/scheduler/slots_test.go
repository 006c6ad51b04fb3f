package scheduler

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/message"
)

var _ = Describe("slots at one target", func() {
	DescribeTable("scripts", func(script string, change ...func(*Settings)) {
		set := testSettings()
		for _, f := range change {
			f(&set)
		}
		newCluster(set, "a: t/1").run(script)
	},
		Entry("grants, queues by tier, grants the next at the end of a run", `
a offer r1 t tier=1 => grant r1
a offer r2 t tier=2 => queued r2
a offer r3 t tier=1 => queued r3
a done r1 t         => grant r3
a done r3 t         => grant r2`),
		Entry("grants by least slack within an organisation", `
a offer r1 t         => grant r1
a offer r2 t for=9s  => queued r2
a offer r3 t for=5s  => queued r3
a done r1 t          => grant r3`),
		// Many offers of one organisation are waiting when another's first request
		// arrives. By fair sharing of tokens that request goes first, whatever its
		// slack.
		Entry("grants fairly among organisations", `
a offer r1 t org=flood        => grant r1
a offer r2 t org=flood for=5s => queued r2
a offer r3 t org=flood for=5s => queued r3
a done r1 t                   => grant r2
a offer s1 t org=small        => queued s1
a done r2 t                   => grant s1
a done s1 t                   => grant r3`),
		// The queue is full. A new offer of a higher tier displaces the last offer of
		// the lowest tier; one that is not higher is sent to other targets.
		Entry("displaces the lowest tier's last", `
a offer r1 t tier=0          => grant r1
a offer r2 t tier=2 for=15s  => queued r2
a offer r3 t tier=2 for=18s  => queued r3
a offer r4 t tier=2          => refuse r4 overload
a offer r5 t tier=1          => refuse r3 displaced_by_higher_tier; queued r5
a offer r6 t tier=0          => refuse r2 displaced_by_higher_tier; queued r6
a offer r7 t tier=1          => refuse r7 overload`),
		// No other entry schedules the pool, so the displaced offer's exchange ends
		// at once and its refusal is settled: nothing below its tier is left.
		Entry("settles the refusal of a displaced offer without other targets", `
a offer r1 t tier=0        => grant r1
a offer r2 t tier=2 final  => queued r2
a offer r3 t tier=1        => queued r3
a offer r4 t tier=1        => refuse r2 displaced_by_higher_tier settled; queued r4`),
		Entry("refuses at once a request that even an idle target could not serve in time", `
a offer r1 t prompt=9000 for=5s => refuse r1 deadline_cannot_be_met
a offer r2 t prompt=9000 first=5s final => refuse r2 deadline_cannot_be_met settled
a offer r3 t for=0s => refuse r3 deadline_passed settled`),
		// The owner's refresh crosses the grant on the network. It receives a grant
		// for the newer Seq, and the slot is counted once.
		Entry("grants again on a refresh that crossed the grant", `
a offer r1 t => grant r1
a offer r1 t => grant r1
a offer r2 t => queued r2
a done r1 t  => grant r2`),
		// A grant was lost. Its slot is free again after its expiry here, which is
		// later than the expiry at the owner, so that it can't be used any more.
		Entry("frees the slot of an unused grant", `
a offer r1 t => grant r1
a offer r2 t from=a => queued r2
wait 190ms   =>
wait 20ms    => grant r2`),
		// The report that a grant was used arrives after its expiry here, when the
		// slot has been reassigned. The run counts nevertheless until it ends.
		Entry("counts a run whose report arrives after the grant's expiry", `
a offer r1 t   => grant r1
a offer r2 t from=a => queued r2
wait 210ms     => grant r2
a running r1 t =>
a offer r3 t   => queued r3
a done r2 t from=a =>
a done r1 t    => grant r3`),
		// An owner terminates with one request running and one waiting. The waiting
		// one is removed; the run continues at the engine and keeps its slot until
		// its expected end, after 210 ms of prefill and steps.
		Entry("keeps the slot of a terminated owner's run", `
a offer r1 t from=o2        => grant r1
a running r1 t from=o2 started =>
a offer r2 t from=o2        => queued r2
a offer r3 t from=a         => queued r3
a gone o2                   =>
wait 100ms                  =>
wait 200ms                  => grant r3`),
		// An owner stops refreshing because it has terminated, is paused or is
		// partitioned. Its offer is removed before a slot is wasted on it.
		Entry("removes an offer that is not refreshed", `
a offer r1 t from=a => grant r1
a running r1 t from=a =>
a offer r2 t => queued r2
a offer r3 t from=a => queued r3
wait 320ms =>
a done r1 t from=a => grant r3`),
		Entry("withdraws offers and unused grants", `
a offer r1 t => grant r1
a offer r2 t => queued r2
a offer r3 t => queued r3
a withdraw r2 t =>
a withdraw r1 t => grant r3`),
		// A full report no longer lists a run whose Done was lost with a link.
		Entry("ends runs that a full report does not list", `
a offer r1 t => grant r1
a running r1 t =>
a offer r2 t => queued r2
a idle => grant r2`),
		// The target itself announces that it is leaving, seconds before the instance
		// list does.
		Entry("grants nothing more at a leaving target", `
a offer r1 t => grant r1
a offer r2 t => queued r2
a done r1 t leaving => refuse r2 no_target
a offer r3 t final => refuse r3 no_target`),
		// A higher request has no other target and can't wait. The lower run that may
		// be repeated is cancelled, and its slot is granted when it has ended.
		Entry("preempts a lower run at once where the wait is too long", `
a offer r1 t tier=2 prompt=3000 => grant r1
a running r1 t tier=2 prompt=3000 started =>
a offer r2 t tier=0 final first=900ms => preempt r1; queued r2
a done r1 t => grant r2`),
		Entry("shares the new offer's tier fairly when the queue is full", `
a offer r1 t org=flood        => grant r1
a offer r2 t org=flood        => queued r2
a offer r3 t org=flood for=9s => queued r3
a offer s1 t org=small        => refuse r2 overload; queued s1
a offer r4 t org=flood        => refuse r4 overload
a done r1 t                   => grant r3
a offer r5 t org=flood for=5s => queued r5
a done r3 t                   => grant s1`),
		// The lower run is a call that may not be repeated, such as a reservation. It
		// is never cancelled, and the higher request waits for its end.
		Entry("never preempts a run that may not be repeated", `
a offer r1 t tier=2 once => grant r1
a running r1 t tier=2 once started =>
a offer r2 t tier=0 final for=2s => queued r2
wait 1700ms => 
a done r1 t => grant r2`, func(s *Settings) { s.FailureTimeout = 5 * time.Second }),
		// Either of two suspects may be a crashing request. If both ran at one target,
		// a crash would not show which of them caused it.
		Entry("runs one suspect at a time", `
a offer s1 t alone => grant s1
a running s1 t alone =>
a offer s2 t alone => queued s2
a done s1 t        => grant s2`),
	)

	It("lets other requests pass a suspect that waits for another suspect's end", func() {
		newCluster(testSettings(), "a: t/2").run(`
a offer s1 t alone  => grant s1
a offer s2 t alone  => queued s2
a offer r1 t tier=3 => grant r1
a done s1 t         => grant s2`)
	})

	// Long prompts use all of their prefill budget. A short prompt of the same tier
	// passes a waiting long one, a short prompt of a lower tier never does.
	It("reserves slots and prefill for short requests, within the order of tiers", func() {
		set := testSettings()
		set.PrefillBudget = 3000
		newCluster(set, "a: t/4").run(`
a offer s1 t tier=1 prompt=100  => grant s1
a offer l1 t tier=1 prompt=1400 => grant l1
a offer l2 t tier=1 prompt=1400 => queued l2
a offer s2 t tier=2 prompt=100  => queued s2
a offer s3 t tier=1 prompt=100  => grant s3
a done s1 t                     =>
a running l1 t tier=1 prompt=1400 started => grant l2; grant s2`)
	})

	// There are two lower runs, and a higher request that can wait for a while. It
	// waits as long as its deadline allows; only then the run that has computed the
	// fewest tokens is cancelled.
	It("preempts the run with the fewest computed tokens when the deadline allows no further wait", func() {
		newCluster(testSettings(), "a: t/2").run(`
a offer r1 t tier=2 prompt=1200 => grant r1
a offer r2 t tier=3 prompt=1000 => grant r2
a running r1 t tier=2 prompt=1200 started =>
a running r2 t tier=3 prompt=1000 started =>
a offer r3 t tier=0 from=a first=900ms => queued r3
wait 680ms  =>
wait 20ms   => preempt r2
a done r2 t => grant r3`)
	})

	It("gives all slots to long requests if no short ones of their tier or above arrive", func() {
		newCluster(testSettings(), "a: t/2").run(`
a offer s1 t tier=3 prompt=100 => grant s1
a done s1 t
a offer l1 t tier=1 prompt=1400 => grant l1
a offer l2 t tier=1 prompt=1400 => grant l2`)
	})

	// Callers refused together must not return together.
	It("spreads the retry times of refused requests", func() {
		c := newCluster(testSettings(), "a: t/1")
		c.run("a offer r0 t => grant r0\na offer r1 t => queued r1\na offer r2 t => queued r2")
		seen := map[time.Duration]bool{}
		for i := range 20 {
			words := []string{"x" + string(rune('a'+i)), "t", "final"}
			refuse := c.schedulers["a"].Offer(c.now, "o1", c.offer(words))[0].Message.(message.Refuse)
			Expect(refuse.PoolWide).To(BeTrue())
			Expect(refuse.RetryAfter).To(And(BeNumerically(">=", 50*time.Millisecond), BeNumerically("<=", 5*time.Second)))
			seen[refuse.RetryAfter.Truncate(50*time.Millisecond)] = true
		}
		Expect(len(seen)).To(BeNumerically(">", 10))
	})
})
