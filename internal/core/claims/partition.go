package claims

import (
	"maps"
	"slices"
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/record"
	"sycamoretrail/internal/core/request"
)

// stage is the progress of reading a partition's stream.
type stage uint8

const (
	// stageReading means not caught up yet. Claims wait.
	stageReading stage = iota
	stageReady
	// stageDown means that the stream cannot be read. Claims are refused.
	stageDown
	// stageFull means suspended for lack of memory. Claims are refused.
	stageFull
)

// partition is the state of one partition of idempotency keys.
type partition struct {
	number int
	stage  stage
	// read reports that the stream was read to its end at least once since this
	// coordinator follows it.
	read bool
	// last is the last offset read.
	last  int64
	state *state
	// pending are the claims that wait for a decision, in order of arrival, and
	// byKey the same by key. Only the first claim of a key is appended: its
	// outcome answers the others, which need no record of their own.
	pending []*pendingClaim
	byKey   map[request.KeyHash][]*pendingClaim
	// sinceFlush counts the claims received since the last batch.
	sinceFlush int
	// releases are those not read back yet.
	releases []*release
	// unconfirmed are the claims that were appended and not read back, with the
	// time of the append: each may still reach the log.
	unconfirmed map[record.Claim]time.Time
	// leaving reports that another entry coordinates the partition since
	// leavingSince.
	leaving      bool
	leavingSince time.Time
	// fullSince is when stageFull began.
	fullSince time.Time
}

func newPartition(number int) *partition {
	return &partition{
		number:      number,
		state:       newState(),
		byKey:       make(map[request.KeyHash][]*pendingClaim),
		unconfirmed: make(map[record.Claim]time.Time),
	}
}

// writeState is the progress of appending one claim or release.
type writeState uint8

const (
	// writeDue means that it goes into the next batch.
	writeDue writeState = iota
	// writeSent means that it is in a batch whose append has not been answered.
	writeSent
	// writeEnded means that the append was answered or timed out. Reading the
	// stream shows whether it took effect.
	writeEnded
)

// write tracks the append of one claim or release to the log.
type write struct {
	state writeState
	// endedAt is when the append was answered.
	endedAt time.Time
}

func (w *write) finish(now time.Time, failed bool) {
	if w.state != writeSent {
		return
	}
	w.state, w.endedAt = writeEnded, now
	if failed {
		w.state = writeDue
	}
}

// retryUnlessRead makes a write due again if a read begun at since, after the end
// of its append, did not return it.
func (w *write) retryUnlessRead(since time.Time) {
	if w.state == writeEnded && since.After(w.endedAt) {
		w.state = writeDue
	}
}

// pendingClaim is a claim that waits for its decision.
type pendingClaim struct {
	write
	claim       record.Claim
	to          ident.Incarnation
	requestedAt time.Time
}

// release is a release that has not been read back.
type release struct {
	write
	claim       record.Claim
	requestedAt time.Time
}

func claimsOf(releases []*release) []record.Claim {
	out := make([]record.Claim, len(releases))
	for i, r := range releases {
		out[i] = r.claim
	}
	return out
}

func (p *partition) findPending(c record.Claim) *pendingClaim {
	for _, a := range p.byKey[c.Key] {
		if a.claim == c {
			return a
		}
	}
	return nil
}

func (p *partition) enqueue(a *pendingClaim) {
	p.sinceFlush++
	p.pending = append(p.pending, a)
	p.byKey[a.claim.Key] = append(p.byKey[a.claim.Key], a)
}

func (p *partition) remove(a *pendingClaim) {
	p.pending = without(p.pending, a)
	waiting := without(p.byKey[a.claim.Key], a)
	if len(waiting) == 0 {
		delete(p.byKey, a.claim.Key)
		return
	}
	p.byKey[a.claim.Key] = waiting
}

func without(list []*pendingClaim, a *pendingClaim) []*pendingClaim {
	if at := slices.Index(list, a); at >= 0 {
		return slices.Delete(list, at, at+1)
	}
	return list
}

// releaseNeeded reports whether a release has an effect. It has none if it was
// read or is pending already, or if another request holds the key and the claim
// was never appended here.
func (p *partition) releaseNeeded(c record.Claim) bool {
	if p.state.isReleased(c) || slices.ContainsFunc(p.releases, func(r *release) bool { return r.claim == c }) {
		return false
	}
	_, unconfirmed := p.unconfirmed[c]
	if unconfirmed || p.stage != stageReady || p.state.has(c) {
		return true
	}
	return p.state.holder(c.Key) == ""
}

// confirmRelease removes a release that was read back.
func (p *partition) confirmRelease(c record.Claim) {
	p.releases = slices.DeleteFunc(p.releases, func(r *release) bool { return r.claim == c })
}

func (p *partition) expireUnconfirmed(before time.Time) {
	maps.DeleteFunc(p.unconfirmed, func(_ record.Claim, sent time.Time) bool { return sent.Before(before) })
}
