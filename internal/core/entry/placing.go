package entry

import (
	"time"

	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/quarantine"
	"sycamoretrail/internal/core/routing"
)

const (
	// triesBeforeFinal is how many targets may refuse an offer before the next
	// offer is final, that is, its refusal is decided for the whole pool.
	triesBeforeFinal = 2
	// placementRetryWait is the pause before an offer is placed again after the
	// target's scheduler changed or no target was available.
	placementRetryWait = 50 * time.Millisecond
	// grantMargin shortens the validity of a grant, so that the dispatch starts
	// before the grant ends.
	grantMargin = 5 * time.Millisecond
)

// place chooses a target for a flight and offers the flight to its scheduler.
func (e *Entry) place(f *flight) {
	if !e.now.Before(f.req.Deadline) {
		e.refusePastDeadline(f, outcome.ReasonDeadlinePassed)
		return
	}
	if e.waitsForQuorum(f) {
		f.stage = stageWaiting
		e.wakeAt(f, e.now.Add(placementRetryWait))
		return
	}
	if len(f.tried) >= triesBeforeFinal && e.mayWait(f) {
		e.pauseOffers(f)
		return
	}
	target, status := e.choose(f)
	if !status.OK() {
		e.noTarget(f, status)
		return
	}
	f.final = f.final || len(f.tried) >= triesBeforeFinal || e.lastCandidate(f)
	e.offerAt(f, target)
}

// waitsForQuorum reports whether to hold a request back briefly because this
// entry has no quorum. After a pause or a short network partition the next
// heartbeats restore it. Until then every scheduler that it can reach would
// refuse work below the top tier, and an entry that sees only itself would offer
// to itself, where a takeover must first wait for reports.
func (e *Entry) waitsForQuorum(f *flight) bool {
	if e.quorum || e.cfg.Policy != PolicyScheduler || f.req.Tier == 0 && len(e.members.Live()) > 1 {
		return false
	}
	return e.now.Sub(e.quorumLostAt) < e.timing.silence && e.poolMayRecover(f)
}

// noTarget handles a pool in which no target can be chosen. Once all targets
// were tried, the best of them gets a final offer.
func (e *Entry) noTarget(f *flight, status routing.Status) {
	if len(f.tried) > 0 {
		alreadyFinal := f.final
		f.tried = f.tried[:0]
		f.final = true
		if alreadyFinal {
			// Every target has refused the final offer as well. Where this
			// entry schedules all of them itself, offering again at once would
			// loop forever within one step.
			f.stage = stageWaiting
			e.wakeAt(f, e.now.Add(placementRetryWait))
			return
		}
		var target string
		if target, status = e.choose(f); status.OK() {
			e.offerAt(f, target)
			return
		}
	}
	switch {
	case status == routing.NoneInTime:
		// Waiting only makes it later, and preempting another tier does not
		// make a target faster, so the caller gets the refusal at once.
		e.refusePastDeadline(f, outcome.ReasonDeadline)
	case e.poolMayRecover(f):
		f.stage = stageWaiting
		e.wakeAt(f, e.now.Add(placementRetryWait))
	default:
		e.abandon(f, outcome.Refused(outcome.ReasonNoTarget, e.jitter(retrySoon), "no target of the pool is available"))
	}
}

// poolMayRecover reports whether to wait for a pool that has no available
// target: a change of schedulers or a failed probe often passes within the
// failure-detection timeout.
func (e *Entry) poolMayRecover(f *flight) bool {
	return e.now.Sub(f.req.Arrived) < e.timing.silence
}

func (e *Entry) choose(f *flight) (string, routing.Status) {
	exclude := func(target string) bool { return f.hasTried(target) }
	if e.cfg.Policy == PolicyIndependent {
		return e.router.TwoChoices(e.now, &f.req, exclude)
	}
	return e.router.Choose(e.now, &f.req, exclude)
}

