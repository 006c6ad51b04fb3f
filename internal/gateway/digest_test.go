package gateway

import (
	"testing"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/quota"
	"sycamoretrail/internal/gossip"
)

// Totals are sent as columns in the order of the organisations that any entry of the cell has
// seen. An organisation that an entry has not seen must arrive with a total of zero, and other
// totals must not move to its column: an organisation would be charged with another's usage.
func TestTotalsKeepTheirOrganisations(t *testing.T) {
	g := NewWithT(t)
	first := map[string]quota.Total{"b": {Admitted: 30, Sent: 20}, "d": {Admitted: 5, Sent: 5}}
	second := map[string]quota.Total{"a": {Admitted: 7, Sent: 7}}
	organisations := namesOf([]map[string]quota.Total{first, second})
	g.Expect(organisations).To(Equal([]string{"a", "b", "d"}))
	for _, totals := range []map[string]quota.Total{first, second} {
		w := &gossip.Status{}
		w.Admitted, w.Waiting = columns(organisations, totals)
		received := make(map[string]quota.Total)
		readTotals(received, organisations, w)
		for _, name := range organisations {
			g.Expect(received[name]).To(Equal(totals[name]), name)
		}
	}
}

// A status from another release may have more columns than there are names of organisations.
// Columns without a name are ignored, and the others are applied.
func TestColumnsWithoutOrganisationAreIgnored(t *testing.T) {
	g := NewWithT(t)
	received := map[string]quota.Total{"stale": {Admitted: 1}}
	readTotals(received, []string{"a"}, &gossip.Status{Admitted: []int64{3, 9}, Waiting: []int64{1, 1}})
	g.Expect(received).To(Equal(map[string]quota.Total{"a": {Admitted: 3, Sent: 2}}))
}
