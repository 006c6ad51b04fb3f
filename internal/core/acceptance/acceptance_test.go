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

// text is a sound document; without tiers it has no sense.
func text(id string, base int64, sound bool) []byte {
	tiers := `{"name":"rider"}`
	if !sound {
		tiers = ""
	}
	return fmt.Appendf(nil, `{"schema":1,"id":%q,"base":%d,"tiers":[%s]}`, id, base, tiers)
}

func publish(id string, base int64) record.Document {
	return record.Document{Data: text(id, base, true)}
}

// entry is one reader of the log.
type entry struct {
	*acceptance.Acceptance
	verdicts []acceptance.Verdict
}

func read(log []record.Document, from int) *entry {
	e := &entry{Acceptance: acceptance.New()}
	for i := from; i <= len(log); i++ {
		e.verdicts = append(e.verdicts, e.Record(int64(i), log[i-1]))
	}
	return e
}

func (e *entry) version() int64 {
	_, version, _ := e.Current()
	return version
}

var _ = Describe("what a record becomes", func() {
	// Two operators publish from the same version. Both records reach the log;
	// every entry reads them in the same order, so the first wins everywhere,
	// and the second's author is told which document to start from instead.
	It("lets the first of two racing documents win and names it to the second", func() {
		e := read([]record.Document{publish("a", 0), publish("b", 1), publish("c", 1)}, 1)
		Expect(e.version()).To(Equal(int64(2)))
		Expect(e.verdicts[2]).To(Equal(acceptance.Verdict{
			Kind: acceptance.Beaten, Version: 2, DocumentID: "c", Winner: "b", WinnerVersion: 2,
		}))
	})

	// The answer to an append is lost, so the publisher appends the document
	// again; meanwhile another was accepted on top of it. The copy must change
	// nothing and still tell the publisher that its document was accepted.
	It("knows the copy of a document whose append's answer was lost", func() {
		e := read([]record.Document{publish("a", 0), publish("b", 1), publish("b", 1), publish("c", 2), publish("b", 1)}, 1)
		Expect(e.verdicts[2]).To(Equal(acceptance.Verdict{Kind: acceptance.Duplicate, Version: 2, DocumentID: "b"}))
		Expect(e.verdicts[4]).To(Equal(acceptance.Verdict{Kind: acceptance.Duplicate, Version: 2, DocumentID: "b"}))
		Expect(e.version()).To(Equal(int64(4)))
	})

	DescribeTable("refuses", func(data []byte, path string) {
		e := read([]record.Document{publish("a", 0), {Data: data}}, 1)
		Expect(e.verdicts[1].Kind).To(Equal(acceptance.Invalid))
		Expect(e.verdicts[1].Faults[0].Path).To(Equal(path))
		Expect(e.version()).To(Equal(int64(1)))
	},
		Entry("text that is no document", []byte("{"), "$"),
		Entry("a document without sense", text("b", 1, false), "tiers"),
	)

	It("does not take another document under the id in force", func() {
		e := read([]record.Document{publish("a", 0), publish("a", 1)}, 1)
		Expect(e.verdicts[1].Kind).To(Equal(acceptance.Duplicate))
	})
})

