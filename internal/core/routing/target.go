package routing

import (
	"time"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/request"
)

const (
	// digestValidity is how long a digest is used. After that the target is judged by
	// the document's figures, load reports and own dispatches.
	digestValidity = 5 * time.Second
	// similarOwners is the number of owners, including this one, that are assumed to
	// choose the same targets between two digests.
	//
	// An owner sees only its own offers. If it counted these once, all owners would
	// join the queue that was shortest in the last digest, and a burst of the top tier
	// would find 18 waiting at one target and none at the next.
	similarOwners = 4
	// ownLoadValidity is how long own dispatches count without a digest.
	ownLoadValidity = 3 * time.Second
	// reportValidity is how long a load report is used.
	reportValidity = 30 * time.Second
	// defaultRate (tokens/s), defaultStep and defaultLimit replace class figures that
	// are missing in the document.
	defaultRate  = 4000.0
	defaultStep  = 20 * time.Millisecond
	defaultLimit = 8
)

// prior is a target's speed and limit according to the document.
type prior struct {
	rate  float64
	step  time.Duration
	limit int
}

// target is the owner's state of one target.
type target struct {
	name string
	zone string
	kind request.Kind
	pool *pool
	// leaving is set by the document, reachable by the probes.
	leaving   bool
	reachable bool
	prior     prior

	digest    message.Digest
	digestAt  time.Time
	hasDigest bool

	// own waiting offers and own dispatches since the last digest
	ownOffers  int
	ownRuns    int
	ownPrefill int
	ownSince   time.Time

	running, waiting int
	reportAt         time.Time
	hasReport        bool

	// cacheEpoch is incremented when the target's cache must be assumed lost.
	cacheEpoch uint32
	// cacheTrust is the share of predicted cached tokens that were actually found.
	cacheTrust float64
	lastTrial  time.Time
	// drawn is the number of the last choice in which the target was a candidate.
	drawn uint64
}

func newTarget(name string) *target {
	return &target{name: name, reachable: true, cacheTrust: 1}
}

// applyDocument sets the properties given by the document.
func (t *target) applyDocument(row *document.Target, class *document.Class) {
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

// view is a target's state at one instant, from the best available source. Times are in
// seconds.
type view struct {
	available bool
	limit     int
	inFlight  int
	queued    int
	// pendingPrefill is the number of prompt tokens not computed yet.
	pendingPrefill float64
	// waitingPrefill is the number of prompt tokens of requests that wait for a slot.
	waitingPrefill float64
	prefillRate    float64
	step           float64
	// wait is the wait for a slot in the lowest tier, waits by tier if available.
	wait  float64
	waits []time.Duration
	// ownPlacements is the assumed number of offers and dispatches since the digest, by
	// this owner and the similar ones.
	ownPlacements int
	// age is the age of the digest; 0 without a digest.
	age float64
}

func (t *target) view(now time.Time) view {
	runs, prefill := t.ownLoad(now)
	v := view{available: true, limit: t.prior.limit, inFlight: runs, pendingPrefill: float64(prefill)}
	v.prefillRate, v.step = t.prior.rate, t.prior.step.Seconds()
	if t.hasDigest && now.Sub(t.digestAt) < digestValidity {
		t.applyDigest(now, &v)
		return v
	}
	if t.hasReport && now.Sub(t.reportAt) < reportValidity {
		v.inFlight += t.running
		v.queued = t.waiting
	}
	return v
}

// load returns the occupied and requested slots as a share of the limit.
func (v *view) load() float64 {
	return float64(v.inFlight+v.queued) / float64(v.limit)
}

func (t *target) applyDigest(now time.Time, v *view) {
	d := &t.digest
	v.available = d.Available
	v.limit = max(d.Limit, 1)
	v.inFlight += d.InFlight
	v.queued = d.Queued
	v.pendingPrefill += float64(d.QueuedPrefill)
	v.waitingPrefill = float64(d.WaitingPrefill)
	v.wait = d.Wait.Seconds()
	v.waits = d.Waits
	placed := t.ownOffers + t.ownRuns
	v.ownPlacements = similarOwners * placed
	v.inFlight += similarOwners*placed - t.ownRuns
	v.age = now.Sub(t.digestAt).Seconds()
	if d.PrefillRate > 0 {
		v.prefillRate = d.PrefillRate
	}
	if d.StepTime > 0 {
		v.step = d.StepTime.Seconds()
	}
}

// ownLoad returns what this owner has dispatched since the last digest.
func (t *target) ownLoad(now time.Time) (runs, prefill int) {
	if now.Sub(t.ownSince) >= ownLoadValidity {
		return 0, 0
	}
	return t.ownRuns, t.ownPrefill
}

func (t *target) addOwnRun(now time.Time, prefill int) {
	if t.ownRuns == 0 || now.Sub(t.ownSince) >= ownLoadValidity {
		t.ownRuns, t.ownPrefill, t.ownSince = 0, 0, now
		t.ownOffers = min(t.ownOffers, 1)
	}
	t.ownRuns++
	t.ownOffers = max(t.ownOffers-1, 0)
	t.ownPrefill += prefill
}

func (t *target) addOwnOffer(now time.Time) {
	if now.Sub(t.ownSince) >= ownLoadValidity {
		t.ownOffers, t.ownRuns, t.ownPrefill, t.ownSince = 0, 0, 0, now
	}
	t.ownOffers++
}

func (t *target) setDigest(now time.Time, d message.Digest) {
	t.digest = d
	t.digestAt = now
	t.hasDigest = true
	t.ownOffers, t.ownRuns, t.ownPrefill = 0, 0, 0
}

func (t *target) setReport(now time.Time, running, waiting int) {
	t.running, t.waiting = running, waiting
	t.reportAt = now
	t.hasReport = true
}

// invalidateCache discards all assumptions about the target's cache.
func (t *target) invalidateCache() {
	t.cacheEpoch++
	t.cacheTrust = 1
}
