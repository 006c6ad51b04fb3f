package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sycamoretrail/platform/platformtest"
)

// The case "crowded": most machines are lost, and their users come to the one that is left.
const (
	machines = 8
	users    = 2600
	// userEvery is the time between two requests of a user: 72 requests a second of all users.
	userEvery = 36 * time.Second
	userLimit = 4 * time.Second
	loseAt    = 38 * time.Second
	probeAt   = 78 * time.Second
	// stableWindow is the time without a new connection that breaks the rule; probes is the number of
	// clients that try meanwhile.
	stableWindow = 4 * time.Second
	probes       = 10
	statusServer = "status-1"
)

// user is one client. It keeps a connection to an entry, and one to the directory.
type user struct {
	crowd     *crowd
	directory net.Conn
	lists     *bufio.Reader
	entry     net.Conn
	answers   *bufio.Reader
	address   string
	// asked counts the directories that were asked.
	asked int
	// known is the last list of entries, refused the addresses that have failed since.
	known   []string
	refused map[string]bool
}

// crowd is all users.
type crowd struct {
	world  *world
	served atomic.Int64
	failed atomic.Int64
}

func (c *crowd) run(ctx context.Context, u *user, first time.Duration) {
	defer u.leave()
	timer := time.NewTimer(first)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(userEvery)
		if u.ask(ctx) {
			c.served.Add(1)
		} else {
			c.failed.Add(1)
		}
	}
}

// attempts is the number of tries of a request, each on a new connection.
const attempts = 3

// ask sends a request, and again if it fails.
func (u *user) ask(ctx context.Context) bool {
	for n := 0; n < attempts && ctx.Err() == nil; n++ {
		if u.request() {
			return true
		}
		u.closeEntry()
	}
	return false
}

// request asks where to connect and sends a request there, on the open connection if it can be used. A
// list is kept if there is no new one.
func (u *user) request() bool {
	if addresses, err := u.list(); err == nil {
		u.known = addresses
		u.refused = make(map[string]bool)
	}
	usable := slices.DeleteFunc(slices.Clone(u.known), func(address string) bool { return u.refused[address] })
	if len(usable) == 0 {
		return false
	}
	if u.entry == nil || !slices.Contains(usable, u.address) {
		u.closeEntry()
		u.address = usable[rand.IntN(len(usable))]
		if err := u.connect(); err != nil {
			u.refused[u.address] = true
			return false
		}
	}
	q := &request{id: fmt.Sprintf("%016x", rand.Uint64()), method: http.MethodGet, path: "/status/a", deadline: userLimit}
	if err := q.write(u.entry); err != nil {
		return false
	}
	_ = u.entry.SetReadDeadline(time.Now().Add(q.deadline))
	a := readAnswer(u.answers, q.method)
	if a.err == nil && a.header.Get("Connection") == "close" {
		u.closeEntry()
	}
	return a.status == http.StatusOK && a.err == nil
}

func (u *user) connect() error {
	conn, err := net.DialTimeout("tcp", u.address, connectLimit)
	if err != nil {
		return err
	}
	u.entry, u.answers = conn, bufio.NewReader(conn)
	return nil
}

// list asks up to three directories.
func (u *user) list() ([]string, error) {
	var err error
	for range 3 {
		if u.directory == nil {
			g := u.crowd.world.gateways[u.asked%machines]
			u.asked++
			if u.directory, err = net.DialTimeout("tcp", g.directory, connectLimit); err != nil {
				u.directory = nil
				continue
			}
			u.lists = bufio.NewReader(u.directory)
		}
		_, _ = fmt.Fprintf(u.directory, "GET /api/resolve?name=%s&region=%s&zone=%s HTTP/1.1\r\nHost: directory\r\n\r\n", host, region, zone)
		_ = u.directory.SetReadDeadline(time.Now().Add(time.Second))
		a := readAnswer(u.lists, http.MethodGet)
		var list struct {
			Addresses []string `json:"addresses"`
		}
		if a.status == http.StatusOK && a.err == nil && json.Unmarshal(a.body, &list) == nil {
			return list.Addresses, nil
		}
		err = a.err
		_ = u.directory.Close()
		u.directory = nil
	}
	return nil, err
}

func (u *user) closeEntry() {
	if u.entry != nil {
		_ = u.entry.Close()
		u.entry = nil
	}
}

func (u *user) leave() {
	u.closeEntry()
	if u.directory != nil {
		_ = u.directory.Close()
	}
}

