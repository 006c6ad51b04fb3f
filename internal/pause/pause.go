// Package pause notices that this process did not run for a while: it was stopped, its machine was
// suspended, or it got no processor time. What it learned before may no longer hold.
package pause

import (
	"context"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

const (
	// interval is the time between two looks at the clock, shortest the least delay that counts
	// as a pause: scheduling alone causes some milliseconds.
	interval = 100 * time.Millisecond
	shortest = 300 * time.Millisecond
	// clockBoottime is the clock that goes on while the machine is suspended, unlike the one
	// that package time uses.
	clockBoottime = 7
)

// Detector detects pauses of the process. The zero value has seen none, and sees none before Run is
// called. It is safe for concurrent use.
type Detector struct {
	mutex sync.Mutex
	// lastRun is when the process was last seen running, lastBoot the same by the boot clock; zero
	// before Run.
	lastRun  time.Time
	lastBoot time.Duration
	// noticed is when the last pause was noticed.
	noticed time.Time
}

// Pause is a time for which the process did not run.
type Pause struct {
	Length time.Duration
	// Suspended is the part for which the machine was suspended. Timers and the clock of package time
	// stood still meanwhile.
	Suspended time.Duration
}

// Run looks for pauses until the context ends, and reports each one.
func (d *Detector) Run(ctx context.Context, report func(Pause)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	d.start()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if p, paused := d.check(); paused {
				report(p)
			}
		}
	}
}

func (d *Detector) start() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.lastRun, d.lastBoot = time.Now(), bootTime()
}

// check returns the pause since the last call, if there was one.
func (d *Detector) check() (p Pause, paused bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now, boot := time.Now(), bootTime()
	p = Pause{Length: boot - d.lastBoot - interval, Suspended: boot - d.lastBoot - now.Sub(d.lastRun)}
	d.lastRun, d.lastBoot = now, boot
	if p.Length < shortest {
		return Pause{}, false
	}
	d.noticed = now
	return p, true
}

// Since reports whether the process has been paused since a time, also if Run has not noticed it yet.
func (d *Detector) Since(t time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	unnoticed := !d.lastRun.IsZero() && bootTime()-d.lastBoot-interval >= shortest
	return unnoticed || d.noticed.After(t)
}

// bootTime returns the time since the machine started, suspensions included.
func bootTime() time.Duration {
	var ts syscall.Timespec
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockBoottime, uintptr(unsafe.Pointer(&ts)), 0); errno != 0 {
		return 0
	}
	return time.Duration(ts.Nano())
}
