package claims

import (
	"time"
)

// SetHorizon puts another horizon in force. A longer one reaches back to claims
// that were not read or are forgotten, so every partition is read anew and
// speaks again only when that is done; a shorter one only forgets.
func (h *Home) SetHorizon(now time.Time, horizon time.Duration) []Effect {
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
		p.fold = newFold()
		h.out = append(h.out, Unfollow{Partition: p.number})
		h.follow(p)
	}
	return h.out
}
