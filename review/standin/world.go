package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"sycamoretrail/platform/platformtest"
)

// site holds the figures of a site that the settings of a gateway take.
type site struct {
	drainMS, applyMS, memoryMB int
	// repeats is the fixed part of the retry budget.
	repeats int
}

var (
	quebracho      = site{drainMS: 2000, applyMS: 2000, memoryMB: 284, repeats: 52}
	quebrachoGrown = site{drainMS: 3000, applyMS: 3000, memoryMB: 184, repeats: 178}
)

// Figures that the sites share.
const (
	graceS      = 8
	listLifeS   = 5
	descriptors = 4100
	// sockets is what the platform leaves to sockets and pipes, and files what a gateway holds besides:
	// its log, its settings and the descriptors of its runtime.
	sockets = descriptors - 200
	files   = 20
)

const (
	host       = "desk.example"
	zone       = "centro-a"
	region     = "ar-centro"
	gatewayBin = "target/sycamore-gateway"
	startLimit = 10 * time.Second
)

// world is a small deployment on loopback: the platform's store and some gateways.
type world struct {
	site     site
	dir      string
	record   *record
	store    *platformtest.Store
	gateways []*gateway
	routes   []map[string]any
	version  int
}

// gateway is one process of the system.
type gateway struct {
	name                             string
	callers, directory, ready, links string
	process                          *exec.Cmd
	ended                            chan struct{}
	output                           *os.File
}

func newWorld(r *record, at site) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	store, err := platformtest.NewStore()
	if err != nil {
		return nil, err
	}
	return &world{site: at, dir: dir, record: r, store: store}, nil
}

// route adds a route to the configuration that configure writes.
func (w *world) route(prefix, service, kind string, attempts int, timeout time.Duration, resumable bool) {
	w.routes = append(w.routes, map[string]any{
		"host": host, "path_prefix": prefix, "service": service, "kind": kind, "attempts": attempts,
		"timeout_ms": timeout.Milliseconds(), "latency_target_ms": 150, "gap_target_ms": 400, "priority": 0,
		"resumable": resumable,
	})
}

func (w *world) configure() error {
	w.version++
	return w.store.PutJSON("keyed.op", "config", map[string]any{
		"version": w.version, "routes": w.routes,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	})
}

// register writes a server's entry, as the server itself does at its start and in each heartbeat.
func (w *world) register(id, service, address string, slots, sequence int) error {
	return w.store.PutJSON("keyed.servers", id, map[string]any{
		"service": service, "address": address, "zone": zone, "version": "1", "slots": slots, "state": "ready",
		"cold_left_ms": 0, "seq": sequence,
	})
}

// start starts n gateways and waits until each is ready.
func (w *world) start(n int) error {
	for i := range n {
		g, err := w.startGateway(fmt.Sprintf("front-%s-%d", zone, i+1))
		if err != nil {
			return err
		}
		w.gateways = append(w.gateways, g)
	}
	for _, g := range w.gateways {
		if err := g.awaitReady(); err != nil {
			return err
		}
	}
	// Entries know each other and the registry after a few heartbeats.
	time.Sleep(2 * time.Second)
	return nil
}

func (w *world) startGateway(name string) (*gateway, error) {
	g := &gateway{name: name, ended: make(chan struct{})}
	for _, address := range []*string{&g.callers, &g.directory, &g.ready, &g.links} {
		free, err := platformtest.FreeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	settings := map[string]any{
		"name": name, "zone": zone, "regions": map[string]string{zone: region},
		"callers_address": g.callers, "directory_address": g.directory, "ready_address": g.ready,
		"links_address": g.links, "store_address": w.store.Address(), "memory_mb": w.site.memoryMB, "max_descriptors": descriptors,
		"bounds": map[string]any{
			"drain_ms": w.site.drainMS, "configuration_ms": w.site.applyMS, "grace_s": graceS, "list_life_s": listLifeS,
			"retry_ratio": 0.2, "retry_extra": w.site.repeats, "retry_window_s": 10, "quota_window_s": 8,
			"quota_overshoot": 0.1, "quota_slack": 190000,
		},
	}
	content, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(w.dir, name+".json")
	if err := os.WriteFile(file, content, 0o600); err != nil {
		return nil, err
	}
	if g.output, err = os.Create(filepath.Join(w.dir, name+".log")); err != nil {
		return nil, err
	}
	// The platform limits the sockets of a process.
	g.process = exec.Command("bash", "-c", `ulimit -n "$1" && shift && exec "$@"`, "bash", strconv.Itoa(sockets+files), gatewayBin, "run", "--settings", file)
	g.process.Env = environment()
	g.process.Stdout, g.process.Stderr = g.output, g.output
	g.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.process.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = g.process.Wait()
		close(g.ended)
	}()
	return g, nil
}

// environment returns the variables that the platform passes on.
func environment() []string {
	var kept []string
	for _, name := range []string{"PATH", "HOME", "LANG"} {
		kept = append(kept, name+"="+os.Getenv(name))
	}
	return kept
}

var errNotReady = errors.New("a gateway was not ready in time")

func (g *gateway) awaitReady() error {
	end := time.Now().Add(startLimit)
	for time.Now().Before(end) {
		if status, err := get(g.ready, "/api/readyz"); err == nil && status == 200 {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errNotReady
}

func (g *gateway) signal(s syscall.Signal) { _ = g.process.Process.Signal(s) }

func (w *world) close() {
	for _, g := range w.gateways {
		g.signal(syscall.SIGKILL)
		<-g.ended
		_ = g.output.Close()
	}
	w.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// record collects what was sent, answered and run, and writes it to a file.
type record struct {
	mutex sync.Mutex
	began time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file}, nil
}

// line writes one line with the time since the start.
func (r *record) line(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}
