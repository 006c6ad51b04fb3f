package flight

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

// TestAnyOrder gives the chunks of one answer in any order with any repetition
// that the bound on held chunks allows; every reader gets them once, in order.
func TestAnyOrder(t *testing.T) {
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
	It("says what became of a chunk", func() {
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

	// A reader that is too slow is told so; it never gets an answer with a hole.
	// The buffer's limit drops the oldest chunks while the reader is elsewhere.
	It("tells a reader whose chunks were dropped", func() {
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

	It("gives up waiting when the time is over", func() {
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

	It("returns the flight that stands", func() {
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

	// The caller is told "unknown" instead of waiting for ever. Its request ran
	// here, the answer was dropped, and the core can only say "join".
	It("ends a join whose run's answer is gone", func() {
		f := add("a")
		f.Submitting()
		r.Join(entry.Join{ID: "a", Of: "a"})
		Expect(f.Answer.Ended().Status.Reason).To(Equal(outcome.ReasonAnswerNotHeld))
	})

	It("leaves a join of a standing run alone", func() {
		f := add("a")
		f.Submitting()
		f.Submitting()
		r.Join(entry.Join{ID: "a", Of: "a"})
		Expect(f.Answer.Ended()).To(BeNil())
	})

	// The caller was told "unknown", since the owner of its id could not be
	// reached, and sends the id again. The old word would keep it from learning
	// what became of its request; a flight of its own has the core ask again.
	It("puts a flight aside that ended in doubt", func() {
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

	DescribeTable("keeps a flight with a word on its request", func(end func(*Flight)) {
		f := add("a")
		end(f)
		standing, added := r.Put(New(&Flight{ID: "a"}, nil, 1000))
		Expect(added).To(BeFalse())
		Expect(standing).To(BeIdenticalTo(f))
	},
		Entry("answered", func(f *Flight) { f.Finish(outcome.Complete()) }),
		Entry("not run", func(f *Flight) { f.Finish(outcome.Refused(outcome.ReasonOverload, 0, "")) }),
		Entry("ran in part", func(f *Flight) { f.Finish(outcome.Partial(outcome.ReasonTargetFailed, "")) }),
		Entry("referred", func(f *Flight) { f.refer(Referral{ID: "b"}) }),
	)

	It("knows when the last reader of an open answer leaves", func() {
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

// BenchmarkAppend is the cost of a token between target and reader.
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
