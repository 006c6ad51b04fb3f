package capacity

import (
	"context"
	"time"
)

// watchEvery is the interval at which the memory of watched processes is read.
const watchEvery = 50 * time.Millisecond

// Watched is the resource use of processes while some work ran.
type Watched struct {
	// CPU is the total processor time of all processes, in seconds.
	CPU float64 `json:"cpu_seconds"`
	// ResidentBefore and ResidentMost are totals of all processes.
	ResidentBefore int64 `json:"resident_before_bytes"`
	ResidentMost   int64 `json:"resident_most_bytes"`
	// HeapBefore and HeapMost are from the entries' metrics, read once a second.
	HeapBefore int64   `json:"heap_before_bytes"`
	HeapMost   int64   `json:"heap_most_bytes"`
	LoadBefore float64 `json:"load_average_before"`
	LoadAfter  float64 `json:"load_average_after"`
}

// Watch runs work and meanwhile reads the resource use of the processes with the
// given ids. addresses are the callers' addresses of the entries, to read the heap.
func Watch(ctx context.Context, pids []int, addresses []string, work func(context.Context) error) (Watched, error) {
	w := Watched{LoadBefore: LoadAverage()}
	before, err := sumUsage(pids)
	if err != nil {
		return w, err
	}
	w.ResidentBefore, w.HeapBefore = before.Resident, sumHeap(addresses)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- work(ctx) }()
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	heapAt := time.Now()
	for {
		select {
		case err := <-done:
			after, usageErr := sumUsage(pids)
			if err == nil {
				err = usageErr
			}
			w.CPU = (after.CPU - before.CPU).Seconds()
			w.LoadAfter = LoadAverage()
			return w, err
		case now := <-ticker.C:
			if usage, err := sumUsage(pids); err == nil {
				w.ResidentMost = max(w.ResidentMost, usage.Resident)
			}
			if now.Sub(heapAt) >= time.Second {
				heapAt = now
				w.HeapMost = max(w.HeapMost, sumHeap(addresses))
			}
		}
	}
}

func sumUsage(pids []int) (Usage, error) {
	var sum Usage
	for _, pid := range pids {
		usage, err := ReadUsage(pid)
		if err != nil {
			return sum, err
		}
		sum.CPU += usage.CPU
		sum.Resident += usage.Resident
	}
	return sum, nil
}

func sumHeap(addresses []string) int64 {
	client := newHTTP()
	defer client.CloseIdleConnections()
	sum := 0.0
	for _, address := range addresses {
		if series, err := ReadMetrics(client, address); err == nil {
			sum += series.Gauge("process_heap_bytes")
		}
	}
	return int64(sum)
}
