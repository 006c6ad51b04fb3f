package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"sycamoretrail/internal/core/crashes"
	"sycamoretrail/internal/core/peerset"
	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/gossip"
)

// What entries tell each other of crashes of targets and of their causes.

// clearDelay bounds the random time after which an entry tells of an answer that others may have had too.
const clearDelay = 100 * time.Millisecond

// confirmDelay bounds the random time after which an entry tells that it remembers answers, unless
// another one has done so.
const confirmDelay = 200 * time.Millisecond

func (l *links) announceCrash(c *call, target string, ran time.Duration, evidence []crashes.Evidence) {
	m := l.message()
	m.Crash = &gossip.Crash{Fingerprint: uint64(c.fingerprint), ID: c.envelope.ID, Target: target, Service: c.service, RanMS: ran.Milliseconds()}
	for _, e := range evidence {
		if e.Cause.Kind != crashes.Request { // the fingerprint stands for it
			m.Crash.Causes = append(m.Crash.Causes, gossip.CauseEvidence{Kind: uint8(e.Cause.Kind), ID: e.Cause.ID, Answered: e.Answered})
		}
	}
	l.sendCopies(m)
}

// announceCleared announces that requests with causes of crashes were answered.
func (l *links) announceCleared(causes []crashes.Cause) {
	parts := make([]crashes.Cause, 0, len(causes))
	for _, cause := range causes {
		if cause.Kind == crashes.Request {
			l.announceAnswered(cause)
			continue
		}
		parts = append(parts, cause)
	}
	l.announceCauses(gossip.CauseCleared, parts)
}

// announceClearedSoon does so after a random time, unless another entry does before.
func (l *links) announceClearedSoon(causes []crashes.Cause) {
	if len(causes) == 0 {
		return
	}
	time.AfterFunc(rand.N(clearDelay), func() {
		l.announceCleared(withCauses(l.gateway.state, func(time.Time) []crashes.Cause { return l.gateway.state.causes.Unreported(causes) }))
	})
}

// announceAnswered announces that a target has answered a request that was suspected of crashing them.
func (l *links) announceAnswered(request crashes.Cause) {
	m := l.message()
	m.Cleared = uint64(request.Fingerprint())
	l.sendCopies(m)
}

// sendCopies sends a message to all entries, several times in case datagrams are lost.
func (l *links) sendCopies(m *gossip.Message) {
	members := l.members()
	for range crashCopies {
		l.send(m, members)
	}
}

// announceCauses announces the state of causes, which are all of one service and kind.
func (l *links) announceCauses(state gossip.CauseState, causes []crashes.Cause) {
	if len(causes) == 0 {
		return
	}
	m := l.message()
	m.CauseReport = &gossip.CauseReport{State: state, Kind: uint8(causes[0].Kind), Service: causes[0].Service}
	for _, cause := range causes {
		m.CauseReport.IDs = append(m.CauseReport.IDs, cause.ID)
	}
	l.sendCopies(m)
}

func (l *links) announceProbe(cause crashes.Cause, stage int) {
	m := l.message()
	m.CauseReport = &gossip.CauseReport{State: gossip.CauseProbed, Kind: uint8(cause.Kind), Service: cause.Service, IDs: []string{cause.ID}, Stage: stage}
	l.sendCopies(m)
}

func (l *links) sendQuarantine(quarantine crashes.Quarantine, to []peerset.Entry) {
	m := l.message()
	m.CauseReport = &gossip.CauseReport{
		State: gossip.CauseQuarantined, Kind: uint8(quarantine.Cause.Kind), Service: quarantine.Cause.Service, IDs: []string{quarantine.Cause.ID},
		Stage: quarantine.Stage, ProbeInMS: quarantine.ProbeIn.Milliseconds(), DespiteAnswers: quarantine.DespiteAnswers,
	}
	l.send(m, to)
}

