package platform

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	backoffMin = 100 * time.Millisecond
	backoffMax = 3 * time.Second
)

// backoff doubles the wait after each failure, with jitter, so that hundreds of
// entries do not return to a log that comes up again in the same instant.
type backoff struct{ next time.Duration }

func (b *backoff) reset() { b.next = 0 }

// step returns the next wait: half of the current bound and a random part of
// the other half.
func (b *backoff) step() time.Duration {
	b.next = min(max(b.next*2, backoffMin), backoffMax)
	half := b.next / 2
	return half + time.Duration(rand.Int64N(int64(half)))
}

// sleep waits for the next interval; false: the context ended first.
func (b *backoff) sleep(ctx context.Context) bool {
	timer := time.NewTimer(b.step())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
