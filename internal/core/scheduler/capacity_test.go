package scheduler

import (
	. "github.com/onsi/ginkgo/v2"
)

var _ = Describe("capacity under load", func() {
	// A tier 0 request can't meet its deadline even if the lower run is cancelled,
	// so a floor is in force with that run left. A tier 1 request has the time, but
	// may not join the queue under the floor. Without other schedulers its exchange
	// ends within the call that starts it. Starting the next one at once recurses
	// until the stack overflows.
	It("ends an exchange without other schedulers that settles nothing", func() {
		newCluster(testSettings(), "a: t/2").run(`
a offer q0 t tier=0 once prompt=9000 => grant q0
a offer r1 t tier=2 prompt=50        => grant r1
a running r1 t tier=2 prompt=50      =>
a offer r2 t tier=0 for=500ms final  => queued r2
a offer r3 t tier=1 for=60s final    => queued r3`)
	})

	// The other scheduler has a free slot, while this target would have to preempt
	// a lower run. The request is redirected and nothing is preempted.
	It("prefers a free slot elsewhere to preemption", func() {
		newCluster(testSettings(), "a: t/1", "b: u/1").run(`
a offer r1 t tier=2 prompt=3000 => grant r1
a running r1 t tier=2 prompt=3000 started =>
a offer r2 t tier=0 final first=900ms => queued r2; refuse r2 overload try u
b offer r2 u tier=0 => grant r2`)
	})

	// There is no free slot. Of the two lower runs, one at each scheduler, the one
	// that has computed fewer tokens is preempted.
	It("preempts the cheapest run of the pool", func() {
		newCluster(testSettings(), "a: t/1", "b: u/1").run(`
a offer r1 t tier=2 prompt=3000 => grant r1
a running r1 t tier=2 prompt=3000 started =>
b offer q1 u tier=2 prompt=1000 => grant q1
b running q1 u tier=2 prompt=1000 started =>
a offer r2 t tier=0 final first=600ms => queued r2; refuse r2 overload try u
b offer r2 u tier=0 first=600ms => preempt q1; queued r2
b done q1 u => grant r2`)
		newCluster(testSettings(), "a: t/1", "b: u/1").run(`
a offer r1 t tier=2 prompt=1000 => grant r1
a running r1 t tier=2 prompt=1000 started =>
b offer q1 u tier=2 prompt=3000 => grant q1
b running q1 u tier=2 prompt=3000 started =>
a offer r2 t tier=0 final first=600ms => queued r2; preempt r1
a done r1 t => grant r2`)
	})

	// The only preemptible run has computed many more tokens than the request needs,
	// and another run is about to end. The request waits for that end, and preempts
	// only at its last moment.
	It("does not preempt an expensive run if a slot may become free", func() {
		script := `
a offer r1 t tier=2 prompt=3000 => grant r1
a running r1 t tier=2 prompt=3000 started =>
a offer r0 t tier=0 prompt=50 => grant r0
a running r0 t tier=0 prompt=50 started =>
a offer r2 t tier=0 final first=900ms from=a => queued r2
`
		newCluster(testSettings(), "a: t/2").run(script + "a done r0 t => grant r2")
		newCluster(testSettings(), "a: t/2").run(script + "wait 600ms =>\nwait 200ms => preempt r1")
	})

	// A short request is running, and a long prompt would occupy the engine for 2.7 s
	// beside it. With 2 s left the short answer would be late, so the long prompt
	// waits for its end.
	It("holds a long prompt back if it would make a running answer late", func() {
		newCluster(testSettings(), "a: t/2").run(`
a offer s1 t tier=0 prompt=100 for=2s  => grant s1
a running s1 t tier=0 prompt=100 for=2s started =>
a offer l1 t tier=1 prompt=9000 for=30s from=a => queued l1
a done s1 t                            => grant l1`)
	})

	// A short request waits at a full target. A long prompt started at the
	// scheduler's other target would delay short requests there as well, so it waits
	// until the short request has started. At an idle target it is not held back,
	// since no event would start it.
	It("holds a long prompt back while higher work waits at another target", func() {
		script := `
a offer s1 t tier=0 => grant s1
a running s1 t tier=0 started =>
a offer s2 t tier=0 => queued s2
`
		newCluster(testSettings(), "a: t/1 u/2").run(script + `
a offer q1 u tier=0 once for=60s => grant q1
a running q1 u tier=0 once for=60s started =>
a offer l1 u tier=1 prompt=9000 for=60s from=a => queued l1
a done s1 t => grant s2
wait 20ms => grant l1`)
		newCluster(testSettings(), "a: t/1 u/2").run(script + `
a offer l1 u tier=1 prompt=9000 for=60s => grant l1`)
	})

	// Two long prompts gain nothing from running at once, and a short request that
	// arrives meanwhile would wait for both.
	It("computes one long prompt at a time where short requests arrive", func() {
		newCluster(testSettings(), "a: t/4").run(`
a offer s1 t tier=0 prompt=100          => grant s1
a done s1 t                             =>
a offer l1 t tier=1 prompt=1400 for=30s => grant l1
a offer l2 t tier=1 prompt=1400 for=30s => queued l2
a running l1 t tier=1 prompt=1400 for=30s started => grant l2`)
	})

	// Top-tier work occupies the target's only slot for longer than the request's
	// first-token deadline allows. The other scheduler's target computes top-tier
	// work too, so the request could not be in time there; beside it runs a long
	// prompt that has cost far more than the request. A refusal would require the
	// cancellation of that run, so the request waits without its first-token
	// deadline and is answered late.
	It("answers late rather than preempt an expensive run for a refusal", func() {
		newCluster(testSettings(), "a: t/1", "b: u/2").run(`
a offer q0 t tier=0 once for=60s => grant q0
a running q0 t tier=0 once for=60s started =>
b offer l1 u tier=1 prompt=9000 for=60s from=b => grant l1
b running l1 u tier=1 prompt=9000 for=60s from=b started =>
b offer q1 u tier=0 once prompt=9000 for=60s from=b => grant q1
b running q1 u tier=0 once prompt=9000 for=60s from=b =>
a offer r1 t tier=0 prompt=2000 first=2050ms for=30s final from=a => queued r1
wait 300ms =>
a done q0 t => grant r1`)
	})

	// The same beside a cheap run, which is preempted before the refusal.
	It("preempts a cheap run before it refuses", func() {
		newCluster(testSettings(), "a: t/1", "b: u/2").run(`
a offer q0 t tier=0 once for=60s => grant q0
a running q0 t tier=0 once for=60s started =>
b offer l1 u tier=1 for=60s from=b => grant l1
b running l1 u tier=1 for=60s from=b started =>
b offer q1 u tier=0 once prompt=9000 for=60s from=b => grant q1
b running q1 u tier=0 once prompt=9000 for=60s from=b =>
a offer r1 t tier=0 prompt=2000 first=2050ms for=30s final from=a => queued r1
wait 60ms => preempt l1
b done l1 u from=b =>
wait 60ms => refuse r1 overload settled`)
	})
})
