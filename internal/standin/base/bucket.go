package base

import "time"

// burstShare of a second's rate may come at once.
const burstShare = 0.25

// Bucket is a token bucket. Not safe for concurrent use.
type Bucket struct {
	tokens float64
	filled time.Time
}

// Take reports whether one more call fits the rate a second; 0 is no bound.
// When it does not fit, wait tells when to come again.
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
