package sweep

import (
	"encoding/json"
	"math"
	"os"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/replay/trace"
	"sycamoretrail/internal/replay/virtual"
)

// twoEngines returns a document whose only targets are two engines of one class.
func twoEngines() *document.Document {
	doc := testDocument()
	doc.Targets = []document.Target{{Name: "a", Pool: "engines", Class: "new"}, {Name: "b", Pool: "engines", Class: "new"}}
	return doc
}

// lineWork is the cost of the request below in ms. At one engine it is 80/8000 s of
// prefill, 16 times a 16th of the fixed 8 ms of a step, and 15 times 0.5 ms of its
// own. With two engines it is half of that.
const lineWork = (10 + 8 + 7.5) / 2

func engineLine(tier string, at, firstToken, deadline int64) trace.Line {
	return trace.Line{Organisation: "north", Tier: tier, Kind: trace.Engine, Model: "assistant", PromptTokens: 80, MaxTokens: 16,
		AtMS: at, FirstTokenMS: firstToken, DeadlineMS: deadline}
}

func repeated(n int, line trace.Line, every int64) []trace.Line {
	var lines []trace.Line
	for range n {
		lines = append(lines, line)
		line.AtMS += every
	}
	return lines
}

func ceiling(doc *document.Document, lines []trace.Line, faults ...virtual.Fault) float64 {
	return Bound(doc, &trace.Trace{Lines: lines}, faults).Ceiling["rider"]
}

func exampleDocument(deployment trace.Deployment) *document.Document {
	data, err := os.ReadFile("../../../examples/" + string(deployment) + ".json")
	Expect(err).NotTo(HaveOccurred())
	doc := &document.Document{}
	Expect(json.Unmarshal(data, doc)).To(Succeed())
	return doc
}

var _ = Describe("the bound", func() {
	It("is what fits before the deadlines, by priority of tiers, and for the ceiling without other tiers", func() {
		lines := append(repeated(100, engineLine("rider", 0, 0, 500), 0), repeated(100, engineLine("attendant", 0, 0, 1000), 0)...)
		b := Bound(twoEngines(), &trace.Trace{Header: trace.Header{DurationMS: 2000}, Lines: lines}, nil)
		half, whole := 5/lineWork, 10/lineWork
		Expect(b.Priority["rider"]).To(BeNumerically("~", half, 1e-9))
		Expect(b.Priority["attendant"]).To(BeNumerically("~", whole-half, 1e-9))
		Expect(b.Priority[AllTiers]).To(BeNumerically("~", whole/2, 1e-9))
		Expect(b.Ceiling["rider"]).To(BeNumerically("~", half, 1e-9))
		Expect(b.Ceiling["attendant"]).To(BeNumerically("~", whole, 1e-9))
		Expect(b.Ceiling[AllTiers]).To(BeNumerically("~", whole/2, 1e-9))
		Expect(b.Demand["rider"]).To(BeNumerically("~", 100*lineWork/1000/2, 1e-9))
	})

	It("is lower for bursts: the same requests fit if they arrive evenly, but not at once", func() {
		Expect(ceiling(twoEngines(), repeated(200, engineLine("rider", 0, 0, 500), 25))).To(Equal(1.0))
		Expect(ceiling(twoEngines(), repeated(200, engineLine("rider", 0, 0, 500), 0))).To(BeNumerically("~", 2.5/lineWork, 1e-9))
	})

	// All requests arrive at once, with first tokens due long before the answers. After
	// the first tokens, each engine may have a full batch of 15 steps of 16 ms left.
	It("respects the bound of the first token", func() {
		Expect(ceiling(twoEngines(), repeated(500, engineLine("rider", 0, 0, 4000), 0))).
			To(BeNumerically(">", ceiling(twoEngines(), repeated(500, engineLine("rider", 0, 260, 4000), 0))))
		Expect(ceiling(twoEngines(), repeated(500, engineLine("rider", 0, 260, 4000), 0))).
			To(BeNumerically("~", 0.2*(300+250)/100/lineWork, 1e-9))
	})

	It("is lower under faults that reduce capacity", func() {
		lines := repeated(300, engineLine("rider", 0, 0, 500), 10)
		engine := 0
		for _, f := range []virtual.Fault{
			{Kind: virtual.TargetCrash, Engine: &engine, AtMS: 500, ForMS: 2000},
			{Kind: virtual.TargetStraggle, Engine: &engine, AtMS: 500, ForMS: 2000, Factor: 5},
		} {
			Expect(ceiling(twoEngines(), lines, f)).To(BeNumerically("<", ceiling(twoEngines(), lines)-0.1))
		}
	})

	// One class is fast for prompts, the other for answers. An oracle sends each
	// request to the faster class, so a bound by the mean speed would be too low.
	It("allows each class the requests for which it is fastest", func() {
		doc := twoEngines()
		doc.Targets[1].Class = "other"
		doc.Classes = append(doc.Classes[1:], document.Class{Name: "new", Kind: document.KindEngine, MaxInFlight: 16, PrefillRate: 8000, StepMS: 40},
			document.Class{Name: "other", Kind: document.KindEngine, MaxInFlight: 16, PrefillRate: 1000, StepMS: 4})
		prompt, answer := engineLine("rider", 0, 10000, 10000), engineLine("rider", 0, 10000, 10000)
		prompt.PromptTokens, prompt.MaxTokens = 4000, 1
		answer.PromptTokens, answer.MaxTokens = 1, 200
		Expect(ceiling(doc, append(repeated(19, prompt, 0), repeated(190, answer, 0)...))).To(Equal(1.0))
		Expect(ceiling(doc, append(repeated(38, prompt, 0), repeated(190, answer, 0)...))).To(BeNumerically("<", 1))
	})

	It("counts a request that no target can serve in time as not served", func() {
		infeasible := engineLine("rider", 0, 100, 4000)
		infeasible.PromptTokens = 8000
		Expect(ceiling(twoEngines(), repeated(3, infeasible, 0))).To(BeZero())
	})

	DescribeTable("is not exceeded by any policy",
		func(deployment trace.Deployment, scenario trace.Scenario, faults string, load float64) {
			doc := exampleDocument(deployment)
			var schedule []virtual.Fault
			if faults != "" {
				var err error
				schedule, err = virtual.ReadFaults("../../../traces/faults-" + faults + ".json")
				Expect(err).NotTo(HaveOccurred())
			}
			result, err := Run(Options{
				Document: doc, Deployment: deployment, Scenario: scenario, Loads: []float64{load}, Seeds: []uint64{1, 2}, Seconds: 8, Faults: schedule,
				Policies: []entry.Policy{entry.PolicyScheduler, entry.PolicyShares, entry.PolicyIndependent}, Entries: 6, Workers: 4, ReportAge: time.Second,
			})
			Expect(err).NotTo(HaveOccurred())
			for _, row := range result.Rows {
				for tier, ceiling := range row.Bounds.Ceiling {
					good, _ := tierFigures(row.Report, tier)
					Expect(good).To(BeNumerically("<=", ceiling+1e-9), "%s %s", row.Policy, tier)
					Expect(row.Bounds.Priority[tier]).To(BeNumerically("<=", ceiling+1e-9))
				}
			}
		},
		Entry("Tanglaw at 2", trace.Tanglaw, trace.Typical, "", 2.0),
		Entry("Tanglaw at 6", trace.Tanglaw, trace.Typical, "", 6.0),
		Entry("Tanglaw's shift change", trace.Tanglaw, trace.ShiftBurst, "", 2.0),
		Entry("Tanglaw with half a zone lost", trace.Tanglaw, trace.Typical, "half-zone", 4.0),
		Entry("Quebracho at 8", trace.Quebracho, trace.Typical, "", 8.0),
		Entry("Quebracho with a straggler", trace.Quebracho, trace.Typical, "straggle", 8.0),
	)

	// The oracle is a clairvoyant dispatcher on the same engine model, without delays.
	DescribeTable("is nearly reached by an oracle",
		func(load, top, total float64) {
			doc := exampleDocument(trace.Tanglaw)
			t, err := trace.Generate(doc, trace.Options{Deployment: trace.Tanglaw, Scenario: trace.Typical, Seed: 1, Load: load, Seconds: 20})
			Expect(err).NotTo(HaveOccurred())
			good := reached(doc, t, doc.Pools[0].Name)
			bound := newPoolBound(doc, t, nil, doc.Pools[0].Name)
			best := bound.inPriority()
			Expect(good[0]).To(BeNumerically(">=", top*best[0]))
			Expect(good[0]).To(BeNumerically("<=", best[0]))
			Expect(sum(good)).To(BeNumerically(">=", total*sum(best)))
			Expect(sum(good)).To(BeNumerically("<=", bound.most(func(int) bool { return true })))
		},
		Entry("at 0.8", 0.8, 1.0, 1.0),
		Entry("at 1.3", 1.3, 1.0, 0.9),
		Entry("at 2", 2.0, 0.9, 0.85),
		Entry("at 4", 4.0, 0.9, 0.8),
	)
})

