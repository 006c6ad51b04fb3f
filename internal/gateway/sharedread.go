package gateway

import (
	"sync"
	"time"
)

const (
	// readFresh is the age up to which a read of the store answers for what is not in it, readRetry the pause
	// after a read that failed.
	readFresh = time.Second
	readRetry = 150 * time.Millisecond
)

// sharedRead is a read of the store that many requests may need at the same moment.
type sharedRead struct {
	mutex            sync.Mutex
	readAt, failedAt time.Time
	// running is closed when the read in progress ends; nil: there is none.
	running chan struct{}
}

// do reads, unless that has just been done, and waits for it up to a limit. It reports whether a read has
// succeeded lately.
func (r *sharedRead) do(limit time.Duration, read func() error) bool {
	r.mutex.Lock()
	switch {
	case time.Since(r.readAt) < readFresh:
		r.mutex.Unlock()
		return true
	case r.running == nil && time.Since(r.failedAt) < readRetry:
		r.mutex.Unlock()
		return false
	case r.running == nil:
		r.running = make(chan struct{})
		go r.run(read)
	}
	running := r.running
	r.mutex.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-running:
	case <-timer.C:
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return time.Since(r.readAt) < readFresh
}

// invalidate makes the next call read again.
func (r *sharedRead) invalidate() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.readAt, r.failedAt = time.Time{}, time.Time{}
}

func (r *sharedRead) run(read func() error) {
	err := read()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err == nil {
		r.readAt = time.Now()
	} else {
		r.failedAt = time.Now()
	}
	close(r.running)
	r.running = nil
}
