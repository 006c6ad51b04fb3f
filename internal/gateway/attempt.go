package gateway

import (
	"net/http"
	"time"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/eventlog"
)

// report releases the slot with the outcome, and writes the log line of the try.
func (c *call) report(grant *dispatch.Grant, began time.Time, outcome dispatch.Outcome, status int, err error) {
	took := time.Since(began)
	report := dispatch.Report{Outcome: outcome}
	if outcome == dispatch.Answered && c.route.Kind != catalog.Stream {
		report.Latency = took
	}
	c.reportAttempt(grant, report, took, status, err)
}

func (c *call) reportAttempt(grant *dispatch.Grant, report dispatch.Report, took time.Duration, status int, err error) {
	importance := eventlog.Failure
	if report.Outcome == dispatch.Answered || report.Outcome == dispatch.Abandoned {
		importance = eventlog.Routine
	}
	fields := eventlog.Fields{
		"id": c.envelope.ID, "target": grant.Target.ID, "address": grant.Target.Address, "outcome": report.Outcome.String(),
		"status": status, "took_ms": took.Milliseconds(), "send": c.sends, "run": c.runs, "target_version": grant.Target.Version,
	}
	if c.ending != nil {
		fields["framing"] = c.ending.framing
		fields["unfinished_bytes"] = c.ending.unfinished
		c.ending = nil
	}
	if report.First > 0 {
		fields["first_ms"] = report.First.Milliseconds()
		fields["longest_pause_ms"] = report.LongestPause.Milliseconds()
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	c.gateway.log.Write(importance, eventTried, fields)
	c.gateway.counters.tries.add(report.Outcome.String())
	c.clearIfAnswered(report.Outcome, status)
	c.gateway.state.recordObservation(c.service, c.route, grant, report, took)
	c.gateway.state.release(grant.Ticket, report)
}

// countBrokenRun counts an aborted run against the request's fingerprint, at this entry and at
// the others.
func (c *call) countBrokenRun(grant *dispatch.Grant) {
	target := grant.Target.Incarnation()
	isNew, count := c.gateway.state.countBroken(c.fingerprint, target)
	if !isNew {
		return
	}
	c.gateway.log.Write(eventlog.Failure, eventBroken, eventlog.Fields{
		"id": c.envelope.ID, "target": target, "fingerprint": c.fingerprint.String(), "count": count, "parts": c.envelope.SharedParts,
	})
	c.gateway.links.announceCrash(c.fingerprint, c.envelope.ID, target)
}

// clearIfAnswered drops the evidence that the request crashes targets, here and at the other
// entries, once a target has answered it.
func (c *call) clearIfAnswered(outcome dispatch.Outcome, status int) {
	ran := outcome == dispatch.Answered && status < http.StatusBadRequest || outcome == dispatch.Failed && status >= http.StatusInternalServerError
	if !ran || !c.gateway.state.clearCrashes(c.fingerprint) {
		return
	}
	c.gateway.log.Write(eventlog.StateChange, eventCleared, eventlog.Fields{"id": c.envelope.ID, "fingerprint": c.fingerprint.String()})
	c.gateway.links.announceCleared(c.fingerprint)
}
