package entry

import (
	"os"
	"reflect"
	"sort"
	"strings"
	"testing"
	"time"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/record"
	"sycamoretrail/internal/core/request"
)

// field describes where one field of the document takes effect: in the core,
// where the value that see returns must change with it, or at an edge, whose
// test is named.
type field struct {
	path   string
	change func(d *document.Document)
	see    func(l *singleEntry) any
	edge   string
}

// singleEntry is an entry without peers, with the outputs that it has emitted.
type singleEntry struct {
	*Entry
	now  time.Time
	outs []Output
}

// newSingleEntry starts an entry whose log holds one document.
func newSingleEntry(d *document.Document) *singleEntry {
	now := time.Unix(1_700_000_000, 0)
	l := &singleEntry{Entry: New(Config{Self: memberOf(0, "inc-1")}, now), now: now}
	l.step(LogRecord{Stream: record.StreamDocuments, Offset: 1, Data: encodedDocument(d)})
	l.step(LogCaughtUp{Stream: record.StreamDocuments, Offset: 2, Since: now})
	l.step(LogCaughtUp{Stream: record.StreamOrders, Offset: 1, Since: now})
	l.pass(2 * time.Second)
	return l
}

func (l *singleEntry) step(in Input) { l.outs = append(l.outs, l.Step(l.now, in)...) }

func (l *singleEntry) pass(d time.Duration) {
	for end := l.now.Add(d); l.now.Before(end); {
		l.now = l.now.Add(20 * time.Millisecond)
		l.step(Tick{})
	}
}

// submit sends n requests for engines and returns the outputs.
func (l *singleEntry) submit(n int, change func(r *request.Request)) []Output {
	l.outs = nil
	for i := range n {
		prefix, _ := l.ids.Prefix(l.now)
		r := request.Request{
			ID: prefix.ID(string(rune('a' + i))), Organisation: "a", Tier: 1, Pool: "engines", Model: "m", PromptTokens: 100, MaxTokens: 50,
			Idempotent: true, Arrived: l.now, Deadline: l.now.Add(time.Second),
		}
		if change != nil {
			change(&r)
		}
		l.step(Submit{Request: r})
	}
	return l.outs
}

// settledReasons returns the reasons with which requests were settled.
func settledReasons(outs []Output) []string {
	var reasons []string
	for _, out := range outs {
		if s, is := out.(Settle); is {
			reasons = append(reasons, string(s.Status.Reason))
		}
	}
	return reasons
}

// dispatched returns the dispatches among the outputs.
func dispatched(outs []Output) []Dispatch {
	var list []Dispatch
	for _, out := range outs {
		if d, is := out.(Dispatch); is {
			list = append(list, d)
		}
	}
	return list
}

// ordered returns the orders to targets after they report another model. It
// waits long enough for the validity of previous holders to expire.
func (l *singleEntry) ordered() []Order {
	l.pass(6 * time.Second)
	for _, t := range l.doc.Targets {
		l.step(TargetState{Target: t.Name, Reachable: true, Model: "none"})
	}
	l.pass(time.Second)
	offset := int64(0)
	for _, out := range l.outs {
		if a, is := out.(Append); is && a.Stream == record.StreamOrders {
			offset++
			l.step(LogRecord{Stream: record.StreamOrders, Offset: offset, Data: a.Data})
		}
	}
	l.pass(time.Second)
	var list []Order
	for _, out := range l.outs {
		if o, is := out.(Order); is {
			list = append(list, o)
		}
	}
	return list
}

func (l *singleEntry) settings() any {
	s := l.schedulerSettings()
	weight := s.Weights("a")
	s.Weights = nil
	return []any{s, weight}
}

func (l *singleEntry) schedulerTargets() any { return l.Entry.scheduler.Inspect(l.now) }

func (l *singleEntry) digests() any { return l.Entry.scheduler.Digests(l.now) }

const callersTests = "../../callers/"

