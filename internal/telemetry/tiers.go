package telemetry

import "sync"

// MaxTierSeries bounds the tiers with series of their own; a document has at
// most 16, and a few documents may follow each other.
const MaxTierSeries = 64

// tierNames bounds the tiers' names. A refused request is counted under the tier
// that its caller wrote, which may be any text: without a bound one caller could
// fill the memory with series.
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
