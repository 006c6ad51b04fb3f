package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"sycamoretrail/platform/platformtest"
)

const (
	// stableWindow is a bound of the small deployments, maxRetries that of the rule.
	stableWindow = 3 * time.Second
	maxRetries   = 3

	crashingServers = 12
	crashingSlots   = 4
	// crashesIn is how long a server works on the request before it crashes; backAfter are the "some seconds"
	// until a process takes its place.
	crashesIn = 30 * time.Millisecond
	backAfter = 2500 * time.Millisecond
	// The request comes in rounds, of which each has copies, at once or apart.
	rounds     = 5
	roundEvery = 4500 * time.Millisecond
	copies     = 4
	apart      = 400 * time.Millisecond
	crashing   = "this body crashes each server"
)

// crashers are the servers of a service of which one request crashes each.
type crashers struct {
	w       *world
	mutex   sync.Mutex
	started int
	up      map[*platformtest.Server]bool
	// arrivals are those of the crashing request, crashes the times at which it took down a server.
	arrivals, crashes []time.Time
	ended             bool
}

// start starts a process of a server and registers it.
func (c *crashers) start() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ended {
		return nil
	}
	c.started++
	id := fmt.Sprintf("i-%d", c.started)
	var server *platformtest.Server
	begun := make(chan struct{})
	server, err := platformtest.NewServer(id, desk, func(a *platformtest.Arrival) {
		<-begun
		c.serve(server, a)
	})
	if err != nil {
		return err
	}
	close(begun)
	c.up[server] = true
	go c.beat(server)
	return nil
}

// beat writes the server's entry as long as it runs. The store drops it after three intervals of silence.
func (c *crashers) beat(server *platformtest.Server) {
	for seq := 1; c.isUp(server); seq++ {
		entry := server.Entry("ready", crashingSlots)
		entry["seq"] = seq
		_ = c.w.store.PutJSON("keyed.servers", server.ID, entry)
		time.Sleep(heartbeat)
	}
	time.Sleep(2 * heartbeat)
	c.w.store.Put("keyed.servers", server.ID, nil)
}

func (c *crashers) isUp(server *platformtest.Server) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.up[server] && !c.ended
}

func (c *crashers) serve(server *platformtest.Server, a *platformtest.Arrival) {
	if a.Body != crashing {
		time.Sleep(workTime)
		a.Answer(200, "", "answer to "+a.ID())
		return
	}
	c.w.record.notef("server %s runs %s, which crashes it", server.ID, a.ID())
	c.mutex.Lock()
	c.arrivals = append(c.arrivals, time.Now())
	c.mutex.Unlock()
	time.Sleep(crashesIn)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.up[server] {
		return
	}
	delete(c.up, server)
	c.crashes = append(c.crashes, time.Now())
	c.w.record.notef("server %s crashes", server.ID)
	server.Close()
	time.AfterFunc(backAfter, func() { _ = c.start() })
}

// later returns the arrivals later than stable_window_ms after the third crash.
func (c *crashers) later() (later, arrivals, crashes int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, at := range c.arrivals {
		if len(c.crashes) >= 3 && at.After(c.crashes[2].Add(stableWindow)) {
			later++
		}
	}
	return later, len(c.arrivals), len(c.crashes)
}

func (c *crashers) end() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ended = true
	for server := range c.up {
		server.Close()
	}
}

// trialCrashingAtOnce sends a request that crashes the servers that run it. With trouble its caller repeats it at
// once, otherwise one copy after the other.
func trialCrashingAtOnce(w *world, trouble bool) (broken bool, err error) {
	if err := w.configure(1, []string{desk}, route(desk, "/approve/", "unsafe", 1), route(desk, "/status/", "safe", 2)); err != nil {
		return false, err
	}
	c := &crashers{w: w, up: make(map[*platformtest.Server]bool)}
	defer c.end()
	for range crashingServers {
		if err := c.start(); err != nil {
			return false, err
		}
	}
	if err := w.startGateways(6); err != nil {
		return false, err
	}
	stop := w.keepCalling("/approve/", "/status/")
	defer stop()
	time.Sleep(settleTime)
	var sent sync.WaitGroup
	for round := range rounds {
		began := time.Now()
		order := rand.Perm(len(w.gateways))
		for i := range copies {
			sent.Add(1)
			go func() {
				defer sent.Done()
				number := round*copies + i
				w.send(newClient(), w.gateways[order[i]], "POST", "/approve/order-7", fmt.Sprintf("crashing-%d", number), crashing)
			}()
			if !trouble {
				time.Sleep(apart)
			}
		}
		time.Sleep(time.Until(began.Add(roundEvery)))
	}
	sent.Wait()
	later, arrivals, crashes := c.later()
	w.reportf("of %d arrivals, which crashed %d servers, %d came later than %v after the third crash; allowed are %d", arrivals, crashes, later, stableWindow, maxRetries)
	return later > maxRetries, nil
}
