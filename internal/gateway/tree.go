package gateway

import (
	"math/rand/v2"
	"time"

	"sycamoretrail/internal/core/peerset"
	"sycamoretrail/internal/gossip"
)

// broadcast sends a message to all entries, down the tree.
func (l *links) broadcast(m *gossip.Message) { l.spread(m, gossip.HopAll) }

// spread sends a message down the tree, or to all entries if there is one cell.
func (l *links) spread(m *gossip.Message, hop gossip.Hop) {
	cells := l.cells.Load()
	if cells.Count == 1 {
		l.send(m, l.members())
		return
	}
	m.Hop = hop
	l.pass(m)
}

// pass passes a message on as its Hop requires.
func (l *links) pass(m *gossip.Message) {
	if m.Hop != gossip.HopNone {
		l.passInTurn(m, l.cells.Load(), rand.Int())
	}
}

// passInTurn passes a message on as its Hop requires. turn selects the entry of each cell that
// passes it on to the others: if one entry had to do so for all messages, its link would be
// saturated, and live cells would appear unresponsive.
func (l *links) passInTurn(m *gossip.Message, cells *peerset.Cells, turn int) {
	hop := m.Hop
	if hop == gossip.HopAll {
		m.Hop = gossip.HopZone
		l.send(m, l.foreignHubs(cells))
	}
	if hop >= gossip.HopZone {
		m.Hop = gossip.HopCell
		l.send(m, oneOfEach(cells.Siblings, turn))
	}
	m.Hop = gossip.HopNone
	l.send(m, cells.Audience)
}

// foreignHubs returns the hubs of the other zones.
func (l *links) foreignHubs(cells *peerset.Cells) []peerset.Entry {
	now := time.Now()
	var hubs []peerset.Entry
	for zone, candidates := range cells.Hubs {
		if zone != cells.Zone {
			hubs = append(hubs, l.hub.foreign(now, zone, candidates)...)
		}
	}
	return hubs
}

// oneOfEach returns one entry of each cell.
func oneOfEach(cells [][]peerset.Entry, turn int) []peerset.Entry {
	chosen := make([]peerset.Entry, 0, len(cells))
	for i, cell := range cells {
		chosen = append(chosen, cell[(turn+i)%len(cell)])
	}
	return chosen
}
