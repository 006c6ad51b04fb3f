package console

import (
	"testing"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/operators/operatorstest"
)

// BenchmarkPage measures the cost of one page of a draft with 38,000
// organisations, without the transfer from the entry.
func BenchmarkPage(b *testing.B) {
	data := operatorstest.Bytes(operatorstest.Document(38_000))
	d := newDraft(1)
	d.Changes = []document.Change{{Path: "limits.in_flight", Before: "4000", After: "5000"}}
	s, _ := sectionByID("organisations")
	b.ReportAllocs()
	for b.Loop() {
		doc, err := document.Parse(data)
		if err != nil {
			b.Fatal(err)
		}
		x := change{draft: d, base: current{doc: doc, version: 1}}
		if err := x.rebuild(); err != nil {
			b.Fatal(err)
		}
		f := buildForm(x.doc, view{section: s, query: "31415"})
		f.placeFaults(x.doc, x.faults)
		x.summary(s.ID)
	}
}
