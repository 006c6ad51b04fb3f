package virtual

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/replay/report"
	"sycamoretrail/internal/replay/trace"
)

func TestVirtual(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "virtual replay")
}

// fault is a defect of the fake core.
type fault uint8

const (
	faultless fault = iota
	dispatchesTwice
	refusesFalsely
	refusesHigherTiers
	neverSettles
)

// fakeCore is a fake core without any guarantees. It dispatches each request to the
// next target of its pool and settles runs that fail.
type fakeCore struct {
	self  message.Member
	fault fault
	peers []message.Member
	view  *entry.View
	turn  int
	known map[ident.RequestID]request.Request
	out   []entry.Output
}

func (d *fakeCore) Step(now time.Time, in entry.Input) []entry.Output {
	d.out = nil
	switch i := in.(type) {
	case entry.Tick:
		d.publish()
	case entry.PeerUp:
		d.peers = append(d.peers, i.Member)
		d.view = nil
	case entry.Submit:
		d.submit(i.Request)
	case entry.RunEnded:
		d.ended(i)
	}
	return d.out
}

func (d *fakeCore) publish() {
	if d.view != nil {
		return
	}
	d.view = &entry.View{
		State: message.Ready, Version: 1, Document: testDocument(), Prefix: ident.PrefixFor(d.self.Incarnation, 0),
		Entries: append([]message.Member{d.self}, d.peers...), GoodFor: time.Second,
	}
	d.out = append(d.out, entry.Publish{View: d.view})
}

func (d *fakeCore) submit(r request.Request) {
	if _, again := d.known[r.ID]; again {
		d.out = append(d.out, entry.Join{ID: r.ID})
		return
	}
	if d.fault == neverSettles && strings.HasSuffix(string(r.ID), "7") {
		return
	}
	owner, err := ident.Parse(r.ID)
	if err != nil || owner.Owner != d.self.Incarnation {
		d.out = append(d.out, entry.Settle{ID: r.ID, Status: outcome.Undetermined(outcome.ReasonOwnerUnreachable, "")})
		return
	}
	d.known[r.ID] = r
	d.turn++
	if d.fault == refusesHigherTiers && r.Tier == 0 && d.turn > 20 {
		d.out = append(d.out, entry.Settle{ID: r.ID, Status: outcome.Refused(outcome.ReasonOverload, time.Second, "")})
		return
	}
	d.dispatch(r, d.turn)
	if d.fault == dispatchesTwice && d.turn%5 == 0 {
		d.dispatch(r, d.turn+1)
	}
	if d.fault == refusesFalsely && d.turn%5 == 0 {
		d.out = append(d.out, entry.Settle{ID: r.ID, Status: outcome.Refused(outcome.ReasonTargetFailed, 0, "")})
	}
}

func (d *fakeCore) dispatch(r request.Request, turn int) {
	var able []document.Target
	for _, t := range testDocument().Targets {
		if t.Pool == r.Pool {
			able = append(able, t)
		}
	}
	t := able[turn%len(able)]
	d.out = append(d.out, entry.Dispatch{ID: r.ID, Target: t.Name, Address: t.Address, Kind: r.Kind, Deadline: r.Deadline})
}

func (d *fakeCore) ended(i entry.RunEnded) {
	switch i.Result {
	case message.ResultNotAdmitted, message.ResultLeaving:
		d.turn++
		d.dispatch(d.known[i.ID], d.turn)
	case message.ResultAborted, message.ResultCancelled:
		d.out = append(d.out, entry.Settle{ID: i.ID, Status: outcome.Partial(outcome.ReasonTargetFailed, "")})
	}
}

func testDocument() *document.Document {
	data, err := os.ReadFile("../testdata/document.json")
	Expect(err).NotTo(HaveOccurred())
	doc := &document.Document{}
	Expect(json.Unmarshal(data, doc)).To(Succeed())
	return doc
}

