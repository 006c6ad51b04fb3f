package scheduler

import (
	"fmt"
	"testing"
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/request"
)

func benchSettings() Settings {
	return Settings{QueuePerTarget: 20000, GrantTime: 300 * time.Millisecond, FloorTime: 500 * time.Millisecond,
		FailureTimeout: time.Second, RefuseEarly: true, Preempt: true, ShortPromptTokens: 512, ShortShare: 0.25,
		PrefillBudget: 1 << 20, RetryMin: 100 * time.Millisecond, RetryMax: 10 * time.Second, Tiers: 4}
}

func benchmarkDecision(b *testing.B, targets, queued int) {
	now := time.Unix(1000, 0)
	s := New("self", 1, nil)
	s.Configure(now, benchSettings())
	var list []Target
	for i := range targets {
		list = append(list, Target{Name: fmt.Sprintf("t%03d", i), Pool: "p", MaxInFlight: 32, PrefillRate: 8000, StepTime: 20 * time.Millisecond})
	}
	s.SetTargets(now, list)
	now = now.Add(2 * time.Second)
	s.Tick(now)
	seq := 0
	next := func(target int) message.Offer {
		seq++
		return message.Offer{Seq: uint64(seq), ID: ident.RequestID(fmt.Sprintf("r.%d", seq)), Target: list[target].Name,
			Organisation: fmt.Sprintf("org%d", seq%50), Tier: request.Tier(seq % 4), PromptTokens: 100 + seq%2000, MaxTokens: 200,
			Idempotent: true, Remaining: time.Hour + time.Duration(seq%1000)*time.Millisecond}
	}
	type running struct {
		id     ident.RequestID
		target string
	}
	var runs []running
	note := func(effects []Effect) {
		for _, e := range effects {
			if g, ok := e.Message.(message.Grant); ok {
				runs = append(runs, running{id: g.ID, target: g.Target})
			}
		}
	}
	for i := range targets*32 + queued {
		note(s.Offer(now, "self", next(i%targets)))
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		note(s.Offer(now, "self", next(i%targets)))
		r := runs[0]
		runs = runs[1:]
		note(s.Done(now, "self", message.Done{ID: r.id, Target: r.target, Result: message.ResultComplete}))
	}
}

// BenchmarkDecision measures one decision: an offer arrives, a run ends, and the
// slot that becomes free is granted.
func BenchmarkDecision(b *testing.B) {
	for _, targets := range []int{1, 10, 50, 200} {
		for _, queued := range []int{0, 100, 1000, 10000} {
			b.Run(fmt.Sprintf("targets=%d/queued=%d", targets, queued), func(b *testing.B) {
				benchmarkDecision(b, targets, queued)
			})
		}
	}
}

// BenchmarkRefusal measures a refusal for load while a floor is in force.
func BenchmarkRefusal(b *testing.B) {
	now := time.Unix(1000, 0)
	s := New("self", 1, nil)
	set := benchSettings()
	set.QueuePerTarget = 64
	s.Configure(now, set)
	s.SetTargets(now, []Target{{Name: "t", Pool: "p", MaxInFlight: 32, PrefillRate: 8000, StepTime: 20 * time.Millisecond}})
	now = now.Add(2 * time.Second)
	offer := func(i int) message.Offer {
		return message.Offer{Seq: 1, ID: ident.RequestID(fmt.Sprintf("r.%d", i)), Target: "t", Organisation: "x",
			PromptTokens: 100, MaxTokens: 200, Remaining: time.Hour, Final: true}
	}
	for i := range 32 + 64 {
		s.Offer(now, "self", offer(i))
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		effects := s.Offer(now, "self", offer(100+i))
		if r, ok := effects[0].Message.(message.Refuse); !ok || !r.PoolWide {
			b.Fatal(effects)
		}
	}
}

// BenchmarkTick measures a tick without any activity.
func BenchmarkTick(b *testing.B) {
	for _, targets := range []int{1, 10, 50, 200} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			now := time.Unix(1000, 0)
			s := New("self", 1, nil)
			s.Configure(now, benchSettings())
			var list []Target
			for i := range targets {
				list = append(list, Target{Name: fmt.Sprintf("t%03d", i), Pool: "p", MaxInFlight: 32, PrefillRate: 8000, StepTime: 20 * time.Millisecond})
			}
			s.SetTargets(now, list)
			b.ResetTimer()
			for range b.N {
				now = now.Add(20 * time.Millisecond)
				s.Tick(now)
			}
		})
	}
}
