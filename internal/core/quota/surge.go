package quota

import "time"

// All entries may be killed when an organisation has just used its quota, and the
// record of this may be lost because the store was unavailable. The entries that start
// then have no information. If they assumed its typical use, it would get a third of
// its quota once more; if they assumed its whole quota, all organisations would be
// refused for a window after each such loss. The requests of the organisation
// distinguish the two cases: one that continues at many times its typical rate is
// assumed to have used its whole quota, and is refused until the window has passed.

const (
	// surgeBurstShare is the share of its quota that an organisation may request at
	// once: what its callers had to send in the two seconds without any entry.
	surgeBurstShare = 0.12
	// surgeRateFactor is the factor by which its rate may exceed typicalUse of its
	// quota in addition: all organisations together request up to twice their typical
	// load, half their quota, in a burst.
	surgeRateFactor = 1.3
)

// RecordCurrentFor is the age up to which a record shows that records were written
// until all entries ended: two recording intervals and a start.
const RecordCurrentFor = 2*RecordEvery + time.Second

// SetRecordsCurrent states that a record of some organisation was written just before
// this entry started, so that organisations without a record were not close to their
// quota.
func (l *Limiter) SetRecordsCurrent() { l.recordsCurrent = true }

// detectSurge marks an organisation of which more than its typical use is requested since
// all entries started. Where the demand at other entries is not known, as much is assumed
// as at those where it is.
func (l *Limiter) detectSurge(now time.Time, organisation string, base, cost float64) {
	if l.recordsCurrent || l.surging[organisation] {
		return
	}
	age := float64(now.Sub(l.started)) / float64(l.config.Window)
	expected := base * (surgeBurstShare + surgeRateFactor*typicalUse*age)
	demand, heard := l.demandSinceStart(now, organisation)
	if !l.peersUnknown || 2*heard < l.entries() {
		demand *= float64(l.entries()) / float64(heard)
	}
	if demand+cost > expected {
		l.surging[organisation] = true
	}
}

// allStartedRecently reports whether this entry and all others that are responsive
// started within the window, so that no entry has counted the usage before.
func (l *Limiter) allStartedRecently(now time.Time) bool {
	if now.Sub(l.started) >= l.config.Window {
		return false
	}
	for _, p := range l.peers {
		if !p.unresponsive && now.Sub(p.started) >= l.config.Window {
			return false
		}
	}
	return true
}
