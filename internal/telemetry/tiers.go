package telemetry

import "sync"

// MaxTierSeries bounds the tiers with series of their own. A document has at most 16
// tiers, and a few documents may succeed each other.
const MaxTierSeries = 64

// tierNames bounds the number of tier labels. Each document may have other tiers, and
// the reporter cannot remove a series. The edge reports only names in the document; if
// a name sent by a caller reached the metrics anyway, it could not exhaust the memory.
type tierNames struct {
	mutex sync.RWMutex
	known map[string]bool
}

func (n *tierNames) label(name string) string {
	n.mutex.RLock()
	known := n.known[name]
	n.mutex.RUnlock()
	if known {
		return name
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !n.known[name] && len(n.known) >= MaxTierSeries {
		return Other
	}
	n.known[name] = true
	return name
}
