package gateway

import (
	"sync"
	"time"

	"sycamoretrail/internal/eventlog"
)

// Events of the log, one line each. Lines on a request carry its id.
const (
	// On requests: a place was given, refused, or the quota was used up; a target
	// was tried; a run broke off; the request ended.
	eventGranted = "granted"
	eventRefused = "refused"
	eventQuota   = "over_quota"
	eventTried   = "tried"
	eventBroken  = "run_broken"
	eventSettled = "settled"

	// On the process.
	eventStart       = "start"
	eventStop        = "stop"
	eventDrain       = "drain"
	eventReload      = "reload"
	eventPaused      = "paused"
	eventUndecodable = "undecodable"

	// On what it believes.
	eventConfiguration = "configuration"
	eventTarget        = "target"
	eventLimit         = "target_limit"
	eventPause         = "target_pause"
	eventPeer          = "peer"
	eventStoreLost     = "store_lost"
	eventStoreRegained = "store_regained"
	eventStoreRestored = "store_restored"
	eventReader        = "reader"
	eventOwnRead       = "own_read"
	eventSuspect       = "suspect"
	eventRollout       = "rollout"
)

// settle writes the last line of a request and counts it.
func (g *Gateway) settle(c *call, status int, reason string) {
	importance := eventlog.Failure
	if reason == "answered" && status < 400 {
		importance = eventlog.Routine
	}
	now := time.Now()
	fields := eventlog.Fields{
		"id": c.envelope.ID, "status": status, "reason": reason, "organisation": c.organisation, "service": c.service,
		"priority": c.priority, "total_ms": now.Sub(c.arrived).Milliseconds(), "sends": c.sends, "runs": c.runs,
	}
	if c.envelope.DeclaresTokens {
		fields["prompt"], fields["output"], fields["expected"] = c.envelope.PromptTokens, c.envelope.OutputTokens, c.envelope.ExpectedOutput
		fields["events"] = c.events
	}
	if !c.first.IsZero() {
		fields["first_ms"] = c.first.Sub(c.arrived).Milliseconds()
	}
	if c.config != nil {
		fields["version"] = c.config.Version
		fields["targets_age_ms"] = time.Since(g.targetsAsOf()).Milliseconds()
	}
	g.log.Write(importance, eventSettled, fields)
	g.counters.settled.add(reason)
	g.observe(c, reason, now)
}

// tally counts by word; it is safe for concurrent use.
type tally struct {
	mutex sync.Mutex
	count map[string]int64
}

func (t *tally) add(word string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.count == nil {
		t.count = make(map[string]int64)
	}
	t.count[word]++
}

func (t *tally) each(report func(word string, n int64)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for word, n := range t.count {
		report(word, n)
	}
}
