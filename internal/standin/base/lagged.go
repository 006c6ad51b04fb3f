package base

import "time"

// Lagged is a value that is read as it was some time ago. Not safe for
// concurrent use.
type Lagged[T any] struct {
	versions []version[T]
}

type version[T any] struct {
	at    time.Time
	value T
}

// Set changes the value at now; versions that a reader with the given lag can
// no longer see are forgotten.
func (l *Lagged[T]) Set(now time.Time, lag time.Duration, value T) {
	l.versions = append(l.versions, version[T]{at: now, value: value})
	seen := now.Add(-lag)
	for len(l.versions) > 1 && !l.versions[1].at.After(seen) {
		l.versions = l.versions[1:]
	}
}

// At returns the value as it was at a time; the zero value before the first.
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

// Reset forgets everything.
func (l *Lagged[T]) Reset() { l.versions = nil }