func options(f fault, load float64, faults ...Fault) Options {
	doc := testDocument()
	t, err := trace.Generate(doc, trace.Options{Deployment: trace.Tanglaw, Seed: 7, Load: load, Seconds: 8, Scenario: trace.Typical})
	Expect(err).NotTo(HaveOccurred())
	return Options{
		Trace: t, Document: doc, Policy: entry.PolicyIndependent, Entries: 3, Seed: 5, Faults: faults,
		NewCore: func(cfg entry.Config, _ time.Time) Core {
			return &fakeCore{self: cfg.Self, fault: f, known: map[ident.RequestID]request.Request{}}
		},
	}
}

func replayed(o Options) *report.Report {
	in, err := Run(o)
	Expect(err).NotTo(HaveOccurred())
	return report.Compute(in)
}

var _ = Describe("the virtual replay", func() {
	It("gives complete answers at 0.4 of capacity without faults", func() {
		r := replayed(options(faultless, 0.4))
		Expect(r.Requests).To(BeNumerically(">", 100))
		Expect(r.Unanswered).To(BeZero())
		Expect(r.IncompleteAnswers).To(BeZero())
		Expect(r.DispatchedTwice).To(BeZero())
		Expect(r.FalseNotRun).To(BeZero())
		Expect(r.TierInversions).To(BeZero())
		Expect(r.Goodput["rider"]).To(BeNumerically(">", 0.95))
		Expect(r.InterToken["rider"].P50).To(BeNumerically(">", 5))
		Expect(r.PrefillTokens).To(BeNumerically(">", 10000))
	})

	It("gives the same report byte for byte, and a different one for another seed", func() {
		faults := []Fault{{AtMS: 1000, ForMS: 1000, Kind: EntryKill, Entry: 1}, {AtMS: 2000, ForMS: 500, Kind: EntryPause, Entry: 2}}
		first, err := replayed(options(faultless, 1.2, faults...)).Bytes()
		Expect(err).NotTo(HaveOccurred())
		again, err := replayed(options(faultless, 1.2, faults...)).Bytes()
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(first))
		other := options(faultless, 1.2, faults...)
		other.Seed++
		differs, err := replayed(other).Bytes()
		Expect(err).NotTo(HaveOccurred())
		Expect(differs).NotTo(Equal(first))
	})

	// An entry ends while it streams answers. The connections of its callers break,
	// and with the stream token they attach at another entry from the next chunk.
	It("lets callers of a killed entry attach at another entry", func() {
		r := replayed(options(faultless, 0.4, Fault{AtMS: 3000, ForMS: 2000, Kind: EntryKill, Entry: 0}))
		Expect(r.Resent).To(BeNumerically(">", 0))
		Expect(r.Unanswered).To(BeZero())
		Expect(r.IncompleteAnswers).To(BeZero())
		Expect(r.Goodput["rider"]).To(BeNumerically(">", 0.8))
	})

	// A target crashes. Its runs end as broken, their callers receive "ran in part",
	// and their prefill counts as wasted.
	It("reports the crash of a target as broken runs and wasted prefill", func() {
		zero := 0
		r := replayed(options(faultless, 1.5, Fault{AtMS: 3000, ForMS: 2000, Kind: TargetCrash, Engine: &zero}))
		Expect(r.RanInPart).To(BeNumerically(">", 0))
		Expect(r.WastedPrefillTokens).To(BeNumerically(">", 0))
	})

	// A request crashes each engine that runs it, and its caller sends it again.
	It("resends a crashing request, which crashes a target each time", func() {
		r := replayed(options(faultless, 0.2, Fault{AtMS: 2000, Kind: CrashingRequest}))
		Expect(r.RanInPart).To(BeNumerically(">=", crashRetries))
	})

	DescribeTable("detects a defective core",
		func(f fault, figure func(*report.Report) int) {
			Expect(figure(replayed(options(f, 0.6)))).To(BeNumerically(">", 0))
			Expect(figure(replayed(options(faultless, 0.6)))).To(BeZero())
		},
		Entry("a request dispatched twice", dispatchesTwice, func(r *report.Report) int { return r.DispatchedTwice }),
		Entry("a non-idempotent call that ran twice", dispatchesTwice, func(r *report.Report) int { return r.NonIdempotentRanTwice }),
		Entry("a false \"not run\"", refusesFalsely, func(r *report.Report) int { return r.FalseNotRun }),
		Entry("a higher tier refused while a lower one is served", refusesHigherTiers, func(r *report.Report) int { return r.TierInversions }),
		Entry("no final outcome", neverSettles, func(r *report.Report) int { return r.Unanswered }),
	)

	It("injects each kind of fault", func() {
		one := 1
		var faults []Fault
		for i, kind := range []FaultKind{TargetCrash, TargetStraggle, TargetLeave, LogDown, LogSlow, LogLose, ListLag,
			EntryKill, EntryPause, PeerCut, PeerCutOneWay, CrashingRequest} {
			faults = append(faults, Fault{AtMS: int64(500 * i), ForMS: 1500, Kind: kind, Engine: &one, Entry: 1, Other: 2, Factor: 5, SlowMS: 300})
		}
		r := replayed(options(faultless, 0.5, faults...))
		Expect(r.Unanswered).To(BeZero())
		_, err := Run(options(faultless, 0.5, Fault{Kind: "quake"}))
		Expect(err).To(MatchError(ErrFault))
	})
})

