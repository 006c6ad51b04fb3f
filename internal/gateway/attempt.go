package gateway

import (
	"errors"
	"time"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/upstream"
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
	if report.Outcome == dispatch.TimedOut && c.endsWithStop() {
		report.Outcome = dispatch.Abandoned // it says nothing about the target
	}
	importance := eventlog.Failure
	if report.Outcome == dispatch.Answered || report.Outcome == dispatch.Abandoned {
		importance = eventlog.Routine
	}
	fields := eventlog.Fields{
		"id": c.envelope.ID, "target": grant.Target.ID, "address": grant.Target.Address, "outcome": report.Outcome.String(),
		"status": status, "declared_not_run": c.declaredNotRun, "took_ms": took.Milliseconds(), "send": c.sends, "run": c.runs, "target_version": grant.Target.Version,
	}
	c.addUse(fields)
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
	if errors.Is(err, upstream.ErrInvalidAnswer) {
		c.gateway.counters.invalidAnswers.add(c.service)
	}
	c.recordVerdict(report.Outcome, status)
	c.gateway.state.recordObservation(c.service, c.route, grant, report, took)
	c.gateway.state.release(grant.Ticket, report)
}

// addUse adds what is known of the connection that carried the current try.
func (c *call) addUse(fields eventlog.Fields) {
	if c.use == nil {
		return
	}
	fields["connection"], fields["connection_age_ms"] = c.use.Connection, c.use.Age.Milliseconds()
	fields["connection_requests"], fields["connection_kept"] = c.use.Earlier, c.kept
	if c.use.Skipped > 0 {
		fields["skipped_answers"], fields["skipped_bytes"] = c.use.Skipped, c.use.SkippedBytes
	}
	c.use = nil
}
