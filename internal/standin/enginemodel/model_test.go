package enginemodel

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sycamoretrail/internal/core/request"
)

func TestEngineModel(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "enginemodel")
}

var start = time.Unix(1000, 0)

const ms = time.Millisecond

// prefixes returns n artificial hashes. Prompts of one family share a prefix.
func prefixes(family uint64, n int) []uint64 {
	var hashes []uint64
	for i := range n {
		hashes = append(hashes, family<<32|uint64(i+1))
	}
	return hashes
}

func stepLength(m *Model, begun time.Time) time.Duration {
	next, stepping := m.Next()
	Expect(stepping).To(BeTrue())
	return next.Sub(begun)
}

// drain runs the model until it is idle.
func drain(m *Model) []Event {
	var events []Event
	for next, stepping := m.Next(); stepping; next, stepping = m.Next() {
		events = append(events, m.Advance(next)...)
	}
	return events
}

func eventsOf(events []Event, kind EventKind, id string) []Event {
	var found []Event
	for _, e := range events {
		if e.Kind == kind && e.ID == id {
			found = append(found, e)
		}
	}
	return found
}

var _ = Describe("steps", func() {
	It("include new jobs in the next step, with a duration of base, sequences and prefill", func() {
		m := New(Newer())
		Expect(m.Submit(start, Job{ID: "a", PromptTokens: 8, MaxTokens: 3})).To(Succeed())
		Expect(stepLength(m, start)).To(Equal(13 * ms))
		Expect(m.Submit(start.Add(5*ms), Job{ID: "b", PromptTokens: 16, MaxTokens: 1})).To(Succeed())
		second := start.Add(13 * ms)
		Expect(eventsOf(m.Advance(second), Token, "a")).To(HaveLen(1))
		Expect(stepLength(m, second)).To(Equal(12*ms + 250*time.Microsecond + 2*ms))
		Expect(m.Load()).To(Equal(Load{Running: 2, KVTokens: 8 + 1}))
	})

	It("bound the prefill of a step, so that a long prompt does not block other jobs", func() {
		m := New(Newer())
		Expect(m.Submit(start, Job{ID: "short", PromptTokens: 8, MaxTokens: 10})).To(Succeed())
		m.Advance(start.Add(13 * ms))
		Expect(m.Submit(start.Add(14*ms), Job{ID: "long", PromptTokens: 1200, MaxTokens: 1})).To(Succeed())
		events := drain(m)
		first := eventsOf(events, Token, "long")[0].At
		var before int
		for _, e := range eventsOf(events, Token, "short") {
			if e.At.Before(first) {
				before++
			}
		}
		// One step was in progress, and 512+512 prompt tokens take two more.
		Expect(before).To(Equal(3))
	})

	It("take longer on a straggler, from the next step on", func() {
		m := New(Newer())
		Expect(m.Submit(start, Job{ID: "a", PromptTokens: 8, MaxTokens: 2})).To(Succeed())
		m.SetStraggle(5)
		Expect(stepLength(m, start)).To(Equal(13 * ms))
		second := start.Add(13 * ms)
		m.Advance(second)
		Expect(stepLength(m, second)).To(Equal(5 * (12*ms + 250*time.Microsecond)))
	})
})

var _ = Describe("admission", func() {
	It("is in order of arrival and rejects jobs beyond batch and queue", func() {
		p := Newer()
		p.MaxBatch, p.MaxWaiting = 1, 1
		m := New(p)
		Expect(m.Submit(start, Job{ID: "a", PromptTokens: 8, MaxTokens: 1})).To(Succeed())
		Expect(m.Submit(start, Job{ID: "b", PromptTokens: 8, MaxTokens: 1})).To(Succeed())
		Expect(m.Submit(start, Job{ID: "c", PromptTokens: 8, MaxTokens: 1})).To(MatchError(ErrFull))
		Expect(m.Submit(start, Job{ID: "a", PromptTokens: 8, MaxTokens: 1})).To(MatchError(ErrRunning))
		events := drain(m)
		Expect(eventsOf(events, Finished, "a")[0].At).To(BeTemporally("<", eventsOf(events, Finished, "b")[0].At))
		Expect(eventsOf(events, Token, "c")).To(BeEmpty())
	})

	It("keeps a job waiting while the KV cache is full, and rejects a job that exceeds it", func() {
		p := Newer()
		p.KVTokens = 100
		m := New(p)
		Expect(m.Submit(start, Job{ID: "a", PromptTokens: 50, MaxTokens: 10})).To(Succeed())
		Expect(m.Submit(start, Job{ID: "b", PromptTokens: 50, MaxTokens: 10})).To(Succeed())
		Expect(m.Submit(start, Job{ID: "c", PromptTokens: 95, MaxTokens: 10})).To(MatchError(ErrTooLarge))
		events := drain(m)
		Expect(eventsOf(events, Token, "b")[0].At).To(BeTemporally(">", eventsOf(events, Finished, "a")[0].At))
	})

	It("rejects new jobs while leaving, and finishes submitted ones", func() {
		m := New(Newer())
		Expect(m.Submit(start, Job{ID: "a", PromptTokens: 8, MaxTokens: 2})).To(Succeed())
		m.SetLeaving(true)
		Expect(m.Submit(start, Job{ID: "b", PromptTokens: 8, MaxTokens: 2})).To(MatchError(ErrLeaving))
		Expect(eventsOf(drain(m), Finished, "a")).To(HaveLen(1))
	})
})

