package capacity

import (
	"fmt"
	"testing"
	"time"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/request"
)

// ownTarget returns an engine that the entry under test schedules.
func (w *world) ownTarget() (name, pool string) {
	for i := range w.doc.Targets {
		t := &w.doc.Targets[i]
		if t.Pool != servicePool && w.plan.Scheduler(t.Name) == w.members[0].Incarnation {
			return t.Name, t.Pool
		}
	}
	w.b.Fatal("the entry schedules no engine")
	return "", ""
}

func (w *world) offerTo(target string, i int, tier request.Tier) message.Offer {
	peer := w.peers[i%len(w.peers)].member.Incarnation
	return message.Offer{
		Seq: uint64(i + 1), ID: ident.RequestID(fmt.Sprintf("%s.1.%024d", peer, i)), Target: target,
		Organisation: OrganisationName(i % len(w.doc.Organisations)), Tier: tier, Kind: request.Engine,
		PromptTokens: 400, MaxTokens: 225, Idempotent: true, Fingerprint: request.Fingerprint(i),
		Remaining: 60 * time.Second,
	}
}

// sentOf counts the messages of one type in the last step.
func sentOf[T message.Message](w *world) int {
	n := 0
	for _, o := range w.out {
		if s, is := o.(entry.Send); is {
			if _, match := s.Message.(T); match {
				n++
			}
		}
	}
	return n
}

// BenchmarkScheduled measures the cost of one request of a peer for the core of the
// target's scheduler: offer, grant, two reports, end.
func BenchmarkScheduled(b *testing.B) {
	for _, size := range []struct{ members, targets int }{{6, 26}, {48, 210}, {fullMembers, fullTargets}} {
		b.Run(fmt.Sprintf("members=%d/targets=%d", size.members, size.targets), func(b *testing.B) {
			w := newWorld(b, size.members, size.targets, 5)
			target, _ := w.ownTarget()
			granted := 0
			b.ResetTimer()
			for i := range b.N {
				o := w.offerTo(target, i, 0)
				from := w.peers[i%len(w.peers)].member.Incarnation
				w.step(entry.FromPeer{From: from, Message: o})
				granted += sentOf[message.Grant](w)
				w.step(entry.FromPeer{From: from, Message: message.Running{Runs: []message.Run{{Offer: o}}}})
				w.step(entry.FromPeer{From: from, Message: message.Running{Runs: []message.Run{
					{Offer: o, Tokens: 1, Started: true, Age: 200 * time.Millisecond},
				}}})
				w.step(entry.FromPeer{From: from, Message: message.Done{ID: o.ID, Target: target, Sample: message.Sample{
					PromptTokens: 400, FirstToken: 200 * time.Millisecond, Tokens: 225, StepTime: 21 * time.Millisecond, Batch: 1,
				}}})
				if i%50 == 49 {
					b.StopTimer()
					w.run(time.Second)
					b.StartTimer()
				}
			}
			if granted != b.N {
				b.Fatalf("%d of %d were granted", granted, b.N)
			}
		})
	}
}

// fill offers requests of the highest tier to all targets of a pool that the entry
// schedules, until each refuses. None of their requests can be displaced then.
func (w *world) fill(pool string, next int) int {
	for i := range w.doc.Targets {
		t := &w.doc.Targets[i]
		if t.Pool != pool || w.plan.Scheduler(t.Name) != w.members[0].Incarnation {
			continue
		}
		full := false
		for range 4 * (defaultMaxInFlight + w.doc.Limits.QueuePerTarget) {
			w.step(entry.FromPeer{From: w.peers[next%len(w.peers)].member.Incarnation, Message: w.offerTo(t.Name, next, 0)})
			next++
			if full = sentOf[message.Refuse](w) > 0; full {
				break
			}
		}
		if !full {
			w.b.Fatalf("%s does not fill up", t.Name)
		}
	}
	return next
}

// BenchmarkFloor measures one exchange of the tier floor between a scheduler that
// must refuse and all others, until all replies are processed. It also reports the
// number of requests.
func BenchmarkFloor(b *testing.B) {
	for _, n := range []int{6, 12, 24, 48, 96, 205, fullMembers} {
		b.Run(fmt.Sprintf("x=%d", n), func(b *testing.B) {
			w := newWorld(b, n, fullTargets*n/fullMembers, 5)
			target, pool := w.ownTarget()
			next, asks, exchanges := 0, 0, 0
			var took time.Duration
			for b.Loop() {
				b.StopTimer()
				w.run(3 * time.Second)
				next = w.fill(pool, next)
				o := w.offerTo(target, next, 0)
				o.Final = true
				from := w.peers[next%len(w.peers)].member.Incarnation
				next++
				b.StartTimer()
				began := time.Now()
				w.step(entry.FromPeer{From: from, Message: o})
				type ask struct {
					to  ident.Incarnation
					seq uint64
				}
				var asked []ask
				for _, out := range w.out {
					if s, is := out.(entry.Send); is {
						if f, is := s.Message.(message.FloorRequest); is {
							asked = append(asked, ask{s.To, f.Seq})
						}
					}
				}
				for _, a := range asked {
					w.step(entry.FromPeer{From: a.to, Message: message.FloorReply{Seq: a.seq, Pool: pool, Tier: 0, Valid: time.Second}})
				}
				if len(asked) > 0 {
					asks += len(asked)
					exchanges++
					took += time.Since(began)
				}
			}
			if exchanges == 0 {
				b.Fatal("no exchange began")
			}
			b.ReportMetric(float64(asks)/float64(exchanges), "asks")
			b.ReportMetric(float64(took.Microseconds())/float64(exchanges), "us-exchange")
		})
	}
}

// BenchmarkFloorAsked measures the reply to one request of another scheduler.
func BenchmarkFloorAsked(b *testing.B) {
	for _, n := range []int{6, 48, fullMembers} {
		b.Run(fmt.Sprintf("x=%d", n), func(b *testing.B) {
			w := newWorld(b, n, fullTargets*n/fullMembers, 5)
			_, pool := w.ownTarget()
			replies, i := 0, 0
			for b.Loop() {
				from := w.peers[i%len(w.peers)].member.Incarnation
				w.step(entry.FromPeer{From: from, Message: message.FloorRequest{
					Seq: uint64(i + 1), Pool: pool, Tier: 0, For: time.Second, Need: w.offerTo("elsewhere", i, 0),
				}})
				replies += sentOf[message.FloorReply](w)
				i++
			}
			if replies != i {
				b.Fatalf("%d replies to %d asks", replies, i)
			}
		})
	}
}
