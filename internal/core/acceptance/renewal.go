package acceptance

import (
	"time"

	"sycamoretrail/internal/core/record"
)

// A renewal falls due between a quarter and a half of the retention after the
// log took the last renewal. Each entry adds its own jitter, so that the first
// to append tells all others that it is done.
const (
	renewalEarliest = 0.25
	renewalSpread   = 0.25
	// urgentSpread is the part of the retention over which entries spread
	// renewals of a document that the log may not hold at all.
	urgentSpread = 1.0 / 256
	// retryAfter is the part of the retention before a renewal whose record
	// was not read back is tried again.
	retryAfter = 1.0 / 64
)

// Seen notes a record's verdict and when the log took it: the time of reading
// less the record's age. To be called after each Record.
func (a *Acceptance) Seen(v Verdict, taken time.Time) {
	first := v.Kind == Accepted && a.renewed.IsZero()
	again := v.Kind == Renewed && taken.After(a.renewed)
	if first || again {
		a.renewed = taken
	}
}

// RenewalDue reports whether this entry is to append what Renew returns.
// Jitter, from 0 up to and without 1, is the entry's own.
//
// Time counts from the last renewal, not from the last publication: a reader
// that starts in the middle cannot judge a publication without a renewal, so
// however often documents are published, the kept part of the log must hold
// one. A document for which none was seen is due soon.
func (a *Acceptance) RenewalDue(now time.Time, retention time.Duration, jitter float64) bool {
	if a.version == 0 {
		return false
	}
	if !a.tried.IsZero() && now.Sub(a.tried) < part(retention, retryAfter*(1+jitter)) {
		return false
	}
	if a.renewed.IsZero() {
		a.renewed = now.Add(part(retention, urgentSpread*jitter-renewalEarliest-renewalSpread*jitter))
	}
	return now.Sub(a.renewed) >= part(retention, renewalEarliest+renewalSpread*jitter)
}

// Renew returns the record to append and notes the attempt. Reading it back,
// or another entry's renewal, ends the need.
func (a *Acceptance) Renew(now time.Time) record.Document {
	a.tried = now
	through := a.version
	if a.certain {
		through = max(a.version, a.last)
	}
	return record.Document{Data: a.data, Version: a.version, Through: through}
}

func part(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * share)
}