func playCrowded(r *record, trouble bool) ([]string, error) {
	w, err := newWorld(r, quebrachoGrown)
	if err != nil {
		return nil, err
	}
	defer w.close()
	server, err := platformtest.NewServer(statusServer, "job-status", func(a *platformtest.Arrival) {
		time.Sleep(10 * time.Millisecond)
		a.Answer(http.StatusOK, "", "printed\n")
	})
	if err != nil {
		return nil, err
	}
	defer server.Close()
	if err := w.register(statusServer, "job-status", server.Address(), deskSlots, 1); err != nil {
		return nil, err
	}
	w.route("/status/", "job-status", "safe", 2, userLimit, false)
	if err := w.configure(); err != nil {
		return nil, err
	}
	if err := w.start(machines); err != nil {
		return nil, err
	}
	began := time.Now()
	c := &crowd{world: w}
	left := w.gateways[machines-1]
	check := newReadinessCheck(r, left)
	defer check.stop()
	ctx, leave := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for n := range users {
		running.Add(1)
		go func() {
			defer running.Done()
			c.run(ctx, &user{crowd: c, asked: n}, userEvery*time.Duration(n)/users)
		}()
	}
	reported := time.NewTicker(2 * time.Second)
	defer reported.Stop()
	lost := !trouble
	for range reported.C {
		r.line("so far %d requests of users were served, %d were not", c.served.Load(), c.failed.Load())
		if !lost && time.Since(began) > loseAt {
			lost = true
			for _, g := range w.gateways[:machines-1] {
				r.line("SIGKILL to %s, which is lost", g.name)
				g.signal(syscall.SIGKILL)
			}
		}
		if time.Since(began) > probeAt {
			break
		}
	}
	breaches := probe(r, left, check)
	leave()
	running.Wait()
	time.Sleep(2 * time.Second)
	r.line("all users have left")
	return append(breaches, probe(r, left, check)...), nil
}

// readinessCheck is the platform's check of an entry, once a second over a connection that is kept.
type readinessCheck struct {
	record  *record
	gateway *gateway
	client  http.Client
	done    chan struct{}
	mutex   sync.Mutex
	// unready counts the checks that weren't answered 200.
	checks, unready int
}

func newReadinessCheck(r *record, g *gateway) *readinessCheck {
	c := &readinessCheck{record: r, gateway: g, client: http.Client{Transport: &http.Transport{}, Timeout: time.Second}, done: make(chan struct{})}
	go c.run()
	return c
}

func (c *readinessCheck) run() {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		c.check()
		select {
		case <-c.done:
			return
		case <-ticker.C:
		}
	}
}

func (c *readinessCheck) check() {
	response, err := c.client.Get("http://" + c.gateway.ready + "/api/readyz")
	status := 0
	if err == nil {
		status = response.StatusCode
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	c.mutex.Lock()
	c.checks++
	if status != http.StatusOK {
		c.unready++
	}
	c.mutex.Unlock()
	c.record.line("readiness check of %s: status %d", c.gateway.name, status)
}

// counts returns the number of checks so far, and of those that weren't answered 200.
func (c *readinessCheck) counts() (checks, unready int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.checks, c.unready
}

func (c *readinessCheck) stop() { close(c.done) }

// probe lets clients try to reach an entry for a time. It returns a breach if the entry says all the while
// that it is ready and answers none of them.
func probe(r *record, g *gateway, check *readinessCheck) []string {
	checksBefore, unreadyBefore := check.counts()
	var answered atomic.Int64
	var running sync.WaitGroup
	for range probes {
		running.Add(1)
		go func() {
			defer running.Done()
			for end := time.Now().Add(stableWindow + time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				q := &request{id: fmt.Sprintf("%016x", rand.Uint64()), method: http.MethodGet, path: "/status/a", deadline: time.Second}
				a := q.send(g.callers)
				r.line("a new client of %s gets %v", g.name, a)
				if a.status != 0 {
					answered.Add(1)
					return
				}
			}
		}()
	}
	running.Wait()
	checks, unready := check.counts()
	r.line("%d of %d new clients were answered; of %d checks meanwhile %d found %s not ready", answered.Load(), probes, checks-checksBefore, unready-unreadyBefore, g.name)
	if checks > checksBefore && unready == unreadyBefore && answered.Load() == 0 {
		return []string{fmt.Sprintf("RECOVER: %s is ready and answered none of %d new clients in %v", g.name, probes, stableWindow+time.Second)}
	}
	return nil
}
