package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"sycamoretrail/platform/platformtest"
)

const (
	host = "desk.example"
	key  = "key-1"
	// desk and lookup are services.
	desk, lookup = "desk", "lookup"
	// heartbeat is heartbeat_ms of the small deployments.
	heartbeat = 1200 * time.Millisecond
	workTime  = 20 * time.Millisecond
	// settleTime is longer than stable_window_ms and config_apply_ms of the small deployments.
	settleTime = 4 * time.Second
	// requestTimeout is the timeout of most routes, and how long their callers wait.
	requestTimeout = 1500 * time.Millisecond
	callers        = 10
)

var (
	errNotReady    = errors.New("a gateway did not become ready")
	errFewRequests = errors.New("too few requests were sent")
)

// world is the platform of one trial: the store, the servers, the gateways and what they did.
type world struct {
	dir      string
	store    *platformtest.Store
	gateways []*gateway
	servers  []*platformtest.Server
	record   *record
	// arrivals are the requests that reached servers, calls those that clients sent.
	arrivals arrivals
	calls    calls
	// quota is what the configuration says of the organisation's quota.
	quota map[string]any
}

// arrivals are the times at which requests reached the servers of each version.
type arrivals struct {
	mutex sync.Mutex
	times map[string][]time.Time
}

func (a *arrivals) add(version string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.times == nil {
		a.times = make(map[string][]time.Time)
	}
	a.times[version] = append(a.times[version], time.Now())
}

// between returns the arrivals at a version, or at all versions, in a time.
func (a *arrivals) between(version string, from, to time.Time) (n int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for each, times := range a.times {
		for _, at := range times {
			if (version == "" || version == each) && at.After(from) && at.Before(to) {
				n++
			}
		}
	}
	return n
}

// calls are the requests that clients sent, and whether they were served.
type calls struct {
	mutex sync.Mutex
	list  []clientCall
}

type clientCall struct {
	path   string
	sent   time.Time
	served bool
}

func (c *calls) add(call clientCall) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.list = append(c.list, call)
}

// served returns the number of requests on a path sent since a time, and of those that were served.
func (c *calls) served(path string, since time.Time) (sent, served int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, call := range c.list {
		if !strings.HasPrefix(call.path, path) || call.sent.Before(since) {
			continue
		}
		sent++
		if call.served {
			served++
		}
	}
	return sent, served
}

// record is the file in which a trial notes what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *bufio.Writer
	close func() error
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: bufio.NewWriter(file), close: file.Close, began: time.Now()}, nil
}

func (r *record) notef(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.file, format+"\n", arguments...)
}

func (r *record) end() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.file.Flush()
	_ = r.close()
}

// gateway is one process of the system.
type gateway struct {
	name, path, log           string
	callers, ready, directory string
	process                   *exec.Cmd
	mutex                     sync.Mutex
	ended                     chan struct{}
}

// newWorld starts the store.
func newWorld(recordPath string) (*world, error) {
	dir, err := os.MkdirTemp("", "trial")
	if err != nil {
		return nil, err
	}
	store, err := platformtest.NewStore()
	if err != nil {
		return nil, err
	}
	r, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	return &world{dir: dir, store: store, record: r}, nil
}

func (w *world) close() {
	for _, g := range w.gateways {
		g.kill(syscall.SIGKILL)
	}
	for _, s := range w.servers {
		s.Close()
	}
	w.store.Close()
	w.record.end()
	_ = os.RemoveAll(w.dir)
}