var fields = []field{
	{path: "schema", change: func(d *document.Document) { d.Schema = 9 }, see: func(l *singleEntry) any { return l.version }},
	{path: "id", change: func(d *document.Document) { d.ID = "other" }, see: func(l *singleEntry) any { return l.Status().Document }},
	{path: "base", change: func(d *document.Document) { d.Base = 7 }, see: func(l *singleEntry) any { return l.version }},
	{path: "comment", change: func(d *document.Document) { d.Comment = "x" }, see: func(l *singleEntry) any { return l.doc.Comment }},
	{path: "tiers.name", edge: "refusal_test.go: tier of others"},
	{path: "tiers.first_token_ms", edge: "calls_test.go: has the values of body, header and document"},
	{path: "tiers.deadline_ms", edge: "calls_test.go: has the values of body, header and document"},
	{path: "organisations.name", change: func(d *document.Document) { d.Organisations[0].Name, d.Organisations[0].MaxInFlight = "z", 3 }, see: func(l *singleEntry) any { return l.organisationLimit("z") }},
	{path: "organisations.key_hashes", edge: "refusal_test.go: wrong key"},
	{path: "organisations.tiers", edge: "refusal_test.go: tier of others"},
	{path: "organisations.models", edge: "refusal_test.go: model of others"},
	{path: "organisations.services", edge: "refusal_test.go: unknown service"},
	{path: "organisations.weight", change: func(d *document.Document) { d.Organisations[0].Weight = 3 }, see: (*singleEntry).settings},
	{path: "organisations.max_in_flight", change: func(d *document.Document) { d.Organisations[0].MaxInFlight = 1 }, see: func(l *singleEntry) any { return settledReasons(l.submit(2, nil)) }},
	{path: "pools.name", change: func(d *document.Document) {
		d.Pools[0].Name, d.Targets[0].Pool, d.Targets[1].Pool, d.Models[0].Pool = "p", "p", "p", "p"
	}, see: (*singleEntry).schedulerTargets},
	{path: "models.name", edge: "refusal_test.go: unknown model"},
	{path: "models.pool", change: func(d *document.Document) {
		d.Pools = append(d.Pools, document.Pool{Name: "p2"})
		d.Models[0].Pool = "p2"
	}, see: func(l *singleEntry) any { return len(l.index.Models("engines")) }},
	{path: "models.version", change: func(d *document.Document) { d.Models[0].Version = "v2" }, see: func(l *singleEntry) any { return len(l.ordered()) }},
	{path: "models.adapters", change: func(d *document.Document) { d.Models[0].Version, d.Models[0].Adapters = "v", []string{"x"} }, see: func(l *singleEntry) any { return l.ordered() }},
	{path: "models.context_tokens", edge: "refusal_test.go: prompt beyond the context"},
	{path: "services.name", edge: "refusal_test.go: unknown service"},
	{path: "services.pool", edge: "calls_test.go: receive method, path, query, body and header fields unchanged, and the caller receives their answer unchanged"},
	{path: "services.repeatable", edge: "calls_test.go: POST, marked"},
	{path: "classes.name", change: func(d *document.Document) { d.Classes[0].Name, d.Targets[0].Class, d.Targets[1].Class = "n", "n", "n" }, see: func(l *singleEntry) any { return l.Targets()[0].Class }},
	{path: "classes.kind", change: func(d *document.Document) { d.Targets[0].Class, d.Targets[0].Pool = "service", "desk" }, see: func(l *singleEntry) any { return l.schedulerTarget(&l.doc.Targets[0]).Service }},
	{path: "classes.max_in_flight", change: func(d *document.Document) { d.Classes[0].MaxInFlight = 4 }, see: func(l *singleEntry) any { return len(dispatched(l.submit(6, nil))) }},
	{path: "classes.prefill_rate", change: func(d *document.Document) { d.Classes[0].PrefillRate = 50 }, see: func(l *singleEntry) any { return settledReasons(l.submit(1, nil)) }},
	{path: "classes.step_ms", change: func(d *document.Document) { d.Classes[0].StepMS = 500 }, see: func(l *singleEntry) any { return settledReasons(l.submit(1, nil)) }},
	{path: "classes.checks_fencing", change: func(d *document.Document) { d.Classes[0].ChecksFencing, d.Models[0].Version = true, "v" }, see: func(l *singleEntry) any { return len(l.ordered()) }},
	{path: "classes.exports_kv", edge: ""},
	{path: "targets.name", change: func(d *document.Document) { d.Targets[0].Name = "e9" }, see: (*singleEntry).schedulerTargets},
	{path: "targets.pool", change: func(d *document.Document) { d.Targets[1].Pool, d.Targets[1].Class = "desk", "service" }, see: (*singleEntry).schedulerTargets},
	{path: "targets.class", change: func(d *document.Document) { d.Targets[0].Class, d.Targets[0].Pool = "service", "desk" }, see: (*singleEntry).digests},
	{path: "targets.zone", change: func(d *document.Document) { d.Targets[0].Zone = "z9" }, see: func(l *singleEntry) any { return l.Targets()[0].Zone }},
	{path: "targets.address", change: func(d *document.Document) { d.Targets[0].Address, d.Targets[1].Address = "10.9.9.9:1", "10.9.9.9:2" }, see: func(l *singleEntry) any { return dispatched(l.submit(1, nil))[0].Address }},
	{path: "targets.leaving", change: func(d *document.Document) { d.Targets[0].Leaving, d.Targets[1].Leaving = true, true }, see: func(l *singleEntry) any { return len(dispatched(l.submit(1, nil))) }},
	{path: "limits.body_bytes", edge: "refusal_test.go: oversize body"},
	{path: "limits.header_bytes", edge: "refusal_test.go: oversize header"},
	{path: "limits.connections", edge: "refusal_test.go: connections beyond the limit"},
	{path: "limits.in_flight", change: func(d *document.Document) { d.Limits.InFlight = 1 }, see: func(l *singleEntry) any { return settledReasons(l.submit(2, nil)) }},
	{path: "limits.queue_per_target", change: func(d *document.Document) { d.Limits.QueuePerTarget = 1 }, see: func(l *singleEntry) any { return settledReasons(l.submit(9, longDeadline)) }},
	{path: "limits.remembered_ids", change: func(d *document.Document) { d.Limits.RememberedIDs, d.Limits.InFlight = 1, 1 }, see: func(l *singleEntry) any { return settledReasons(l.submit(2, nil)) }},
	{path: "limits.deadline_ms", change: func(d *document.Document) { d.Limits.DeadlineMS = 9000 }, see: func(l *singleEntry) any { return rememberedAfter(l, 14*time.Second) }},
	{path: "limits.stream_bytes", edge: "calls_test.go: gives the rest at the same entry, from its own memory"},
	{path: "refusal.retry_after_min_ms", change: func(d *document.Document) { d.Refusal.RetryAfterMinMS = 2900 }, see: (*singleEntry).settings},
	{path: "refusal.retry_after_max_ms", change: func(d *document.Document) { d.Refusal.RetryAfterMaxMS = 300 }, see: (*singleEntry).settings},
	{path: "refusal.early", change: func(d *document.Document) { d.Refusal.Early = false }, see: func(l *singleEntry) any { return settledReasons(l.submit(1, infeasible)) }},
	{path: "refusal.preempt", change: func(d *document.Document) { d.Refusal.Preempt = false }, see: (*singleEntry).settings},
	{path: "refusal.floor_ms", change: func(d *document.Document) { d.Refusal.FloorMS = 700 }, see: (*singleEntry).settings},
	{path: "refusal.short_prompt_tokens", change: func(d *document.Document) { d.Refusal.ShortPromptTokens = 9 }, see: (*singleEntry).settings},
	{path: "refusal.short_share", change: func(d *document.Document) { d.Refusal.ShortShare = 0.5 }, see: (*singleEntry).settings},
	{path: "refusal.prefill_budget", change: func(d *document.Document) { d.Refusal.PrefillBudget = 1 }, see: (*singleEntry).settings},
	{path: "shutdown.drain_ms", change: func(d *document.Document) { d.Shutdown.DrainMS = 700 }, see: func(l *singleEntry) any { return overdue(l, time.Second) }},
	{path: "shutdown.entries_ttl_ms", change: func(d *document.Document) { d.Shutdown.EntriesTTLMS = 900 }, see: func(l *singleEntry) any { _, good := l.ids.Prefix(l.now); return good }},
	{path: "timing.heartbeat_ms", change: func(d *document.Document) { d.Timing.HeartbeatMS = 20 }, see: heartbeats},
	{path: "timing.silence_ms", change: func(d *document.Document) { d.Timing.SilenceMS = 900 }, see: func(l *singleEntry) any { return l.members.FailureTimeout() }},
	{path: "timing.grant_ms", change: func(d *document.Document) { d.Timing.GrantMS = 150 }, see: func(l *singleEntry) any { return dispatched(l.submit(1, nil))[0].NotAfter }},
	{path: "timing.claim_horizon_ms", change: func(d *document.Document) { d.Timing.ClaimHorizonMS = 20_000 }, see: followed},
	{path: "timing.retention_ms", change: func(d *document.Document) { d.Timing.RetentionMS = 14_000 }, see: renewals},
}

