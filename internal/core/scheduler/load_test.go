package scheduler

import (
	. "github.com/onsi/ginkgo/v2"
)

var _ = Describe("room for work under load", func() {
	// A tier 0 request can't be in time even if the lower run were cut, so a floor
	// stands with that run left. A tier 1 request has the time, but may not join
	// the queue under the floor. With no other scheduler to ask, its exchange ends
	// within the ask; asked for again at once, that went on until the stack ended.
	It("ends an exchange with nobody to ask that settles nothing", func() {
		newCluster(testSettings(), "a: t/2").run(`
a offer q0 t tier=0 once prompt=9000 => grant q0
a offer r1 t tier=2 prompt=50        => grant r1
a running r1 t tier=2 prompt=50      =>
a offer r2 t tier=0 for=500ms final  => queued r2
a offer r3 t tier=1 for=60s final    => queued r3`)
	})

	// The neighbour has a free place, this target only a lower run to cut. The
	// request is sent on and nothing is cut.
	It("takes a free place elsewhere before it cuts a run", func() {
		newCluster(testSettings(), "a: t/1", "b: u/1").run(`
a offer r1 t tier=2 prompt=3000 => grant r1
a running r1 t tier=2 prompt=3000 started =>
a offer r2 t tier=0 final first=900ms => queued r2; refuse r2 overload try u
b offer r2 u tier=0 => grant r2`)
	})

	// No place is free anywhere. Of the two lower runs the one that has cost less
	// is cut, the neighbour's or the own one.
	It("cuts the run of the pool that has cost least", func() {
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

	// The only run that may be cut has cost much more than the request brings, and
	// another's end is near. The request waits for that; at its last moment the
	// run would be cut.
	It("does not cut a dear run where a place may come free", func() {
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

	// A short answer runs, and a brief would take the engine for 2.7 s beside it.
	// With 2 s left the answer would come late, so the brief waits for its end.
	It("holds a brief back while a running answer would come late", func() {
		newCluster(testSettings(), "a: t/2").run(`
a offer s1 t tier=0 prompt=100 for=2s  => grant s1
a running s1 t tier=0 prompt=100 for=2s started =>
a offer l1 t tier=1 prompt=9000 for=30s from=a => queued l1
a done s1 t                            => grant l1`)
	})

	// Two briefs at once win nothing by each other, and a short request that comes
	// meanwhile would wait for both.
	It("computes one brief at a time where short requests come", func() {
		newCluster(testSettings(), "a: t/4").run(`
a offer s1 t tier=0 prompt=100          => grant s1
a done s1 t                             =>
a offer l1 t tier=1 prompt=1400 for=30s => grant l1
a offer l2 t tier=1 prompt=1400 for=30s => queued l2
a running l1 t tier=1 prompt=1400 for=30s started => grant l2`)
	})
})
