package quota

import "time"

// All entries may be killed when an organisation has just used its quota, and the record
// of it be lost because the store was away. Those that begin then know nothing: with its
// usual use assumed it would get a third of its quota once more, with its whole quota
// assumed everybody would be refused for a window after each such loss. What tells the
// two apart is what it asks for: one that goes on with many times its usual is taken to
// have used its whole quota, and gets nothing more until the window has passed.

const (
	// surgeShare is the part of its quota that an organisation may ask for at once: what
	// its callers had wanted in the two seconds in which there was no entry.
	surgeShare = 0.12
	// surgeFactor is how far its rate may exceed usualUse of its quota beside that: all
	// organisations together ask for up to twice their usual, half their quota, in a burst.
	surgeFactor = 1.3
)

// RecordCurrentFor is the age up to which a record shows that records were written until
// all entries ended: two pauses between records, and a start.
const RecordCurrentFor = 2*RecordEvery + time.Second

// SetRecordsCurrent says that a record of some organisation was written just before this
// entry began: then those without a record were not close to their quota.
func (l *Limiter) SetRecordsCurrent() { l.recordsCurrent = true }

// noteSurge notes an organisation that asks for more than usual since all began.
func (l *Limiter) noteSurge(now time.Time, organisation string, base, cost float64) {
	if l.recordsCurrent || l.unlisted || !l.allBegan(now) {
		return
	}
	age := float64(now.Sub(l.started)) / float64(l.config.Window)
	usual := base * (surgeShare + surgeFactor*usualUse*age)
	if l.known(l.started, organisation)+cost > usual {
		l.surging[organisation] = true
	}
}

// allBegan reports whether this entry and all others that it hears began within the
// window, so that nobody knows what was used before.
func (l *Limiter) allBegan(now time.Time) bool {
	if now.Sub(l.started) >= l.config.Window {
		return false
	}
	for _, p := range l.peers {
		if !p.silent && now.Sub(p.started) >= l.config.Window {
			return false
		}
	}
	return true
}
