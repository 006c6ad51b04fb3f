package document_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/request"
)

func TestDocument(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "document")
}

func hash(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

// validDocument returns a small document without faults.
func validDocument() *document.Document {
	return &document.Document{
		Schema: document.Schema,
		ID:     "d1",
		Tiers:  []document.Tier{{Name: "high", FirstTokenMS: 850, DeadlineMS: 4000}, {Name: "low", DeadlineMS: 9000}},
		Organisations: []document.Organisation{
			{Name: "acme", KeyHashes: []string{hash("a")}, Tiers: []string{"high"}, Models: []string{"m"}, Services: []string{"s"}, Weight: 1},
			{Name: "bolt", KeyHashes: []string{hash("b")}, Tiers: []string{"low"}, Models: []string{"m"}, Weight: 2},
		},
		Pools:    []document.Pool{{Name: "engines"}, {Name: "services"}},
		Models:   []document.Model{{Name: "m", Pool: "engines", Version: "1", ContextTokens: 10}, {Name: "n", Pool: "engines", ContextTokens: 10}},
		Services: []document.Service{{Name: "s", Pool: "services", Repeatable: []string{"GET"}}},
		Classes: []document.Class{
			{Name: "e", Kind: document.KindEngine, MaxInFlight: 1, PrefillRate: 1, StepMS: 1},
			{Name: "v", Kind: document.KindService, MaxInFlight: 1},
		},
		Targets: []document.Target{
			{Name: "e1", Pool: "engines", Class: "e", Zone: "z", Address: "10.0.0.1:80"},
			{Name: "e2", Pool: "engines", Class: "e", Zone: "z", Address: "[fd00::1]:80"},
			{Name: "v1", Pool: "services", Class: "v", Zone: "z", Address: "10.0.0.2:80"},
		},
		Limits:   document.DefaultLimits(),
		Refusal:  document.DefaultRefusal(),
		Shutdown: document.DefaultShutdown(),
		Timing:   document.DefaultTiming(),
	}
}

var _ = It("finds no fault in a valid document", func() {
	Expect(validDocument().Check().Err()).NotTo(HaveOccurred())
})

var _ = DescribeTable("finds a fault and its path",
	func(mutate func(*document.Document), paths ...string) {
		d := validDocument()
		mutate(d)
		var found []string
		for _, f := range d.Check() {
			Expect(f.Problem).NotTo(BeEmpty())
			Expect(f.Remedy).NotTo(BeEmpty())
			found = append(found, f.Path)
		}
		Expect(found).To(Equal(paths))
	},
	Entry("schema", func(d *document.Document) { d.Schema = 2 }, "schema"),
	Entry("id", func(d *document.Document) { d.ID = "" }, "id"),
	Entry("base", func(d *document.Document) { d.Base = -1 }, "base"),
	Entry("comment", func(d *document.Document) { d.Comment = string(make([]byte, 5000)) }, "comment"),
	Entry("no tiers", func(d *document.Document) { d.Tiers = nil },
		"tiers", "organisations[0].tiers[0]", "organisations[1].tiers[0]"),
	Entry("17 tiers", func(d *document.Document) {
		for i := range 15 {
			d.Tiers = append(d.Tiers, document.Tier{Name: fmt.Sprint("t", i), DeadlineMS: 1})
		}
	}, "tiers"),
	Entry("tier's deadline beyond the limit", func(d *document.Document) { d.Limits.DeadlineMS = 5000 }, "tiers[1].deadline_ms"),
	Entry("first token after the deadline", func(d *document.Document) { d.Tiers[0].FirstTokenMS = 4001 }, "tiers[0].first_token_ms"),
	Entry("tier without a deadline", func(d *document.Document) { d.Tiers[1].DeadlineMS = 0 }, "tiers[1].deadline_ms"),
	Entry("same name", func(d *document.Document) { d.Organisations[1].Name = "acme" }, "organisations[1].name"),
	Entry("name's syntax", func(d *document.Document) { d.Pools[0].Name = "a b" },
		"pools[0].name", "models[0].pool", "models[1].pool", "targets[0].pool", "targets[1].pool"),
	Entry("name's length", func(d *document.Document) { d.Organisations[0].Name = string(make([]byte, 65)) }, "organisations[0].name"),
	Entry("key hash in capitals", func(d *document.Document) { d.Organisations[0].KeyHashes[0] = "A" + hash("a")[1:] }, "organisations[0].key_hashes[0]"),
	Entry("a token instead of its hash", func(d *document.Document) { d.Organisations[0].KeyHashes[0] = "secret" }, "organisations[0].key_hashes[0]"),
	Entry("no key hash", func(d *document.Document) { d.Organisations[0].KeyHashes = nil }, "organisations[0].key_hashes"),
	Entry("key hash of two organisations", func(d *document.Document) { d.Organisations[1].KeyHashes = []string{hash("b"), hash("a")} }, "organisations[1].key_hashes[1]"),
	Entry("unknown tier", func(d *document.Document) { d.Organisations[1].Tiers = []string{"low", "x"} }, "organisations[1].tiers[1]"),
	Entry("tier twice", func(d *document.Document) { d.Organisations[1].Tiers = []string{"low", "low"} }, "organisations[1].tiers[1]"),
	Entry("no tier", func(d *document.Document) { d.Organisations[1].Tiers = nil }, "organisations[1].tiers"),
	Entry("unknown model", func(d *document.Document) { d.Organisations[0].Models[0] = "x" }, "organisations[0].models[0]"),
	Entry("unknown service", func(d *document.Document) { d.Organisations[0].Services[0] = "x" }, "organisations[0].services[0]"),
	Entry("weight 0", func(d *document.Document) { d.Organisations[0].Weight = 0 }, "organisations[0].weight"),
	Entry("weight is not a number", func(d *document.Document) { d.Organisations[0].Weight = math.NaN() }, "organisations[0].weight"),
	Entry("in flight below 0", func(d *document.Document) { d.Organisations[0].MaxInFlight = -1 }, "organisations[0].max_in_flight"),
	Entry("unknown pool", func(d *document.Document) { d.Models[1].Pool = "x" }, "models[1].pool"),
	Entry("model in a pool of services", func(d *document.Document) { d.Models[1].Pool = "services" }, "models[1].pool"),
	Entry("service in a pool of engines", func(d *document.Document) { d.Services[0].Pool = "engines" }, "services[0].pool"),
	Entry("two versions in a pool", func(d *document.Document) { d.Models[1].Version = "1" }, "models[1].version"),
	Entry("adapters without a version", func(d *document.Document) { d.Models[0].Version, d.Models[1].Adapters = "", []string{"a"} }, "models[1].adapters"),
	Entry("adapter twice", func(d *document.Document) { d.Models[0].Adapters = []string{"a", "a"} }, "models[0].adapters[1]"),
	Entry("context", func(d *document.Document) { d.Models[0].ContextTokens = 0 }, "models[0].context_tokens"),
	Entry("method", func(d *document.Document) { d.Services[0].Repeatable = []string{"get"} }, "services[0].repeatable[0]"),
	Entry("kind", func(d *document.Document) { d.Classes[0].Kind = "x" },
		"models[0].pool", "models[1].pool", "classes[0].kind"),
	Entry("class in flight", func(d *document.Document) { d.Classes[1].MaxInFlight = 0 }, "classes[1].max_in_flight"),
	Entry("speed of an engine", func(d *document.Document) { d.Classes[0].PrefillRate, d.Classes[0].StepMS = 0, -1 }, "classes[0].prefill_rate", "classes[0].step_ms"),
	Entry("speed of a service", func(d *document.Document) { d.Classes[1].StepMS = 1 }, "classes[1].step_ms"),
	Entry("mixed pool", func(d *document.Document) { d.Targets[1].Class = "v" },
		"models[0].pool", "models[1].pool", "targets[1].class"),
	Entry("unknown class", func(d *document.Document) { d.Targets[0].Class = "x" }, "targets[0].class"),
	Entry("no zone", func(d *document.Document) { d.Targets[0].Zone = "" }, "targets[0].zone"),
	Entry("address by name", func(d *document.Document) { d.Targets[0].Address = "localhost:80" }, "targets[0].address"),
	Entry("address without a port", func(d *document.Document) { d.Targets[0].Address = "10.0.0.1" }, "targets[0].address"),
	Entry("port 0", func(d *document.Document) { d.Targets[0].Address = "10.0.0.1:0" }, "targets[0].address"),
	Entry("same address in another form", func(d *document.Document) { d.Targets[2].Address = "[::ffff:10.0.0.1]:80" }, "targets[2].address"),
	Entry("limits", func(d *document.Document) { d.Limits = document.Limits{DeadlineMS: 120_000} },
		"limits.body_bytes", "limits.header_bytes", "limits.connections", "limits.in_flight",
		"limits.queue_per_target", "limits.remembered_ids", "limits.stream_bytes"),
	Entry("remembered ids", func(d *document.Document) { d.Limits.RememberedIDs = 10 }, "limits.remembered_ids"),
	Entry("retry after", func(d *document.Document) { d.Refusal.RetryAfterMinMS = 4000 }, "refusal.retry_after_min_ms"),
	Entry("no slots for long requests", func(d *document.Document) { d.Refusal.ShortShare = 1 }, "refusal.short_share"),
	Entry("refusal", func(d *document.Document) { d.Refusal.FloorMS, d.Refusal.PrefillBudget = 0, -1 }, "refusal.floor_ms", "refusal.prefill_budget"),
	Entry("drain", func(d *document.Document) { d.Shutdown.DrainMS = 5000 }, "shutdown.drain_ms"),
	Entry("silence", func(d *document.Document) { d.Timing.HeartbeatMS = 800 }, "timing.silence_ms"),
	Entry("grant", func(d *document.Document) { d.Timing.GrantMS = 1500 }, "timing.grant_ms"),
	Entry("claim horizon within the log's margin", func(d *document.Document) { d.Timing.ClaimHorizonMS = 10_800_000 }, "timing.claim_horizon_ms"),
	Entry("claim horizon shorter than a request", func(d *document.Document) { d.Timing.ClaimHorizonMS = 120_000 }, "timing.claim_horizon_ms"),
)

var _ = Describe("reading", func() {
	DescribeTable("refuses", func(text string) {
		_, err := document.Parse([]byte(text))
		Expect(err).To(MatchError(document.ErrMalformed))
	},
		Entry("an unknown name", `{"shema":1}`),
		Entry("an unknown name inside", `{"tiers":[{"name":"a","deadline":1}]}`),
		Entry("a name in another case", `{"Schema":1}`),
		Entry("a name twice", `{"schema":1,"schema":1}`),
		Entry("data after the end", `{"schema":1}{}`),
		Entry("a number out of range", `{"schema":1e99}`),
		Entry("a string for a number", `{"schema":"1"}`),
		Entry("nothing", ``),
	)

	It("sets omitted numbers to their defaults and keeps those that are 0", func() {
		d, err := document.Parse([]byte(`{"tiers":[{"name":"a"}],"organisations":[{"name":"a"},{"name":"b","weight":0}],
			"models":[{"name":"a"}],"classes":[{"name":"a","kind":"engine"},{"name":"b","kind":"service","max_in_flight":0}],
			"timing":{"grant_ms":0}}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Tiers[0].DeadlineMS).To(Equal(document.DefaultTierDeadlineMS))
		Expect(d.Organisations[0].Weight).To(Equal(float64(document.DefaultWeight)))
		Expect(d.Organisations[1].Weight).To(BeZero())
		Expect(d.Models[0].ContextTokens).To(Equal(document.DefaultContextTokens))
		Expect(d.Classes[0]).To(Equal(document.Class{Name: "a", Kind: document.KindEngine, MaxInFlight: document.DefaultMaxInFlight,
			PrefillRate: document.DefaultPrefillRate, StepMS: document.DefaultStepMS}))
		Expect(d.Classes[1].MaxInFlight).To(BeZero())
		Expect(d.Timing.GrantMS).To(BeZero())
		Expect(d.Timing.SilenceMS).To(Equal(document.DefaultTiming().SilenceMS))
		Expect(d.Limits).To(Equal(document.DefaultLimits()))
	})

	It("restores an encoded document, which encodes to the same bytes", func() {
		for _, encode := range []func(*document.Document) ([]byte, error){document.Encode, document.EncodeIndent} {
			data, err := encode(validDocument())
			Expect(err).NotTo(HaveOccurred())
			d, err := document.Parse(data)
			Expect(err).NotTo(HaveOccurred())
			Expect(document.Diff(validDocument(), d)).To(BeEmpty())
			again, err := encode(d)
			Expect(err).NotTo(HaveOccurred())
			Expect(again).To(Equal(data))
		}
	})
})

var _ = It("lists changes by name", func() {
	d := validDocument()
	d.Timing.GrantMS = 300
	d.Organisations[0].Weight = 3
	d.Targets = append(d.Targets[1:], document.Target{Name: "e3"})
	d.Tiers[0], d.Tiers[1] = d.Tiers[1], d.Tiers[0]
	changes := document.Diff(validDocument(), d)
	Expect(changes).To(HaveLen(5))
	Expect(changes[0]).To(Equal(document.Change{Path: "tiers.order", Before: "high, low", After: "low, high"}))
	Expect(changes[1]).To(Equal(document.Change{Path: "organisations[acme].weight", Before: "1", After: "3"}))
	Expect(changes[2].Path).To(Equal("targets[e1]"))
	Expect(changes[2].After).To(BeEmpty())
	Expect(changes[3].Path).To(Equal("targets[e3]"))
	Expect(changes[3].Before).To(BeEmpty())
	Expect(changes[4]).To(Equal(document.Change{Path: "timing.grant_ms", Before: "400", After: "300"}))
})

var _ = It("finds the members of a document by its index", func() {
	x := document.NewIndex(validDocument())
	o, found := x.OrganisationByKeyHash(hash("b"))
	Expect(found).To(BeTrue())
	Expect(o.Name).To(Equal("bolt"))
	_, found = x.OrganisationByKeyHash(hash("c"))
	Expect(found).To(BeFalse())
	rank, found := x.TierRank("low")
	Expect(found).To(BeTrue())
	Expect(rank).To(Equal(request.Tier(1)))
	Expect(x.Targets("engines")).To(HaveLen(2))
	Expect(x.Models("engines")).To(HaveLen(2))
	class, found := x.ClassOf("v1")
	Expect(found).To(BeTrue())
	Expect(class.Name).To(Equal("v"))
})

// largeDocument returns a document with the sizes planned for in docs/CAPACITY.md.
func largeDocument() *document.Document {
	d := validDocument()
	d.Organisations = nil
	for i := range 38_000 {
		name := fmt.Sprint("organisation-", i)
		d.Organisations = append(d.Organisations, document.Organisation{
			Name: name, KeyHashes: []string{hash(name)}, Tiers: []string{"high", "low"}, Models: []string{"m", "n"}, Services: []string{"s"}, Weight: 1,
		})
	}
	for i := range 1_800 {
		d.Targets = append(d.Targets, document.Target{
			Name: fmt.Sprint("large-", i), Pool: "engines", Class: "e", Zone: "z", Address: fmt.Sprintf("10.1.%d.%d:80", i/250, i%250),
		})
	}
	return d
}

var _ = It("lists a bounded number of faults", func() {
	d := largeDocument()
	d.Tiers = d.Tiers[:1]
	Expect(d.Check()).To(HaveLen(document.MaxFaults + 1))
})

func BenchmarkLarge(b *testing.B) {
	d := largeDocument()
	data, err := document.Encode(d)
	if err != nil {
		b.Fatal(err)
	}
	changed := largeDocument()
	changed.Organisations[100].Weight = 2
	b.Run("check", func(b *testing.B) {
		for b.Loop() {
			if err := d.Check().Err(); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("parse", func(b *testing.B) {
		for b.Loop() {
			if _, err := document.Parse(data); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(data)), "bytes")
	})
	b.Run("index", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			document.NewIndex(d)
		}
	})
	b.Run("diff", func(b *testing.B) {
		for b.Loop() {
			document.Diff(d, changed)
		}
	})
}
