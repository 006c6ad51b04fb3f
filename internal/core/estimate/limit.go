package estimate

const (
	// queueMemory is over how many samples the share of queued ones is kept.
	queueMemory = 8.0
	// queueHigh is the share at which the limit falls, by limitFall; below
	// queueLow it rises by one place in limit/limitRise samples.
	queueHigh = 0.5
	queueLow  = 0.15
	limitFall = 0.75
	limitRise = 0.5
	// usedShare of the limit must have been in use for a sample to raise it.
	usedShare = 0.75
	// lowBatchShare of MaxInFlight is a batch at which an engine has no queue.
	lowBatchShare = 8
	// serviceQueueFactor is how much longer than a lone call a call to a
	// service may take before it counts as queued there.
	serviceQueueFactor = 3.0
)

// limiter adapts the number of places: down at once when first tokens show a
// queue in the engine, up slowly.
type limiter struct {
	places, most float32
	queuedShare  float32
	// settle counts samples to pass before the next fall, since those that are
	// in flight at a fall were granted under the former limit.
	settle int32
}

func newLimiter(most int) limiter {
	return limiter{places: float32(most), most: float32(most)}
}

func (l *limiter) value() int { return max(int(l.places), 1) }

// low reports whether the engine can't have a queue of its own at this batch.
func (l *limiter) low(batch int) bool {
	return batch > 0 && batch <= max(int(l.most)/lowBatchShare, 1)
}

func (l *limiter) observe(queued bool, batch int) {
	hit := float32(0)
	if queued {
		hit = 1
	}
	l.queuedShare += (hit - l.queuedShare) / queueMemory
	l.settle = max(l.settle-1, 0)
	switch {
	case l.queuedShare > queueHigh && l.settle == 0:
		l.fall()
	case l.queuedShare < queueLow && l.inUse(batch):
		l.places = min(l.places+limitRise/l.places, l.most)
	}
}

func (l *limiter) fall() {
	l.settle = int32(l.places)
	l.places = max(l.places*limitFall, 1)
	l.queuedShare = queueHigh / 2
}

func (l *limiter) inUse(batch int) bool {
	return batch == 0 || float32(batch) >= float32(l.value())*usedShare
}
