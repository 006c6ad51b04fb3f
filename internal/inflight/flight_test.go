package inflight

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/outcome"
)

func TestFlight(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "flight")
}

// TestBufferAcceptsChunksInAnyOrder appends the chunks of one answer in any order with
// any repetition that the bound on held chunks allows; every reader receives them once,
// in order.
func TestBufferAcceptsChunksInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 40).Draw(t, "count")
		order := rapid.Permutation(numbers(count)).Draw(t, "order")
		again := rapid.SliceOf(rapid.IntRange(0, count-1)).Draw(t, "again")
		from := rapid.IntRange(0, count).Draw(t, "from")
		b := newBuffer(1 << 20)
		for _, i := range append(order, again...) {
			b.Append(i, chunk(i))
		}
		b.Close(outcome.Complete())
		chunks, p := b.Read(nil, from, 0)
		all := ""
		for i := range count {
			all += string(chunk(i))
		}
		for i, c := range chunks {
			if string(c) != string(chunk(from+i)) {
				t.Fatalf("chunk %d is %q", from+i, c)
			}
		}
		if len(chunks) != count-from || p.End == nil || p.End.Chunks != count || p.End.Checksum != xxhash.Sum64String(all) {
			t.Fatalf("%d chunks, end %+v", len(chunks), p.End)
		}
	})
}

