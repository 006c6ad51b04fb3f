package dispatch

import (
	"time"

	"sycamoretrail/internal/core/catalog"
)

// target is a server with its state as known to this entry.
type target struct {
	catalog.Target
	// incarnation is the name by which it is stored here and reported to peers.
	incarnation string
	pool        *pool
	// cellKey orders the targets when they are divided into cells.
	cellKey uint64
	// own is the number of requests that this entry has there.
	own int
	// inCell means that it is one of the targets of this entry's cell.
	inCell bool
	// lease lends it to another cell or to this entry's.
	lease targetLease
	// latency is the mean time between events of its streams, or to other answers, in ns.
	latency mean
	// readTime is the mean time to read a prompt token, in ns.
	readTime mean
	// reading contains this entry's requests there whose prompts are being read.
	reading []*Ticket
	// limited is the limit that the target declares.
	limited declaredLimit
	// brittleness is what the target declares of the rejections that it bears.
	brittleness Brittleness
	// rejectedAt is when it last rejected a request of this entry while it was brittle.
	rejectedAt time.Time
	// failures is the mean share of failures.
	failures mean
	// releasedAt is when this entry last released a slot, freeSince since when the target
	// is known to have a free slot; see hasPrecedence.
	releasedAt, freeSince time.Time
	// ejectedUntil is until when it receives nothing; each further consecutive failure
	// doubles the time.
	ejectedUntil        time.Time
	consecutiveFailures int
	// pausedUntil is the end of the pause that the target requested from this entry.
	pausedUntil time.Time
	// unresponsiveUntil is until when this entry reports it to the cell as unresponsive,
	// unresponsiveReports until when each other entry does.
	unresponsiveUntil   time.Time
	unresponsiveReports map[string]time.Time
	// snapshot is its state at the moment of a decision.
	snapshot snapshot
	// probing means that it has been unresponsive and has not answered since. It receives one
	// request at a time, since otherwise all entries would retry it at once.
	probing bool
}

const (
	// ejectionBase is the first ejection after a target could not be reached. A server
	// that restarts is back after some seconds; 250 ms costs little if the only cause
	// was a full connection queue.
	ejectionBase = 250 * time.Millisecond
	// ejectionMax bounds an ejection, so that a recovered server is used again soon.
	ejectionMax = 2 * time.Second
	// oversizedBase and oversizedMax bound the ejection of a target that answers without an end: each
	// further try costs a request, and as many bytes as an answer may have.
	oversizedBase = time.Second
	oversizedMax  = 16 * time.Second
	// rejectionPause lets a full target finish some requests before the next attempt.
	rejectionPause = 60 * time.Millisecond
	// replacedPause covers the time until the registry reflects the change.
	replacedPause = time.Minute
	// minSlowness and maxSlowness bound the ratio to the pool's mean, so that a few
	// outliers neither flood nor starve a target.
	minSlowness, maxSlowness = 0.2, 8.0
	// failureWeight is the weight of failures beyond the pool's mean in the cost of a target.
	failureWeight = 12.0
	// minSamples is the number of samples from which a target's own mean is used.
	minSamples = 2
)

// learn updates the target with the report of one request; see rejected for one that was rejected.
func (t *target) learn(now time.Time, report Report) {
	switch report.Outcome {
	case Answered:
		t.recordFailure(0)
		t.consecutiveFailures = 0
		t.unresponsiveUntil = time.Time{}
		t.probing = false
	case Failed:
		t.recordFailure(1)
		t.consecutiveFailures = 0
		t.probing = false
	case Broken:
		t.recordFailure(1)
		t.eject(now, ejectionBase)
	case Oversized:
		t.recordFailure(1)
		t.ejectWithin(now, oversizedBase, oversizedMax)
	case TimedOut:
		t.recordFailure(1)
		t.eject(now, ejectionBase)
		t.unresponsiveUntil = t.ejectedUntil
		t.probing = true
	case Unreachable:
		t.eject(now, ejectionBase)
	case Replaced:
		t.ejectedUntil = now.Add(replacedPause)
	case Rejected, Abandoned:
	}
}

func (t *target) recordFailure(share float64) {
	t.failures.add(share)
	t.pool.failures.add(share)
}

func (t *target) eject(now time.Time, base time.Duration) { t.ejectWithin(now, base, ejectionMax) }

// maxEjectionDoublings bounds the growth of ejections with the failures in a row.
const maxEjectionDoublings = 4

func (t *target) ejectWithin(now time.Time, base, most time.Duration) {
	pause := min(most, base<<min(t.consecutiveFailures, maxEjectionDoublings))
	t.consecutiveFailures++
	t.ejectedUntil = later(t.ejectedUntil, now.Add(pause))
}

// ForgetEjections makes the targets available again that this entry ejected while it could reach
// none. Targets that accepted requests and did not answer stay ejected.
func (s *Scheduler) ForgetEjections(now time.Time) Effects {
	for _, t := range s.targets {
		if !now.Before(t.unresponsiveUntil) {
			t.ejectedUntil = time.Time{}
			t.consecutiveFailures = 0
		}
	}
	return s.Tick(now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// slowness returns the target's time for the same work relative to the pool's mean; 1
// if it is unknown.
func (t *target) slowness() float64 {
	if t.latency.samples < minSamples || t.pool.latency.value == 0 {
		return 1
	}
	return min(maxSlowness, max(minSlowness, t.latency.value/t.pool.latency.value))
}

// unreliability returns the cost factor for failures; 1 if the target fails no more often
// than the pool.
func (t *target) unreliability() float64 {
	if t.failures.samples < minSamples {
		return 1
	}
	return 1 + failureWeight*max(0, t.failures.value-t.pool.failures.value-0.05)
}

// limit returns the number of requests that the target may have at once from this cell.
func (t *target) limit() int {
	if t.probing {
		return 1
	}
	if t.pool.sharing <= 1 {
		return t.Slots
	}
	return int(sharedOvercommit*float64(t.Slots)/float64(t.pool.sharing)) + 1
}

// usedByCell reports whether this entry's cell uses the target. Targets shared by all cells
// are used by each of them, whatever has been lent before.
func (t *target) usedByCell() bool {
	return !t.Leaving && (t.inCell && (!t.lease.lent || t.pool.sharing > 1) || t.lease.borrowed)
}

// avoided reports whether the target currently receives nothing.
func (t *target) avoided(now time.Time) bool {
	return now.Before(t.ejectedUntil) || t.paused(now) || t.reportedUnresponsive(now)
}
