// Package registry holds the registered targets. A target whose registration is removed
// is dropped, except after an outage of the store: registrations expire during the outage,
// and a running target renews its own soon afterwards. Until then the target is kept, since
// an outage of the store would otherwise remove all targets.
//
// Time is an argument. A Registry is not safe for concurrent use.
package registry

import (
	"slices"
	"strings"
	"time"

	"sycamoretrail/internal/core/bounded"
	"sycamoretrail/internal/core/catalog"
)

// massExpiryShare is the share of all targets that is dropped at once when registrations
// expire in an outage. A smaller share is treated as real departures: a few targets that
// left while this entry was disconnected must not be kept.
const massExpiryShare = 2.0 / 3

// minRemembered bounds the starts, departures and ends remembered: some hundred restarts a day
// are typical, and old registrations arrive late by seconds. With more targets the bound is
// rememberedPerTarget for each of them, which covers three replacements of all.
const (
	minRemembered       = 4096
	rememberedPerTarget = 4
)

// Registry holds the targets by id.
type Registry struct {
	targets map[string]catalog.Target
	// started is the latest known start of each id, including ids that have ended.
	started *bounded.Map[int64]
	// expiring holds the time until which a dropped target is kept.
	expiring map[string]time.Time
	// departed holds the incarnations that have announced their departure, which overrides
	// later registrations.
	departed *bounded.Map[bool]
	// ended holds the incarnations whose registrations were removed, restoredEnd the offset
	// below which registrations are from the copy that the store was restored from.
	ended       *bounded.Map[bool]
	restoredEnd int64
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		targets: make(map[string]catalog.Target), expiring: make(map[string]time.Time),
		started: bounded.New[int64](minRemembered), departed: bounded.New[bool](minRemembered),
		ended: bounded.New[bool](minRemembered),
	}
}

// Put records a target's registration and reports whether it changed the registry. A
// registration of an earlier start than the latest known one is outdated, in whatever order
// snapshots, followed records and updates of other entries arrive: if it were applied,
// requests would go to a process that has ended, with the measurements of that process.
func (r *Registry) Put(target catalog.Target) bool {
	known, found := r.targets[target.ID]
	if target.StartedMS < max(known.StartedMS, r.started.Get(target.ID)) {
		return false
	}
	if target.StartedMS > 0 {
		r.started.Put(target.ID, target.StartedMS)
	}
	target.Leaving = target.Leaving || r.departed.Get(target.Incarnation())
	r.ended.Put(target.Incarnation(), false)
	_, expired := r.expiring[target.ID]
	delete(r.expiring, target.ID)
	r.targets[target.ID] = target
	r.growRemembered()
	return !found || expired || known != target
}

// growRemembered raises the bounds of what is remembered with the number of targets.
func (r *Registry) growRemembered() {
	remembered := rememberedPerTarget * len(r.targets)
	r.started.Grow(remembered)
	r.departed.Grow(remembered)
	r.ended.Grow(remembered)
}

// MarkLeaving records a target's announcement that it leaves, which no registration revokes:
// during an outage of the store the registry shows the target as ready. It reports whether
// the announcement is new.
func (r *Registry) MarkLeaving(target catalog.Target) bool {
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

// Departed returns the targets of which it is known that they leave whatever their registrations say.
func (r *Registry) Departed() []catalog.Target {
	return slices.DeleteFunc(r.Targets(), func(target catalog.Target) bool { return !r.departed.Get(target.Incarnation()) })
}

// SetRestored records that the store was restored from an older copy, which ends at an offset.
// The known state of targets that are leaving or have ended overrides the registrations of
// the copy, since it may have been written in the seconds that are lost.
func (r *Registry) SetRestored(end int64) {
	r.restoredEnd = end
	for _, target := range r.targets {
		if target.Leaving {
			r.departed.Put(target.Incarnation(), true)
		}
	}
}

// IsStale reports whether a registration is from the copy that the store was restored from
// and is of a target that is known to have ended. If the target registers again, it is
// accepted.
func (r *Registry) IsStale(target catalog.Target, offset int64) bool {
	return offset < r.restoredEnd && r.ended.Get(target.Incarnation())
}

// Get returns the known target with an id.
func (r *Registry) Get(id string) (catalog.Target, bool) {
	target, found := r.targets[id]
	return target, found
}

// Drop records the end of a registration; before keepUntil the target may register again.
// It reports whether the target was known.
func (r *Registry) Drop(now time.Time, id string, keepUntil time.Time) bool {
	if _, found := r.targets[id]; !found {
		return false
	}
	if now.Before(keepUntil) {
		if _, expiring := r.expiring[id]; !expiring {
			r.expiring[id] = keepUntil
		}
		return true
	}
	r.remove(id)
	return true
}

func (r *Registry) remove(id string) {
	target := r.targets[id]
	r.ended.Put(target.Incarnation(), true)
	delete(r.targets, id)
	delete(r.expiring, id)
}

// Missing returns the ids of the known targets that are not in ids.
func (r *Registry) Missing(ids map[string]bool) []string {
	var missing []string
	for id := range r.targets {
		if !ids[id] {
			missing = append(missing, id)
		}
	}
	return missing
}

// IsMassExpiry reports whether so many targets dropped at once have most likely expired.
func (r *Registry) IsMassExpiry(dropped int) bool {
	return dropped > 1 && float64(dropped) >= massExpiryShare*float64(len(r.targets))
}

// Expire removes dropped targets that have not registered again; next is when to call
// it again, zero if not before the next Drop.
func (r *Registry) Expire(now time.Time) (removed []string, next time.Time) {
	for id, until := range r.expiring {
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

// Targets returns all targets, sorted by id.
func (r *Registry) Targets() []catalog.Target {
	targets := make([]catalog.Target, 0, len(r.targets))
	for _, target := range r.targets {
		targets = append(targets, target)
	}
	slices.SortFunc(targets, func(a, b catalog.Target) int { return strings.Compare(a.ID, b.ID) })
	return targets
}
