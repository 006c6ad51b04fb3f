// Package register keeps the targets that have registered themselves. A target
// whose entry is dropped is gone, except after an outage of the store: entries
// lapse while it is away, and a target that lives is back soon after. Until then
// it is kept, or an outage of the store would take all targets away.
//
// Time is an argument. A Register is not safe for concurrent use.
package register

import (
	"slices"
	"strings"
	"time"

	"sycamoretrail/internal/core/bounded"
	"sycamoretrail/internal/core/catalog"
)

// lapseShare is the share of all targets that is dropped at once when entries lapse
// in an outage. Fewer are real: a few targets that left while this entry was cut off
// must not be kept.
const lapseShare = 2.0 / 3

// maxRemembered bounds the starts and departures that are remembered of targets that are
// gone: some hundred restarts a day are usual, and old entries come late by seconds.
const maxRemembered = 4096

// Register holds targets by id.
type Register struct {
	targets map[string]catalog.Target
	// started is the latest start known of each id, also of those that are gone.
	started *bounded.Map[int64]
	// lapsing holds until when a dropped target is kept.
	lapsing map[string]time.Time
	// departed holds the incarnations that leave for good, whatever later entries say.
	departed *bounded.Map[bool]
	// gone holds the incarnations whose entries have ended, restoredEnd the offset below which
	// entries are from the copy that the store has come back from.
	gone        *bounded.Map[bool]
	restoredEnd int64
}

// New makes an empty register.
func New() *Register {
	return &Register{
		targets: make(map[string]catalog.Target), lapsing: make(map[string]time.Time),
		started: bounded.New[int64](maxRemembered), departed: bounded.New[bool](maxRemembered),
		gone: bounded.New[bool](maxRemembered),
	}
}

// Put takes a target's entry; it reports whether anything that matters changed. An
// entry of an earlier start than the latest known is of the past, in whatever order
// snapshots, followed records and other entries' news bring it: put in force, requests
// would go to a process that is gone, with what was learned of it.
func (r *Register) Put(target catalog.Target) bool {
	if target.StartedMS < r.started.Get(target.ID) {
		return false
	}
	if target.StartedMS > 0 {
		r.started.Put(target.ID, target.StartedMS)
	}
	target.Leaving = target.Leaving || r.departed.Get(target.Incarnation())
	r.gone.Put(target.Incarnation(), false)
	known, found := r.targets[target.ID]
	_, lapsed := r.lapsing[target.ID]
	delete(r.lapsing, target.ID)
	r.targets[target.ID] = target
	return !found || lapsed || known != target
}

// Depart takes a target's own word that it leaves, which no entry takes back: while the
// store is away the register shows the target as ready. It reports whether that is news.
func (r *Register) Depart(target catalog.Target) bool {
	incarnation := target.Incarnation()
	if r.departed.Get(incarnation) {
		return false
	}
	r.departed.Put(incarnation, true)
	if known, found := r.targets[target.ID]; found && known.Incarnation() == incarnation {
		known.Leaving = true
		r.targets[target.ID] = known
	}
	return true
}

// Restore tells that the store has come back from an older copy, which ends at an offset. What
// is known of targets that leave or are gone holds against the copy's entries: they may have
// been written in the seconds that are lost.
func (r *Register) Restore(end int64) {
	r.restoredEnd = end
	for _, target := range r.targets {
		if target.Leaving {
			r.departed.Put(target.Incarnation(), true)
		}
	}
}

// Outdated reports whether an entry is of a copy that the store has come back from, and names
// a target that is known to be gone. Once it writes its entry again, it is back.
func (r *Register) Outdated(target catalog.Target, offset int64) bool {
	return offset < r.restoredEnd && r.gone.Get(target.Incarnation())
}

// Get returns the known target of an id.
func (r *Register) Get(id string) (catalog.Target, bool) {
	target, found := r.targets[id]
	return target, found
}

// Drop takes the end of an entry; before keepUntil the target may come back. It
// reports whether the target was known.
func (r *Register) Drop(now time.Time, id string, keepUntil time.Time) bool {
	if _, found := r.targets[id]; !found {
		return false
	}
	if now.Before(keepUntil) {
		if _, lapsed := r.lapsing[id]; !lapsed {
			r.lapsing[id] = keepUntil
		}
		return true
	}
	r.remove(id)
	return true
}

func (r *Register) remove(id string) {
	target := r.targets[id]
	r.gone.Put(target.Incarnation(), true)
	delete(r.targets, id)
	delete(r.lapsing, id)
}

// Missing returns the known targets that are not among the ids.
func (r *Register) Missing(ids map[string]bool) []string {
	var missing []string
	for id := range r.targets {
		if !ids[id] {
			missing = append(missing, id)
		}
	}
	return missing
}

// Lapse reports whether so many targets dropped at once have most likely lapsed.
func (r *Register) Lapse(dropped int) bool {
	return dropped > 1 && float64(dropped) >= lapseShare*float64(len(r.targets))
}

// Expire removes dropped targets that have not come back; next is when to call
// again, zero: not before the next Drop.
func (r *Register) Expire(now time.Time) (removed []string, next time.Time) {
	for id, until := range r.lapsing {
		if !now.Before(until) {
			r.remove(id)
			removed = append(removed, id)
			continue
		}
		if next.IsZero() || until.Before(next) {
			next = until
		}
	}
	slices.Sort(removed)
	return removed, next
}

// Targets returns all targets by id.
func (r *Register) Targets() []catalog.Target {
	targets := make([]catalog.Target, 0, len(r.targets))
	for _, target := range r.targets {
		targets = append(targets, target)
	}
	slices.SortFunc(targets, func(a, b catalog.Target) int { return strings.Compare(a.ID, b.ID) })
	return targets
}
