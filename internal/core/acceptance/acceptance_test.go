package acceptance_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sycamoretrail/internal/core/acceptance"
	"sycamoretrail/internal/core/record"
)

func TestAcceptance(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "acceptance")
}

// documentJSON returns the JSON of a document, which is invalid without tiers.
func documentJSON(id string, base int64, valid bool) []byte {
	tiers := `{"name":"rider"}`
	if !valid {
		tiers = ""
	}
	return fmt.Appendf(nil, `{"schema":1,"id":%q,"base":%d,"tiers":[%s]}`, id, base, tiers)
}

func publish(id string, base int64) record.Document {
	return record.Document{Data: documentJSON(id, base, true)}
}

// entry is one reader of the log, with its results.
type entry struct {
	*acceptance.Acceptance
	results []acceptance.Result
}

func read(log []record.Document, from int) *entry {
	e := &entry{Acceptance: acceptance.New()}
	for i := from; i <= len(log); i++ {
		e.results = append(e.results, e.Record(int64(i), log[i-1]))
	}
	return e
}

func (e *entry) version() int64 {
	_, version, _ := e.Current()
	return version
}

var _ = Describe("evaluating a record", func() {
	// Two operators publish from the same version. Both records reach the log,
	// and every entry reads them in the same order, so the first wins everywhere.
	// The result of the second names the document to start from instead.
	It("accepts the first of two racing documents and names it in the second's result", func() {
		e := read([]record.Document{publish("a", 0), publish("b", 1), publish("c", 1)}, 1)
		Expect(e.version()).To(Equal(int64(2)))
		Expect(e.results[2]).To(Equal(acceptance.Result{
			Kind: acceptance.Conflict, Version: 2, DocumentID: "c", Winner: "b", WinnerVersion: 2,
		}))
	})

	// The answer to an append is lost, so the publisher appends the document
	// again. Another one based on it was accepted meanwhile. The copy must change
	// nothing, and its result must still report that the document was accepted.
	It("recognises the copy of a document after the answer to its append was lost", func() {
		e := read([]record.Document{publish("a", 0), publish("b", 1), publish("b", 1), publish("c", 2), publish("b", 1)}, 1)
		Expect(e.results[2]).To(Equal(acceptance.Result{Kind: acceptance.Duplicate, Version: 2, DocumentID: "b"}))
		Expect(e.results[4]).To(Equal(acceptance.Result{Kind: acceptance.Duplicate, Version: 2, DocumentID: "b"}))
		Expect(e.version()).To(Equal(int64(4)))
	})

	DescribeTable("refuses", func(data []byte, path string) {
		e := read([]record.Document{publish("a", 0), {Data: data}}, 1)
		Expect(e.results[1].Kind).To(Equal(acceptance.Invalid))
		Expect(e.results[1].Faults[0].Path).To(Equal(path))
		Expect(e.version()).To(Equal(int64(1)))
	},
		Entry("malformed JSON", []byte("{"), "$"),
		Entry("an invalid document", documentJSON("b", 1, false), "tiers"),
	)

	It("does not accept another document with the id in force", func() {
		e := read([]record.Document{publish("a", 0), publish("a", 1)}, 1)
		Expect(e.results[1].Kind).To(Equal(acceptance.Duplicate))
	})
})

var _ = Describe("expired records", func() {
	// An entry renews version 1 before it reads that version 3 replaced it. An
	// entry that starts later reads from the middle of the log. It must neither
	// keep the old version of the renewal nor accept the conflicting version 2.
	It("evaluates the records between a late renewal and the last one that its writer read", func() {
		log := []record.Document{publish("a", 0), publish("lost", 0), publish("b", 1), {Data: documentJSON("a", 0, true), Version: 1, Through: 1}}
		e := read(log, 2)
		Expect(e.results[0].Kind).To(Equal(acceptance.Pending))
		Expect(e.version()).To(Equal(int64(3)))
		Expect(e.Certain()).To(BeTrue())
	})

	// The entry was disconnected for longer than the log keeps records. Version 3
	// was published and expired meanwhile. The base of the next record that it
	// reads is the version in force here, but all others rejected that record.
	It("stops evaluating after a gap until a renewal or a peer closes it", func() {
		missed := func() *entry {
			e := read([]record.Document{publish("a", 0)}, 1)
			Expect(e.Record(9, publish("late", 1)).Kind).To(Equal(acceptance.Pending))
			Expect(e.Certain()).To(BeFalse())
			return e
		}
		renewed := missed()
		v := renewed.Record(10, record.Document{Data: documentJSON("b", 1, true), Version: 3, Through: 8})
		Expect(v.Kind).To(Equal(acceptance.Renewed))
		Expect(renewed.version()).To(Equal(int64(3)))
		Expect(renewed.Certain()).To(BeTrue())

		adopted := missed()
		Expect(adopted.Adopt(3, documentJSON("b", 1, true))).To(Succeed())
		Expect(adopted.version()).To(Equal(int64(3)))
		Expect(adopted.Certain()).To(BeFalse())
		Expect(adopted.Adopt(9, documentJSON("c", 3, true))).To(Succeed())
		Expect(adopted.Certain()).To(BeTrue())
	})

	It("never returns to a lower version, from a renewal or from a peer", func() {
		e := read([]record.Document{publish("a", 0), publish("b", 1)}, 1)
		Expect(e.Record(3, record.Document{Data: documentJSON("a", 0, true), Version: 1, Through: 1}).Kind).To(Equal(acceptance.Ignored))
		Expect(e.Adopt(1, documentJSON("a", 0, true))).To(Succeed())
		Expect(e.version()).To(Equal(int64(2)))
	})

	// All entries were down for longer than the retention: the log contains no
	// renewal and no peer has a document. The operator publishes a document
	// without a base, at an offset other than 1.
	It("accepts a first document after a total loss only after Bootstrap", func() {
		e := read(make([]record.Document, 0), 1)
		Expect(e.Record(50, publish("new", 0)).Kind).To(Equal(acceptance.Pending))
		Expect(e.version()).To(BeZero())
		e.Bootstrap()
		Expect(e.version()).To(Equal(int64(50)))
	})
})

