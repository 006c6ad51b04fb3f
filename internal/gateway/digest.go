package gateway

import (
	"context"
	"encoding/binary"
	"slices"
	"time"

	"sycamoretrail/internal/core/peerset"
	"sycamoretrail/internal/core/quota"
	"sycamoretrail/internal/gossip"
)

// Entries of one cell exchange heartbeats. The relay of each cell reports the status of its
// entries and their usage in a block to the hub of its zone. The hub sends the blocks of the
// zone down the tree to all entries; see gossip.Hop. So the datagrams that an entry receives
// grow with the number of blocks that fit one, not with the number of entries.

const (
	// blockPause is the interval of a relay's blocks. Nine of them fall within the time after
	// which entries count as unresponsive. An organisation that sends six times its typical
	// rate uses a twentieth of its quota meanwhile.
	blockPause = 400 * time.Millisecond
	// urgentPause is the time between a change of an entry's state and the next block, in which
	// further changes are collected; minBlockPause is the least interval of blocks.
	urgentPause   = 50 * time.Millisecond
	minBlockPause = 200 * time.Millisecond
	// reportedFor is the time for which the status of an entry need not be repeated after
	// another relay has reported it.
	reportedFor = 2 * time.Second
)

// relay reports the status of the cell while this entry is its relay.
func (l *links) relay(ctx context.Context) {
	var last time.Time
	for {
		timer := time.NewTimer(blockPause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-l.blockDue:
			timer.Stop()
			time.Sleep(max(urgentPause, minBlockPause-time.Since(last)))
		}
		cells := l.cells.Load()
		if !cells.IsRelay {
			l.composer.reset()
			continue
		}
		l.sendBlocks(cells)
		last = time.Now()
	}
}

// sendBlocks sends what has changed in the cell to the hubs of its zone.
func (l *links) sendBlocks(cells *peerset.Cells) {
	blocks, err := l.composer.composeAll(l.cellStatuses())
	if err != nil {
		l.logUnsendable(err)
		return
	}
	now := time.Now()
	hubs := l.hub.choose(now, cells.Zone, cells.Hubs[cells.Zone])
	own := indexOf(hubs, l.gateway.self.Name)
	for i := range blocks {
		if own < len(hubs) {
			l.hub.collect(now, blocks[i])
		}
		m := l.message()
		m.Digest, m.Hop = &gossip.Digest{Blocks: blocks[i : i+1]}, gossip.HopAll
		l.send(m, withoutIndex(hubs, own))
	}
}

// withoutIndex returns entries without the one at an index, if there is one.
func withoutIndex(entries []peerset.Entry, index int) []peerset.Entry {
	if index >= len(entries) {
		return entries
	}
	return slices.Concat(entries[:index], entries[index+1:])
}

// cellStatuses returns the statuses of this entry and of those with which it has direct
// contact.
func (l *links) cellStatuses() cellStatuses {
	g := l.gateway
	c := cellStatuses{known: make(map[string]bool)}
	if configuration := g.configuration.Load(); configuration != nil {
		c.version = configuration.Version
	}
	own := l.ownStatus()
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	now := time.Now()
	c.relay = g.self.Name
	c.add(peerset.TokenOf(g.self, peerset.State(own.State), own.StoreDisconnected), own, g.state.quota.Report(now, ""))
	for _, m := range g.state.peers.Direct(now) {
		c.version = max(c.version, m.Version)
		c.add(m.Token(), statusMessage(now, &m), g.state.quota.Report(now, m.Name))
		if m.Reported(now, reportedFor) {
			c.known[m.Name] = true
		}
	}
	for _, m := range g.state.peers.Silent(now) {
		status := statusMessage(now, &m)
		status.Lost = true
		c.lost = append(c.lost, status)
	}
	return c
}

// ownStatus returns the status of this entry.
func (l *links) ownStatus() gossip.Status {
	g := l.gateway
	return gossip.Status{
		Name: g.self.Name, Incarnation: g.self.Incarnation, Sequence: l.conn.NextSequence(), AgeMS: time.Since(g.started).Milliseconds(),
		State: uint8(g.ownState()), StoreDisconnected: g.feeds.isStoreDisconnected(), Zone: g.self.Zone, Callers: g.self.Callers, Links: g.self.Links,
	}
}

