package document

import "slices"

func (c *checker) organisations() {
	d := c.doc
	c.names("organisations", len(d.Organisations), MaxOrganisations, func(i int) string { return d.Organisations[i].Name })
	owners := make(map[string]int, len(d.Organisations))
	for i := range d.Organisations {
		path, org := element("organisations", i), &d.Organisations[i]
		c.keyHashes(path, org, owners, i)
		c.organisationReferences(path, org)
		if !(org.Weight > 0 && org.Weight <= maxCount) {
			c.faults.add(path+".weight", "write a number above 0; 1 is usual", "%v is no share", org.Weight)
		}
		c.inRange(path+".max_in_flight", org.MaxInFlight, 0, maxCount)
	}
}

// keyHashes checks the key hashes of an organisation, and that each belongs to
// one organisation only. Otherwise one customer's requests would count as another's.
func (c *checker) keyHashes(path string, org *Organisation, owners map[string]int, i int) {
	if len(org.KeyHashes) == 0 || len(org.KeyHashes) > MaxKeyHashes {
		c.faults.add(path+".key_hashes", "list the hex SHA-256 of its bearer tokens", "has %d hashes, of 1 to %d", len(org.KeyHashes), MaxKeyHashes)
	}
	for j, hash := range org.KeyHashes {
		if !isKeyHash(hash) {
			c.faults.add(element(path+".key_hashes", j), "write the SHA-256 of the token, never the token", "is not %d hex digits in lower case", keyHashLength)
			continue
		}
		if earlier, found := owners[hash]; found {
			c.faults.add(element(path+".key_hashes", j), "issue a token of its own to each organisation", "is a hash of %s too", element("organisations", earlier))
			continue
		}
		owners[hash] = i
	}
}

func isKeyHash(hash string) bool {
	if len(hash) != keyHashLength {
		return false
	}
	for i := 0; i < len(hash); i++ {
		digit := hash[i] >= '0' && hash[i] <= '9'
		letter := hash[i] >= 'a' && hash[i] <= 'f'
		if !digit && !letter {
			return false
		}
	}
	return true
}

func (c *checker) organisationReferences(path string, org *Organisation) {
	if len(org.Tiers) == 0 {
		c.faults.add(path+".tiers", "list at least one; the first is used when a request names none", "is empty")
	}
	c.references(path+".tiers", "tier", org.Tiers, func(name string) bool {
		_, found := c.index.TierRank(name)
		return found
	})
	c.references(path+".models", "model", org.Models, func(name string) bool {
		_, found := c.index.Model(name)
		return found
	})
	c.references(path+".services", "service", org.Services, func(name string) bool {
		_, found := c.index.Service(name)
		return found
	})
}

// references checks that each name of a list is found and listed only once.
func (c *checker) references(path, what string, names []string, found func(string) bool) {
	for i, name := range names {
		if !found(name) {
			c.checkFound(element(path, i), what, name, false)
		}
		if earlier := slices.Index(names[:min(i, maxReferences)], name); earlier >= 0 {
			c.faults.add(element(path, i), "name it once", "%q stands at %s too", name, element(path, earlier))
		}
	}
	if len(names) > maxReferences {
		c.faults.add(path, "name each once", "has %d members, more than %d", len(names), maxReferences)
	}
}

// maxReferences bounds the length of a list of references, and thereby the cost of
// searching it for duplicates.
const maxReferences = MaxModels

func (c *checker) models() {
	d := c.doc
	c.names("models", len(d.Models), MaxModels, func(i int) string { return d.Models[i].Name })
	ordered := make(map[string]int, len(d.Pools))
	for i := range d.Models {
		path, model := element("models", i), &d.Models[i]
		c.poolReference(path, model.Pool, KindEngine)
		c.inRange(path+".context_tokens", model.ContextTokens, 1, maxCount)
		c.adapters(path, model)
		if model.Version == "" {
			continue
		}
		c.name(path+".version", model.Version)
		if earlier, found := ordered[model.Pool]; found {
			c.faults.add(path+".version", "give one of them a pool of its own, or let it have no version", "pool %q is ordered to hold %s too, and a target holds one model", model.Pool, element("models", earlier))
			continue
		}
		ordered[model.Pool] = i
	}
}

func (c *checker) adapters(path string, model *Model) {
	if len(model.Adapters) > MaxAdapters {
		c.faults.add(path+".adapters", "list fewer", "has %d members, more than %d", len(model.Adapters), MaxAdapters)
		return
	}
	for i, name := range model.Adapters {
		c.name(element(path+".adapters", i), name)
	}
	c.references(path+".adapters", "adapter", model.Adapters, func(string) bool { return true })
	if len(model.Adapters) > 0 && !c.poolHasVersion(model.Pool) {
		c.faults.add(path+".adapters", "give a model of the pool a version", "pool %q is ordered to hold no model that could have adapters", model.Pool)
	}
}

func (c *checker) poolHasVersion(pool string) bool {
	return slices.ContainsFunc(c.doc.Models, func(m Model) bool { return m.Pool == pool && m.Version != "" })
}

func (c *checker) services() {
	d := c.doc
	c.names("services", len(d.Services), MaxServices, func(i int) string { return d.Services[i].Name })
	for i := range d.Services {
		path, service := element("services", i), &d.Services[i]
		c.poolReference(path, service.Pool, KindService)
		for j, method := range service.Repeatable {
			if !isMethodName(method) {
				c.faults.add(element(path+".repeatable", j), "write an HTTP method such as GET", "%q is not a method in capital letters", method)
			}
		}
		c.references(path+".repeatable", "method", service.Repeatable, func(string) bool { return true })
	}
}

func isMethodName(s string) bool {
	if s == "" || len(s) > MaxNameLength {
		return false
	}
	for i := 0; i < len(s); i++ {
		if s[i] < 'A' || s[i] > 'Z' {
			return false
		}
	}
	return true
}

// poolReference checks that the pool of a model or service exists and that its
// targets are of the given kind. A pool without targets is accepted for both kinds,
// since targets may be added later.
func (c *checker) poolReference(path, pool string, kind TargetKind) {
	if _, found := c.index.Pool(pool); !found {
		c.checkFound(path+".pool", "pool", pool, false)
		return
	}
	for _, target := range c.index.Targets(pool) {
		class, found := c.index.Class(target.Class)
		if found && class.Kind != kind {
			c.faults.add(path+".pool", "name a pool whose targets are all of kind "+string(kind), "target %q of pool %q is of kind %s", target.Name, pool, class.Kind)
			return
		}
	}
}

func (c *checker) classes() {
	d := c.doc
	c.names("classes", len(d.Classes), MaxClasses, func(i int) string { return d.Classes[i].Name })
	for i := range d.Classes {
		path, class := element("classes", i), &d.Classes[i]
		if class.Kind != KindEngine && class.Kind != KindService {
			c.faults.add(path+".kind", "write engine or service", "%q is no kind of target", class.Kind)
		}
		c.inRange(path+".max_in_flight", class.MaxInFlight, 1, maxCount)
		c.estimate(path+".prefill_rate", class.PrefillRate, class.Kind)
		c.estimate(path+".step_ms", class.StepMS, class.Kind)
	}
}

func (c *checker) estimate(path string, value float64, kind TargetKind) {
	if kind == KindEngine && !(value > 0 && value <= maxCount) {
		c.faults.add(path, "write a number above 0, or leave it out", "%v is no speed", value)
	}
	if kind == KindService && value != 0 {
		c.faults.add(path, "leave it out", "a service generates no tokens")
	}
}
