package owner

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamoretrail/internal/core/ident"
)

// Tag returns a hash of four bytes that distinguishes organisations. It is never
// 0, which stands for unknown.
func Tag(organisation string) uint32 {
	return max(1, uint32(xxhash.Sum64String(organisation)))
}

// Accessible reports whether a caller with this tag has access to the id. Without
// this check, an organisation that sends the id of another one's request, by
// guessing it or from a log, would receive its answer. An id that is not
// remembered belongs to the first organisation that sends it.
func (t *Table) Accessible(now time.Time, id ident.RequestID, tag uint32) bool {
	r := t.lookup(now, id)
	return r == nil || r.tag == 0 || tag == 0 || r.tag == tag
}

// SetTag records the tag of the organisation that sent a remembered id. Only the
// first call for an id has an effect.
func (t *Table) SetTag(now time.Time, id ident.RequestID, tag uint32) {
	if r := t.lookup(now, id); r != nil && r.tag == 0 {
		r.tag = tag
	}
}
