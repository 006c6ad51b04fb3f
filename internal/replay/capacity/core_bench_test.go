package capacity

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/placement"
	"sycamoretrail/internal/core/record"
	"sycamoretrail/internal/core/request"
)

// These benchmarks run the real core of one entry at sizes that processes on one
// machine cannot reach. Peers are simulated: they send heartbeats at their interval,
// echo ours, and grant and report as a correct entry does.

const (
	benchTick = 10 * time.Millisecond
	// Sizes that are expected in two years.
	fullMembers, fullTargets, fullOrganisations = 410, 1800, 38_000
	fullZones, fullModels                       = 11, 7
)

var benchStart = time.Unix(1_700_000_000, 0)

// world is the core of one entry and its simulated environment.
type world struct {
	b       *testing.B
	e       *entry.Entry
	doc     *document.Document
	data    []byte
	now     time.Time
	members []message.Member
	plan    *placement.Plan
	peers   []peerState
	byPeer  map[ident.Incarnation]int
	version int64
	out     []entry.Output
	prefix  ident.Prefix
	entries int
}

type peerState struct {
	member message.Member
	due    time.Time
	heard  uint64
	beats  int
	beat   message.Heartbeat
}

func benchMember(i int) message.Member {
	return message.Member{
		Name: fmt.Sprintf("entry-%03d", i), Incarnation: ident.NewIncarnation(uint64(i+1)<<20, benchStart.Unix()),
		Zone: fmt.Sprintf("zone-%02d", i%fullZones), PeerAddress: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
		CallerAddress: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
	}
}

func newWorld(b *testing.B, members, targets, organisations int) *world {
	b.Helper()
	doc, err := Generate("bench", Size{
		Targets: max(targets, fullModels), Services: 2, Organisations: organisations, Models: fullModels, Zones: fullZones,
	})
	if err != nil {
		b.Fatal(err)
	}
	w := &world{b: b, doc: doc, now: benchStart, plan: placement.NewPlan(), byPeer: map[ident.Incarnation]int{}}
	if w.data, err = document.Encode(doc); err != nil {
		b.Fatal(err)
	}
	for i := range members {
		w.members = append(w.members, benchMember(i))
	}
	w.e = entry.New(entry.Config{Self: w.members[0], Seed: 1}, w.now)
	w.step(entry.Tick{})
	w.publish()
	w.join()
	// This is long enough for two heartbeats of each peer and for all takeovers.
	w.run(20 * time.Second)
	if w.entries != members {
		b.Fatalf("%d of %d members are live", w.entries, members)
	}
	return w
}

// publish writes the next document to the log, which answers at once.
func (w *world) publish() {
	w.version++
	data, err := record.Encode(record.Record{Document: &record.Document{Data: w.data}})
	if err != nil {
		w.b.Fatal(err)
	}
	w.step(entry.LogRecord{Stream: record.StreamDocuments, Offset: w.version, Data: data})
	for _, stream := range []record.Stream{record.StreamDocuments, record.StreamOrders, record.StreamQuarantines} {
		w.step(entry.LogCaughtUp{Stream: stream, Offset: w.version + 1, Since: w.now})
	}
}

func (w *world) join() {
	w.plan.SetMembers(w.members)
	targets := make([]placement.Target, len(w.doc.Targets))
	for i := range w.doc.Targets {
		targets[i] = placement.Target{Name: w.doc.Targets[i].Name, Zone: w.doc.Targets[i].Zone}
	}
	w.plan.SetTargets(targets)
	for i, m := range w.members[1:] {
		w.byPeer[m.Incarnation] = i
		w.peers = append(w.peers, peerState{member: m, due: w.now.Add(time.Duration(i) * 7 * time.Millisecond)})
		w.step(entry.PeerUp{Member: m})
	}
	for i := range w.doc.Targets {
		t := &w.doc.Targets[i]
		if at, known := w.byPeer[w.plan.Scheduler(t.Name)]; known {
			p := &w.peers[at]
			p.beat.Digests = append(p.beat.Digests, benchDigest(t.Name))
		}
	}
}

func benchDigest(name string) message.Digest {
	return message.Digest{
		Target: name, Limit: 32, InFlight: 20, QueuedPrefill: 4000, PrefillRate: 8123.4,
		StepTime: 21 * time.Millisecond, Available: true, LowestTier: 2,
	}
}

