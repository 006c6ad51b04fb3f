package routing

import (
	"time"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/request"
)

const (
	// digestGood is how long a digest counts; past it the target is judged by
	// the prior, load reports and own dispatches.
	digestGood = 5 * time.Second
	// alike is how many owners are taken to place alike between two digests, this
	// one counted.
	//
	// Failure: owners see their own offers only. Symptom: all of them join the
	// queue that was shortest in the last digest, and a burst of the top tier
	// finds 18 waiting at one target and none at the next.
	alike = 4
	// optimisticFor bounds how long own dispatches count without a digest.
	optimisticFor = 3 * time.Second
	// reportGood is how long a load report counts.
	reportGood = 30 * time.Second
	// defaultRate (tokens/s), defaultStep and defaultLimit stand in for class
	// figures that the document leaves out.
	defaultRate  = 4000.0
	defaultStep  = 20 * time.Millisecond
	defaultLimit = 8
)

// prior is what the document says of a target's speed.
type prior struct {
	rate  float64
	step  time.Duration
	limit int
}

// target is what the owner knows of one target.
type target struct {
	name string
	zone string
	kind request.Kind
	pool *pool
	// leaving is the document's word, reachable the probes'.
	leaving   bool
	reachable bool
	prior     prior

	digest    message.Digest
	digestAt  time.Time
	hasDigest bool

	// own offers that wait and own dispatches since the last digest
	ownOffers  int
	ownRuns    int
	ownPrefill int
	ownSince   time.Time

	running, waiting int
	reportAt         time.Time
	hasReport        bool

	// cacheEpoch rises when the target's cache must be taken as lost.
	cacheEpoch uint32
	// cacheTrust is the part of predicted cached tokens that were really there.
	cacheTrust float64
	lastTrial  time.Time
	// drawn is the last choice that took the target as a candidate.
	drawn uint64
}

func newTarget(name string) *target {
	return &target{name: name, reachable: true, cacheTrust: 1}
}

// describe takes what the document says.
func (t *target) describe(row *document.Target, class *document.Class) {
	t.zone = row.Zone
	t.leaving = row.Leaving
	t.kind = request.Engine
	if class.Kind == document.KindService {
		t.kind = request.Service
	}
	t.prior = prior{rate: class.PrefillRate, limit: class.MaxInFlight}
	t.prior.step = time.Duration(class.StepMS * float64(time.Millisecond))
	if t.prior.rate <= 0 {
		t.prior.rate = defaultRate
	}
	if t.prior.step <= 0 {
		t.prior.step = defaultStep
	}
	if t.prior.limit <= 0 {
		t.prior.limit = defaultLimit
	}
}

// view is a target's state at one instant, from the best source there is.
// Times are seconds.
type view struct {
	available bool
	limit     int
	inFlight  int
	queued    int
	// prefill is prompt tokens not computed yet.
	prefill float64
	// waiting is prompt tokens that wait for a place.
	waiting float64
	rate    float64
	step    float64
	// wait for a place, of a request of the lowest tier, and by tier if known.
	wait  float64
	waits []time.Duration
	// placed is own offers and dispatches since the digest.
	placed int
	// age of what the view rests on; 0 without a digest.
	age float64
}

func (t *target) view(now time.Time) view {
	runs, prefill := t.own(now)
	v := view{available: true, limit: t.prior.limit, inFlight: runs, prefill: float64(prefill)}
	v.rate, v.step = t.prior.rate, t.prior.step.Seconds()
	if t.hasDigest && now.Sub(t.digestAt) < digestGood {
		t.fromDigest(now, &v)
		return v
	}
	if t.hasReport && now.Sub(t.reportAt) < reportGood {
		v.inFlight += t.running
		v.queued = t.waiting
	}
	return v
}

// loaded is the part of the target's places that is taken or waited for.
func (v *view) loaded() float64 {
	return float64(v.inFlight+v.queued) / float64(v.limit)
}

func (t *target) fromDigest(now time.Time, v *view) {
	d := &t.digest
	v.available = d.Available
	v.limit = max(d.Limit, 1)
	v.inFlight += d.InFlight
	v.queued = d.Queued
	v.prefill += float64(d.QueuedPrefill)
	v.waiting = float64(d.WaitingPrefill)
	v.wait = d.Wait.Seconds()
	v.waits = d.Waits
	placed := t.ownOffers + t.ownRuns
	v.placed = alike * placed
	v.inFlight += alike*placed - t.ownRuns
	v.age = now.Sub(t.digestAt).Seconds()
	if d.PrefillRate > 0 {
		v.rate = d.PrefillRate
	}
	if d.StepTime > 0 {
		v.step = d.StepTime.Seconds()
	}
}

// own is what was dispatched from here since the last digest.
func (t *target) own(now time.Time) (runs, prefill int) {
	if now.Sub(t.ownSince) >= optimisticFor {
		return 0, 0
	}
	return t.ownRuns, t.ownPrefill
}

func (t *target) addOwn(now time.Time, prefill int) {
	if t.ownRuns == 0 || now.Sub(t.ownSince) >= optimisticFor {
		t.ownRuns, t.ownPrefill, t.ownSince = 0, 0, now
		t.ownOffers = min(t.ownOffers, 1)
	}
	t.ownRuns++
	t.ownOffers = max(t.ownOffers-1, 0)
	t.ownPrefill += prefill
}

func (t *target) addOffer(now time.Time) {
	if now.Sub(t.ownSince) >= optimisticFor {
		t.ownOffers, t.ownRuns, t.ownPrefill, t.ownSince = 0, 0, 0, now
	}
	t.ownOffers++
}

func (t *target) takeDigest(now time.Time, d message.Digest) {
	t.digest = d
	t.digestAt = now
	t.hasDigest = true
	t.ownOffers, t.ownRuns, t.ownPrefill = 0, 0, 0
}

func (t *target) takeReport(now time.Time, running, waiting int) {
	t.running, t.waiting = running, waiting
	t.reportAt = now
	t.hasReport = true
}

// loseCache forgets what the target's cache may hold.
func (t *target) loseCache() {
	t.cacheEpoch++
	t.cacheTrust = 1
}