var _ = Describe("prefix cache", func() {
	const block = request.PrefixBlockTokens

	run := func(m *Model, id string, hashes []uint64, prompt int) []Event {
		Expect(m.Submit(start, Job{ID: id, PromptTokens: prompt, MaxTokens: 1, Prefixes: hashes})).To(Succeed())
		return drain(m)
	}

	It("avoids recomputing leading blocks", func() {
		m := New(Newer())
		cold := run(m, "cold", prefixes(1, 3), 3*block+10)
		Expect(eventsOf(cold, Finished, "cold")[0].Usage).To(Equal(Usage{Prompt: 394, ComputedPrompt: 394, Tokens: 1}))
		Expect(eventsOf(cold, CacheAdded, "")).To(HaveLen(3))
		warm := run(m, "warm", append(prefixes(1, 2), 99), 3*block)
		Expect(eventsOf(warm, Token, "warm")[0].Cached).To(Equal(2 * block))
		Expect(eventsOf(warm, Finished, "warm")[0].Usage.ComputedPrompt).To(Equal(block))
	})

	It("computes at least one token of a fully cached prompt", func() {
		m := New(Newer())
		run(m, "cold", prefixes(1, 2), 2*block)
		warm := run(m, "warm", prefixes(1, 2), 2*block)
		Expect(eventsOf(warm, Finished, "warm")[0].Usage.ComputedPrompt).To(Equal(1))
	})

	It("evicts the least recently used block first and reports it", func() {
		p := Newer()
		p.CacheTokens = 3 * block
		m := New(p)
		run(m, "a", prefixes(1, 2), 2*block)
		run(m, "b", prefixes(2, 1), block)
		run(m, "a again", prefixes(1, 2), 2*block)
		events := run(m, "c", prefixes(3, 1), block)
		Expect(eventsOf(events, CacheDropped, "")).To(HaveLen(1))
		Expect(eventsOf(events, CacheDropped, "")[0].Hash).To(Equal(prefixes(2, 1)[0]))
	})

	It("keeps a prefix longer than the prefixes that extend it", func() {
		for _, again := range []bool{false, true} {
			p := Newer()
			p.CacheTokens = 3 * block
			m := New(p)
			run(m, "a", prefixes(1, 2), 2*block+1)
			if again {
				run(m, "a again", prefixes(1, 2), 2*block+1)
			}
			run(m, "b", prefixes(2, 1), block)
			events := run(m, "c", prefixes(3, 1), block)
			Expect(eventsOf(events, CacheDropped, "")[0].Hash).To(Equal(prefixes(1, 2)[1]))
		}
	})
})

