package gateway

import (
	"sync"
	"time"

	"sycamoretrail/internal/core/crashes"
	"sycamoretrail/internal/eventlog"
)

// Names of log events, one per line of the log. Lines about a request carry its id.
const (
	// Requests: a slot was granted or refused, the quota was used up, or the organisation's pace
	// was exceeded; a repeat was allowed or denied; a target was tried; a run was aborted; a
	// caller reconnected to a stream; the request ended.
	eventGranted   = "granted"
	eventRefused   = "refused"
	eventQuota     = "over_quota"
	eventExcess    = "excess"
	eventRepeat    = "repeat"
	eventTried     = "tried"
	eventHandedOff = "handed_off"
	eventBroken    = "run_broken"
	eventSettled   = "settled"
	eventReconnect = "reconnect"
	// An answer promises that a request has not run, which a target may have run.
	eventContradiction = "promise_contradicted"

	// The process.
	eventStart       = "start"
	eventStop        = "stop"
	eventDrain       = "drain"
	eventReload      = "reload"
	eventPaused      = "paused"
	eventUndecodable = "undecodable"
	// A listener could not accept a connection, and goes on.
	eventAcceptFailed = "accept_failed"
	// Connections were closed to make room, or for want of it.
	eventConnectionsShort = "connections_short"
	// The same and others, by reason: connections were closed in the last second to make room, for want of it, or because their client took too
	// long or sent no request that can be read.
	eventClientsClosed = "clients_closed"

	// The entry's view of configuration, targets, other entries and the store.
	eventConfiguration = "configuration"
	eventTarget        = "target"
	eventLimit         = "target_limit"
	eventBrittle       = "target_brittle"
	eventPause         = "target_pause"
	eventAdmission     = "admission"
	eventPeer          = "peer"
	eventIsolated      = "isolated"
	eventRegained      = "regained"
	eventStoreLost     = "store_lost"
	eventStoreRegained = "store_regained"
	eventStoreRestored = "store_restored"
	eventReader        = "reader"
	eventOwnRead       = "own_read"
	eventSuspect       = "suspect"
	eventRefuted       = "crash_refuted"
	eventCleared       = "cleared"
	eventRollout       = "rollout"
	eventLease         = "lease"

	// Origins of streams and versions of services were recorded in the store, or read from it.
	eventOriginsRecorded  = "origins_recorded"
	eventOriginsRead      = "origins_read"
	eventVersionsRecorded = "versions_recorded"
)

// causeEvents are the events of a cause of crashes.
type causeEvents struct{ refused, allowed, probe string }

// eventsOfCauses holds them by kind.
var eventsOfCauses = map[crashes.Kind]causeEvents{
	crashes.Part:    {"part_refused", "part_allowed", "part_probe"},
	crashes.Request: {"request_refused", "request_allowed", "request_probe"},
}

// settle writes the final log line of a request and counts it.
func (g *Gateway) settle(c *call, status int, reason string) {
	importance := eventlog.Failure
	if reason == "answered" && status < 400 {
		importance = eventlog.Routine
	}
	now := time.Now()
	fields := eventlog.Fields{
		"id": c.envelope.ID, "status": status, "reason": reason, "organisation": c.organisation, "service": c.service,
		"answered_by": c.answeredBy, "priority": c.priority, "total_ms": now.Sub(c.arrived).Milliseconds(), "sends": c.sends, "runs": c.runs,
	}
	if c.envelope.DeclaresTokens {
		fields["prompt"], fields["output"], fields["expected"] = c.envelope.PromptTokens, c.envelope.OutputTokens, c.envelope.ExpectedOutput
		fields["events"] = c.events
	}
	if c.closing && c.conn != nil {
		fields["client"] = c.conn.RemoteAddr().String()
	}
	if len(c.envelope.SharedParts) > 0 {
		fields["parts"] = c.envelope.SharedParts
	}
	if c.envelope.Resumes != "" || c.envelope.LastEvent != "" {
		fields["resumes"], fields["after_event"] = c.envelope.Resumes, c.envelope.LastEvent
	}
	if c.route != nil {
		fields["route"] = c.route.Prefix
	}
	if c.target != "" {
		fields["target"], fields["waited_ms"] = c.target, c.waited.Milliseconds()
	}
	if !c.firstAt.IsZero() {
		fields["first_ms"] = c.firstAt.Sub(c.arrived).Milliseconds()
	}
	if !c.lastEventAt.IsZero() {
		fields["longest_pause_ms"] = c.longestPause.Milliseconds()
	}
	if c.config != nil {
		fields["version"] = c.config.Version
		fields["targets_age_ms"] = time.Since(g.targetsAsOf()).Milliseconds()
	}
	g.log.Write(importance, eventSettled, fields)
	g.counters.settled.add(reason)
	g.observe(c, reason, now)
	c.noteContradiction(status)
}

// tally counts by key; it is safe for concurrent use.
type tally struct {
	mutex sync.Mutex
	count map[string]int64
}

func (t *tally) add(key string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.count == nil {
		t.count = make(map[string]int64)
	}
	t.count[key]++
}

func (t *tally) each(report func(key string, n int64)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for key, n := range t.count {
		report(key, n)
	}
}
