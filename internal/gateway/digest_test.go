package gateway

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/peerset"
	"sycamoretrail/internal/core/quota"
	"sycamoretrail/internal/gossip"
)

// newCell returns the statuses of a cell of some entries.
func newCell(entries int) cellStatuses {
	c := cellStatuses{relay: "front-monumento-0", version: 4711}
	for i := range entries {
		c.add(peerset.Token(i+1), gossip.Status{
			Name: fmt.Sprint("front-monumento-", i), Incarnation: 1<<63 + uint64(i), Sequence: 100_000, AgeMS: 40_000, SinceContactMS: 120, State: 1,
			Zone: "monumento", Callers: "10.200.100.100:8221", Links: "10.200.100.100:7700",
		}, map[string]quota.Total{})
	}
	return c
}

// received collects what the blocks of a cell hold.
type received struct {
	statuses map[string]gossip.Status
	totals   map[string]quota.Total
}

// receive composes blocks until nothing is left to report, at most limit of them.
func receive(g *WithT, c *composer, cell cellStatuses, limit int) (r received, blocks int) {
	r = received{statuses: make(map[string]gossip.Status), totals: make(map[string]quota.Total)}
	for blocks < limit {
		blocks++
		b, err := c.compose(cell)
		g.Expect(err).NotTo(HaveOccurred())
		size, err := gossip.EncodedSize(&b)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(size).To(BeNumerically("<=", gossip.MaxBlock))
		for _, status := range b.Changed {
			r.statuses[status.Name] = status
		}
		for entry, totals := range usageByEntry(&b) {
			for organisation, total := range totals {
				r.totals[fmt.Sprint(entry, " ", organisation)] = total
			}
		}
		if len(b.Changed) == 0 && len(b.Usage) == 0 {
			break
		}
	}
	return r, blocks
}

// A block holds the totals that have changed. A total must not move to another organisation or
// entry: an organisation would be charged with another's usage.
func TestTotalsKeepTheirOrganisations(t *testing.T) {
	g := NewWithT(t)
	cell := newCell(2)
	cell.totals[0] = map[string]quota.Total{"b": {Admitted: 30, Sent: 20, Recent: 4}, "d": {Admitted: 5, Sent: 5}}
	cell.totals[1] = map[string]quota.Total{"a": {Admitted: 7, Sent: 7}, "d": {Admitted: 1, Sent: 1}}
	r, _ := receive(g, newComposer(), cell, 10)
	g.Expect(r.totals).To(Equal(map[string]quota.Total{
		"0 b": {Admitted: 30, Sent: 20, Recent: 4}, "0 d": {Admitted: 5, Sent: 5}, "1 a": {Admitted: 7, Sent: 7}, "1 d": {Admitted: 1, Sent: 1},
	}))
}

// A block from another release may name more organisations or entries than it holds. Totals
// without a name are ignored, and the others are applied.
func TestTotalsWithoutOrganisationAreIgnored(t *testing.T) {
	g := NewWithT(t)
	b := &gossip.Block{Organisations: []string{"a"}, Usage: []gossip.Usage{{Entry: 0, Organisation: 0, Admitted: 3, Waiting: 1}, {Entry: 0, Organisation: 1, Admitted: 9}}}
	g.Expect(usageByEntry(b)).To(Equal(map[int]map[string]quota.Total{0: {"a": {Admitted: 3, Sent: 2}}}))
}

// The statuses and totals of a cell with many organisations do not fit one block. Each block
// must fit a datagram, or IP splits it into packets and the loss of one packet loses all of
// them. Together the blocks must hold all statuses and totals.
func TestBlocksFitDatagramsAndHoldAll(t *testing.T) {
	for _, organisations := range []int{0, 5, 40, 333, 2000} {
		t.Run(fmt.Sprint(organisations), func(t *testing.T) {
			g := NewWithT(t)
			cell := newCell(17)
			for i := range organisations {
				for entry := i % 3; entry < 17; entry += 3 {
					cell.totals[entry][fmt.Sprint("organisation-", i)] = quota.Total{Admitted: float64(1 << 40), Sent: 1 << 39, Recent: 1 << 40}
				}
			}
			want := 0
			for _, totals := range cell.totals {
				want += len(totals)
			}
			r, _ := receive(g, newComposer(), cell, 10_000)
			g.Expect(r.statuses).To(HaveLen(17))
			g.Expect(r.totals).To(HaveLen(want))
		})
	}
}

// A cell at rest reports tokens only: statuses and totals that have not changed would take up
// most of what all entries receive.
func TestUnchangedStatusesAreNotRepeated(t *testing.T) {
	g := NewWithT(t)
	c, cell := newComposer(), newCell(12)
	receive(g, c, cell, 10)
	b, err := c.compose(cell)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.Changed).To(BeEmpty())
	g.Expect(b.Live).To(HaveLen(12 * peerset.TokenBytes))
	cell.tokens[3], cell.statuses[3].State = 99, 2
	r, blocks := receive(g, c, cell, 10)
	g.Expect(r.statuses).To(HaveLen(1))
	g.Expect(blocks).To(Equal(changeCopies + 1))
}

// A relay reports an entry with which the cell has lost contact, and reports it again once it is
// back.
func TestLostEntriesAreReported(t *testing.T) {
	g := NewWithT(t)
	c, cell, rest := newComposer(), newCell(12), newCell(11)
	receive(g, c, cell, 10)
	lost := cell.statuses[11]
	lost.Lost = true
	rest.lost = []gossip.Status{lost}
	r, blocks := receive(g, c, rest, 10)
	g.Expect(r.statuses).To(Equal(map[string]gossip.Status{lost.Name: lost}))
	g.Expect(blocks).To(Equal(changeCopies + 1))
	r, _ = receive(g, c, cell, 10)
	g.Expect(r.statuses).To(HaveLen(1))
	g.Expect(r.statuses[lost.Name].Lost).To(BeFalse())
}

// Guards against an organisation that exceeds its quota because the totals of a busy cell wait
// for later blocks: each round holds all that has changed.
func TestARoundHoldsAllChangedTotals(t *testing.T) {
	g := NewWithT(t)
	cell := newCell(12)
	for i := range 12 {
		for organisation := range 16 {
			cell.totals[i][fmt.Sprint("organisation-", organisation)] = quota.Total{Admitted: 1 << 40, Sent: 1 << 39, Recent: 1 << 20}
		}
	}
	blocks, err := newComposer().composeAll(cell)
	g.Expect(err).NotTo(HaveOccurred())
	held := make(map[string]bool)
	for i := range blocks {
		for entry, totals := range usageByEntry(&blocks[i]) {
			for organisation := range totals {
				held[fmt.Sprint(entry, organisation)] = true
			}
		}
	}
	g.Expect(held).To(HaveLen(12 * 16))
}
