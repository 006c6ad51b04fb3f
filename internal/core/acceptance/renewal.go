package acceptance

import (
	"time"

	"sycamoretrail/internal/core/record"
)

// A renewal becomes due between a quarter and a half of the retention after the
// last one was appended. Each entry adds its own jitter, so that the first one to
// append makes the renewals of all others unnecessary.
const (
	renewalEarliestFraction = 0.25
	renewalSpreadFraction   = 0.25
	// urgentSpreadFraction is the part of the retention over which entries spread
	// the renewals of a document that the log may not contain at all.
	urgentSpreadFraction = 1.0 / 256
	// retryFraction is the part of the retention after which a renewal that was
	// not read back is retried.
	retryFraction = 1.0 / 64
)

// Observe records the result of a record and when it was appended to the log, which
// is the time of reading less the record's age. It must be called after each Record.
func (a *Acceptance) Observe(v Result, taken time.Time) {
	first := v.Kind == Accepted && a.renewedAt.IsZero()
	again := v.Kind == Renewed && taken.After(a.renewedAt)
	if first || again {
		a.renewedAt = taken
	}
}

// RenewalDue reports whether this entry must append the record returned by Renew.
// Jitter, at least 0 and less than 1, differs between entries.
//
// The time counts from the last renewal, not from the last publication. A reader
// that starts in the middle of the log cannot evaluate publications without a
// renewal, so the log must always contain one, however often documents are
// published. A renewal of a document is due soon if neither its publication nor a
// renewal of it was read.
func (a *Acceptance) RenewalDue(now time.Time, retention time.Duration, jitter float64) bool {
	if a.version == 0 {
		return false
	}
	if !a.renewalTriedAt.IsZero() && now.Sub(a.renewalTriedAt) < fraction(retention, retryFraction*(1+jitter)) {
		return false
	}
	if a.renewedAt.IsZero() {
		a.renewedAt = now.Add(fraction(retention, urgentSpreadFraction*jitter-renewalEarliestFraction-renewalSpreadFraction*jitter))
	}
	return now.Sub(a.renewedAt) >= fraction(retention, renewalEarliestFraction+renewalSpreadFraction*jitter)
}

// Renew returns the renewal to append and records the attempt. The renewal is no
// longer due once it, or one of another entry, is read.
func (a *Acceptance) Renew(now time.Time) record.Document {
	a.renewalTriedAt = now
	through := a.version
	if a.certain {
		through = max(a.version, a.last)
	}
	return record.Document{Data: a.data, Version: a.version, Through: through}
}

func fraction(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * share)
}