var _ = Describe("aged-out records", func() {
	// An entry renews version 1 without having read that version 2 replaced
	// it. An entry that starts later reads from the middle: it must not take
	// the old version from the renewal, nor the beaten document before it.
	It("judges what came between a late renewal's writing and its landing", func() {
		log := []record.Document{publish("a", 0), publish("lost", 0), publish("b", 1), {Data: text("a", 0, true), Version: 1, Through: 1}}
		e := read(log, 2)
		Expect(e.verdicts[0].Kind).To(Equal(acceptance.Pending))
		Expect(e.version()).To(Equal(int64(3)))
		Expect(e.Certain()).To(BeTrue())
	})

	// The entry was cut off for longer than the log keeps records. Version 3
	// came and went out of the log meanwhile; the next record it reads has the
	// base that it still holds, and all others saw that record beaten.
	It("stops judging after a gap until a renewal or a peer bridges it", func() {
		missed := func() *entry {
			e := read([]record.Document{publish("a", 0)}, 1)
			Expect(e.Record(9, publish("late", 1)).Kind).To(Equal(acceptance.Pending))
			Expect(e.Certain()).To(BeFalse())
			return e
		}
		renewed := missed()
		v := renewed.Record(10, record.Document{Data: text("b", 1, true), Version: 3, Through: 8})
		Expect(v.Kind).To(Equal(acceptance.Renewed))
		Expect(renewed.version()).To(Equal(int64(3)))
		Expect(renewed.Certain()).To(BeTrue())

		adopted := missed()
		Expect(adopted.Adopt(3, text("b", 1, true))).To(Succeed())
		Expect(adopted.version()).To(Equal(int64(3)))
		Expect(adopted.Certain()).To(BeFalse())
		Expect(adopted.Adopt(9, text("c", 3, true))).To(Succeed())
		Expect(adopted.Certain()).To(BeTrue())
	})

	It("never goes back to a lower version, from a renewal or from a peer", func() {
		e := read([]record.Document{publish("a", 0), publish("b", 1)}, 1)
		Expect(e.Record(3, record.Document{Data: text("a", 0, true), Version: 1, Through: 1}).Kind).To(Equal(acceptance.Ignored))
		Expect(e.Adopt(1, text("a", 0, true))).To(Succeed())
		Expect(e.version()).To(Equal(int64(2)))
	})

	// Everything was lost for longer than the retention: no renewal is kept
	// and no peer holds a document. The operator publishes as for the first
	// time, at an offset that is not 1.
	It("takes a first document after everything was lost only when told to", func() {
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

	DescribeTable("falls due before half the retention, spread by the jitter", func(jitter float64, at time.Duration) {
		e := &entry{Acceptance: acceptance.New()}
		e.Seen(e.Record(1, publish("a", 0)), start)
		Expect(due(e, jitter)).To(Equal(at))
	},
		Entry("earliest", 0.0, time.Hour),
		Entry("middle", 0.5, 90*time.Minute),
		Entry("latest", 0.99, 120*time.Minute),
	)

	// Documents come so often that none is ever old. A renewal is due all the
	// same: without one, an entry that starts cannot judge what the log keeps.
	It("is due however often documents are published, and ends for all once one is read", func() {
		e := &entry{Acceptance: acceptance.New()}
		for i := range int64(60) {
			e.Seen(e.Record(i+1, publish(fmt.Sprint("d", i), i)), start.Add(time.Duration(i)*time.Minute))
		}
		now := start.Add(61 * time.Minute)
		Expect(e.RenewalDue(now, retention, 0)).To(BeTrue())
		renewal := e.Renew(now)
		Expect(renewal.Through).To(Equal(int64(60)))
		Expect(e.RenewalDue(now.Add(time.Second), retention, 0)).To(BeFalse(), "one attempt at a time")
		Expect(e.RenewalDue(now.Add(retention/64), retention, 0)).To(BeTrue(), "the attempt was lost")
		e.Seen(e.Record(61, renewal), now)
		Expect(e.RenewalDue(now.Add(retention/64), retention, 0)).To(BeFalse())
	})

	It("is due soon for a document from a peer that no record showed", func() {
		e := &entry{Acceptance: acceptance.New()}
		Expect(e.Adopt(7, text("a", 0, true))).To(Succeed())
		Expect(due(e, 0.9)).To(BeNumerically("<=", time.Minute))
	})
})

// TestSuffix draws logs with racing, repeated, unsound and lying publications
// and with renewals whose writers lag, and compares a reader of any suffix with
// a reader of the whole.
func TestSuffix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := drawLog(t)
		whole := make([]int64, len(log)+1)
		reader := &entry{Acceptance: acceptance.New()}
		for i, rec := range log {
			reader.Record(int64(i+1), rec)
			whole[i+1] = reader.version()
			if whole[i+1] < whole[i] {
				t.Fatalf("version went back from %d to %d", whole[i], whole[i+1])
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
			if bridged && suffix.version() != whole[i] {
				t.Fatalf("from %d: version %d at %d, a reader of the whole has %d", from, suffix.version(), i, whole[i])
			}
			if suffix.version() > whole[i] {
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
			rec = record.Document{Data: text(id, base, rapid.IntRange(0, 5).Draw(t, "sound") > 0)}
		}
		log = append(log, rec)
		readers = append(readers, read(log, 1))
	}
	return log
}
