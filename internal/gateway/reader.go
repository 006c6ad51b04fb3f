package gateway

import (
	"time"

	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/core/peerset"
	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/feed"
	"sycamoretrail/internal/gossip"
)

// isReader reports whether this entry reads the store for the others: it is the first in rank
// of the eligible entries, of all or, from zoneReaders on, of its zone. Two readers at once,
// or none, only cost a few extra calls or some delay.
func (g *Gateway) isReader() bool {
	if g.isDiscovering() {
		return false
	}
	readers := g.readers()
	able := len(readers) > 0 && readers[0].State == peerset.Ready && !readers[0].StoreDisconnected
	if able && (!g.ready() || g.feeds.isStoreDisconnected()) {
		g.links.setReader("another")
		return false
	}
	if !able && g.ready() && !g.feeds.isStoreDisconnected() {
		g.links.setReader(g.self.Name)
		return true
	}
	reader := g.firstInRank(g.links.readFor(entriesOf(readers)))
	g.links.setReader(reader)
	return reader == g.self.Name
}

// maxReadersAtStart is the size of a fleet up to which entries that start read the store themselves
// until they know the reader: nobody else may be following it.
const maxReadersAtStart = 12

// isDiscovering reports whether this entry has just started and may not have had contact with
// the others yet. Many entries that start together would otherwise all take themselves for the
// reader and overload the store.
func (g *Gateway) isDiscovering() bool {
	if time.Since(g.started) >= failureTimeout {
		return false
	}
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	return g.feeds.entriesReadAt.Load() == 0 || g.state.peers.Size() > maxReadersAtStart
}

// copyWriters is the number of entries that write copies of the configuration: one of them may
// be lost before it has written.
const copyWriters = 2

// writesCopies reports whether this entry writes copies of the configuration for all: it is a
// reader and among the first eligible entries.
func (g *Gateway) writesCopies() bool {
	ahead := 0
	for _, m := range g.readers() {
		if dispatch.CompareNames(m.Name, g.self.Name) < 0 {
			ahead++
		}
	}
	return ahead < copyWriters && g.isReader()
}

// recordsUsage reports whether this entry records usage for all. Each reader does, since a
// single one may be slow or about to be lost. An isolated entry lacks most of the others'
// usage; its records would replace those of entries that have it.
func (g *Gateway) recordsUsage() bool {
	if !g.isReader() {
		return false
	}
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	return !g.state.quota.Isolated()
}

func (g *Gateway) readers() []peerset.Member {
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	return g.state.peers.Readers(time.Now())
}

func entriesOf(members []peerset.Member) []peerset.Entry {
	entries := make([]peerset.Entry, 0, len(members))
	for _, m := range members {
		entries = append(entries, m.Entry)
	}
	return entries
}

// firstInRank returns the name of the first in rank of some entries and this one.
func (g *Gateway) firstInRank(members []peerset.Entry) string { return firstOf(g.self.Name, members) }

// firstOf returns the first in rank of a name and those of some entries.
func firstOf(first string, members []peerset.Entry) string {
	for _, m := range members {
		if dispatch.CompareNames(m.Name, first) < 0 {
			first = m.Name
		}
	}
	return first
}

func (l *links) setReader(reader string) {
	l.mutex.Lock()
	changed := l.reader != reader
	l.reader = reader
	l.mutex.Unlock()
	if changed {
		l.gateway.log.Write(eventlog.StateChange, eventReader, eventlog.Fields{"reader": reader})
	}
}

// replicate sends an update that this entry has read to the entries for which it reads.
func (l *links) replicate(u feed.Update, changed []feed.Record) {
	replica := &gossip.Replica{
		Topic: u.Topic, From: u.From.Offset, To: u.To.Offset, Generation: u.To.Generation,
		Records: changed, AgeMS: time.Since(u.AsOf).Milliseconds(), Snapshot: u.Reset,
	}
	members := l.readFor(l.members())
	if len(changed) == 0 {
		m := l.message()
		m.Replica = replica
		l.send(m, members)
		return
	}
	fragments, err := gossip.Split(l.fragmented.Add(1), replica)
	if err != nil {
		l.gateway.log.Write(eventlog.StateChange, eventUndecodable, eventlog.Fields{"topic": u.Topic.String(), "error": err.Error()})
		return
	}
	for i := range fragments {
		m := l.message()
		m.Fragment = &fragments[i]
		l.send(m, members)
	}
}

// readFor returns those of members for which this entry reads.
func (l *links) readFor(members []peerset.Entry) []peerset.Entry {
	if len(members) < zoneReaders {
		return members
	}
	var same []peerset.Entry
	for _, m := range members {
		if m.Zone == l.gateway.self.Zone {
			same = append(same, m)
		}
	}
	return same
}