func statusMessage(now time.Time, m *peerset.Member) gossip.Status {
	return gossip.Status{
		Name: m.Name, Incarnation: m.Incarnation, Sequence: m.Sequence, AgeMS: m.LastContact.Sub(m.Started).Milliseconds(),
		SinceContactMS: now.Sub(m.LastContact).Milliseconds(), State: uint8(m.State), StoreDisconnected: m.StoreDisconnected,
		Zone: m.Zone, Callers: m.Callers, Links: m.Links,
	}
}

// handleDigest applies the blocks of a digest. A hub that receives a block from a relay
// collects it for the next digest to all.
func (l *links) handleDigest(m *gossip.Message) {
	now := time.Now()
	if m.Hop == gossip.HopAll {
		l.zoneCrashes.add(m.Digest.Crashes...)
		for i := range m.Digest.Blocks {
			l.hub.collect(now, m.Digest.Blocks[i])
		}
	} else {
		if m.Digest.Zone != "" {
			l.hub.heard(now, m.Digest.Zone, m.From)
		}
		l.pass(m)
	}
	l.handleCrashes(m)
	latest, anyUnknown := int64(0), false
	g := l.gateway
	g.state.mutex.Lock()
	for i := range m.Digest.Blocks {
		b := &m.Digest.Blocks[i]
		latest = max(latest, b.Version)
		if unknown := l.applyBlock(now, now.Add(-milliseconds(b.AgeMS)), b); len(unknown) > 0 {
			anyUnknown = true
			l.noteUnknown(b.Relay, unknown)
		}
	}
	g.state.mutex.Unlock()
	if anyUnknown {
		g.feeds.noteUnknownEntries(now)
	}
	l.catchUp(latest)
}

// applyBlock applies the status of a cell as of a time. It returns the tokens that stand for no
// known entry. The caller holds the state's mutex.
func (l *links) applyBlock(now, at time.Time, b *gossip.Block) (unknown []peerset.Token) {
	for i := range b.Changed {
		l.applyReported(now, at, &b.Changed[i])
	}
	usage := usageByEntry(b)
	for i := 0; (i+1)*peerset.TokenBytes <= len(b.Live); i++ {
		token := peerset.Token(binary.BigEndian.Uint32(b.Live[i*peerset.TokenBytes:]))
		m, joined := l.gateway.state.peers.Confirm(now, at, token, b.Relay == l.gateway.self.Name)
		switch {
		case m == nil && token != l.ownToken():
			unknown = append(unknown, token)
		case m != nil:
			if joined {
				l.scheduleCells(now)
			}
			l.gateway.state.quota.PeerTotals(at, m.Name, m.Started, usage[i], true)
		}
	}
	return unknown
}

// applyReported applies the status of one entry that its cell's relay reports.
func (l *links) applyReported(now, at time.Time, w *gossip.Status) {
	contact := at.Add(-milliseconds(w.SinceContactMS))
	if w.Lost {
		if w.Name != l.gateway.self.Name && l.gateway.state.peers.SetLost(now, contact, w.Name, w.Incarnation) {
			l.scheduleCells(now)
		}
		return
	}
	l.applyStatus(now, contact, peerset.Status{
		Entry: peerset.Entry{Name: w.Name, Incarnation: w.Incarnation, Zone: w.Zone, Callers: w.Callers, Links: w.Links}, Relayed: true,
		State: peerset.State(w.State), Sequence: w.Sequence, Age: milliseconds(w.AgeMS), StoreDisconnected: w.StoreDisconnected,
	}, nil, true)
}

// ownToken returns the token of this entry in its present state.
func (l *links) ownToken() peerset.Token {
	return peerset.TokenOf(l.gateway.self, l.gateway.ownState(), l.gateway.feeds.isStoreDisconnected())
}

// usageByEntry returns the totals in a block by the index of the entry.
func usageByEntry(b *gossip.Block) map[int]map[string]quota.Total {
	usage := make(map[int]map[string]quota.Total)
	for _, u := range b.Usage {
		if int(u.Organisation) >= len(b.Organisations) {
			continue
		}
		entry := int(u.Entry)
		if usage[entry] == nil {
			usage[entry] = make(map[string]quota.Total)
		}
		usage[entry][b.Organisations[u.Organisation]] = quota.Total{
			Admitted: float64(u.Admitted), Sent: float64(u.Admitted - u.Waiting), Recent: float64(u.RecentlyAdded),
		}
	}
	return usage
}
