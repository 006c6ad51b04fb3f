package owner

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamoretrail/internal/core/ident"
)

// Tag tells organisations apart in four bytes for each remembered id.
func Tag(organisation string) uint32 {
	return max(1, uint32(xxhash.Sum64String(organisation)))
}

// Belongs reports whether a caller with this tag may be told of the id. Failure:
// an organisation sends an id that another's request has, by guess or from a
// log. Symptom: it would be given that one's answer. An id that is not
// remembered belongs to whoever brings it first.
func (t *Table) Belongs(now time.Time, id ident.RequestID, tag uint32) bool {
	r := t.lookup(now, id)
	return r == nil || r.tag == 0 || tag == 0 || r.tag == tag
}

// Mark notes who brought a remembered id, once.
func (t *Table) Mark(now time.Time, id ident.RequestID, tag uint32) {
	if r := t.lookup(now, id); r != nil && r.tag == 0 {
		r.tag = tag
	}
}
