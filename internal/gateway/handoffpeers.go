package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"sycamoretrail/internal/core/peerset"
	"sycamoretrail/internal/upstream"
)

// declinedPause is how long an entry that declined, or could not be reached, is not asked.
const declinedPause = time.Second

// handoffs chooses the entries to which requests are handed off.
type handoffs struct {
	gateway *Gateway
	pool    *upstream.Pool
	mutex   sync.Mutex
	// avoided are the entries that are not asked until a time.
	avoided map[string]time.Time
}

func newHandoffs(g *Gateway) *handoffs {
	return &handoffs{
		gateway: g, avoided: make(map[string]time.Time),
		pool: upstream.NewPool(upstream.Options{Dial: g.gates.callers.Dialer(targetConn.Dial), KeepIdle: targetKeepIdle, IdleMargin: targetIdleMargin, MaxIdle: targetMaxIdle, Paused: g.pauses.Since}),
	}
}

// choose returns an entry of this region that may take a request, if there is one. It prefers the
// entries of the cell, whose status is the most recent.
func (h *handoffs) choose() (peer peerset.Entry, found bool) {
	g := h.gateway
	now := time.Now()
	g.state.mutex.Lock()
	serving := g.state.peers.Serving(now)
	g.state.mutex.Unlock()
	version := g.configuration.Load().Version
	cell := g.links.cells.Load().Peers
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var inCell, elsewhere []peerset.Entry
	for _, m := range serving {
		if now.Before(h.avoided[m.Name]) || !g.inOwnRegion(m.Zone) || m.Version < version {
			continue
		}
		if slices.ContainsFunc(cell, func(e peerset.Entry) bool { return e.Name == m.Name }) {
			inCell = append(inCell, m.Entry)
		} else {
			elsewhere = append(elsewhere, m.Entry)
		}
	}
	if len(inCell) == 0 {
		inCell = elsewhere
	}
	if len(inCell) == 0 {
		return peerset.Entry{}, false
	}
	return inCell[rand.IntN(len(inCell))], true
}

// inOwnRegion reports whether a zone is in this entry's region. Zones of unknown region count as
// one region.
func (g *Gateway) inOwnRegion(zone string) bool {
	return g.settings.Regions[zone] == g.settings.Regions[g.self.Zone]
}

func (h *handoffs) avoid(peer string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := time.Now()
	for name, until := range h.avoided {
		if now.After(until) {
			delete(h.avoided, name)
		}
	}
	h.avoided[peer] = now.Add(declinedPause)
}
