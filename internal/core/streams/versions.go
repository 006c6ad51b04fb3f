package streams

import (
	"slices"
	"time"

	"sycamoretrail/internal/core/catalog"
)

// VersionMemory is how long a version is remembered after its last target: callers may reconnect to
// streams of targets that are gone.
const VersionMemory = maxKeep

// Versions tracks the software versions of each service's targets, as far back as this entry has observed
// the targets or a History reaches.
type Versions struct {
	// lastSeen is when a target was last listed, by service and version.
	lastSeen map[string]map[string]time.Time
	// listed are the versions of the latest list, which count however old it is.
	listed map[string]map[string]bool
	// observedSince is the start of the time in which no list was missed, recordedSince that of the
	// time that the histories of services cover. othersNew: services without a history had no target before
	// this entry's observation.
	observedSince time.Time
	recordedSince map[string]time.Time
	othersNew     bool
}

// NewVersions returns a Versions that knows no targets.
func NewVersions() *Versions {
	return &Versions{lastSeen: make(map[string]map[string]time.Time), recordedSince: make(map[string]time.Time)}
}

// Missed records that versions may have come and gone since the latest list.
func (v *Versions) Missed(now time.Time) {
	v.observedSince = now
	clear(v.recordedSince)
	v.othersNew = false
}

// Observe records the list of all targets. It reports whether the listed versions have changed.
func (v *Versions) Observe(now time.Time, targets []catalog.Target) (changed bool) {
	if v.observedSince.IsZero() {
		v.observedSince = now
	}
	before := v.listed
	for service, versions := range before {
		for version := range versions {
			v.note(now, service, version)
		}
	}
	v.listed = make(map[string]map[string]bool)
	for i := range targets {
		service, version := targets[i].Service, targets[i].Version
		if v.listed[service] == nil {
			v.listed[service] = make(map[string]bool)
		}
		changed = changed || !before[service][version]
		v.listed[service][version] = true
		v.note(now, service, version)
	}
	for service, versions := range before {
		changed = changed || len(versions) != len(v.listed[service])
	}
	v.expire(now)
	return changed
}

// Note records that a version served a stream.
func (v *Versions) Note(at time.Time, origin Origin) { v.note(at, origin.Service, origin.Version) }

func (v *Versions) note(seen time.Time, service, version string) {
	if v.lastSeen[service] == nil {
		v.lastSeen[service] = make(map[string]time.Time)
	}
	if seen.After(v.lastSeen[service][version]) {
		v.lastSeen[service][version] = seen
	}
}

func (v *Versions) expire(now time.Time) {
	for service, versions := range v.lastSeen {
		for version, seen := range versions {
			if now.Sub(seen) > VersionMemory {
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(v.lastSeen, service)
		}
	}
}

// Only returns the version of a service if all of its targets have had the same one within some time. An entry
// that has just started has not seen those before: see KnownFor.
func (v *Versions) Only(now time.Time, service string, within time.Duration) (version string, ok bool) {
	recent := v.Known(now, service, within)
	if len(recent) != 1 {
		return "", false
	}
	return recent[0], true
}

// KnownFor returns how far back all versions of a service are known.
func (v *Versions) KnownFor(now time.Time, service string) time.Duration {
	since := v.observedSince
	recorded, found := v.recordedSince[service]
	if (found || v.othersNew) && recorded.Before(since) {
		since = recorded
	}
	return now.Sub(since)
}

// Several returns the services that have had several versions within some time, sorted.
func (v *Versions) Several(now time.Time, within time.Duration) []string {
	var services []string
	for service := range v.lastSeen {
		if len(v.Known(now, service, within)) > 1 {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}

// Known returns the versions that a service has had within some time, sorted.
func (v *Versions) Known(now time.Time, service string, within time.Duration) []string {
	var versions []string
	for each, seen := range v.lastSeen[service] {
		if v.listed[service][each] || now.Sub(seen) <= within {
			versions = append(versions, each)
		}
	}
	slices.Sort(versions)
	return versions
}
