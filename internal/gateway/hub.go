package gateway

import (
	"slices"
	"sync"
	"time"

	"sycamoretrail/internal/core/peerset"
	"sycamoretrail/internal/gossip"
)

const (
	// flushPause is the least interval of a hub's digests.
	flushPause = 250 * time.Millisecond
	// hubsPerZone is the number of hubs to which a relay sends its blocks. All but the first
	// are standbys, which send digests only while the first is silent.
	hubsPerZone = 2
	// hubTimeout is the time without digests of a zone after which its hub counts as lost.
	hubTimeout = 900 * time.Millisecond
	// triedHubs is the number of candidates that are tried at a time while there are no digests
	// of a zone, hubTurn the time after which the next ones are tried.
	triedHubs = 4
	hubTurn   = 300 * time.Millisecond
	// standbyTimeout is the time without digests of the hub after which a standby sends them.
	standbyTimeout = 700 * time.Millisecond
	// maxBlockAge is the age from which a collected block is dropped, as a later one of the
	// same relay has been sent meanwhile.
	maxBlockAge = time.Second
)

// hub collects the blocks of the relays of a zone while this entry is a candidate for its hub,
// and tracks which entries are the hubs of the zones.
type hub struct {
	mutex   sync.Mutex
	pending []collected
	// heardFrom is the last sender of digests of each zone.
	heardFrom map[string]sender
	// flushed is when the last digest was sent, due when the next one is; zero means that
	// nothing is collected.
	flushed, due time.Time
	turn         int
	started      time.Time
	flush        func()
}

type collected struct {
	block gossip.Block
	at    time.Time
}

type sender struct {
	name string
	at   time.Time
}

func newHub(flush func()) *hub {
	return &hub{heardFrom: make(map[string]sender), started: time.Now(), flush: flush}
}

// collect adds a block to the next digest.
func (h *hub) collect(now time.Time, block gossip.Block) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.pending = append(h.pending, collected{block, now.Add(-milliseconds(block.AgeMS))})
	wait := flushPause
	if len(block.Changed) > 0 {
		wait = max(urgentPause, flushPause-now.Sub(h.flushed))
	}
	if due := now.Add(wait); h.due.IsZero() || due.Before(h.due) {
		h.due = due
		time.AfterFunc(wait, h.flush)
	}
}

// take returns the collected blocks with their ages, and the number of the digest.
func (h *hub) take(now time.Time) (blocks []gossip.Block, turn int) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, c := range h.pending {
		if age := now.Sub(c.at); age < maxBlockAge {
			c.block.AgeMS = age.Milliseconds()
			blocks = append(blocks, c.block)
		}
	}
	h.pending, h.due, h.flushed = nil, time.Time{}, now
	h.turn++
	return blocks, h.turn
}

// heard records a digest of a zone.
func (h *hub) heard(now time.Time, zone, from string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.heardFrom[zone] = sender{from, now}
}

// isStandby reports whether another entry is the hub of a zone: it has sent digests recently,
// and it precedes this one among the candidates.
func (h *hub) isStandby(now time.Time, zone, self string, candidates []peerset.Entry) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	last := h.heardFrom[zone]
	if last.name == self || now.Sub(last.at) > standbyTimeout {
		return false
	}
	return indexOf(candidates, last.name) < indexOf(candidates, self)
}

// indexOf returns the position of a name among entries, or their number if it is not there.
func indexOf(entries []peerset.Entry, name string) int {
	if i := slices.IndexFunc(entries, func(e peerset.Entry) bool { return e.Name == name }); i >= 0 {
		return i
	}
	return len(entries)
}

// choose returns the hubs of a zone: the first candidates or, while there are no digests of
// the zone, some of the candidates in turn.
func (h *hub) choose(now time.Time, zone string, candidates []peerset.Entry) []peerset.Entry {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	silence := now.Sub(h.lastHeard(zone)) - hubTimeout
	if silence < 0 || len(candidates) <= triedHubs {
		return candidates[:min(len(candidates), hubsPerZone)]
	}
	first := int(silence/hubTurn) * triedHubs % len(candidates)
	return candidates[first:min(len(candidates), first+triedHubs)]
}

// lastHeard returns the time of the last digest of a zone, or that of the start if there was
// none. The caller holds the mutex.
func (h *hub) lastHeard(zone string) time.Time {
	if last, found := h.heardFrom[zone]; found {
		return last.at
	}
	return h.started
}

// foreign returns the hub of another zone: the last sender of its digests if there were any
// recently, some of the candidates if there were any earlier, or the first one.
func (h *hub) foreign(now time.Time, zone string, candidates []peerset.Entry) []peerset.Entry {
	h.mutex.Lock()
	last, found := h.heardFrom[zone]
	h.mutex.Unlock()
	if !found {
		return candidates[:min(len(candidates), 1)]
	}
	if i := indexOf(candidates, last.name); i < len(candidates) && now.Sub(last.at) < hubTimeout {
		return candidates[i : i+1]
	}
	return h.choose(now, zone, candidates)
}

// flushDigests sends the collected blocks to all entries.
func (l *links) flushDigests() {
	now := time.Now()
	blocks, turn := l.hub.take(now)
	cells := l.cells.Load()
	if len(blocks) == 0 || l.hub.isStandby(now, cells.Zone, l.gateway.self.Name, cells.Hubs[cells.Zone]) {
		return
	}
	l.hub.heard(now, cells.Zone, l.gateway.self.Name)
	digests, err := gossip.Digests(blocks)
	if err != nil {
		l.logUnsendable(err)
		return
	}
	for _, digest := range digests {
		digest.Zone = cells.Zone
		m := l.message()
		m.Digest, m.Hop = digest, gossip.HopAll
		l.passInTurn(m, cells, turn)
	}
}
