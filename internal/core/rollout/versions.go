package rollout

import (
	"slices"
	"time"

	"sycamoretrail/internal/core/catalog"
)

// Versions tells which versions of a service's targets may be used without an order.
//
// Servers of a new version start right after the order to move to it, and an entry may
// hear of them first: register and orders come by different ways. Until it knows the
// order it would send them their full share of the traffic. So a version that appears
// beside others waits until the orders are known as of a later moment than its
// appearance; where no order came, it is used.
type Versions struct {
	known map[string]map[string]bool
	// seen is when a version that waits was first seen, by service and version.
	seen map[string]map[string]time.Time
}

// NewVersions makes one that knows no service.
func NewVersions() *Versions {
	return &Versions{known: make(map[string]map[string]bool), seen: make(map[string]map[string]time.Time)}
}

// Settled reports whether a version of a service is in use.
func (v *Versions) Settled(service, version string) bool { return v.known[service][version] }

// Usable returns the targets of one service that may be used, and whether others wait.
// ordersAsOf is the moment as of which the orders are known; served says whether other
// targets serve the service, which are settled.
func (v *Versions) Usable(now, ordersAsOf time.Time, service string, targets []catalog.Target, served bool) (usable []catalog.Target, waits bool) {
	if v.known[service] == nil {
		v.known[service] = make(map[string]bool)
		v.seen[service] = make(map[string]time.Time)
		for i := range targets {
			v.known[service][targets[i].Version] = true
		}
	}
	for i := range targets {
		if v.allows(now, ordersAsOf, service, targets[i].Version) {
			usable = append(usable, targets[i])
		}
	}
	if !served && !Serves(usable, service) {
		// Nothing else serves: waiting would turn all callers away.
		return targets, false
	}
	return usable, len(usable) < len(targets)
}

func (v *Versions) allows(now, ordersAsOf time.Time, service, version string) bool {
	if v.known[service][version] {
		return true
	}
	seen, found := v.seen[service][version]
	if !found {
		seen = now
		v.seen[service][version] = now
	}
	if !ordersAsOf.After(seen) {
		return false
	}
	v.known[service][version] = true
	return true
}

// Serves reports whether any of the targets serves a service.
func Serves(targets []catalog.Target, service string) bool {
	return slices.ContainsFunc(targets, func(t catalog.Target) bool { return t.Service == service && !t.Leaving })
}
