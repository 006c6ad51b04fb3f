package gateway

import (
	"slices"
	"sync"
	"time"

	"sycamoretrail/internal/core/crashes"
	"sycamoretrail/internal/gossip"
)

const (
	// crashCopies is the number of times that a broken run is announced: if the only datagram
	// were lost, the count of broken runs would be one too low.
	crashCopies = 2
	// crashPause is the least interval of announcements, in which broken runs are collected. When many targets crash at
	// once, each entry sees several, and all entries together thousands.
	crashPause = 50 * time.Millisecond
	// maxCollectedCrashes bounds the broken runs that wait to be announced.
	maxCollectedCrashes = 2048
)

// crashList collects broken runs until they are announced.
type crashList struct {
	mutex   sync.Mutex
	waiting []announcedCrash
	due     bool
	flushed time.Time
	flush   func()
}

// announcedCrash is a broken run that is still to be announced a number of times.
type announcedCrash struct {
	crash  gossip.Crash
	copies int
}

// add collects broken runs, each once.
func (c *crashList) add(list ...gossip.Crash) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, crash := range list {
		known := slices.ContainsFunc(c.waiting, func(a announcedCrash) bool { return a.crash == crash })
		if !known && len(c.waiting) < maxCollectedCrashes {
			c.waiting = append(c.waiting, announcedCrash{crash, crashCopies})
		}
	}
	c.schedule()
}

// schedule schedules the next announcement. The caller holds the mutex.
func (c *crashList) schedule() {
	if len(c.waiting) > 0 && !c.due {
		c.due = true
		time.AfterFunc(max(0, crashPause-time.Since(c.flushed)), c.flush)
	}
}

// take returns what is to be announced now.
func (c *crashList) take() []gossip.Crash {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var list []gossip.Crash
	for i := range c.waiting {
		list = append(list, c.waiting[i].crash)
		c.waiting[i].copies--
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(a announcedCrash) bool { return a.copies == 0 })
	c.due, c.flushed = false, time.Now()
	c.schedule()
	return list
}

// announceCrash announces a run that ended with a broken connection to all entries. Each hub
// merges what the entries of its zone announce.
func (l *links) announceCrash(fingerprint crashes.Fingerprint, id string) {
	l.ownCrashes.add(gossip.Crash{Fingerprint: uint64(fingerprint), ID: id})
}

// sendCrashes sends what this entry has seen to the hubs of its zone, or to all if there is one
// cell.
func (l *links) sendCrashes() {
	list := l.ownCrashes.take()
	cells := l.cells.Load()
	if cells.Count == 1 {
		l.sendCrashDigests(list, func(m *gossip.Message) { l.send(m, l.members()) })
		return
	}
	hubs := l.hub.choose(time.Now(), cells.Zone, cells.Hubs[cells.Zone])
	if indexOf(hubs, l.gateway.self.Name) < len(hubs) {
		l.zoneCrashes.add(list...)
	}
	l.sendCrashDigests(list, func(m *gossip.Message) {
		m.Hop = gossip.HopAll
		l.send(m, hubs)
	})
}

// passCrashes sends what the entries of the zone have seen to all entries.
func (l *links) passCrashes() {
	list := l.zoneCrashes.take()
	cells := l.cells.Load()
	if l.hub.isStandby(time.Now(), cells.Zone, l.gateway.self.Name, cells.Hubs[cells.Zone]) {
		return
	}
	l.sendCrashDigests(list, func(m *gossip.Message) {
		m.Hop, m.Digest.Zone = gossip.HopAll, cells.Zone
		l.pass(m)
	})
}

// sendCrashDigests sends broken runs in as many digests as they take.
func (l *links) sendCrashDigests(list []gossip.Crash, send func(*gossip.Message)) {
	for part := range slices.Chunk(list, gossip.MaxCrashes) {
		m := l.message()
		m.Digest = &gossip.Digest{Crashes: part}
		send(m)
	}
}

// handleCrashes counts broken runs that others have seen.
func (l *links) handleCrashes(m *gossip.Message) {
	for i := range m.Digest.Crashes {
		l.handleCrash(&m.Digest.Crashes[i])
	}
}
