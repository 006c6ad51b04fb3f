package routing

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/outcome"
)

var _ = Describe("choice", func() {
	It("says why there is none", func() {
		r := routerFor(poolOf(3, 0), 1)
		req := ask(100, 10)
		none := func(string) bool { return true }
		status := func(exclude func(string) bool) Status {
			_, s := r.Choose(start, req, exclude)
			return s
		}
		Expect(status(nil)).To(Equal(Chosen))
		Expect(status(none)).To(Equal(NoneLeft))
		req.Pool = "other"
		Expect(status(nil)).To(Equal(UnknownPool))
		req.Pool = "empty"
		Expect(status(nil)).To(Equal(EmptyPool))
		req.Pool = "desk"
		Expect(status(nil)).To(Equal(EmptyPool), "an engine's request and a service")
		req.Pool = "chat"
		for i := range 3 {
			r.Reachable(named(i), false)
		}
		Expect(status(none)).To(Equal(NoneAvailable))
		Expect(NoneAvailable.Reason()).To(Equal(outcome.ReasonNoTarget))
		Expect(NoneInTime.Reason()).To(Equal(outcome.ReasonDeadline))
	})

	It("knows the last candidate", func() {
		r := routerFor(poolOf(3, 0), 1)
		but := func(left ...string) func(string) bool {
			return func(name string) bool {
				for _, l := range left {
					if l == name {
						return false
					}
				}
				return true
			}
		}
		Expect(r.Last(start, ask(9, 9), nil)).To(BeFalse())
		Expect(r.Last(start, ask(9, 9), but("t1", "t2"))).To(BeFalse())
		Expect(r.Last(start, ask(9, 9), but("t2"))).To(BeTrue())
		r.Reachable("t1", false)
		Expect(r.Last(start, ask(9, 9), but("t1", "t2"))).To(BeTrue())
	})

	It("is the same for the same seed and inputs", func() {
		run := func() (names []string) {
			requests = 0
			r := routerFor(poolOf(60, 20), 42)
			for i := range 300 {
				now := start.Add(time.Duration(i) * 5 * time.Millisecond)
				r.Digest(now, digest(named(i%60), i%17, 16))
				req := prefixed(ask(100+i*20, 50), uint64(i%5), 8)
				name, _ := r.Choose(now, req, nil)
				r.Dispatched(now, name, req)
				names = append(names, name)
			}
			return names
		}
		Expect(run()).To(Equal(run()))
	})

	It("keeps what it learned over a new document, and drops removed targets", func() {
		r := routerFor(poolOf(3, 0), 1)
		for i := range 2 {
			d := digest(named(i), 0, 16)
			d.Available = false
			r.Digest(start, d)
		}
		Expect(r.Last(start, ask(9, 9), nil)).To(BeTrue())
		r.Configure(poolOf(4, 0))
		Expect(r.Last(start, ask(9, 9), nil)).To(BeFalse(), "the fourth came")
		r.Configure(poolOf(2, 0))
		_, status := r.Choose(start, ask(9, 9), nil)
		Expect(status).To(Equal(NoneAvailable))
	})

	It("expects answers as long as they are seen to be", func() {
		r := routerFor(poolOf(1, 0), 1)
		req := ask(100, 1000) // 20 s at 20 ms a token
		_, status := r.Choose(start, req, nil)
		Expect(status).To(Equal(NoneInTime))
		for range 200 {
			s := digestless(100)
			r.Observed("t0", ask(100, 1000), s, true)
		}
		_, status = r.Choose(start, req, nil)
		Expect(status).To(Equal(Chosen))
	})

	It("names the better of two by load reports alone", func() {
		r := routerFor(poolOf(2, 0), 1)
		r.Report(start, "t0", 5, 0)
		r.Report(start, "t1", 1, 3)
		for range 20 {
			name, status := r.TwoChoices(start, ask(9, 9), nil)
			Expect(name).To(Equal("t1"))
			Expect(status).To(Equal(Chosen))
		}
		r.Reachable("t1", false)
		name, _ := r.TwoChoices(start, ask(9, 9), nil)
		Expect(name).To(Equal("t0"))
		_, status := r.TwoChoices(start, ask(9, 9), func(string) bool { return true })
		Expect(status).To(Equal(NoneLeft))
	})
})

var _ = Describe("available", func() {
	// A target leaves: the probe says so before its scheduler's digest does, or
	// the other way round. Either word is enough to send it nothing new.
	It("takes the first word that a target is gone", func() {
		r := routerFor(poolOf(2, 0), 1)
		gone := digest("t0", 0, 16)
		gone.Available = false
		r.Digest(start, gone)
		for range 50 {
			Expect(first(r.Choose(start, ask(9, 9), nil))).To(Equal("t1"))
		}
		r.Digest(start, digest("t0", 0, 16))
		r.Reachable("t0", false)
		for range 50 {
			Expect(first(r.Choose(start, ask(9, 9), nil))).To(Equal("t1"))
		}
	})

	// The scheduler of a target dies after it called it unavailable. Its word
	// lapses, and the probes decide, or the target would stay idle for good.
	It("lets an old digest lapse", func() {
		r := routerFor(poolOf(1, 0), 1)
		gone := digest("t0", 0, 16)
		gone.Available = false
		r.Digest(start, gone)
		_, status := r.Choose(start.Add(digestGood), ask(9, 9), nil)
		Expect(status).To(Equal(Chosen))
	})
})

func first(name string, _ Status) string { return name }
