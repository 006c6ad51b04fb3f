package document

import "sycamoretrail/internal/core/request"

// Index provides look-ups in one document. It is built once for each version and
// never modified, so it is safe for concurrent use. If a name or hash occurs twice,
// which Check rejects, the first one is found.
type Index struct {
	doc           *Document
	organisations map[string]*Organisation
	byKeyHash     map[string]*Organisation
	tiers         map[string]request.Tier
	pools         map[string]*Pool
	models        map[string]*Model
	services      map[string]*Service
	classes       map[string]*Class
	targets       map[string]*Target
	poolTargets   map[string][]*Target
	poolModels    map[string][]*Model
}

// NewIndex returns an index of a document, which must not be modified afterwards.
func NewIndex(d *Document) *Index {
	x := &Index{
		doc:           d,
		organisations: byName(d.Organisations, func(o *Organisation) string { return o.Name }),
		byKeyHash:     make(map[string]*Organisation, len(d.Organisations)),
		tiers:         make(map[string]request.Tier, len(d.Tiers)),
		pools:         byName(d.Pools, func(p *Pool) string { return p.Name }),
		models:        byName(d.Models, func(m *Model) string { return m.Name }),
		services:      byName(d.Services, func(s *Service) string { return s.Name }),
		classes:       byName(d.Classes, func(c *Class) string { return c.Name }),
		targets:       byName(d.Targets, func(t *Target) string { return t.Name }),
		poolTargets:   groupBy(d.Targets, func(t *Target) string { return t.Pool }),
		poolModels:    groupBy(d.Models, func(m *Model) string { return m.Pool }),
	}
	for i := range d.Organisations {
		for _, hash := range d.Organisations[i].KeyHashes {
			if _, found := x.byKeyHash[hash]; !found {
				x.byKeyHash[hash] = &d.Organisations[i]
			}
		}
	}
	for i := range d.Tiers[:min(len(d.Tiers), MaxTiers)] {
		if _, found := x.tiers[d.Tiers[i].Name]; !found {
			x.tiers[d.Tiers[i].Name] = request.Tier(i)
		}
	}
	return x
}

func byName[T any](list []T, name func(*T) string) map[string]*T {
	out := make(map[string]*T, len(list))
	for i := range list {
		if _, found := out[name(&list[i])]; !found {
			out[name(&list[i])] = &list[i]
		}
	}
	return out
}

func groupBy[T any](list []T, group func(*T) string) map[string][]*T {
	out := make(map[string][]*T)
	for i := range list {
		key := group(&list[i])
		out[key] = append(out[key], &list[i])
	}
	return out
}

// Document returns the indexed document.
func (x *Index) Document() *Document { return x.doc }

// Organisation returns the organisation with the given name.
func (x *Index) Organisation(name string) (*Organisation, bool) {
	o, found := x.organisations[name]
	return o, found
}

// OrganisationByKeyHash returns the organisation with a bearer token whose SHA-256
// is hash, in hex.
func (x *Index) OrganisationByKeyHash(hash string) (*Organisation, bool) {
	o, found := x.byKeyHash[hash]
	return o, found
}

// TierRank returns the rank of the tier with the given name.
func (x *Index) TierRank(name string) (request.Tier, bool) {
	t, found := x.tiers[name]
	return t, found
}

// Pool returns the pool with the given name.
func (x *Index) Pool(name string) (*Pool, bool) {
	p, found := x.pools[name]
	return p, found
}

// Model returns the model with the given name.
func (x *Index) Model(name string) (*Model, bool) {
	m, found := x.models[name]
	return m, found
}

// Service returns the service with the given name.
func (x *Index) Service(name string) (*Service, bool) {
	s, found := x.services[name]
	return s, found
}

// Class returns the class with the given name.
func (x *Index) Class(name string) (*Class, bool) {
	c, found := x.classes[name]
	return c, found
}

// Target returns the target with the given name.
func (x *Index) Target(name string) (*Target, bool) {
	t, found := x.targets[name]
	return t, found
}

// ClassOf returns the class of a target.
func (x *Index) ClassOf(target string) (*Class, bool) {
	t, found := x.targets[target]
	if !found {
		return nil, false
	}
	return x.Class(t.Class)
}

// Targets returns a pool's targets in the document's order. The result must not be
// modified.
func (x *Index) Targets(pool string) []*Target { return x.poolTargets[pool] }

// Models returns a pool's models in the document's order. The result must not be
// modified.
func (x *Index) Models(pool string) []*Model { return x.poolModels[pool] }
