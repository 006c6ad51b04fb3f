package telemetry

import "sync"

// MaxTierSeries bounds the tiers with series of their own; a document has at
// most 16, and a few documents may follow each other.
const MaxTierSeries = 64

// tierNames bounds the tiers' names. Each document may name others, and the
// reporter takes no series back. The edge gives only names that the document has;
// should a text of a caller's own get here, it could not fill the memory.
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
