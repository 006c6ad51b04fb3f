package claims

import (
	"time"
)

// SetHorizon changes the horizon. A longer horizon includes claims that were not
// read or have expired here, so every partition is read again before further
// decisions. A shorter one only expires claims earlier.
func (h *Coordinator) SetHorizon(now time.Time, horizon time.Duration) []Effect {
	h.out = nil
	longer := horizon > h.cfg.Horizon
	h.cfg.Horizon = horizon
	if !longer {
		return h.out
	}
	for _, p := range h.partitions {
		if p.stage == stageFull {
			continue
		}
		p.state = newState()
		h.out = append(h.out, Unfollow{Partition: p.number})
		h.follow(p)
	}
	return h.out
}
