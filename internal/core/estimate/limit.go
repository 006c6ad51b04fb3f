package estimate

const (
	// queueWindow is the number of samples over which the share of queued ones is
	// averaged.
	queueWindow = 8.0
	// queueHigh is the share of queued samples above which the limit is multiplied
	// by limitDecrease. Below queueLow the limit rises by one slot in
	// limit/limitIncrease samples.
	queueHigh     = 0.5
	queueLow      = 0.15
	limitDecrease = 0.75
	limitIncrease = 0.5
	// usedShare is the share of the limit that must have been in use for a sample to
	// raise it.
	usedShare = 0.75
	// lowBatchDivisor gives the part of MaxInFlight up to which an engine has no
	// queue of its own.
	lowBatchDivisor = 8
	// serviceQueueFactor is how many times as long as a single call a call to a
	// service may take before it counts as queued there.
	serviceQueueFactor = 3.0
)

// limiter adapts the number of slots: it decreases them immediately when first
// tokens show a queue in the engine, and increases them slowly.
type limiter struct {
	slots, maxSlots float32
	queuedShare     float32
	// cooldown is the number of samples until the next decrease is possible, since
	// requests in flight at a decrease were granted under the previous limit.
	cooldown int32
}

func newLimiter(maxSlots int) limiter {
	return limiter{slots: float32(maxSlots), maxSlots: float32(maxSlots)}
}

func (l *limiter) value() int { return max(int(l.slots), 1) }

// isLowBatch reports whether the batch is so low that the engine can't have a
// queue of its own.
func (l *limiter) isLowBatch(batch int) bool {
	return batch > 0 && batch <= max(int(l.maxSlots)/lowBatchDivisor, 1)
}

func (l *limiter) observe(queued bool, batch int) {
	hit := float32(0)
	if queued {
		hit = 1
	}
	l.queuedShare += (hit - l.queuedShare) / queueWindow
	l.cooldown = max(l.cooldown-1, 0)
	switch {
	case l.queuedShare > queueHigh && l.cooldown == 0:
		l.decrease()
	case l.queuedShare < queueLow && l.inUse(batch):
		l.slots = min(l.slots+limitIncrease/l.slots, l.maxSlots)
	}
}

func (l *limiter) decrease() {
	l.cooldown = int32(l.slots)
	l.slots = max(l.slots*limitDecrease, 1)
	l.queuedShare = queueHigh / 2
}

func (l *limiter) inUse(batch int) bool {
	return batch == 0 || float32(batch) >= float32(l.value())*usedShare
}