// infeasible requests more tokens than its deadline allows.
func infeasible(r *request.Request) { r.MaxTokens = 500 }

// longDeadline lets a request wait for a free slot.
func longDeadline(r *request.Request) { r.Deadline = r.Arrived.Add(20 * time.Second) }

// rememberedAfter returns how many ids are remembered d after one was
// submitted.
func rememberedAfter(l *singleEntry, d time.Duration) any {
	l.submit(1, func(r *request.Request) { r.Deadline = l.now })
	l.pass(d)
	return l.ids.Len()
}

// overdue reports whether a drain that is held up is overdue after d.
func overdue(l *singleEntry, d time.Duration) any {
	l.step(OpenAnswers{Open: 1})
	l.step(DrainStart{})
	l.pass(d)
	return l.drain.Report(l.now).Overdue
}

// heartbeats counts the heartbeats to a peer in one second.
func heartbeats(l *singleEntry) any {
	l.step(PeerUp{Member: memberOf(1, ident.Incarnation("inc-2"))})
	l.outs = nil
	l.pass(time.Second)
	n := 0
	for _, out := range l.outs {
		if _, is := out.(Send); is {
			n++
		}
	}
	return n
}

// followed returns how far back the claims streams are read.
func followed(l *singleEntry) any {
	back := map[time.Duration]bool{}
	for _, out := range l.outs {
		if f, is := out.(Follow); is && f.Stream == record.ClaimsStream(0) {
			back[f.Back] = true
		}
	}
	return back
}

