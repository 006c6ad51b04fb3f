package dispatch

import "time"

// While more comes than the targets can do, requests that have missed their objective
// wait behind all that can still be in time, and most of them are refused in the end.
// Held until then, their callers wait for seconds, come back and are held again. So the
// pool notes what becomes of late requests, and while hardly any gets a place, a request
// is refused as soon as it is late, so that its caller hears it at once.

const (
	// lateWorthHolding is the part of late requests that must get a place for them to be
	// held: an answer that comes late is worth a tenth to half of one in time.
	lateWorthHolding = 0.3
	// fateSamples is the number of late requests from which their fate is known, fateLife
	// how long it counts: then a few are held again to see whether the excess is over.
	fateSamples = 5
	fateLife    = 1500 * time.Millisecond
)

// fate is what became of the late requests of a pool.
type fate struct {
	placed mean
	at     time.Time
}

// note counts a late request that got a place, or was refused after it was held.
func (f *fate) note(now time.Time, placed bool) {
	if now.Sub(f.at) > fateLife {
		f.placed = mean{}
	}
	f.at = now
	if placed {
		f.placed.add(1)
	} else {
		f.placed.add(0)
	}
}

// rarelyPlaced reports whether hardly any late request gets a place now.
func (f *fate) rarelyPlaced(now time.Time) bool {
	return now.Sub(f.at) <= fateLife && f.placed.samples >= fateSamples && f.placed.value < lateWorthHolding
}