// follower is a core that follows one stream and appends to it.
type follower struct {
	started bool
	got     []entry.Input
}

func (f *follower) Step(_ time.Time, in entry.Input) []entry.Output {
	switch in.(type) {
	case entry.LogRecord, entry.LogCaughtUp, entry.LogAppended, entry.LogDown:
		f.got = append(f.got, in)
	}
	if f.started {
		return nil
	}
	f.started = true
	return []entry.Output{
		entry.Follow{Stream: "claims-1", Back: time.Hour},
		entry.Append{Tag: 9, Stream: "claims-1", Data: []byte("x")},
	}
}

var _ = Describe("the log", func() {
	run := func(faults ...Fault) []entry.Input {
		core := &follower{}
		o := options(faultless, 0.1, faults...)
		o.Entries = 1
		o.NewCore = func(entry.Config, time.Time) Core { return core }
		_, err := Run(o)
		Expect(err).NotTo(HaveOccurred())
		return core.got
	}

	It("delivers a record once, answers its append, and reports when a reader has caught up", func() {
		got := run()
		records, appended := 0, 0
		for _, in := range got {
			switch i := in.(type) {
			case entry.LogRecord:
				records++
				Expect(i.Offset).To(Equal(int64(1)))
			case entry.LogAppended:
				appended++
				Expect(i).To(Equal(entry.LogAppended{Tag: 9, Offset: 1}))
			}
		}
		Expect(records).To(Equal(1))
		Expect(appended).To(Equal(1))
		Expect(got[len(got)-1]).To(BeAssignableToTypeOf(entry.LogCaughtUp{}))
	})

	// The log is unavailable from the start. The append fails, the reader receives
	// LogDown, and after the outage it reads the complete stream.
	It("reports an outage to readers and continues after it", func() {
		got := run(Fault{AtMS: -5000, ForMS: 4000, Kind: LogDown})
		Expect(got).To(ContainElement(entry.LogDown{Stream: "claims-1"}))
		Expect(got).To(ContainElement(entry.LogAppended{Tag: 9, Offset: -1, Failed: true}))
		Expect(got[len(got)-1]).To(BeAssignableToTypeOf(entry.LogCaughtUp{}))
	})

	// The append takes effect and its answer is lost, so that the result is neither a
	// failure nor an offset.
	It("loses the answer of an append and keeps its effect", func() {
		got := run(Fault{AtMS: -5000, ForMS: 4000, Kind: LogLose})
		Expect(got).To(ContainElement(entry.LogAppended{Tag: 9, Offset: -1}))
		Expect(got).To(ContainElement(BeAssignableToTypeOf(entry.LogRecord{})))
	})
})
