package base

import "time"

// Lagged keeps past versions of a value, so that it can be read as it was some
// time ago. It is not safe for concurrent use.
type Lagged[T any] struct {
	versions []version[T]
}

type version[T any] struct {
	at    time.Time
	value T
}

// Set changes the value at now. It removes versions that are no longer visible to
// a reader with the given lag.
func (l *Lagged[T]) Set(now time.Time, lag time.Duration, value T) {
	l.versions = append(l.versions, version[T]{at: now, value: value})
	oldestVisible := now.Add(-lag)
	for len(l.versions) > 1 && !l.versions[1].at.After(oldestVisible) {
		l.versions = l.versions[1:]
	}
}

// At returns the value as it was at time t, or the zero value if none was set.
func (l *Lagged[T]) At(t time.Time) T {
	var value T
	for _, v := range l.versions {
		if v.at.After(t) {
			break
		}
		value = v.value
	}
	return value
}

// Reset removes all versions.
func (l *Lagged[T]) Reset() { l.versions = nil }