// reportf records and prints a result.
func (w *world) reportf(format string, arguments ...any) {
	w.record.notef(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

// route returns a route of the configuration.
func route(service, prefix, kind string, attempts int) map[string]any {
	return routeFor(service, prefix, kind, attempts, requestTimeout)
}

func routeFor(service, prefix, kind string, attempts int, timeout time.Duration) map[string]any {
	return map[string]any{
		"name": strings.Trim(prefix, "/"), "host": host, "path_prefix": prefix, "service": service, "kind": kind, "attempts": attempts,
		"timeout_ms": timeout.Milliseconds(), "latency_target_ms": 300, "priority": 1, "public": false, "resumable": false,
	}
}

// configure writes a configuration.
func (w *world) configure(version int, services []string, routes ...map[string]any) error {
	w.record.notef("operator writes configuration %d", version)
	listed := make([]any, 0, len(services))
	for _, name := range services {
		listed = append(listed, map[string]any{"name": name, "health_path": platformtest.HealthPath, "max_conns": 96})
	}
	tenant := map[string]any{"name": "tenant-1", "api_keys": []string{key}}
	maps.Copy(tenant, w.quota)
	return w.store.PutJSON("keyed.op", "config", map[string]any{
		"version": version, "routes": routes, "services": listed,
		"tenants": []any{tenant},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// startGateways starts processes as the deploy file does and waits until they are ready.
func (w *world) startGateways(n int) error {
	for i := range n {
		if err := w.addGateway(i); err != nil {
			return err
		}
	}
	for _, g := range w.gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	for _, g := range w.gateways {
		if err := g.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) addGateway(number int) error {
	var free [5]string
	for i := range free {
		address, err := platformtest.FreeAddress()
		if err != nil {
			return err
		}
		free[i] = address
	}
	g := &gateway{name: fmt.Sprintf("front-%d", number), callers: free[0], directory: free[1], ready: free[2]}
	settings, err := json.Marshal(map[string]any{
		"name": g.name, "zone": "a", "regions": map[string]string{"a": "r"},
		"callers_address": free[0], "directory_address": free[1], "ready_address": free[2], "metrics_address": free[3], "links_address": free[4],
		"store_address": w.store.Address(), "memory_mb": 284, "max_descriptors": 4100,
		"bounds": map[string]any{
			"drain_ms": 2000, "configuration_ms": 2000, "grace_s": 8, "list_life_s": 5, "retry_ratio": 0.2, "retry_extra": 52, "retry_window_s": 10,
			"quota_window_s": 8, "quota_overshoot": 0.1, "exposure_share": exposureShare, "rollback_ms": 5000, "quota_slack": 190000,
		},
	})
	if err != nil {
		return err
	}
	g.path, g.log = filepath.Join(w.dir, g.name+".json"), filepath.Join(w.dir, g.name+".log")
	w.gateways = append(w.gateways, g)
	return os.WriteFile(g.path, settings, 0o600)
}

func (g *gateway) start() error {
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	process := exec.Command("target/sycamore-gateway", "run", "--settings", g.path)
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	g.mutex.Lock()
	g.process, g.ended = process, ended
	g.mutex.Unlock()
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	return nil
}

// kill ends the process by a signal and waits for its end.
func (g *gateway) kill(s syscall.Signal) {
	g.mutex.Lock()
	process, ended := g.process, g.ended
	g.process = nil
	g.mutex.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Signal(s)
	_ = process.Process.Signal(syscall.SIGCONT)
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		_ = process.Process.Kill()
		<-ended
	}
}

func (g *gateway) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + g.ready + "/api/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%w: %s", errNotReady, g.name)
}

// newClient returns an HTTP client that keeps connections, as callers do.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 8, IdleConnTimeout: 10 * time.Second, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
}

// send sends a request to a gateway and records what became of it.
func (w *world) send(client *http.Client, g *gateway, method, uri, id, body string, headers ...string) {
	sent := time.Now()
	w.record.notef("client sends %s to %s", id, g.name)
	status, err := request(client, g.callers, method, uri, id, body, headers)
	w.record.notef("client got %d for %s, error %v", status, id, err)
	w.calls.add(clientCall{path: uri, sent: sent, served: err == nil && status < http.StatusBadRequest})
}

func request(client *http.Client, address, method, uri, id, body string, headers []string) (status int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+uri, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Host = host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	r.Header.Set("Authorization", "Token "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// keepCalling sends requests that may and may not be repeated by turns, at a steady pace, until stop is called.
func (w *world) keepCalling(unsafe, safe string) (stop func()) {
	ended := make(chan struct{})
	var done sync.WaitGroup
	for i := range callers {
		done.Add(1)
		go func() {
			defer done.Done()
			client := newClient()
			for n := 0; ; n++ {
				select {
				case <-ended:
					return
				case <-time.After(40*time.Millisecond + rand.N(20*time.Millisecond)):
				}
				id, g := fmt.Sprintf("c%d-%d", i, n), w.gateways[rand.IntN(len(w.gateways))]
				if n%2 == 0 {
					w.send(client, g, http.MethodPost, unsafe+"x", id, "approve")
				} else {
					w.send(client, g, http.MethodGet, safe+"x", id, "")
				}
			}
		}()
	}
	return func() {
		close(ended)
		done.Wait()
	}
}
