package streams

import "time"

// History is what is recorded, outside the entries, of the versions of a service: after the loss of all
// entries nobody remembers those that are gone. Its times are those of wall clocks of other instances.
type History struct {
	// Since is when the record began: it holds each version of the time from then on. Zero: it holds all.
	Since time.Time
	// Versions is when a target of each version was last listed. Zero: one is, as far as the writer knows.
	Versions map[string]time.Time
}

// Restore adds a service's history; clockError is the largest difference between wall clocks. incomplete:
// records may have been lost since it was written, so that only the versions in it count.
func (v *Versions) Restore(now time.Time, service string, h History, clockError time.Duration, incomplete bool) {
	for version, until := range h.Versions {
		switch {
		case until.IsZero():
			v.note(now, service, version)
		case now.Sub(until) <= VersionMemory+clockError:
			// A clock that is behind must not make it expire early.
			v.note(minTime(now, until.Add(clockError)), service, version)
		}
	}
	if since := h.Since.Add(clockError); !incomplete {
		v.recordedSince[service] = since
	}
}

// RestoreOthers records that there is no history of any other service, and would be if it had had a target.
func (v *Versions) RestoreOthers() { v.othersNew = true }

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Histories returns what is to be recorded of all services that are known. recorded are the histories so far,
// whose versions are kept: this entry may have started after they were gone. A service that has none is
// recorded from the time on that this entry has observed it or, with othersNew, as a whole: see RestoreOthers.
func (v *Versions) Histories(now time.Time, recorded map[string]History, othersNew bool) map[string]History {
	histories := make(map[string]History)
	for service := range v.lastSeen {
		before, found := recorded[service]
		since := v.observedSince
		switch {
		case found && before.Since.Before(since):
			since = before.Since
		case !found && othersNew:
			since = time.Time{}
		}
		histories[service] = History{Since: since, Versions: make(map[string]time.Time)}
	}
	for service, before := range recorded {
		if _, found := histories[service]; !found {
			histories[service] = History{Since: before.Since, Versions: make(map[string]time.Time)}
		}
		for version, until := range before.Versions {
			if until.IsZero() {
				until = now
			}
			if now.Sub(until) <= 2*VersionMemory {
				histories[service].Versions[version] = until
			}
		}
	}
	for service, versions := range v.lastSeen {
		for version, seen := range versions {
			switch before := histories[service].Versions[version]; {
			case v.listed[service][version]:
				histories[service].Versions[version] = time.Time{}
			case seen.After(before):
				histories[service].Versions[version] = seen
			}
		}
	}
	return histories
}
