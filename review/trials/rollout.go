package main

import (
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"sycamoretrail/platform/platformtest"
)

const (
	// exposureShare and exposureSlack are the bounds of the deployments with roll-outs.
	exposureShare = 0.1
	exposureSlack = 50
	rolloutFor    = 12 * time.Second
	// abortAfter is the time from an order to the next one.
	abortAfter  = 1200 * time.Millisecond
	serverSlots = 6
)

// fails reports whether a server of a version fails the n-th of its requests.
type fails func(method string, n int64) bool

func never(string, int64) bool { return false }

// startVersion starts and registers servers of a version of a service.
func (w *world) startVersion(service, version string, count int, failing fails) error {
	for i := range count {
		id := fmt.Sprintf("i-%s-%s-%d", service, version, i)
		var served atomic.Int64
		server, err := platformtest.NewServer(id, service, func(a *platformtest.Arrival) {
			w.arrivals.add(version)
			w.record.notef("server %s runs %s", id, a.ID())
			time.Sleep(workTime)
			if failing(a.Method, served.Add(1)) {
				a.Answer(500, "", "failed")
				return
			}
			a.Answer(200, "", "answer to "+a.ID())
		})
		if err != nil {
			return err
		}
		w.servers = append(w.servers, server)
		server.Version = version
		go w.beat(server)
		w.record.notef("server %s of version %s registers", id, version)
	}
	return nil
}

// beat writes a server's entry as servers do.
func (w *world) beat(server *platformtest.Server) {
	for seq := 1; ; seq++ {
		entry := server.Entry("ready", serverSlots)
		entry["seq"] = seq
		_ = w.store.PutJSON("keyed.servers", server.ID, entry)
		time.Sleep(heartbeat)
	}
}

func (w *world) order(service, to string) error {
	w.record.notef("operator orders version %s of %s", to, service)
	return w.store.PutJSON("keyed.op", "rollout/"+service, map[string]any{"service": service, "to": to, "duration_s": rolloutFor.Seconds()})
}

// noteStatus records the state that the operator reads.
func (w *world) noteStatus(service string) {
	var status struct{ State, To string }
	_ = json.Unmarshal(w.store.Get("keyed.status", "rollout/"+service), &status)
	w.record.notef("operator reads status %q of version %q", status.State, status.To)
}

// trialFormerVersion orders a bad version, and with trouble orders the former one again soon after.
func trialFormerVersion(w *world, trouble bool) (broken bool, err error) {
	if err := w.configure(1, []string{desk}, route(desk, "/approve/", "unsafe", 1), route(desk, "/status/", "safe", 2)); err != nil {
		return false, err
	}
	if err := w.startVersion(desk, "v1", 3, never); err != nil {
		return false, err
	}
	if err := w.startGateways(3); err != nil {
		return false, err
	}
	stop := w.keepCalling("/approve/", "/status/")
	defer stop()
	time.Sleep(settleTime)

	ordered := time.Now()
	if err := w.order(desk, "v2"); err != nil {
		return false, err
	}
	// A third of the answers of the new version are failures.
	if err := w.startVersion(desk, "v2", 3, func(_ string, n int64) bool { return n%3 == 0 }); err != nil {
		return false, err
	}
	time.Sleep(abortAfter)
	if trouble {
		if err := w.order(desk, "v1"); err != nil {
			return false, err
		}
	}
	deadline := ordered.Add(rolloutFor)
	time.Sleep(time.Until(deadline))
	w.noteStatus(desk)
	all, exposed := w.arrivals.between("", ordered, deadline), w.arrivals.between("v2", ordered, deadline)
	allowed := exposureShare*float64(all) + exposureSlack
	w.reportf("between the order of v2 and its deadline %d requests reached the service, %d of them v2; allowed are %.0f", all, exposed, allowed)
	return float64(exposed) > allowed, nil
}

const (
	// judgedFor is the time in which routes are compared, minCompared the number of requests that the rule asks
	// for, leastShare the least share as which later routes are served.
	judgedFor   = 15 * time.Second
	minCompared = 20
	leastShare  = 0.25
	// failsEach is the share of failures of an ordinary class of requests: one in so many, as the sheet has it.
	failsEach = 7
)

// trialVersionInService has a service on routes that were added later, and with trouble orders the version of it
// that is in service.
func trialVersionInService(w *world, trouble bool) (broken bool, err error) {
	if err := w.startVersion(desk, "v1", 3, never); err != nil {
		return false, err
	}
	if err := w.startVersion(lookup, "v2", 3, func(_ string, n int64) bool { return n%failsEach == 0 }); err != nil {
		return false, err
	}
	first, later := route(desk, "/approve/", "unsafe", 1), route(lookup, "/status/", "safe", 2)
	if err := w.configure(1, []string{desk, lookup}, first); err != nil {
		return false, err
	}
	if err := w.startGateways(3); err != nil {
		return false, err
	}
	if err := w.configure(2, []string{desk, lookup}, first, later); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	stop := w.keepCalling("/approve/", "/status/")
	defer stop()
	time.Sleep(settleTime)
	if trouble {
		if err := w.order(lookup, "v2"); err != nil {
			return false, err
		}
	}
	time.Sleep(settleTime)
	from := time.Now()
	time.Sleep(judgedFor)
	w.noteStatus(lookup)
	firstSent, firstServed := w.calls.served("/approve/", from)
	laterSent, laterServed := w.calls.served("/status/", from)
	w.reportf("on the first route %d of %d requests were served, on the later one %d of %d", firstServed, firstSent, laterServed, laterSent)
	if laterSent < minCompared || firstSent < minCompared {
		return false, errFewRequests
	}
	return float64(laterServed)/float64(laterSent) < leastShare*float64(firstServed)/float64(firstSent), nil
}
