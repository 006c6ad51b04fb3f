package entry

import (
	"fmt"
	"slices"
	"time"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/core/scheduler"
)

// crashWindow is how long runs of one target that break off count as the same
// crash: all requests in flight break off within moments of each other.
const crashWindow = time.Second

// targetCrash is a suspected crash of a target.
type targetCrash struct {
	since time.Time
	name  string
}

// targetAvailability holds the reasons, by source, why a target gets no new
// requests. The target is available while there is none.
type targetAvailability struct {
	unreachable bool
	// Leaving according to its readiness answer, to the platform's list, or to
	// its refusal of a request.
	leavingProbe, leavingList, leavingAnswer bool
	// listedLeavingAt is when the list last showed it as leaving.
	listedLeavingAt time.Time
}

func (w targetAvailability) available() bool {
	return !w.unreachable && !w.leavingProbe && !w.leavingList && !w.leavingAnswer
}

func (e *Entry) availabilityOf(target string) *targetAvailability {
	w := e.availability[target]
	if w == nil {
		w = &targetAvailability{}
		e.availability[target] = w
	}
	return w
}

// targetState handles the result of a probe.
func (e *Entry) targetState(s TargetState) {
	w := e.availabilityOf(s.Target)
	w.unreachable = !s.Reachable
	w.leavingProbe = s.Leaving
	if s.Reachable && !s.Leaving {
		w.leavingAnswer = false
	}
	e.router.Report(e.now, s.Target, s.Running, s.Waiting)
	e.updateAvailability(s.Target)
	if s.Reachable && s.Model != "" {
		e.performOrders(e.orders.Observed(e.now, s.Target, s.Model, s.Version, s.Adapters))
	}
}

// listLagBound exceeds the lag of the platform's list.
const listLagBound = 40 * time.Second

// listLeaving applies the platform's list to a target. The list lags, so it can
// only add to the probe's result. It may also show an older state after a newer
// one, and believing that would send work to a target while it leaves. So "not
// leaving" counts only once the list can no longer lag behind the last
// "leaving".
func (e *Entry) listLeaving(target string, leaving bool) {
	w := e.availabilityOf(target)
	if leaving {
		w.listedLeavingAt = e.now
	}
	if w.leavingList == leaving || !leaving && e.now.Sub(w.listedLeavingAt) < listLagBound {
		return
	}
	w.leavingList = leaving
	e.updateAvailability(target)
}

// updateAvailability sets in all components whether a target may get new
// requests. A target that the document declares as leaving gets none, whatever
// other sources report.
func (e *Entry) updateAvailability(target string) {
	available := e.availabilityOf(target).available() && !e.declaredLeaving(target) || !e.enabled(guardLeaving)
	e.router.SetAvailable(target, available)
	e.perform(e.scheduler.SetAvailable(e.now, target, available), fromScheduler)
	e.perform(e.shareScheduler.SetAvailable(e.now, target, available), fromShare)
}

func (e *Entry) declaredLeaving(target string) bool {
	if e.index == nil {
		return false
	}
	t, known := e.index.Target(target)
	return known && t.Leaving
}

// recordCrash attributes a run that broke off to a crash of its target, which
// is scheduled here. Only the target's scheduler names the crash, so that it
// counts once, however many owners see their runs break off.
//
// Each run is recorded as it breaks off. A request that crashes its target may
// be resent at once; if the crash were evaluated only after all its runs were
// collected, the request would run on target after target in the meantime.
func (e *Entry) recordCrash(d message.Done) {
	fingerprint, known := e.scheduler.Fingerprint(d.Target, d.ID)
	if !known {
		return
	}
	crash := e.crashes[d.Target]
	if crash == nil {
		e.crashCount++
		crash = &targetCrash{since: e.now, name: fmt.Sprintf("%s/%d", e.cfg.Self.Incarnation, e.crashCount)}
		e.crashes[d.Target] = crash
		e.crashOrder = append(e.crashOrder, d.Target)
	}
	e.performSuspects(e.suspects.Crash(e.now, d.Target, crash.name, []request.Fingerprint{fingerprint}))
	e.recordPrefixCrash(d, crash.name)
}

// expireCrashes ends the crash windows that have passed. Runs that break off
// later belong to another crash.
func (e *Entry) expireCrashes() {
	for len(e.crashOrder) > 0 {
		target := e.crashOrder[0]
		if e.now.Sub(e.crashes[target].since) < crashWindow {
			return
		}
		e.crashOrder = e.crashOrder[1:]
		delete(e.crashes, target)
	}
}

// probes returns the targets that this entry probes: those that it schedules,
// and those of other schedulers that its own orders wait for.
func (e *Entry) probes() []document.Target {
	if e.doc == nil {
		return nil
	}
	var watched []document.Target
	for i := range e.doc.Targets {
		t := &e.doc.Targets[i]
		if e.schedulerOf(t.Name) == e.cfg.Self.Incarnation || slices.Contains(e.watchedOrders, t.Name) {
			watched = append(watched, *t)
		}
	}
	return watched
}

// updateWatchedOrders updates the list of targets that are probed for their
// orders.
func (e *Entry) updateWatchedOrders() {
	if watched := e.orders.Watched(e.now); !slices.Equal(watched, e.watchedOrders) {
		e.watchedOrders = watched
		e.viewChanged = true
	}
}

// schedulerTarget returns a target's description for the schedulers.
func (e *Entry) schedulerTarget(t *document.Target) scheduler.Target {
	class, _ := e.index.Class(t.Class)
	return scheduler.Target{
		Name: t.Name, Pool: t.Pool, Zone: t.Zone,
		MaxInFlight: class.MaxInFlight,
		PrefillRate: class.PrefillRate,
		StepTime:    time.Duration(class.StepMS * float64(time.Millisecond)),
		Service:     class.Kind == document.KindService,
	}
}

// fastestSteps returns each pool's shortest declared step time.
func (e *Entry) fastestSteps() map[string]time.Duration {
	fastest := make(map[string]time.Duration, len(e.doc.Pools))
	for i := range e.doc.Targets {
		t := e.schedulerTarget(&e.doc.Targets[i])
		if least, known := fastest[t.Pool]; !known || t.StepTime < least {
			fastest[t.Pool] = t.StepTime
		}
	}
	return fastest
}

// schedulerSettings returns the schedulers' settings from the document.
func (e *Entry) schedulerSettings() scheduler.Settings {
	doc := e.doc
	weights := make(map[string]float64, len(doc.Organisations))
	for i := range doc.Organisations {
		weights[doc.Organisations[i].Name] = doc.Organisations[i].Weight
	}
	return scheduler.Settings{
		QueuePerTarget: doc.Limits.QueuePerTarget,
		GrantTime:      e.timing.grant, FloorTime: e.timing.floor, FailureTimeout: e.timing.silence,
		RefuseEarly: doc.Refusal.Early, Preempt: doc.Refusal.Preempt,
		ShortPromptTokens: doc.Refusal.ShortPromptTokens, ShortShare: doc.Refusal.ShortShare,
		PrefillBudget: doc.Refusal.PrefillBudget,
		RetryMin:      document.Milliseconds(doc.Refusal.RetryAfterMinMS),
		RetryMax:      document.Milliseconds(doc.Refusal.RetryAfterMaxMS),
		Tiers:         len(doc.Tiers),
		Weights:       func(org string) float64 { return weights[org] },
	}
}