func (l *links) handleCrash(from string, c *gossip.Crash) {
	target := c.Target
	if target == "" {
		// Entries of earlier releases do not name the target: each of their runs counts by itself.
		target = c.ID
	}
	var parts []string
	var causes []crashes.Cause
	var evidence []crashes.Evidence
	for _, e := range c.Causes {
		if !crashes.Kind(e.Kind).Known() {
			continue // of a later release
		}
		cause := crashes.Cause{Kind: crashes.Kind(e.Kind), Service: c.Service, ID: e.ID}
		parts, causes = append(parts, e.ID), append(causes, cause)
		evidence = append(evidence, crashes.Evidence{Cause: cause, Answered: e.Answered})
	}
	fingerprint := crashes.Fingerprint(c.Fingerprint)
	causes, evidence = append(causes, fingerprint.Cause()), append(evidence, crashes.Evidence{Cause: fingerprint.Cause()})
	added, count := l.gateway.state.countCauses(target, milliseconds(c.RanMS), evidence)
	if len(added) == 0 {
		return
	}
	l.gateway.log.Write(eventlog.StateChange, eventSuspect, eventlog.Fields{
		"id": c.ID, "target": target, "fingerprint": fingerprint.String(), "count": count, "parts": parts, "peer": from,
	})
	l.remind(from, causes)
	l.confirmLater(added)
}

func (l *links) handleCleared(request crashes.Fingerprint) {
	s := l.gateway.state
	s.changeCauses(func(now time.Time) { s.causes.Clear(now, []crashes.Cause{request.Cause()}) })
}

// remind tells an entry of the own cell that ran a request which this one refuses: it has missed the quarantine.
func (l *links) remind(name string, causes []crashes.Cause) {
	i := slices.IndexFunc(l.cells.Load().Audience, func(e peerset.Entry) bool { return e.Name == name })
	if i < 0 {
		return
	}
	l.gateway.state.mutex.Lock()
	quarantines := l.gateway.state.causes.Quarantines(time.Now(), maxGreetedQuarantines)
	l.gateway.state.mutex.Unlock()
	for _, quarantine := range quarantines {
		if slices.Contains(causes, quarantine.Cause) {
			l.sendQuarantine(quarantine, l.cells.Load().Audience[i:i+1])
		}
	}
}

// confirmLater announces that this entry remembers answers to requests with these causes, unless others
// do so before.
func (l *links) confirmLater(causes []crashes.Cause) {
	toConfirm := func() []crashes.Cause {
		return withCauses(l.gateway.state, func(now time.Time) []crashes.Cause { return l.gateway.state.causes.ToConfirm(now, causes) })
	}
	if len(toConfirm()) == 0 {
		return
	}
	time.AfterFunc(rand.N(confirmDelay), func() {
		confirmed := toConfirm()
		l.announceCauses(gossip.CauseAnsweredBefore, confirmed)
		l.gateway.state.changeCauses(func(now time.Time) { l.gateway.state.causes.ConfirmAnswered(now, confirmed) })
	})
}

// handleCauseReport applies what another entry knows of causes.
func (l *links) handleCauseReport(report *gossip.CauseReport) {
	if !crashes.Kind(report.Kind).Known() {
		return // of a later release
	}
	var causes []crashes.Cause
	for _, id := range report.IDs {
		causes = append(causes, crashes.Cause{Kind: crashes.Kind(report.Kind), Service: report.Service, ID: id})
	}
	s := l.gateway.state
	switch report.State {
	case gossip.CauseCleared:
		s.changeCauses(func(now time.Time) { s.causes.Clear(now, causes) })
	case gossip.CauseAnsweredBefore:
		s.changeCauses(func(now time.Time) { s.causes.ConfirmAnswered(now, causes) })
	case gossip.CauseProbed:
		s.changeCauses(func(now time.Time) {
			for _, cause := range causes {
				s.causes.ApplyProbe(now, cause, report.Stage)
			}
		})
	case gossip.CauseQuarantined:
		l.applyQuarantines(causes, report)
	}
}

// applyQuarantines applies quarantines by another entry. Those of causes that were answered are
// answered with a report of that: the other entry has missed it.
func (l *links) applyQuarantines(causes []crashes.Cause, report *gossip.CauseReport) {
	s := l.gateway.state
	answered := withCauses(s, func(now time.Time) (answered []crashes.Cause) {
		for _, cause := range causes {
			quarantine := crashes.Quarantine{Cause: cause, Stage: report.Stage, ProbeIn: milliseconds(report.ProbeInMS), DespiteAnswers: report.DespiteAnswers}
			if !s.causes.ApplyQuarantine(now, quarantine) {
				answered = append(answered, cause)
			}
		}
		return answered
	})
	l.announceCauses(gossip.CauseAnsweredBefore, answered)
}