func (e *Entry) lastCandidate(f *flight) bool {
	return e.router.LastCandidate(e.now, &f.req, func(target string) bool { return f.hasTried(target) })
}

// offerAt offers the flight to the scheduler of a target.
func (e *Entry) offerAt(f *flight, target string) {
	f.target = target
	f.scheduler = e.schedulerOf(target)
	f.onShare = false
	if f.scheduler == "" && e.state == message.Draining {
		// No other entry is left to take over the targets. Requests that still
		// arrive use this entry's share.
		f.stage, f.onShare = stageOffered, true
		f.offeredAt = e.now
		e.sendOffer(f)
		return
	}
	if f.scheduler == "" {
		f.stage = stageWaiting
		e.wakeAt(f, e.now.Add(placementRetryWait))
		return
	}
	f.stage = stageOffered
	f.acknowledged = false
	f.offeredAt = e.now
	e.router.Offered(e.now, target)
	e.recordDecision(Decision{ID: f.req.ID, Event: EventOffered, Target: target, Tier: f.req.Tier, Detail: string(f.scheduler)})
	e.sendOffer(f)
}

// sendOffer sends or refreshes the flight's current offer.
func (e *Entry) sendOffer(f *flight) {
	e.requestSeq++
	f.rememberOffer(sentOffer{number: e.requestSeq, sent: e.now})
	offer := e.offer(f)
	e.wakeAt(f, earlier(e.now.Add(e.timing.grant/2), f.req.Deadline))
	if f.onShare {
		e.perform(e.shareScheduler.Offer(e.now, e.cfg.Self.Incarnation, offer), fromShare)
		return
	}
	e.send(f.scheduler, offer)
}

func (e *Entry) offer(f *flight) message.Offer {
	offer := message.Offer{
		Seq: e.requestSeq, ID: f.req.ID, Target: f.target,
		Organisation: f.req.Organisation, Tier: f.req.Tier, Kind: f.req.Kind,
		PromptTokens: f.req.PromptTokens, MaxTokens: f.req.MaxTokens,
		Idempotent: f.req.Idempotent || !e.enabled(guardRepeat), Fingerprint: f.req.Fingerprint,
		Remaining: f.req.Deadline.Sub(e.now),
		Isolated:  e.suspects.Check(e.now, f.req.Fingerprint) == quarantine.Suspect,
		Final:     f.final && !f.onShare,
	}
	if !f.req.FirstTokenBy.IsZero() {
		offer.FirstToken = f.req.FirstTokenBy.Sub(e.now)
	}
	return offer
}

// handleOfferTimer refreshes a pending offer, moves it when the target's
// scheduler changed, and falls back to another target or this entry's share
// when the scheduler is unresponsive.
func (e *Entry) handleOfferTimer(f *flight) {
	if !e.now.Before(f.req.Deadline) {
		e.refusePastDeadline(f, outcome.ReasonDeadlinePassed)
		return
	}
	if !f.onShare && e.schedulerOf(f.target) != f.scheduler {
		e.withdraw(f)
		e.offerAt(f, f.target)
		return
	}
	if !f.onShare && !f.acknowledged && e.now.Sub(f.offeredAt) >= e.timing.grant {
		e.schedulerUnresponsive(f)
		return
	}
	e.sendOffer(f)
}

// schedulerUnresponsive moves a flight whose scheduler does not answer to
// another target or, if there is none, to this entry's share of the target. The
// share comes last because it is small: a request that it refuses has lost the
// time in which other targets could have served it.
func (e *Entry) schedulerUnresponsive(f *flight) {
	e.withdraw(f)
	if !f.hasTried(f.target) {
		f.tried = append(f.tried, f.target)
		if target, status := e.choose(f); status.OK() {
			e.offerAt(f, target)
			return
		}
	}
	f.stage = stageOffered
	f.onShare = true
	f.offeredAt = e.now
	e.sendOffer(f)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
