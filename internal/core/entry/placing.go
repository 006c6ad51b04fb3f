package entry

import (
	"time"

	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/routing"
	"sycamoretrail/internal/core/suspects"
)

const (
	// triesBeforeFinal is how many targets may turn an offer down before the
	// next is asked for the last word of the whole pool.
	triesBeforeFinal = 2
	// replaceWait is the pause before an offer is placed again after the
	// target's scheduler changed or no target was to be had.
	replaceWait = 50 * time.Millisecond
	// grantMargin is kept between a grant's end and the dispatch.
	grantMargin = 5 * time.Millisecond
)

// place chooses a target for a flight and offers it there.
func (e *Entry) place(f *flight) {
	if !e.now.Before(f.req.Deadline) {
		e.refuseLate(f, outcome.ReasonDeadlinePassed)
		return
	}
	if e.waitsForTouch(f) {
		f.stage = stageWaiting
		e.wakeAt(f, e.now.Add(replaceWait))
		return
	}
	if len(f.tried) >= triesBeforeFinal && e.patient(f) {
		e.rest(f)
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

// waitsForTouch holds a request back for a moment while this entry is out of
// touch with most members: after a pause or a short cut the next heartbeats end
// that. Until then every scheduler that it can see would refuse work below the
// top tier, and an entry that sees only itself would offer to itself, where a
// takeover must first wait for reports.
func (e *Entry) waitsForTouch(f *flight) bool {
	if e.quorum || e.cfg.Policy != PolicyScheduler || f.req.Tier == 0 && len(e.members.Live()) > 1 {
		return false
	}
	return e.now.Sub(e.quorumLost) < e.timing.silence && e.poolMayRecover(f)
}

// noTarget handles a pool of which no target can be chosen: once all were
// tried, the best of them is asked for the last word.
func (e *Entry) noTarget(f *flight, status routing.Status) {
	if len(f.tried) > 0 {
		askedAll := f.final
		f.tried = f.tried[:0]
		f.final = true
		if askedAll {
			// Every target has turned the last word down as well. Where this entry
			// schedules them all itself, asking again at once would go round for
			// ever within one step.
			f.stage = stageWaiting
			e.wakeAt(f, e.now.Add(replaceWait))
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
		// Waiting makes it only later, and no other tier's place makes a target
		// faster, so the caller is told at once.
		e.refuseLate(f, outcome.ReasonDeadline)
	case e.poolMayRecover(f):
		f.stage = stageWaiting
		e.wakeAt(f, e.now.Add(replaceWait))
	default:
		e.abandon(f, outcome.Refused(outcome.ReasonNoTarget, e.jitter(retrySoon), "no target of the pool is available"))
	}
}

// poolMayRecover gives a pool without a target a moment, since a change of
// schedulers or a failed probe often passes within the silence limit.
func (e *Entry) poolMayRecover(f *flight) bool {
	return e.now.Sub(f.req.Arrived) < e.timing.silence
}

func (e *Entry) choose(f *flight) (string, routing.Status) {
	exclude := func(target string) bool { return f.hasTried(target) }
	if e.cfg.Policy == PolicyAlone {
		return e.router.TwoChoices(e.now, &f.req, exclude)
	}
	return e.router.Choose(e.now, &f.req, exclude)
}

func (e *Entry) lastCandidate(f *flight) bool {
	return e.router.Last(e.now, &f.req, func(target string) bool { return f.hasTried(target) })
}

// offerAt offers the flight to the scheduler of a target.
func (e *Entry) offerAt(f *flight, target string) {
	f.target = target
	f.scheduler = e.schedulerOf(target)
	f.own = false
	if f.scheduler == "" && e.state == message.Draining {
		// Nobody is left to hand targets to; what callers may still bring is
		// served by this entry's own share.
		f.stage, f.own = stageOffered, true
		f.offeredAt = e.now
		e.sendOffer(f)
		return
	}
	if f.scheduler == "" {
		f.stage = stageWaiting
		e.wakeAt(f, e.now.Add(replaceWait))
		return
	}
	f.stage = stageOffered
	f.heard = false
	f.offeredAt = e.now
	e.router.Offered(e.now, target)
	e.note(Decision{ID: f.req.ID, Event: EventOffered, Target: target, Tier: f.req.Tier, Detail: string(f.scheduler)})
	e.sendOffer(f)
}

// sendOffer sends or refreshes the flight's present offer.
func (e *Entry) sendOffer(f *flight) {
	e.asks++
	f.remember(ask{number: e.asks, sent: e.now})
	offer := e.offer(f)
	e.wakeAt(f, earlier(e.now.Add(e.timing.grant/2), f.req.Deadline))
	if f.own {
		e.perform(e.share.Offer(e.now, e.cfg.Self.Incarnation, offer), fromShare)
		return
	}
	e.send(f.scheduler, offer)
}

func (e *Entry) offer(f *flight) message.Offer {
	offer := message.Offer{
		Ask: e.asks, ID: f.req.ID, Target: f.target,
		Organisation: f.req.Organisation, Tier: f.req.Tier, Kind: f.req.Kind,
		PromptTokens: f.req.PromptTokens, MaxTokens: f.req.MaxTokens,
		Idempotent: f.req.Idempotent || !e.on(guardRepeat), Fingerprint: f.req.Fingerprint,
		Remaining: f.req.Deadline.Sub(e.now),
		Alone:     e.suspects.Judge(e.now, f.req.Fingerprint) == suspects.Suspect,
		Final:     f.final && !f.own,
	}
	if !f.req.FirstTokenBy.IsZero() {
		offer.FirstToken = f.req.FirstTokenBy.Sub(e.now)
	}
	return offer
}

// attendOffered refreshes an offer that waits, moves it when the target's
// scheduler changed, and falls back to the entry's own share of the target when
// the scheduler stays silent.
func (e *Entry) attendOffered(f *flight) {
	if !e.now.Before(f.req.Deadline) {
		e.refuseLate(f, outcome.ReasonDeadlinePassed)
		return
	}
	if !f.own && e.schedulerOf(f.target) != f.scheduler {
		e.withdraw(f)
		e.offerAt(f, f.target)
		return
	}
	if !f.own && !f.heard && e.now.Sub(f.offeredAt) >= e.timing.grant {
		e.schedulerSilent(f)
		return
	}
	e.sendOffer(f)
}

// schedulerSilent moves a flight on whose scheduler does not answer: to another
// target, whose scheduler may, or else to this entry's own share of the target.
// The share is small, and a request that it refuses has lost the time in which
// the others could have served it.
func (e *Entry) schedulerSilent(f *flight) {
	e.withdraw(f)
	if !f.hasTried(f.target) {
		f.tried = append(f.tried, f.target)
		if target, status := e.choose(f); status.OK() {
			e.offerAt(f, target)
			return
		}
	}
	f.stage = stageOffered
	f.own = true
	f.offeredAt = e.now
	e.sendOffer(f)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
