package gateway

import (
	"testing"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/quota"
	"sycamoretrail/internal/gossip"
)

// Totals go as columns in the order of the organisations that any entry of the cell has
// seen. One that an entry has not seen must come out as nothing used, and others must not
// move to its column: an organisation would be charged with another's use.
func TestTotalsKeepTheirOrganisations(t *testing.T) {
	g := NewWithT(t)
	first := map[string]quota.Total{"b": {Admitted: 30, Sent: 20}, "d": {Admitted: 5, Sent: 5}}
	second := map[string]quota.Total{"a": {Admitted: 7, Sent: 7}}
	organisations := namesOf([]map[string]quota.Total{first, second})
	g.Expect(organisations).To(Equal([]string{"a", "b", "d"}))
	for _, totals := range []map[string]quota.Total{first, second} {
		w := &gossip.Word{}
		w.Admitted, w.Waiting = columns(organisations, totals)
		told := make(map[string]quota.Total)
		readTotals(told, organisations, w)
		for _, name := range organisations {
			g.Expect(told[name]).To(Equal(totals[name]), name)
		}
	}
}

// A word of another release may have more columns than organisations are named. What has
// no name counts for nobody, and the rest holds.
func TestColumnsWithoutOrganisationAreIgnored(t *testing.T) {
	g := NewWithT(t)
	told := map[string]quota.Total{"stale": {Admitted: 1}}
	readTotals(told, []string{"a"}, &gossip.Word{Admitted: []int64{3, 9}, Waiting: []int64{1, 1}})
	g.Expect(told).To(Equal(map[string]quota.Total{"a": {Admitted: 3, Sent: 2}}))
}