var _ = Describe("losing work", func() {
	// The caller disconnects and its stream is cancelled while the second prompt
	// chunk is being computed. Both chunks must be reported as computed, and the
	// concurrent stream must not be affected.
	It("reports the usage of a cancelled stream", func() {
		m := New(Newer())
		Expect(m.Submit(start, Job{ID: "a", PromptTokens: 2000, MaxTokens: 5})).To(Succeed())
		Expect(m.Submit(start, Job{ID: "b", PromptTokens: 8, MaxTokens: 5})).To(Succeed())
		next, _ := m.Next()
		m.Advance(next)
		usage, held := m.Cancel(next.Add(ms), "a")
		Expect(held).To(BeTrue())
		Expect(usage).To(Equal(Usage{Prompt: 2000, ComputedPrompt: 1024}))
		_, held = m.Cancel(next.Add(ms), "a")
		Expect(held).To(BeFalse())
		events := drain(m)
		Expect(eventsOf(events, Token, "a")).To(BeEmpty())
		Expect(eventsOf(events, Token, "b")).To(HaveLen(5))
		Expect(m.Load()).To(Equal(Load{}))
	})

	// The engine crashes with one stream partly computed and one waiting. All
	// computed tokens are lost, also from the prefix cache, so that the same
	// prompt is computed in full again.
	It("loses all jobs and the cache in a crash", func() {
		p := Newer()
		p.MaxBatch = 1
		m := New(p)
		hashes := prefixes(1, 8)
		Expect(m.Submit(start, Job{ID: "a", PromptTokens: 1024, MaxTokens: 5, Prefixes: hashes})).To(Succeed())
		Expect(m.Submit(start, Job{ID: "b", PromptTokens: 8, MaxTokens: 5})).To(Succeed())
		next, _ := m.Next()
		m.Advance(next)
		Expect(m.Reset()).To(Equal([]Lost{
			{ID: "a", Usage: Usage{Prompt: 1024, ComputedPrompt: 1024}},
			{ID: "b", Usage: Usage{Prompt: 8}},
		}))
		_, stepping := m.Next()
		Expect(stepping).To(BeFalse())
		Expect(m.Submit(next, Job{ID: "a", PromptTokens: 1024, MaxTokens: 1, Prefixes: hashes})).To(Succeed())
		Expect(eventsOf(drain(m), Finished, "a")[0].Usage.Cached).To(BeZero())
	})

	It("continues from an imported KV cache without computing the prompt", func() {
		m := New(Newer())
		job := Job{ID: "a", PromptTokens: 1000, MaxTokens: 5, ImportedPromptTokens: 1000, FirstIndex: 3}
		Expect(m.Submit(start, job)).To(Succeed())
		events := drain(m)
		Expect(eventsOf(events, Token, "a")).To(HaveLen(2))
		Expect(eventsOf(events, Token, "a")[0].Index).To(Equal(3))
		Expect(eventsOf(events, Finished, "a")[0].Usage).To(Equal(Usage{Prompt: 1000, Cached: 1000, Tokens: 5}))
	})
})

var _ = Describe("any order of jobs", func() {
	It("generates all tokens of every job within the bounds, and is deterministic", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			p := Newer()
			p.MaxBatch = rapid.IntRange(1, 4).Draw(t, "batch")
			p.KVTokens = 3000
			p.CacheTokens = 4 * request.PrefixBlockTokens
			first, second := New(p), New(p)
			taken := make(map[string]Job)
			var events []Event
			now := start
			for i := range rapid.IntRange(1, 20).Draw(t, "jobs") {
				now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * ms)
				got := first.Advance(now)
				if again := second.Advance(now); fmt.Sprint(got) != fmt.Sprint(again) {
					t.Fatalf("events differ: %v, %v", got, again)
				}
				events = append(events, got...)
				job := drawJob(t, i)
				errFirst, errSecond := first.Submit(now, job), second.Submit(now, job)
				if (errFirst == nil) != (errSecond == nil) {
					t.Fatalf("answers differ: %v, %v", errFirst, errSecond)
				}
				if errFirst == nil {
					taken[job.ID] = job
				}
				if first.Load().Running > p.MaxBatch || first.Load().KVTokens > p.KVTokens {
					t.Fatalf("over the bounds: %+v", first.Load())
				}
			}
			checkComplete(t, append(events, drain(first)...), taken)
		})
	})
})

func drawJob(t *rapid.T, i int) Job {
	blocks := rapid.IntRange(0, 6).Draw(t, "blocks")
	return Job{
		ID:           fmt.Sprint("job", i),
		PromptTokens: blocks*request.PrefixBlockTokens + rapid.IntRange(1, 100).Draw(t, "rest"),
		MaxTokens:    rapid.IntRange(1, 20).Draw(t, "max"),
		Prefixes:     prefixes(rapid.Uint64Range(1, 2).Draw(t, "family"), blocks),
	}
}

func checkComplete(t *rapid.T, events []Event, taken map[string]Job) {
	tokens := make(map[string]int)
	finished := 0
	for _, e := range events {
		switch e.Kind {
		case Token:
			if e.Index != tokens[e.ID] {
				t.Fatalf("%s: token %d after %d tokens", e.ID, e.Index, tokens[e.ID])
			}
			tokens[e.ID]++
		case Finished:
			finished++
			job := taken[e.ID]
			if tokens[e.ID] != job.MaxTokens || e.Usage.Cached+e.Usage.ComputedPrompt != job.PromptTokens {
				t.Fatalf("%+v finished with %+v", job, e.Usage)
			}
		}
	}
	if finished != len(taken) {
		t.Fatalf("%d of %d finished", finished, len(taken))
	}
}
