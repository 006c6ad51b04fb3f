package streams

import (
	"slices"
	"time"

	"sycamoretrail/internal/core/catalog"
)

// versionMemory is how long a version counts after its last target: callers may reconnect to
// streams of targets that are gone.
const versionMemory = maxKeep

// Versions tracks the software versions of each service's targets.
type Versions struct {
	// lastSeen is when a target was last listed, by service and version.
	lastSeen map[string]map[string]time.Time
	// listed are the versions of the latest list, which count however old it is.
	listed map[string]map[string]bool
}

// NewVersions returns a Versions that knows no targets.
func NewVersions() *Versions { return &Versions{lastSeen: make(map[string]map[string]time.Time)} }

// Observe records the list of all targets.
func (v *Versions) Observe(now time.Time, targets []catalog.Target) {
	for service, versions := range v.listed {
		for version := range versions {
			v.lastSeen[service][version] = now
		}
	}
	v.listed = make(map[string]map[string]bool)
	for i := range targets {
		service, version := targets[i].Service, targets[i].Version
		if v.listed[service] == nil {
			v.listed[service] = make(map[string]bool)
		}
		if v.lastSeen[service] == nil {
			v.lastSeen[service] = make(map[string]time.Time)
		}
		v.listed[service][version] = true
		v.lastSeen[service][version] = now
	}
	v.expire(now)
}

func (v *Versions) expire(now time.Time) {
	for service, versions := range v.lastSeen {
		for version, seen := range versions {
			if now.Sub(seen) > versionMemory {
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(v.lastSeen, service)
		}
	}
}

// Only returns the version of a service if all of its targets have had the same one for as long as
// callers reconnect to streams.
func (v *Versions) Only(now time.Time, service string) (version string, ok bool) {
	recent := v.Known(now, service)
	if len(recent) != 1 {
		return "", false
	}
	return recent[0], true
}

// Several returns the services that have had several versions in that time, sorted.
func (v *Versions) Several(now time.Time) []string {
	var services []string
	for service := range v.lastSeen {
		if len(v.Known(now, service)) > 1 {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}

// Known returns the versions that a service has had in that time, sorted.
func (v *Versions) Known(now time.Time, service string) []string {
	var versions []string
	for each, seen := range v.lastSeen[service] {
		if v.listed[service][each] || now.Sub(seen) <= versionMemory {
			versions = append(versions, each)
		}
	}
	slices.Sort(versions)
	return versions
}
