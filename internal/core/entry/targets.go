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

// deathWindow is how long broken runs of one target count as the same death: all
// that were in flight when it died break within moments of each other.
const deathWindow = time.Second

// death is a suspected death of a target.
type death struct {
	since time.Time
	name  string
}

// targetWatch is what is known of a target's willingness, by source. It gets
// new work only while none of them speaks against it.
type targetWatch struct {
	unreachable bool
	// leaving by its own readiness answer, by the platform's list, or because
	// it turned a request away as leaving.
	leavingProbe, leavingList, leavingAnswer bool
	// listedAt is when the list last called it leaving.
	listedAt time.Time
}

func (w targetWatch) available() bool {
	return !w.unreachable && !w.leavingProbe && !w.leavingList && !w.leavingAnswer
}

func (e *Entry) watch(target string) *targetWatch {
	w := e.watches[target]
	if w == nil {
		w = &targetWatch{}
		e.watches[target] = w
	}
	return w
}

// targetState takes the finding of a probe.
func (e *Entry) targetState(s TargetState) {
	w := e.watch(s.Target)
	w.unreachable = !s.Reachable
	w.leavingProbe = s.Leaving
	if s.Reachable && !s.Leaving {
		w.leavingAnswer = false
	}
	e.router.Report(e.now, s.Target, s.Running, s.Waiting)
	e.willing(s.Target)
	if s.Reachable && s.Model != "" {
		e.performOrders(e.orders.Observed(e.now, s.Target, s.Model, s.Version, s.Adapters))
	}
}

// listDoubt exceeds the lag of the platform's list.
const listDoubt = 40 * time.Second

// listLeaving takes the platform's word on a target; the list lags, so it can
// only add to what the probe says. An older state of the list may be shown after
// a newer one: were it believed, a target would get work again while it leaves,
// so "not leaving" counts once it has stood for longer than the list can lag.
func (e *Entry) listLeaving(target string, leaving bool) {
	w := e.watch(target)
	if leaving {
		w.listedAt = e.now
	}
	if w.leavingList == leaving || !leaving && e.now.Sub(w.listedAt) < listDoubt {
		return
	}
	w.leavingList = leaving
	e.willing(target)
}

// willing tells the duties whether a target may get new work. The operators'
// word in the document stands above all others.
func (e *Entry) willing(target string) {
	available := e.watch(target).available() && !e.declaredLeaving(target) || !e.on(guardLeaving)
	e.router.Reachable(target, available)
	e.perform(e.places.SetAvailable(e.now, target, available), fromPlaces)
	e.perform(e.share.SetAvailable(e.now, target, available), fromShare)
}

func (e *Entry) declaredLeaving(target string) bool {
	if e.index == nil {
		return false
	}
	t, known := e.index.Target(target)
	return known && t.Leaving
}

// brokenAt holds a run that broke against the death of its target, which is
// scheduled here. One entry, the target's scheduler, names the death, so that it
// is counted once however many owners saw their runs break.
//
// Failure: a request that kills its target is sent again at once. Symptom: were
// the death judged only when all broken runs are gathered, the request would run
// on target after target meanwhile. So each run is held against it as it breaks.
func (e *Entry) brokenAt(d message.Done) {
	fingerprint, known := e.places.Fingerprint(d.Target, d.ID)
	if !known {
		return
	}
	died := e.deaths[d.Target]
	if died == nil {
		e.deathCount++
		died = &death{since: e.now, name: fmt.Sprintf("%s/%d", e.cfg.Self.Incarnation, e.deathCount)}
		e.deaths[d.Target] = died
		e.deathOrder = append(e.deathOrder, d.Target)
	}
	e.performSuspects(e.suspects.Death(e.now, d.Target, died.name, []request.Fingerprint{fingerprint}))
}

// closeDeaths ends the windows that are over; what breaks after is another death.
func (e *Entry) closeDeaths() {
	for len(e.deathOrder) > 0 {
		target := e.deathOrder[0]
		if e.now.Sub(e.deaths[target].since) < deathWindow {
			return
		}
		e.deathOrder = e.deathOrder[1:]
		delete(e.deaths, target)
	}
}

// probes lists the targets that this entry watches: those that it schedules,
// and those held elsewhere for whose orders its own wait.
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

// watchOrders renews the list of targets that are watched for their orders.
func (e *Entry) watchOrders() {
	if watched := e.orders.Watched(e.now); !slices.Equal(watched, e.watchedOrders) {
		e.watchedOrders = watched
		e.changed = true
	}
}

// schedulerTarget describes a target to the schedulers.
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

// fastestSteps finds each pool's least declared step time.
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

// schedulerSettings turns the document's rules into the schedulers' settings.
func (e *Entry) schedulerSettings() scheduler.Settings {
	doc := e.doc
	weights := make(map[string]float64, len(doc.Organisations))
	for i := range doc.Organisations {
		weights[doc.Organisations[i].Name] = doc.Organisations[i].Weight
	}
	return scheduler.Settings{
		QueuePerTarget: doc.Limits.QueuePerTarget,
		Grant:          e.timing.grant, Floor: e.timing.floor, Silence: e.timing.silence,
		Early: doc.Refusal.Early, Preempt: doc.Refusal.Preempt,
		ShortPromptTokens: doc.Refusal.ShortPromptTokens, ShortShare: doc.Refusal.ShortShare,
		PrefillBudget: doc.Refusal.PrefillBudget,
		RetryMin:      document.Milliseconds(doc.Refusal.RetryAfterMinMS),
		RetryMax:      document.Milliseconds(doc.Refusal.RetryAfterMaxMS),
		Tiers:         len(doc.Tiers),
		Weights:       func(org string) float64 { return weights[org] },
	}
}