// renewals counts the document's renewals in ten seconds.
func renewals(l *singleEntry) any {
	l.outs = nil
	l.pass(10 * time.Second)
	n := 0
	for _, out := range l.outs {
		if a, is := out.(Append); is && a.Stream == record.StreamDocuments {
			n++
		}
	}
	return n
}

// TestEachFieldTakesEffect changes one field of the document at a time. A
// declared value must take effect where the table names it: a field that is
// read once and cached elsewhere would keep its previous value.
func TestEachFieldTakesEffect(t *testing.T) {
	for _, f := range fields {
		t.Run(f.path, func(t *testing.T) {
			switch {
			case f.see != nil:
				changed := testDocument("first", 0)
				f.change(changed)
				before, after := f.see(newSingleEntry(testDocument("first", 0))), f.see(newSingleEntry(changed))
				if reflect.DeepEqual(before, after) {
					t.Errorf("the change has no effect: %v", after)
				}
			case f.edge != "":
				file, title, _ := strings.Cut(f.edge, ": ")
				source, err := os.ReadFile(callersTests + file)
				if err != nil || !strings.Contains(string(source), `"`+title+`"`) {
					t.Errorf("no test %q in %s: %v", title, file, err)
				}
			case f.path != "classes.exports_kv":
				t.Error("the table names neither the core nor an edge")
			}
		})
	}
}

// TestEveryFieldIsInTheTable compares the table with the document's types.
func TestEveryFieldIsInTheTable(t *testing.T) {
	var want, have []string
	leaves(reflect.TypeOf(document.Document{}), "", &want)
	for _, f := range fields {
		have = append(have, f.path)
	}
	sort.Strings(want)
	sort.Strings(have)
	if !reflect.DeepEqual(want, have) {
		t.Errorf("fields of the document:\n%v\nfields of the table:\n%v", want, have)
	}
}

func leaves(typ reflect.Type, prefix string, into *[]string) {
	for i := range typ.NumField() {
		f := typ.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		inner := f.Type
		if inner.Kind() == reflect.Slice {
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct {
			leaves(inner, prefix+name+".", into)
			continue
		}
		*into = append(*into, prefix+name)
	}
}
