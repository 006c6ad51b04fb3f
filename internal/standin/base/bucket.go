package base

import "time"

// burstShare is the burst size as a share of the calls allowed in one second.
const burstShare = 0.25

// Bucket is a token bucket. It is not safe for concurrent use.
type Bucket struct {
	tokens float64
	filled time.Time
}

// Take reports whether one more call is within the rate per second; a rate of 0
// means no limit. If it is not, wait is the delay until the next call is allowed.
func (b *Bucket) Take(now time.Time, rate float64) (wait time.Duration, ok bool) {
	if rate <= 0 {
		return 0, true
	}
	burst := max(1, rate*burstShare)
	if b.filled.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = min(burst, b.tokens+rate*now.Sub(b.filled).Seconds())
	}
	b.filled = now
	if b.tokens < 1 {
		return time.Duration((1 - b.tokens) / rate * float64(time.Second)), false
	}
	b.tokens--
	return 0, true
}