func numbers(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

func chunk(i int) []byte { return fmt.Appendf(nil, "chunk %d;", i) }

var _ = Describe("Buffer", func() {
	It("returns the result of appending a chunk", func() {
		b := newBuffer(100)
		Expect(b.Append(0, []byte("a"))).To(Equal(Taken))
		Expect(b.Append(0, []byte("a"))).To(Equal(Duplicate))
		Expect(b.Append(2, []byte("c"))).To(Equal(Held))
		Expect(b.Next()).To(Equal(1))
		Expect(b.Append(1, []byte("b"))).To(Equal(Taken))
		Expect(b.Next()).To(Equal(3))
		Expect(b.Close(outcome.Complete())).To(BeTrue())
		Expect(b.Close(outcome.Partial(outcome.ReasonTargetFailed, ""))).To(BeFalse())
		Expect(b.Append(3, []byte("d"))).To(Equal(Refused))
		Expect(b.Ended().Status).To(Equal(outcome.Complete()))
	})

	// The buffer drops its oldest chunks beyond the limit. A reader that is too slow
	// is notified; it never receives an answer with a gap.
	It("notifies a reader whose chunks were dropped", func() {
		b := newBuffer(10)
		for i := range 5 {
			b.Append(i, []byte("12345"))
		}
		chunks, p := b.Read(nil, 0, 0)
		Expect(chunks).To(BeEmpty())
		Expect(p.Trimmed).To(BeTrue())
		chunks, p = b.Read(nil, 3, 0)
		Expect(chunks).To(HaveLen(2))
		Expect(p.Next).To(Equal(5))
		Expect(b.size()).To(Equal(10))
	})

	It("wakes all readers that wait", func() {
		b := newBuffer(1000)
		got := make(chan int, 3)
		for range 3 {
			go func() {
				chunks, _ := b.Read(nil, 0, time.Hour)
				got <- len(chunks)
			}()
		}
		Eventually(func() int {
			b.mu.Lock()
			defer b.mu.Unlock()
			return len(b.waiters)
		}).Should(Equal(3))
		b.Append(0, []byte("x"))
		for range 3 {
			Expect(<-got).To(Equal(1))
		}
	})

	It("stops waiting when the wait time is over", func() {
		chunks, p := newBuffer(10).Read(nil, 0, time.Millisecond)
		Expect(chunks).To(BeEmpty())
		Expect(p.End).To(BeNil())
	})
})

var _ = Describe("Registry", func() {
	var now time.Time
	var r *Registry
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		r = NewRegistry(Config{MaxOpen: 2, Retain: time.Minute, RetainBytes: 3 * endedOverhead, Now: func() time.Time { return now }})
	})
	add := func(id string) *Flight {
		f, added := r.Put(New(&Flight{ID: ident.RequestID(id)}, nil, 1000))
		Expect(added).To(BeTrue())
		return f
	}

	It("is bounded, and refuses beyond the bound", func() {
		add("a")
		add("b")
		f, added := r.Put(New(&Flight{ID: "c"}, nil, 1000))
		Expect(f).To(BeNil())
		Expect(added).To(BeFalse())
	})

	It("returns the existing flight of the same id", func() {
		f := add("a")
		again, added := r.Put(New(&Flight{ID: "a"}, nil, 1000))
		Expect(added).To(BeFalse())
		Expect(again).To(BeIdenticalTo(f))
	})

	It("keeps ended flights for a bounded time and memory", func() {
		for _, id := range []string{"a", "b", "c", "d"} {
			Expect(add(id).Finish(outcome.Complete())).To(BeTrue())
		}
		Expect(r.Get("a")).To(BeNil())
		Expect(r.Get("d")).NotTo(BeNil())
		Expect(r.Stats()).To(Equal(Stats{Ended: 3, EndedBytes: 3 * endedOverhead}))
		now = now.Add(time.Minute)
		r.Sweep()
		Expect(r.Stats()).To(Equal(Stats{}))
		Expect(r.Get("d")).To(BeNil())
	})

	// The request ran at this entry, its answer was dropped, and the core decides to
	// join. The caller must receive "unknown" instead of waiting forever.
	It("ends a join whose run's answer has been dropped", func() {
		f := add("a")
		f.AddSubmission()
		r.Join(entry.Join{ID: "a", Of: "a"})
		Expect(f.Answer.Ended().Status.Reason).To(Equal(outcome.ReasonAnswerNotHeld))
	})

	It("keeps a join of a current run open", func() {
		f := add("a")
		f.AddSubmission()
		f.AddSubmission()
		r.Join(entry.Join{ID: "a", Of: "a"})
		Expect(f.Answer.Ended()).To(BeNil())
	})

	// The caller received "unknown", since the owner of its id could not be reached,
	// and resends the id. If it got the earlier outcome again, it would never receive
	// the real one; a new flight makes the core query the owner again.
	It("replaces a flight that ended in doubt", func() {
		undetermined := add("a")
		undetermined.Finish(outcome.Undetermined(outcome.ReasonOwnerUnreachable, ""))
		again := add("a")
		Expect(again).NotTo(BeIdenticalTo(undetermined))
		Expect(r.Get("a")).To(BeIdenticalTo(again))
		Expect(r.Stats()).To(Equal(Stats{Open: 1, Ended: 1, EndedBytes: endedOverhead}))
		now = now.Add(time.Minute)
		r.Sweep()
		Expect(r.Get("a")).To(BeIdenticalTo(again))
	})

	DescribeTable("keeps a flight with a known outcome", func(end func(*Flight)) {
		f := add("a")
		end(f)
		existing, added := r.Put(New(&Flight{ID: "a"}, nil, 1000))
		Expect(added).To(BeFalse())
		Expect(existing).To(BeIdenticalTo(f))
	},
		Entry("answered", func(f *Flight) { f.Finish(outcome.Complete()) }),
		Entry("not run", func(f *Flight) { f.Finish(outcome.Refused(outcome.ReasonOverload, 0, "")) }),
		Entry("ran in part", func(f *Flight) { f.Finish(outcome.Partial(outcome.ReasonTargetFailed, "")) }),
		Entry("referred", func(f *Flight) { f.refer(Referral{ID: "b"}) }),
	)

	It("reports when the last reader of an open answer leaves", func() {
		f := add("a")
		f.Enter()
		f.Enter()
		Expect(f.Leave()).To(BeFalse())
		Expect(f.Leave()).To(BeTrue())
		f.Enter()
		f.Finish(outcome.Complete())
		Expect(f.Leave()).To(BeFalse())
	})
})

// BenchmarkAppend measures passing one token from a target to a reader.
func BenchmarkAppend(b *testing.B) {
	data := make([]byte, 160)
	b.ReportAllocs()
	var dst [][]byte
	buf := newBuffer(1 << 16)
	for i := 0; b.Loop(); i++ {
		buf.Append(i, data)
		dst, _ = buf.Read(dst[:0], i, 0)
	}
}
