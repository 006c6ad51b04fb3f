package document

import (
	"fmt"
	"net/netip"
	"time"
)

// Maximum sizes of a document, which bound its memory at an entry.
const (
	MaxTiers         = 16
	MaxOrganisations = 100_000
	MaxPools         = 1_000
	MaxModels        = 1_000
	MaxServices      = 1_000
	MaxClasses       = 1_000
	MaxTargets       = 20_000
	// MaxKeyHashes is per organisation, MaxAdapters per model.
	MaxKeyHashes = 64
	MaxAdapters  = 256
	// MaxNameLength and MaxCommentLength are in bytes.
	MaxNameLength    = 64
	MaxCommentLength = 4096
)

// Bounds of numbers in a document.
const (
	maxMS    = int(7 * 24 * time.Hour / time.Millisecond)
	maxBytes = 1 << 30
	maxCount = 10_000_000
	// keyHashLength is the length of a SHA-256 hash in hex digits.
	keyHashLength = 64
)

// retentionMargin divides the log's retention into the part by which the claim
// horizon must be shorter. A claim can be read back only while the log keeps it;
// the margin covers readers that lag and appends that reach the log late.
const retentionMargin = 4

// Check returns the faults of the document. A document without faults is valid.
func (d *Document) Check() Faults {
	c := checker{doc: d, index: NewIndex(d)}
	c.header()
	c.tiers()
	c.organisations()
	c.pools()
	c.models()
	c.services()
	c.classes()
	c.targets()
	c.limits()
	c.refusal()
	c.shutdown()
	c.timing()
	return c.faults
}

type checker struct {
	doc    *Document
	index  *Index
	faults Faults
}

func (c *checker) header() {
	d := c.doc
	if d.Schema != Schema {
		c.faults.add("schema", fmt.Sprintf("write %d", Schema), "this build reads schema %d, not %d", Schema, d.Schema)
	}
	c.name("id", d.ID)
	if d.Base < 0 {
		c.faults.add("base", "give the version that the change started from, or 0 for the first", "negative version %d", d.Base)
	}
	if len(d.Comment) > MaxCommentLength {
		c.faults.add("comment", fmt.Sprintf("keep it within %d bytes", MaxCommentLength), "%d bytes long", len(d.Comment))
	}
}

// name checks the syntax of a name. Names appear in paths, headers, metrics and
// logs, so they may only contain characters that are safe in all of them.
func (c *checker) name(path, name string) {
	if name == "" {
		c.faults.add(path, "give it one", "has no name")
		return
	}
	if len(name) > MaxNameLength {
		c.faults.add(path, fmt.Sprintf("keep it within %d bytes", MaxNameLength), "name of %d bytes is too long", len(name))
		return
	}
	for i := 0; i < len(name); i++ {
		if !isNameByte(name[i]) {
			c.faults.add(path, "use letters, digits, '.', '_' and '-' only", "name %q has a character that is not allowed", name)
			return
		}
	}
}

func isNameByte(b byte) bool {
	letter := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z'
	digit := b >= '0' && b <= '9'
	return letter || digit || b == '.' || b == '_' || b == '-'
}

// names checks the names of one list and that they are unique.
func (c *checker) names(list string, n, limit int, nameOf func(int) string) {
	if n > limit {
		c.faults.add(list, fmt.Sprintf("keep it to %d", limit), "has %d members", n)
	}
	first := make(map[string]int, n)
	for i := range n {
		path := element(list, i) + ".name"
		name := nameOf(i)
		c.name(path, name)
		if earlier, found := first[name]; found && name != "" {
			c.faults.add(path, "give each its own name", "%q is the name of %s too", name, element(list, earlier))
			continue
		}
		first[name] = i
	}
}

func element(list string, i int) string { return fmt.Sprintf("%s[%d]", list, i) }

// checkFound adds a fault if the name of a reference was not found.
func (c *checker) checkFound(path, what, name string, found bool) {
	if !found {
		c.faults.add(path, "name one that the document lists, or add it", "no %s is called %q", what, name)
	}
}

// inRange checks that an integer is between low and high.
func (c *checker) inRange(path string, value, low, high int) {
	if value < low || value > high {
		c.faults.add(path, fmt.Sprintf("write a number from %d to %d", low, high), "%d is out of bounds", value)
	}
}

func (c *checker) tiers() {
	d := c.doc
	if len(d.Tiers) == 0 {
		c.faults.add("tiers", "list at least one, the most important first", "is empty")
	}
	c.names("tiers", len(d.Tiers), MaxTiers, func(i int) string { return d.Tiers[i].Name })
	for i := range d.Tiers {
		path, tier := element("tiers", i), &d.Tiers[i]
		c.inRange(path+".deadline_ms", tier.DeadlineMS, 1, maxMS)
		c.inRange(path+".first_token_ms", tier.FirstTokenMS, 0, maxMS)
		if tier.DeadlineMS > d.Limits.DeadlineMS {
			c.faults.add(path+".deadline_ms", "lower it, or raise limits.deadline_ms", "%d ms is more than limits.deadline_ms, %d", tier.DeadlineMS, d.Limits.DeadlineMS)
		}
		if tier.FirstTokenMS > tier.DeadlineMS {
			c.faults.add(path+".first_token_ms", "lower it, or raise the tier's deadline_ms", "%d ms is after the deadline, %d", tier.FirstTokenMS, tier.DeadlineMS)
		}
	}
}

func (c *checker) pools() {
	d := c.doc
	c.names("pools", len(d.Pools), MaxPools, func(i int) string { return d.Pools[i].Name })
}

// address checks that an address consists of an IP address and a port, and is
// unique. Host names are not allowed: an entry would have to resolve them while it
// schedules, and the result could differ between entries.
func (c *checker) address(path, address string, first map[netip.AddrPort]int, i int) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 || parsed.Addr().Zone() != "" || parsed.Addr().IsUnspecified() {
		c.faults.add(path, "write IP number and port, such as 10.1.2.3:8000 or [fd00::1]:8000", "%q is not an address by IP number with a port", address)
		return
	}
	parsed = netip.AddrPortFrom(parsed.Addr().Unmap(), parsed.Port())
	if earlier, found := first[parsed]; found {
		c.faults.add(path, "give each target its own address", "%s is the address of %s too", address, element("targets", earlier))
		return
	}
	first[parsed] = i
}

func (c *checker) targets() {
	d := c.doc
	c.names("targets", len(d.Targets), MaxTargets, func(i int) string { return d.Targets[i].Name })
	addresses := make(map[netip.AddrPort]int, len(d.Targets))
	kinds := make(map[string]TargetKind, len(d.Pools))
	for i := range d.Targets {
		path, target := element("targets", i), &d.Targets[i]
		_, poolFound := c.index.Pool(target.Pool)
		c.checkFound(path+".pool", "pool", target.Pool, poolFound)
		class, classFound := c.index.Class(target.Class)
		c.checkFound(path+".class", "class", target.Class, classFound)
		c.name(path+".zone", target.Zone)
		c.address(path+".address", target.Address, addresses, i)
		if !classFound {
			continue
		}
		kind, seen := kinds[target.Pool]
		if seen && kind != class.Kind {
			c.faults.add(path+".class", "keep engines and services in pools of their own", "is of kind %s in pool %q, whose first target is of kind %s", class.Kind, target.Pool, kind)
		}
		if !seen {
			kinds[target.Pool] = class.Kind
		}
	}
}