// interval returns the heartbeat interval of peers at this number of members.
func (w *world) interval() time.Duration {
	scale := (len(w.members) + 23) / 24
	return document.Milliseconds(w.doc.Timing.HeartbeatMS) * time.Duration(scale)
}

// step passes one input to the core and updates the peers from its outputs.
func (w *world) step(in entry.Input) {
	out := w.e.Step(w.now, in)
	w.out = append(w.out[:0], out...)
	for _, o := range w.out {
		switch o := o.(type) {
		case entry.Send:
			if beat, is := o.Message.(message.Heartbeat); is {
				if at, known := w.byPeer[o.To]; known {
					w.peers[at].heard = beat.Seq
				}
			}
		case entry.Publish:
			w.prefix = o.View.Prefix
			w.entries = len(o.View.Entries)
		}
	}
}

// run advances the time with ticks and the heartbeats of all peers.
func (w *world) run(d time.Duration) {
	interval := w.interval()
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(benchTick)
		w.step(entry.Tick{})
		for i := range w.peers {
			if p := &w.peers[i]; !w.now.Before(p.due) {
				p.due = w.now.Add(interval)
				w.step(entry.FromPeer{From: p.member.Incarnation, Message: w.beatOf(p)})
			}
		}
	}
}

func (w *world) beatOf(p *peerState) message.Heartbeat {
	beat := p.beat
	beat.Seq = uint64(w.now.Sub(benchStart).Milliseconds()) + 1
	beat.Echo = p.heard
	beat.State = message.Ready
	beat.ConfigVersion = w.version
	beat.InFlight = 50
	p.beats++
	if p.member.Zone != w.members[0].Zone && p.beats%8 != 1 {
		beat.Digests = nil
	}
	return beat
}

func heapInUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkIdle measures one second of the core without requests, at x members with
// their share of the targets. It also reports the heap in use afterwards.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{6, 12, 24, 48, 96, 205, fullMembers} {
		b.Run(fmt.Sprintf("x=%d", n), func(b *testing.B) {
			benchmarkIdle(b, n, fullTargets*n/fullMembers, 5)
		})
	}
}

// BenchmarkTargets is like BenchmarkIdle with 12 members and x targets.
func BenchmarkTargets(b *testing.B) {
	for _, n := range []int{12, 48, 192, 768, fullTargets} {
		b.Run(fmt.Sprintf("x=%d", n), func(b *testing.B) { benchmarkIdle(b, 12, n, 5) })
	}
}

// BenchmarkOrganisations is like BenchmarkIdle with 12 members and x organisations.
func BenchmarkOrganisations(b *testing.B) {
	for _, n := range []int{5, 1000, 10_000, fullOrganisations} {
		b.Run(fmt.Sprintf("x=%d", n), func(b *testing.B) { benchmarkIdle(b, 12, 53, n) })
	}
}

func benchmarkIdle(b *testing.B, members, targets, organisations int) {
	before := heapInUse()
	w := newWorld(b, members, targets, organisations)
	for b.Loop() {
		w.run(time.Second)
	}
	held := heapInUse() - before
	runtime.KeepAlive(w)
	b.ReportMetric(held/1e6, "MB-held")
}

// BenchmarkChange measures the acceptance of one document by the core, from the
// record to the new view. The core makes no other decisions in this time.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{5, 1000, 10_000, fullOrganisations} {
		b.Run(fmt.Sprintf("x=%d", n), func(b *testing.B) { benchmarkChange(b, 12, 53, n) })
	}
}

// BenchmarkChangeTargets is like BenchmarkChange with 410 members and x targets.
func BenchmarkChangeTargets(b *testing.B) {
	for _, n := range []int{53, 450, fullTargets} {
		b.Run(fmt.Sprintf("x=%d", n), func(b *testing.B) { benchmarkChange(b, fullMembers, n, 5) })
	}
}

func benchmarkChange(b *testing.B, members, targets, organisations int) {
	w := newWorld(b, members, targets, organisations)
	i := 0
	for b.Loop() {
		b.StopTimer()
		i++
		w.doc.ID, w.doc.Base = fmt.Sprint("change-", i), w.version
		var err error
		if w.data, err = document.Encode(w.doc); err != nil {
			b.Fatal(err)
		}
		w.now = w.now.Add(benchTick)
		b.StartTimer()
		w.publish()
	}
	if got := w.e.Status().Version; got != w.version {
		b.Fatalf("version %d is in force, not %d", got, w.version)
	}
	b.ReportMetric(float64(len(w.data)), "B/document")
}

