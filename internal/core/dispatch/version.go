package dispatch

import "slices"

// A request that continues a stream is bound to the software version that began it: what two
// versions write does not fit together. Where this entry's cell has no target of the version, the
// request may use those of other cells, of which this entry knows its own requests only.

// suits reports whether the target may run the request by its version and cell.
func (t *target) suits(ticket *Ticket) bool {
	if ticket.Version == nil {
		return t.usedByCell()
	}
	return t.Version == *ticket.Version && !t.Leaving
}

// serves reports whether any target of a version receives requests, of whatever cell.
func (p *pool) serves(version string) bool {
	return slices.ContainsFunc(p.targets, func(t *target) bool { return t.Version == version && !t.Leaving })
}

// versionsBeyondCell returns the versions to which waiting requests are bound and of which this
// entry's cell has no target.
func (p *pool) versionsBeyondCell() []string {
	var versions []string
	for _, ticket := range p.waiting {
		if v := ticket.Version; v != nil && !slices.Contains(versions, *v) && !p.servesInCell(*v) {
			versions = append(versions, *v)
		}
	}
	return versions
}

// servesInCell reports whether any target of a version is used by this entry's cell.
func (p *pool) servesInCell(version string) bool {
	return slices.ContainsFunc(p.targets, func(t *target) bool { return t.Version == version && t.usedByCell() })
}