var _ = Describe("renewal", func() {
	const retention = 4 * time.Hour
	start := time.Unix(1_000_000, 0)

	due := func(e *entry, jitter float64) time.Duration {
		for d := time.Duration(0); d < retention; d += time.Minute {
			if e.RenewalDue(start.Add(d), retention, jitter) {
				return d
			}
		}
		return retention
	}

	DescribeTable("becomes due before half the retention, spread by the jitter", func(jitter float64, at time.Duration) {
		e := &entry{Acceptance: acceptance.New()}
		e.Observe(e.Record(1, publish("a", 0)), start)
		Expect(due(e, jitter)).To(Equal(at))
	},
		Entry("earliest", 0.0, time.Hour),
		Entry("middle", 0.5, 90*time.Minute),
		Entry("latest", 0.99, 120*time.Minute),
	)

	// Documents are published so often that none is ever old. A renewal is due
	// nevertheless: without one, a starting entry cannot evaluate the log's records.
	It("is due however often documents are published, until one is read", func() {
		e := &entry{Acceptance: acceptance.New()}
		for i := range int64(60) {
			e.Observe(e.Record(i+1, publish(fmt.Sprint("d", i), i)), start.Add(time.Duration(i)*time.Minute))
		}
		now := start.Add(61 * time.Minute)
		Expect(e.RenewalDue(now, retention, 0)).To(BeTrue())
		renewal := e.Renew(now)
		Expect(renewal.Through).To(Equal(int64(60)))
		Expect(e.RenewalDue(now.Add(time.Second), retention, 0)).To(BeFalse(), "one attempt at a time")
		Expect(e.RenewalDue(now.Add(retention/64), retention, 0)).To(BeTrue(), "the attempt was lost")
		e.Observe(e.Record(61, renewal), now)
		Expect(e.RenewalDue(now.Add(retention/64), retention, 0)).To(BeFalse())
	})

	It("is due soon for a document from a peer without a record in the log", func() {
		e := &entry{Acceptance: acceptance.New()}
		Expect(e.Adopt(7, documentJSON("a", 0, true))).To(Succeed())
		Expect(due(e, 0.9)).To(BeNumerically("<=", time.Minute))
	})
})

// TestSuffix draws logs with racing, repeated and invalid publications, with
// publications whose base is wrong, and with renewals whose writers lag. It
// compares a reader of any suffix with a reader of the whole log.
func TestSuffix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := drawLog(t)
		want := make([]int64, len(log)+1)
		reader := &entry{Acceptance: acceptance.New()}
		for i, rec := range log {
			reader.Record(int64(i+1), rec)
			want[i+1] = reader.version()
			if want[i+1] < want[i] {
				t.Fatalf("version went back from %d to %d", want[i], want[i+1])
			}
		}
		from := rapid.IntRange(1, len(log)).Draw(t, "from")
		suffix := &entry{Acceptance: acceptance.New()}
		bridged := from == 1
		for i := from; i <= len(log); i++ {
			rec := log[i-1]
			suffix.Record(int64(i), rec)
			bridged = bridged || rec.Version != 0 && rec.Through >= int64(from-1)
			if suffix.Certain() != bridged {
				t.Fatalf("at %d certain is %v, bridged by a renewal %v", i, suffix.Certain(), bridged)
			}
			if bridged && suffix.version() != want[i] {
				t.Fatalf("from %d: version %d at %d, a reader of the whole log has %d", from, suffix.version(), i, want[i])
			}
			if suffix.version() > want[i] {
				t.Fatalf("from %d: version %d at %d was never in force", from, suffix.version(), i)
			}
		}
	})
}

func drawLog(t *rapid.T) []record.Document {
	n := rapid.IntRange(1, 30).Draw(t, "records")
	var log []record.Document
	readers := []*entry{{Acceptance: acceptance.New()}}
	for i := range n {
		offset := int64(i + 1)
		var rec record.Document
		lag := rapid.IntRange(0, min(i, 6)).Draw(t, "lag")
		writer := readers[i-lag]
		_, version, _ := writer.Current()
		if version != 0 && rapid.IntRange(0, 4).Draw(t, "kind") == 0 {
			rec = writer.Renew(time.Time{})
		} else {
			base := rapid.SampledFrom([]int64{version, version, version, 0, offset, offset + 1}).Draw(t, "base")
			id := fmt.Sprint("d", rapid.IntRange(0, 12).Draw(t, "id"))
			rec = record.Document{Data: documentJSON(id, base, rapid.IntRange(0, 5).Draw(t, "sound") > 0)}
		}
		log = append(log, rec)
		readers = append(readers, read(log, 1))
	}
	return log
}
