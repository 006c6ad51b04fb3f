package dispatch

import (
	"time"

	"sycamoretrail/internal/core/poolview"
)

// Under overload, requests that have missed their objective wait behind those of their rank
// that can still be in time, and most of them are refused in the end. If they were held until
// then, their callers would wait for seconds, retry and be held again. So the pool measures how
// many late requests of each rank get a slot, and while hardly any does, it refuses a request as
// soon as it is late, so that its caller is informed at once.

const (
	// minPlacedShare is the part of late requests that must get a slot for them to be
	// held: a late answer has a tenth to half of the value of one in time.
	minPlacedShare = 0.3
	// minLateSamples is the number of late requests from which the rate is valid,
	// lateSampleTTL for how long: after that a few are held again to check whether the
	// overload has ended.
	minLateSamples = 5
	lateSampleTTL  = 1500 * time.Millisecond
)

// lateRate returns the placement rate of late requests that are served as a ticket is. Late
// requests of the most urgent rank may often get a slot while those of the least urgent do not.
func (p *pool) lateRate(ticket *Ticket) *placementRate {
	if p.lateLast {
		return &p.lateRequests[0]
	}
	return &p.lateRequests[poolview.RankOf(ticket.servedRank())]
}

// placementRate is the rate at which late requests of a rank get a slot.
type placementRate struct {
	placed mean
	at     time.Time
}

// record counts a late request that got a slot, or was refused after it was held.
func (r *placementRate) record(now time.Time, placed bool) {
	if now.Sub(r.at) > lateSampleTTL {
		r.placed = mean{}
	}
	r.at = now
	if placed {
		r.placed.add(1)
	} else {
		r.placed.add(0)
	}
}

// rarelyPlaced reports whether hardly any late request currently gets a slot.
func (r *placementRate) rarelyPlaced(now time.Time) bool {
	return now.Sub(r.at) <= lateSampleTTL && r.placed.samples >= minLateSamples && r.placed.value < minPlacedShare
}