// BenchmarkRequest measures the cost of one request for the core of its owner, from
// its arrival to the end of its run, with a grant by a peer or by itself.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []struct{ members, targets, organisations int }{
		{6, 26, 5}, {48, 210, 5}, {fullMembers, fullTargets, 5}, {fullMembers, fullTargets, fullOrganisations},
	} {
		b.Run(fmt.Sprintf("members=%d/targets=%d/organisations=%d", size.members, size.targets, size.organisations), func(b *testing.B) {
			w := newWorld(b, size.members, size.targets, size.organisations)
			runs, i := 0, 0
			b.ResetTimer()
			for range b.N {
				runs += w.request(i)
				i++
				if i%50 == 0 {
					b.StopTimer()
					w.run(time.Second)
					b.StartTimer()
				}
			}
			if runs != b.N {
				b.Fatalf("%d of %d requests ran", runs, b.N)
			}
		})
	}
}

// request processes one request from arrival to end and returns its number of runs.
func (w *world) request(i int) int {
	id := w.prefix.ID(fmt.Sprintf("%024d", i))
	org := OrganisationName(i % len(w.doc.Organisations))
	model := w.doc.Organisations[i%len(w.doc.Organisations)].Models[0]
	runs := 0
	act := func(in entry.Input) { w.step(in) }
	act(entry.Submit{Request: request.Request{
		ID: id, Organisation: org, Tier: 0, Kind: request.Engine, Model: model, Pool: model,
		PromptTokens: 400, MaxTokens: 225, Idempotent: true, Fingerprint: request.Fingerprint(i),
		Arrived: w.now, Deadline: w.now.Add(60 * time.Second), FirstTokenBy: w.now.Add(5 * time.Second),
	}})
	for range 8 {
		var next entry.Input
		for _, o := range w.out {
			switch o := o.(type) {
			case entry.Send:
				if offer, is := o.Message.(message.Offer); is {
					next = entry.FromPeer{From: o.To, Message: message.Grant{
						OfferSeq: offer.Seq, ID: offer.ID, Target: offer.Target, Valid: 400 * time.Millisecond,
					}}
				}
			case entry.Dispatch:
				runs++
				act(entry.RunProgress{ID: id, Tokens: 1})
				act(entry.RunEnded{ID: id, Result: message.ResultComplete, Wrote: true, Sample: message.Sample{
					PromptTokens: 400, FirstToken: 200 * time.Millisecond, Tokens: 225, StepTime: 21 * time.Millisecond, Batch: 20,
				}})
				return runs
			}
		}
		if next == nil {
			return runs
		}
		act(next)
	}
	return runs
}

// BenchmarkReplaced measures the replacement of one member: its process ends and
// another one starts under its name. It also reports the messages that one entry
// sends because of this.
func BenchmarkReplaced(b *testing.B) {
	for _, n := range []int{6, 12, 24, 48, 96, 205, fullMembers} {
		b.Run(fmt.Sprintf("x=%d", n), func(b *testing.B) {
			w := newWorld(b, n, fullTargets*n/fullMembers, 5)
			sent, i := 0, 0
			act := func(in entry.Input) {
				w.step(in)
				for _, o := range w.out {
					if s, is := o.(entry.Send); is {
						if _, beat := s.Message.(message.Heartbeat); !beat {
							sent++
						}
					}
				}
			}
			for b.Loop() {
				p := &w.peers[i%len(w.peers)]
				i++
				delete(w.byPeer, p.member.Incarnation)
				act(entry.PeerDown{Incarnation: p.member.Incarnation, Refused: true})
				w.now = w.now.Add(2 * benchTick)
				act(entry.Tick{})
				p.member.Incarnation = ident.NewIncarnation(uint64(i)<<40, benchStart.Unix())
				w.byPeer[p.member.Incarnation] = (i - 1) % len(w.peers)
				p.heard = 0
				act(entry.PeerUp{Member: p.member})
				w.now = w.now.Add(2 * benchTick)
				act(entry.Tick{})
				act(entry.FromPeer{From: p.member.Incarnation, Message: w.beatOf(p)})
				w.now = w.now.Add(2 * benchTick)
				act(entry.Tick{})
			}
			b.ReportMetric(float64(sent)/float64(i), "messages")
		})
	}
}
