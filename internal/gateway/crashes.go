package gateway

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamoretrail/internal/core/crashes"
	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/eventlog"
)

// Requests that crash the targets that run them, and what such requests have in common.

// checkCrashes refuses a request that crashes targets. It returns nil if the request may run.
func (c *call) checkCrashes() *reply {
	c.fingerprint = c.computeFingerprint()
	c.causes = append(sharedCauses(c.service, c.envelope.SharedParts), c.fingerprint.Cause())
	if d := c.gateway.state.checkCauses(c.causes); d.Refused {
		return refusalFor(d)
	}
	return nil
}

// refusalFor returns the reply to a request that is refused because of one of its causes.
func refusalFor(d crashes.Decision) *reply {
	if d.Cause.Kind == crashes.Request {
		return crashesTargets.after(d.RetryAfter)
	}
	return crashingPart.after(d.RetryAfter)
}

// computeFingerprint returns a hash of what repeated attempts of one request have in common:
// organisation, request URI and body.
func (c *call) computeFingerprint() crashes.Fingerprint {
	digest := xxhash.New()
	for _, part := range [][]byte{[]byte(c.organisation), c.ctx.Request.Header.RequestURI(), c.body} {
		_, _ = digest.Write(part)
		_, _ = digest.Write([]byte{0})
	}
	return crashes.Fingerprint(digest.Sum64())
}

// maxPartID bounds the ids of parts, in bytes, so that all parts of a prompt fit a datagram. Longer ones
// are replaced by a hash, which log lines and the settings then name.
const maxPartID = 16

// sharedCauses returns the parts of a prompt that requests to a service have in common with others.
func sharedCauses(service string, parts []string) []crashes.Cause {
	causes := make([]crashes.Cause, 0, len(parts)+1)
	for _, id := range parts {
		if len(id) > maxPartID {
			id = crashes.Fingerprint(xxhash.Sum64String(id)).String()
		}
		causes = append(causes, crashes.Cause{Kind: crashes.Part, Service: service, ID: id})
	}
	return causes
}

// claimRun returns the reply to a request that must not run because of what it has in common with
// requests that crashed targets, or nil. A run that is let through as a probe is announced.
func (c *call) claimRun() *reply {
	if c.runs > 0 && !c.mayRunAgain() {
		return crashingPart
	}
	d := c.gateway.state.claimRun(c.causes)
	switch {
	case d.Refused:
		return refusalFor(d)
	case d.Probe:
		c.onProbe = &d.Cause
		c.gateway.log.Write(eventlog.StateChange, eventsOfCauses[d.Cause.Kind].probe, eventlog.Fields{
			"id": c.envelope.ID, d.Cause.Kind.String(): d.Cause.ID, "service": d.Cause.Service, "probe": d.Stage,
		})
		c.gateway.links.announceProbe(d.Cause, d.Stage)
	}
	return nil
}

// mayRunAgain reports whether a request whose run broke may go to a further target.
func (c *call) mayRunAgain() bool { return c.gateway.state.mayRunAgain(c.causes) }

// countBrokenRun counts a run that broke against the request and its parts, at this entry and at the
// others.
func (c *call) countBrokenRun(grant *dispatch.Grant, began time.Time) {
	c.onProbe = nil
	target, ran := grant.Target.Incarnation(), time.Since(began)
	evidence := c.gateway.state.evidenceOf(c.causes)
	added, count := c.gateway.state.countCauses(target, ran, evidence)
	if len(added) == 0 {
		return
	}
	c.gateway.log.Write(eventlog.Failure, eventBroken, eventlog.Fields{
		"id": c.envelope.ID, "target": target, "fingerprint": c.fingerprint.String(), "count": count, "parts": c.envelope.SharedParts,
	})
	c.gateway.links.announceCrash(c, target, ran, evidence)
}

// recordVerdict drops what counts against a request, here and at the other entries, once a target has
// answered it. A failure of the target's own speaks for the request only: it may come before the
// target has looked at the prompt.
func (c *call) recordVerdict(outcome dispatch.Outcome, status int) {
	var answered []crashes.Cause
	switch {
	case outcome == dispatch.Answered && status < http.StatusBadRequest:
		answered = c.causes
	case outcome == dispatch.Failed && status >= http.StatusInternalServerError:
		answered = c.causes[len(c.causes)-1:]
	default:
		return
	}
	if c.onProbe != nil && slices.Contains(answered, *c.onProbe) {
		c.onProbe = nil
	}
	cleared, soon := c.gateway.state.recordAnswer(answered)
	for _, cause := range cleared {
		fields := eventlog.Fields{"id": c.envelope.ID, "kind": cause.Kind.String(), "cause": cause.ID}
		if cause.Kind == crashes.Request {
			fields["fingerprint"] = cause.ID
		}
		c.gateway.log.Write(eventlog.StateChange, eventCleared, fields)
	}
	c.gateway.links.announceCleared(cleared)
	c.gateway.links.announceClearedSoon(soon)
}

// endProbe gives up a probe that has shown nothing.
func (c *call) endProbe() {
	if c.onProbe != nil {
		c.gateway.state.endProbe(*c.onProbe)
	}
}

// randomPart returns a random part of a duration.
func randomPart(d time.Duration) time.Duration { return rand.N(d + 1) }
