// Package backoff computes the waits between retries.
package backoff

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff doubles the wait after each failure up to Max, with jitter, so that hundreds of
// entries do not reconnect to a restarted service at the same instant. It is not safe for
// concurrent use.
type Backoff struct {
	Min, Max time.Duration
	next     time.Duration
}

// Reset resets the wait to Min. It is called after a success.
func (b *Backoff) Reset() { b.next = 0 }

// Step returns the next wait: half of the current bound plus a random part of the other
// half.
func (b *Backoff) Step() time.Duration {
	b.next = min(max(b.next*2, b.Min), b.Max)
	half := b.next / 2
	return half + time.Duration(rand.Int64N(int64(half)+1))
}

// Sleep waits for the next interval, or until wake receives a value. It returns false if
// the context has ended. wake may be nil.
func (b *Backoff) Sleep(ctx context.Context, wake <-chan struct{}) bool {
	timer := time.NewTimer(b.Step())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
