package telemetry

import (
	"os"
	"runtime/metrics"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// ProcessUsage is the resource usage of this process.
type ProcessUsage struct {
	// CPU is user and system time since the start.
	CPU time.Duration
	// Resident is the resident memory of the process, Heap the part of live and not
	// yet collected objects; both in bytes. Resident is 0 if it cannot be read.
	Resident, Heap int64
	Goroutines     int64
}

const (
	heapMetric       = "/memory/classes/heap/objects:bytes"
	goroutinesMetric = "/sched/goroutines:goroutines"
	statmPath        = "/proc/self/statm"
	// statmResident is the index of the resident pages in statm.
	statmResident = 1
)

// ReadProcessUsage returns the current usage.
func ReadProcessUsage() ProcessUsage {
	samples := []metrics.Sample{{Name: heapMetric}, {Name: goroutinesMetric}}
	metrics.Read(samples)
	return ProcessUsage{
		CPU:        cpuTime(),
		Resident:   residentBytes(),
		Heap:       int64(samples[0].Value.Uint64()),
		Goroutines: int64(samples[1].Value.Uint64()),
	}
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func residentBytes() int64 {
	data, err := os.ReadFile(statmPath)
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) <= statmResident {
		return 0
	}
	pages, err := strconv.ParseInt(fields[statmResident], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
