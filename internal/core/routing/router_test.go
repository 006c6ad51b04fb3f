package routing

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/outcome"
)

var _ = Describe("choice", func() {
	It("reports why there is no target", func() {
		r := routerFor(poolOf(3, 0), 1)
		req := newRequest(100, 10)
		excludeAll := func(string) bool { return true }
		status := func(exclude func(string) bool) Status {
			_, s := r.Choose(start, req, exclude)
			return s
		}
		Expect(status(nil)).To(Equal(Chosen))
		Expect(status(excludeAll)).To(Equal(AllExcluded))
		req.Pool = "other"
		Expect(status(nil)).To(Equal(UnknownPool))
		req.Pool = "empty"
		Expect(status(nil)).To(Equal(EmptyPool))
		req.Pool = "desk"
		Expect(status(nil)).To(Equal(EmptyPool), "an engine request and a service")
		req.Pool = "chat"
		for i := range 3 {
			r.SetAvailable(targetName(i), false)
		}
		Expect(status(excludeAll)).To(Equal(NoneAvailable))
		Expect(NoneAvailable.Reason()).To(Equal(outcome.ReasonNoTarget))
		Expect(NoneInTime.Reason()).To(Equal(outcome.ReasonDeadline))
	})

	It("recognises the last candidate", func() {
		r := routerFor(poolOf(3, 0), 1)
		allBut := func(left ...string) func(string) bool {
			return func(name string) bool {
				for _, l := range left {
					if l == name {
						return false
					}
				}
				return true
			}
		}
		Expect(r.LastCandidate(start, newRequest(9, 9), nil)).To(BeFalse())
		Expect(r.LastCandidate(start, newRequest(9, 9), allBut("t1", "t2"))).To(BeFalse())
		Expect(r.LastCandidate(start, newRequest(9, 9), allBut("t2"))).To(BeTrue())
		r.SetAvailable("t1", false)
		Expect(r.LastCandidate(start, newRequest(9, 9), allBut("t1", "t2"))).To(BeTrue())
	})

	It("is the same for the same seed and inputs", func() {
		run := func() (names []string) {
			requests = 0
			r := routerFor(poolOf(60, 20), 42)
			for i := range 300 {
				now := start.Add(time.Duration(i) * 5 * time.Millisecond)
				r.Digest(now, digest(targetName(i%60), i%17, 16))
				req := prefixed(newRequest(100+i*20, 50), uint64(i%5), 8)
				name, _ := r.Choose(now, req, nil)
				r.Dispatched(now, name, req)
				names = append(names, name)
			}
			return names
		}
		Expect(run()).To(Equal(run()))
	})

	It("keeps the state of targets across documents, and drops removed targets", func() {
		r := routerFor(poolOf(3, 0), 1)
		for i := range 2 {
			d := digest(targetName(i), 0, 16)
			d.Available = false
			r.Digest(start, d)
		}
		Expect(r.LastCandidate(start, newRequest(9, 9), nil)).To(BeTrue())
		r.Configure(poolOf(4, 0))
		Expect(r.LastCandidate(start, newRequest(9, 9), nil)).To(BeFalse(), "the fourth target is new")
		r.Configure(poolOf(2, 0))
		_, status := r.Choose(start, newRequest(9, 9), nil)
		Expect(status).To(Equal(NoneAvailable))
	})

	It("learns the length of answers from completed runs", func() {
		r := routerFor(poolOf(1, 0), 1)
		req := newRequest(100, 1000) // 20 s at 20 ms a token
		_, status := r.Choose(start, req, nil)
		Expect(status).To(Equal(NoneInTime))
		for range 200 {
			s := uncachedSample(100)
			r.Observed("t0", newRequest(100, 1000), s, true)
		}
		_, status = r.Choose(start, req, nil)
		Expect(status).To(Equal(Chosen))
	})

	It("chooses the less loaded of two targets by load reports alone", func() {
		r := routerFor(poolOf(2, 0), 1)
		r.Report(start, "t0", 5, 0)
		r.Report(start, "t1", 1, 3)
		for range 20 {
			name, status := r.TwoChoices(start, newRequest(9, 9), nil)
			Expect(name).To(Equal("t1"))
			Expect(status).To(Equal(Chosen))
		}
		r.SetAvailable("t1", false)
		name, _ := r.TwoChoices(start, newRequest(9, 9), nil)
		Expect(name).To(Equal("t0"))
		_, status := r.TwoChoices(start, newRequest(9, 9), func(string) bool { return true })
		Expect(status).To(Equal(AllExcluded))
	})
})

var _ = Describe("availability filter", func() {
	// A target leaves. The probe may report this before the scheduler's digest or after
	// it. Either report suffices to send the target no new requests.
	It("drops a target on the first report of its departure", func() {
		r := routerFor(poolOf(2, 0), 1)
		unavailable := digest("t0", 0, 16)
		unavailable.Available = false
		r.Digest(start, unavailable)
		for range 50 {
			Expect(first(r.Choose(start, newRequest(9, 9), nil))).To(Equal("t1"))
		}
		r.Digest(start, digest("t0", 0, 16))
		r.SetAvailable("t0", false)
		for range 50 {
			Expect(first(r.Choose(start, newRequest(9, 9), nil))).To(Equal("t1"))
		}
	})

	// The scheduler of a target crashes after reporting the target as unavailable. The
	// digest must expire, so that the probes decide. Otherwise the target would stay
	// idle indefinitely.
	It("ignores an expired digest", func() {
		r := routerFor(poolOf(1, 0), 1)
		unavailable := digest("t0", 0, 16)
		unavailable.Available = false
		r.Digest(start, unavailable)
		_, status := r.Choose(start.Add(digestValidity), newRequest(9, 9), nil)
		Expect(status).To(Equal(Chosen))
	})
})

func first(name string, _ Status) string { return name }
