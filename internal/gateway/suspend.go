package gateway

import (
	"context"
	"syscall"
	"time"
	"unsafe"

	"sycamoretrail/internal/eventlog"
)

const (
	// suspensionCheck is how often the clocks are compared, suspensionLeast the
	// difference that counts: scheduling alone makes some milliseconds.
	suspensionCheck = 200 * time.Millisecond
	suspensionLeast = 300 * time.Millisecond
	clockBoottime   = 7
)

// watchSuspension refreshes what this process believes after the instance was
// suspended. Timers and the steady clock stand still meanwhile, so knowledge that
// is seconds old would pass for fresh: only the boot clock shows the gap.
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
			if ahead < suspensionLeast {
				continue
			}
			start, offset = time.Now(), bootTime()
			g.log.Write(eventlog.Belief, eventPaused, eventlog.Fields{"suspended_ms": ahead.Milliseconds()})
			g.feeds.refresh()
		}
	}
}

// bootTime is the time since the instance started, suspensions included.
func bootTime() time.Duration {
	var ts syscall.Timespec
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockBoottime, uintptr(unsafe.Pointer(&ts)), 0); errno != 0 {
		return 0
	}
	return time.Duration(ts.Nano())
}
