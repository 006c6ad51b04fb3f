package claims

import (
	"slices"
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/record"
	"sycamoretrail/internal/core/request"
)

// fold is what the records of a partition amount to, read in log order. Any
// two readers that have both read from a horizon back hold the same.
type fold struct {
	keys map[request.KeyHash]*standing
	// notes from forgotten on are in the order of reading, and so of age.
	notes     []note
	forgotten int
	// latest is the highest time noted, so that notes stay in order although
	// ages are rounded and reading takes time.
	latest time.Time
}

// standing is what is known of one key.
type standing struct {
	// claims are those not released, in log order.
	claims []held
	// released ids; a claim of theirs that lands later counts for nothing.
	released []held
}

type held struct {
	id    ident.RequestID
	taken time.Time
}

// note remembers what is to be forgotten, and when it was taken.
type note struct {
	key     request.KeyHash
	id      ident.RequestID
	taken   time.Time
	release bool
}

func newFold() *fold { return &fold{keys: make(map[request.KeyHash]*standing)} }

func (f *fold) size() int { return len(f.notes) - f.forgotten }

// holder is the request that holds the key; empty: none.
func (f *fold) holder(key request.KeyHash) ident.RequestID {
	if k := f.keys[key]; k != nil && len(k.claims) > 0 {
		return k.claims[0].id
	}
	return ""
}

func (f *fold) has(c record.Claim) bool {
	k := f.keys[c.Key]
	return k != nil && find(k.claims, c.ID) >= 0
}

func (f *fold) isReleased(c record.Claim) bool {
	k := f.keys[c.Key]
	return k != nil && find(k.released, c.ID) >= 0
}

func find(list []held, id ident.RequestID) int {
	return slices.IndexFunc(list, func(h held) bool { return h.id == id })
}

func (f *fold) at(key request.KeyHash) *standing {
	k := f.keys[key]
	if k == nil {
		k = &standing{}
		f.keys[key] = k
	}
	return k
}

func (f *fold) note(c record.Claim, taken time.Time, release bool) time.Time {
	if taken.After(f.latest) {
		f.latest = taken
	}
	f.notes = append(f.notes, note{key: c.Key, id: c.ID, taken: f.latest, release: release})
	return f.latest
}

// claim takes a claim that was read. A copy keeps its place and lives longer:
// a reader that started between the two knows the copy only.
func (f *fold) claim(c record.Claim, taken time.Time) {
	k := f.at(c.Key)
	if find(k.released, c.ID) >= 0 {
		return
	}
	taken = f.note(c, taken, false)
	if at := find(k.claims, c.ID); at >= 0 {
		k.claims[at].taken = taken
		return
	}
	k.claims = append(k.claims, held{id: c.ID, taken: taken})
}

// release takes a release that was read. It is remembered, since the claim may
// land later: nobody would then run for the key, nor release it again.
func (f *fold) release(c record.Claim, taken time.Time) {
	k := f.at(c.Key)
	if at := find(k.claims, c.ID); at >= 0 {
		k.claims = slices.Delete(k.claims, at, at+1)
	}
	taken = f.note(c, taken, true)
	if at := find(k.released, c.ID); at >= 0 {
		k.released[at].taken = taken
		return
	}
	k.released = append(k.released, held{id: c.ID, taken: taken})
}

// expire forgets what was taken before the instant.
func (f *fold) expire(before time.Time) {
	for f.forgotten < len(f.notes) && f.notes[f.forgotten].taken.Before(before) {
		f.forget(f.notes[f.forgotten])
		f.forgotten++
	}
	if f.forgotten > len(f.notes)/2 {
		f.notes = slices.Delete(f.notes, 0, f.forgotten)
		f.forgotten = 0
	}
}

func (f *fold) forget(n note) {
	k := f.keys[n.key]
	if k == nil {
		return
	}
	list := &k.claims
	if n.release {
		list = &k.released
	}
	if at := find(*list, n.id); at >= 0 && !(*list)[at].taken.After(n.taken) {
		*list = slices.Delete(*list, at, at+1)
	}
	if len(k.claims) == 0 && len(k.released) == 0 {
		delete(f.keys, n.key)
	}
}
