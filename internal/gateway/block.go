package gateway

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"sycamoretrail/internal/core/peerset"
	"sycamoretrail/internal/core/quota"
	"sycamoretrail/internal/gossip"
)

const (
	// changeCopies is the number of blocks that hold a changed status or total, so that the
	// loss of one datagram does not lose the change.
	changeCopies = 2
	// maxLiveTokens bounds the entries of a block: their indexes have one byte.
	maxLiveTokens = 200
)

// cellStatuses holds the present statuses of the entries of a cell, in the same order in each
// of its lists.
type cellStatuses struct {
	relay    string
	version  int64
	tokens   []peerset.Token
	statuses []gossip.Status
	totals   []map[string]quota.Total
	// known holds the entries that another relay has reported in their present state.
	known map[string]bool
	// lost holds the statuses of the entries with which the cell has lost contact.
	lost []gossip.Status
}

func (c *cellStatuses) add(token peerset.Token, status gossip.Status, totals map[string]quota.Total) {
	if len(c.tokens) == maxLiveTokens {
		return
	}
	c.tokens = append(c.tokens, token)
	c.statuses = append(c.statuses, status)
	c.totals = append(c.totals, totals)
}

// composer composes the blocks of a cell. It remembers what the last blocks held, so that a
// block holds only what has changed.
type composer struct {
	entries map[string]*reportedEntry
	// unsent is the number of changed totals that the last block had no space for.
	unsent int
}

// reportedEntry is what the last blocks held of an entry.
type reportedEntry struct {
	token  peerset.Token
	status gossip.Status
	// copies is the number of further blocks that are to hold the status.
	copies int
	usage  map[string]*reportedTotal
}

// reportedTotal is the total of an organisation that the last blocks held.
type reportedTotal struct {
	total  quota.Total
	copies int
}

func newComposer() *composer { return &composer{entries: make(map[string]*reportedEntry)} }

// reset forgets what was reported, as another entry is the relay.
func (c *composer) reset() { clear(c.entries) }

// maxBlocks bounds the blocks of one round.
const maxBlocks = 12

// composeAll returns the blocks that hold all that has changed: totals that waited for later
// rounds would let an organisation exceed its quota.
func (c *composer) composeAll(cell cellStatuses) ([]gossip.Block, error) {
	var blocks []gossip.Block
	for len(blocks) == 0 || c.unsent > 0 && len(blocks) < maxBlocks {
		block, err := c.compose(cell)
		if err != nil {
			return nil, err
		}
		blocks = append(blocks, block)
	}
	return blocks, nil
}

// compose returns the next block. What does not fit is left to the following ones.
func (c *composer) compose(cell cellStatuses) (gossip.Block, error) {
	b := gossip.Block{Relay: cell.relay, Version: cell.version}
	for _, token := range cell.tokens {
		b.Live = binary.BigEndian.AppendUint32(b.Live, uint32(token))
	}
	space := gossip.MaxBlock
	size, err := gossip.EncodedSize(&b)
	if err != nil {
		return b, err
	}
	space -= size + blockMargin
	c.update(cell)
	for _, name := range slices.Sorted(maps.Keys(c.entries)) {
		e := c.entries[name]
		if e.copies == 0 {
			continue
		}
		size, err := gossip.EncodedSize(&e.status)
		if err != nil {
			return b, err
		}
		if size > space {
			break
		}
		space -= size
		e.copies--
		b.Changed = append(b.Changed, e.status)
	}
	c.addUsage(&b, cell, space)
	c.unsent = 0
	for _, p := range c.pending(cell) {
		if p.reported.copies == changeCopies {
			c.unsent++
		}
	}
	return b, nil
}

// blockMargin is the space for the headers of the lists of a block, in bytes.
const blockMargin = 24

// update brings the remembered statuses up to date, and marks what has changed.
func (c *composer) update(cell cellStatuses) {
	live := make(map[string]bool, len(cell.statuses))
	for i, status := range cell.statuses {
		live[status.Name] = true
		e := c.entries[status.Name]
		switch {
		case e == nil:
			e = &reportedEntry{copies: changeCopies}
			if cell.known[status.Name] {
				e.copies = 0
			}
			c.entries[status.Name] = e
		case e.token != cell.tokens[i] || e.status.Lost:
			e.copies = changeCopies
		}
		if e.usage == nil || e.status.Incarnation != status.Incarnation {
			e.usage = make(map[string]*reportedTotal)
		}
		e.token, e.status = cell.tokens[i], status
	}
	for _, status := range cell.lost {
		if e := c.entries[status.Name]; e == nil || !e.status.Lost {
			c.entries[status.Name] = &reportedEntry{status: status, copies: changeCopies}
		}
		live[status.Name] = true
	}
	maps.DeleteFunc(c.entries, func(name string, e *reportedEntry) bool { return !live[name] && e.copies == 0 })
}

// pendingUsage is a total that a block should hold.
type pendingUsage struct {
	entry        int
	organisation string
	reported     *reportedTotal
}

// addUsage adds the totals that have changed, as many as fit.
func (c *composer) addUsage(b *gossip.Block, cell cellStatuses, space int) {
	indexes := make(map[string]uint16)
	for _, p := range c.pending(cell) {
		index, named := indexes[p.organisation]
		need := usageBytes
		if !named {
			need += len(p.organisation) + nameBytes
			index = uint16(len(b.Organisations))
		}
		if space -= need; space < 0 {
			return
		}
		if !named {
			indexes[p.organisation] = index
			b.Organisations = append(b.Organisations, p.organisation)
		}
		p.reported.copies--
		p.reported.total = cell.totals[p.entry][p.organisation]
		total := totalMessage(p.reported.total)
		b.Usage = append(b.Usage, gossip.Usage{
			Entry: uint8(p.entry), Organisation: index, Admitted: total.Admitted, Waiting: total.Waiting, RecentlyAdded: int64(p.reported.total.Recent),
		})
	}
}

// pending returns the totals that have changed since they were reported, those that have
// waited for more blocks first.
func (c *composer) pending(cell cellStatuses) []pendingUsage {
	var pending []pendingUsage
	for i, status := range cell.statuses {
		e := c.entries[status.Name]
		for organisation, total := range cell.totals[i] {
			r := e.usage[organisation]
			if r == nil {
				r = &reportedTotal{}
				e.usage[organisation] = r
			}
			if r.total.Admitted != total.Admitted || r.total.Sent != total.Sent {
				r.copies = changeCopies
			}
			if r.copies > 0 {
				pending = append(pending, pendingUsage{i, organisation, r})
			}
		}
	}
	slices.SortFunc(pending, func(a, b pendingUsage) int {
		return cmp.Or(cmp.Compare(b.reported.copies, a.reported.copies), cmp.Compare(a.organisation, b.organisation), cmp.Compare(a.entry, b.entry))
	})
	return pending
}
