package gateway

import (
	"time"

	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/core/peerset"
	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/feed"
	"sycamoretrail/internal/gossip"
)

// leads reports whether this entry reads the store for the others: the first in rank
// of those that can, in all or, from zoneReaders on, in its zone. Two at once, or
// none, cost a few calls or some patience, no more.
func (g *Gateway) leads() bool {
	if g.listening() {
		return false
	}
	readers := g.readers()
	able := len(readers) > 0 && readers[0].State == peerset.Ready && !readers[0].Blind
	if able && (!g.ready() || g.feeds.isBlind()) {
		g.links.noteReader("another")
		return false
	}
	if !able && g.ready() && !g.feeds.isBlind() {
		g.links.noteReader(g.self.Name)
		return true
	}
	reader := g.first(g.links.readFor(entriesOf(readers)))
	g.links.noteReader(reader)
	return reader == g.self.Name
}

// listening reports whether this entry has just begun and may not have heard the others
// yet. When 195 entries started together, most took themselves for the reader before they
// heard anyone: they made 1,160 of the 2,180 calls to the store in those seconds.
func (g *Gateway) listening() bool {
	if time.Since(g.started) >= silence {
		return false
	}
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	return g.feeds.looked.Load() == 0 || g.state.peers.Size() > 1
}

// copyKeepers bounds the entries that keep copies of the configuration: one may be lost
// before it has written them.
const copyKeepers = 2

// keepsCopies reports whether this entry keeps copies of the configuration for all: it
// reads for others, and is among the first of those that can.
func (g *Gateway) keepsCopies() bool {
	ahead := 0
	for _, m := range g.readers() {
		if dispatch.Rank(m.Name, g.self.Name) < 0 {
			ahead++
		}
	}
	return ahead < copyKeepers && g.leads()
}

// records reports whether this entry records usage for all: each that reads for
// others, since one alone may be slow or about to be lost. An isolated one knows too
// little of the others' usage; its records would replace those of the entries that know.
func (g *Gateway) records() bool {
	if !g.leads() {
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

// first is the name of the first in rank of some entries and this one.
func (g *Gateway) first(members []peerset.Entry) string { return firstOf(g.self.Name, members) }

// firstOf is the first in rank of a name and those of some entries.
func firstOf(first string, members []peerset.Entry) string {
	for _, m := range members {
		if dispatch.Rank(m.Name, first) < 0 {
			first = m.Name
		}
	}
	return first
}

func (l *links) noteReader(reader string) {
	l.mutex.Lock()
	changed := l.reader != reader
	l.reader = reader
	l.mutex.Unlock()
	if changed {
		l.gateway.log.Write(eventlog.Belief, eventReader, eventlog.Fields{"reader": reader})
	}
}

// replicate passes on what this entry has read of a log.
func (l *links) replicate(u feed.Update, changed []feed.Record) {
	news := &gossip.Replica{
		Topic: u.Topic, From: u.From.Offset, To: u.To.Offset, Generation: u.To.Generation,
		Records: changed, AgeMS: time.Since(u.AsOf).Milliseconds(), Whole: u.Reset,
	}
	members := l.readFor(l.members())
	if len(changed) == 0 {
		m := l.message()
		m.Replica = news
		l.send(m, members)
		return
	}
	fragments, err := gossip.Split(l.fragmented.Add(1), news)
	if err != nil {
		l.gateway.log.Write(eventlog.Belief, eventUndecodable, eventlog.Fields{"topic": u.Topic.String(), "error": err.Error()})
		return
	}
	for i := range fragments {
		m := l.message()
		m.Fragment = &fragments[i]
		l.send(m, members)
	}
}

// readFor returns the entries for which this one reads.
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
