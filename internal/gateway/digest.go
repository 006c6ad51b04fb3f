package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/core/peerset"
	"sycamoretrail/internal/core/quota"
	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/gossip"
)

// Entries of one cell exchange heartbeats. What other cells need of them, liveness and the
// organisations' usage, is passed on in digests: a relay of the cell sends its digest to one
// entry of each other cell, each time to a different one, which forwards it to its cell. So an
// entry receives a few datagrams a second for each cell, whereas heartbeats of all entries to
// all would be one for each entry.

const (
	// digestPause is the interval of a relay's digests. Eight of them fall within the time
	// after which entries count as unresponsive: with a loss of a twentieth of all datagrams, none
	// of 195 entries misses all of them in 20 s.
	digestPause = 500 * time.Millisecond
	// nearQuotaPause is the interval while an organisation is close to its quota: an
	// organisation that sends six times its typical rate uses a twentieth of its quota
	// meanwhile.
	nearQuotaPause = 400 * time.Millisecond
)

// relay sends digests while this entry is one of the relays of its cell.
func (l *links) relay(ctx context.Context) {
	pause := rand.N(digestPause)
	for round := rand.IntN(dispatch.CellEntries); ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = digestPause
		cells := l.cells.Load()
		if !cells.IsRelay {
			continue
		}
		if l.pressing() {
			pause = nearQuotaPause
		}
		l.sendDigests(cells, round)
	}
}

func (l *links) pressing() bool {
	l.gateway.state.mutex.Lock()
	defer l.gateway.state.mutex.Unlock()
	return l.gateway.state.quota.NearLimit(time.Now())
}

// sendDigests sends the digests to one entry of each other cell. Which entry it is changes
// with each round and differs by the sender's cell: if one entry had to forward the digests of
// all cells at once, its link would be saturated and drop most of them, and live cells would
// appear unresponsive.
func (l *links) sendDigests(cells *peerset.Cells, round int) {
	organisations, statuses, complete := l.statuses()
	digests, err := gossip.Digests(organisations, statuses)
	if err != nil {
		l.gateway.log.Write(eventlog.StateChange, eventUndecodable, eventlog.Fields{"error": err.Error()})
		return
	}
	var to []peerset.Entry
	for _, cell := range cells.OtherCells {
		if len(cell) > 0 {
			to = append(to, cell[(round+cells.Own)%len(cell)])
		}
	}
	for _, digest := range digests {
		m := l.message()
		m.Digest = digest
		m.Digest.Partial = !complete || l.partial.Load()
		l.send(m, to)
	}
}

// statuses returns the statuses of this entry and of the entries with which it has direct
// contact, and the organisations whose totals they hold. complete: these are all
// organisations.
func (l *links) statuses() (organisations []string, statuses []gossip.Status, complete bool) {
	g := l.gateway
	version := int64(0)
	if c := g.configuration.Load(); c != nil {
		version = c.Version
	}
	state := g.ownState()
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	now := time.Now()
	own := g.state.quota.Totals()
	members := g.state.peers.RelayedMembers(now)
	totals := []map[string]quota.Total{own}
	for _, m := range members {
		totals = append(totals, g.state.quota.TotalsOf(m.Name))
	}
	organisations, complete = l.digestRotation.share(namesOf(totals), digestBytes, totalBytes)
	statuses = append(statuses, gossip.Status{
		Name: g.self.Name, Incarnation: g.self.Incarnation, Sequence: l.conn.NextSequence(), AgeMS: now.Sub(g.started).Milliseconds(),
		State: uint8(state), StoreDisconnected: g.feeds.isStoreDisconnected(), Version: version,
	})
	for _, m := range members {
		statuses = append(statuses, gossip.Status{
			Name: m.Name, Incarnation: m.Incarnation, Sequence: m.Sequence, AgeMS: m.LastContact.Sub(m.Started).Milliseconds(),
			SinceContactMS: now.Sub(m.LastContact).Milliseconds(), State: uint8(m.State), StoreDisconnected: m.StoreDisconnected, Version: m.Version,
		})
	}
	for i := range statuses {
		statuses[i].Admitted, statuses[i].Waiting = columns(organisations, totals[i])
	}
	return organisations, statuses, complete
}

// namesOf returns the names of all organisations in totals, sorted.
func namesOf(totals []map[string]quota.Total) []string {
	var names []string
	for _, each := range totals {
		for name := range each {
			if i, found := slices.BinarySearch(names, name); !found {
				names = slices.Insert(names, i, name)
			}
		}
	}
	return names
}

// columns returns an entry's totals in the order of organisations.
func columns(organisations []string, totals map[string]quota.Total) (admitted, waiting []int64) {
	for i, name := range organisations {
		total := totalMessage(totals[name])
		admitted = appendAt(admitted, i, total.Admitted)
		waiting = appendAt(waiting, i, total.Waiting)
	}
	return admitted, waiting
}

// appendAt sets column i to value; trailing zero columns are left out.
func appendAt(column []int64, i int, value int64) []int64 {
	if value == 0 {
		return column
	}
	for len(column) < i {
		column = append(column, 0)
	}
	return append(column, value)
}

// handleDigest applies the statuses that a relay passes on, and forwards the digest to the
// cell if the relay requests this.
func (l *links) handleDigest(m *gossip.Message) {
	if m.Digest.PassOn {
		m.Digest.PassOn = false
		l.send(m, l.cells.Load().Audience)
	}
	g := l.gateway
	latest, unknown := int64(0), false
	totals := make(map[string]quota.Total, len(m.Digest.Organisations))
	now := time.Now()
	g.state.mutex.Lock()
	for i := range m.Digest.Statuses {
		w := &m.Digest.Statuses[i]
		readTotals(totals, m.Digest.Organisations, w)
		latest = max(latest, w.Version)
		change := l.applyStatus(now, now.Add(-milliseconds(w.SinceContactMS)), peerset.Status{
			Entry: peerset.Entry{Name: w.Name, Incarnation: w.Incarnation}, Relayed: true,
			State: peerset.State(w.State), Sequence: w.Sequence, Age: milliseconds(w.AgeMS), StoreDisconnected: w.StoreDisconnected, Version: w.Version,
		}, totals, m.Digest.Partial)
		unknown = unknown || change.Unknown
	}
	g.state.mutex.Unlock()
	if unknown {
		g.feeds.requestEntries()
	}
	l.catchUp(latest)
}

// readTotals replaces the contents of totals by those of a status; columns without an
// organisation are ignored.
func readTotals(totals map[string]quota.Total, organisations []string, w *gossip.Status) {
	clear(totals)
	for i, admitted := range w.Admitted {
		if i >= len(organisations) {
			break
		}
		total := gossip.Total{Admitted: admitted}
		if i < len(w.Waiting) {
			total.Waiting = w.Waiting[i]
		}
		totals[organisations[i]] = totalOf(total)
	}
}
