package dispatch

import (
	"time"

	"sycamoretrail/internal/core/catalog"
)

// target is a server with what is known of it.
type target struct {
	catalog.Target
	// incarnation is the name by which it is held here and told of.
	incarnation string
	pool        *pool
	// place orders it among the targets that are divided into cells.
	place uint64
	// own is the number of requests that this entry has there.
	own int
	// inCell: it is one of the targets of this entry's cell.
	inCell bool
	// latency is the mean time between events of its streams, or to other answers, in ns.
	latency mean
	// readTime is the mean time to read a token of a prompt, in ns.
	readTime mean
	// reading are this entry's requests there whose prompts are being read.
	reading []*Ticket
	// limited is the limit that the target declares.
	limited declaredLimit
	// failures is the mean share of failures.
	failures mean
	// releasedAt is when this entry last gave a place back, freeSince since when the target
	// is known to have room; see hasPrecedence.
	releasedAt, freeSince time.Time
	// ejectedUntil is until when it gets nothing; each further failure in a row doubles
	// the time.
	ejectedUntil        time.Time
	consecutiveFailures int
	// pausedUntil is until when it wants nothing from this entry.
	pausedUntil time.Time
	// unresponsiveUntil is until when this entry reports it to the cell, reports until when
	// each other entry does.
	unresponsiveUntil time.Time
	reports           map[string]time.Time
	// now is what is known of it at the moment of a decision.
	now view
	// probing: it has been unresponsive and has not answered since. It gets one request at a
	// time, or all entries would try it again at once.
	probing bool
}

const (
	// ejectionBase is the first ejection after a target could not be reached. A server
	// that restarts is back after some seconds; 250 ms costs little if the failure
	// was only a full queue of connections.
	ejectionBase = 250 * time.Millisecond
	// ejectionMax bounds an ejection, so that a server that is back is used soon.
	ejectionMax = 2 * time.Second
	// rejectionPause lets a full target empty a little before the next attempt.
	rejectionPause = 60 * time.Millisecond
	// replacedPause covers the time until the register shows the change.
	replacedPause = time.Minute
	// slownessFloor and slownessCeiling bound the ratio to the pool's mean, so that a few
	// odd samples neither flood nor starve a target.
	slownessFloor, slownessCeiling = 0.2, 8.0
	// failureWeight is how strongly failures beyond the pool's mean repel requests.
	failureWeight = 12.0
	// minSamples is the number of answers from which a target's own mean counts fully.
	minSamples = 2
)

// learn takes what was seen of one request.
func (t *target) learn(now time.Time, report Report) {
	switch report.Outcome {
	case Answered:
		t.failure(0)
		t.consecutiveFailures = 0
		t.unresponsiveUntil = time.Time{}
		t.probing = false
	case Failed:
		t.failure(1)
		t.consecutiveFailures = 0
		t.probing = false
	case Broken:
		t.failure(1)
		t.eject(now, ejectionBase)
	case TimedOut:
		t.failure(1)
		t.eject(now, ejectionBase)
		t.unresponsiveUntil = t.ejectedUntil
		t.probing = true
	case Unreachable:
		t.eject(now, ejectionBase)
	case Rejected:
		t.ejectedUntil = later(t.ejectedUntil, now.Add(rejectionPause))
		t.probing = false
	case Replaced:
		t.ejectedUntil = now.Add(replacedPause)
	case Abandoned:
	}
}

func (t *target) failure(share float64) {
	t.failures.add(share)
	t.pool.failures.add(share)
}

func (t *target) eject(now time.Time, base time.Duration) {
	pause := min(ejectionMax, base<<min(t.consecutiveFailures, 4))
	t.consecutiveFailures++
	t.ejectedUntil = later(t.ejectedUntil, now.Add(pause))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// slowness is the target's time for the same work against the pool's mean; 1
// where nothing is known.
func (t *target) slowness() float64 {
	if t.latency.samples < minSamples || t.pool.latency.value == 0 {
		return 1
	}
	return min(slownessCeiling, max(slownessFloor, t.latency.value/t.pool.latency.value))
}

// unreliability is 1 for a target that fails no more often than the pool.
func (t *target) unreliability() float64 {
	if t.failures.samples < minSamples {
		return 1
	}
	return 1 + failureWeight*max(0, t.failures.value-t.pool.failures.value-0.05)
}

// limit is the number of requests that the target should have at once, as far as
// this cell knows of them.
func (t *target) limit() int {
	if t.probing {
		return 1
	}
	if t.pool.sharing <= 1 {
		return t.Slots
	}
	return int(sharedHeadroom*float64(t.Slots)/float64(t.pool.sharing)) + 1
}

// serves reports whether the target is one of those that the cell uses.
func (t *target) serves() bool { return t.inCell && !t.Leaving }

// avoided reports whether the target gets nothing for now.
func (t *target) avoided(now time.Time) bool {
	return now.Before(t.ejectedUntil) || t.paused(now) || t.reportedUnresponsive(now)
}
