package rollout

import (
	"slices"
	"time"

	"sycamoretrail/internal/core/catalog"
)

// Versions decides which versions of a service's targets may be used without an order.
//
// Servers of a new version start right after the order to move to it. An entry may discover
// them before it reads the order, because the registry and the orders are read separately,
// and would then send them their full share of the traffic. A version that appears beside
// others is therefore held back until the orders have been read up to a moment after its
// appearance. If there is no order for it by then, it is used.
type Versions struct {
	inUse map[string]map[string]bool
	// firstSeen is when a held-back version was first seen, by service and version.
	firstSeen map[string]map[string]time.Time
}

// NewVersions returns a Versions that has seen no service.
func NewVersions() *Versions {
	return &Versions{inUse: make(map[string]map[string]bool), firstSeen: make(map[string]map[string]time.Time)}
}

// InUse reports whether a version of a service is in use.
func (v *Versions) InUse(service, version string) bool { return v.inUse[service][version] }

// Usable returns the targets of one service that may be used, and whether others are held
// back. The orders have been read up to ordersAsOf. served reports whether the service has
// other targets, whose versions are in use.
func (v *Versions) Usable(now, ordersAsOf time.Time, service string, targets []catalog.Target, served bool) (usable []catalog.Target, waits bool) {
	if v.inUse[service] == nil {
		v.inUse[service] = make(map[string]bool)
		v.firstSeen[service] = make(map[string]time.Time)
		for i := range targets {
			v.inUse[service][targets[i].Version] = true
		}
	}
	for i := range targets {
		if v.allows(now, ordersAsOf, service, targets[i].Version) {
			usable = append(usable, targets[i])
		}
	}
	if !served && !Serves(usable, service) {
		// There are no other targets: holding these back would refuse all requests.
		return targets, false
	}
	return usable, len(usable) < len(targets)
}

func (v *Versions) allows(now, ordersAsOf time.Time, service, version string) bool {
	if v.inUse[service][version] {
		return true
	}
	seen, found := v.firstSeen[service][version]
	if !found {
		seen = now
		v.firstSeen[service][version] = now
	}
	if !ordersAsOf.After(seen) {
		return false
	}
	v.inUse[service][version] = true
	return true
}

// Serves reports whether any of the targets serves a service.
func Serves(targets []catalog.Target, service string) bool {
	return slices.ContainsFunc(targets, func(t catalog.Target) bool { return t.Service == service && !t.Leaving })
}