var _ = Describe("the fluid machine", func() {
	It("accepts exactly as much as an earliest-deadline-first schedule can do", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			fault := time.Duration(rapid.IntRange(0, 20).Draw(t, "fault")) * 100 * time.Millisecond
			f := newFluid(2*time.Second, func(at time.Duration) float64 {
				if at >= fault && at < fault+300*time.Millisecond {
					return 0.25
				}
				return 1
			}, 3)
			lengths := []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 900 * time.Millisecond}
			var accepted []job
			for range rapid.IntRange(1, 25).Draw(t, "jobs") {
				j := job{family: rapid.IntRange(0, 2).Draw(t, "family"), work: float64(rapid.IntRange(1, 8).Draw(t, "work")) / 16}
				j.begin = time.Duration(rapid.IntRange(0, 22).Draw(t, "begin")) * 50 * time.Millisecond
				j.end = j.begin + lengths[j.family]
				part := f.accept(&j)
				whole := j.work
				j.work *= part
				accepted = append(accepted, j)
				if !schedulable(accepted, f) {
					t.Fatalf("accepted too much: %v", accepted)
				}
				if part == 1 {
					continue
				}
				more := slices.Clone(accepted)
				more[len(more)-1].work += min(0.01, whole-j.work)
				if schedulable(more, f) && whole-j.work > 0.001 {
					t.Fatalf("accepted too little: %v of %v", part, j)
				}
			}
		})
	})
})

// schedulable reports whether the jobs can be schedulable, by simulating earliest
// deadline first slot by slot.
func schedulable(jobs []job, f *fluid) bool {
	left := make([]float64, len(jobs))
	for i := range jobs {
		left[i] = jobs[i].work
	}
	for slot := range len(f.done) - 1 {
		room := f.done[slot+1] - f.done[slot]
		for room > 1e-9 {
			next, due := -1, math.MaxInt
			for i := range jobs {
				if a, b := f.slots(&jobs[i]); left[i] > 1e-9 && a <= slot && b > slot && b < due {
					next, due = i, b
				}
			}
			if next < 0 {
				break
			}
			taken := min(room, left[next])
			left[next] -= taken
			room -= taken
		}
	}
	return sum(left) < 1e-6
}
