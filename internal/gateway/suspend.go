package gateway

import (
	"context"
	"syscall"
	"time"
	"unsafe"

	"sycamoretrail/internal/eventlog"
)

const (
	// suspensionCheck is the interval at which the clocks are compared, minSuspension the smallest
	// difference that counts as a suspension: scheduling alone causes some milliseconds.
	suspensionCheck = 200 * time.Millisecond
	minSuspension   = 300 * time.Millisecond
	clockBoottime   = 7
)

// watchSuspension rereads the store after the instance was suspended. Timers and the monotonic
// clock stop during a suspension, so state that is seconds old would pass for fresh; only the
// boot clock shows the gap.
func (g *Gateway) watchSuspension(ctx context.Context) {
	ticker := time.NewTicker(suspensionCheck)
	defer ticker.Stop()
	start := time.Now()
	offset := bootTime()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			ahead := bootTime() - offset - time.Since(start)
			if ahead < minSuspension {
				continue
			}
			start, offset = time.Now(), bootTime()
			g.log.Write(eventlog.StateChange, eventPaused, eventlog.Fields{"suspended_ms": ahead.Milliseconds()})
			g.feeds.refresh()
		}
	}
}

// bootTime returns the time since the instance started, suspensions included.
func bootTime() time.Duration {
	var ts syscall.Timespec
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockBoottime, uintptr(unsafe.Pointer(&ts)), 0); errno != 0 {
		return 0
	}
	return time.Duration(ts.Nano())
}
