package claims

import (
	"maps"
	"slices"
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/record"
	"sycamoretrail/internal/core/request"
)

// stage is how far the reading of a partition is.
type stage uint8

const (
	// stageReading: not caught up yet; asks wait.
	stageReading stage = iota
	stageReady
	// stageDown: the stream cannot be read; asks are refused.
	stageDown
	// stageFull: given up for want of memory; asks are refused.
	stageFull
)

// partition is one stream of claims.
type partition struct {
	number int
	stage  stage
	// read: it was read to its end at least once since this home follows it.
	read bool
	// last offset read.
	last int64
	fold *fold
	// asks wait for a verdict, in the order of asking; line holds those of one
	// key. Only the first of a line is written: whoever comes after it is
	// answered by what becomes of it, and costs the log nothing.
	asks []*ask
	line map[request.KeyHash][]*ask
	// fresh counts the asks since the last batch.
	fresh int
	// releases wait to be read back.
	releases []*release
	// unread are claims that were written and not read back, with the time:
	// each may still land.
	unread map[record.Claim]time.Time
	// leaving: home no more since leftAt. fullAt: when stageFull began.
	leaving bool
	leftAt  time.Time
	fullAt  time.Time
}

func newPartition(number int) *partition {
	return &partition{
		number: number,
		fold:   newFold(),
		line:   make(map[request.KeyHash][]*ask),
		unread: make(map[record.Claim]time.Time),
	}
}

// writing is how far the writing of one claim or release is.
type writing uint8

const (
	// writingDue: to be put into the next batch.
	writingDue writing = iota
	// writingSent: in a batch that was not answered.
	writingSent
	// writingEnded: answered, or given up; the reading tells what became of it.
	writingEnded
)

// write follows one claim or release to the log.
type write struct {
	writing writing
	// ended is when the append was answered.
	ended time.Time
}

func (w *write) finish(now time.Time, failed bool) {
	if w.writing != writingSent {
		return
	}
	w.writing, w.ended = writingEnded, now
	if failed {
		w.writing = writingDue
	}
}

// again makes a write due that a reading begun after its end did not show.
func (w *write) again(since time.Time) {
	if w.writing == writingEnded && since.After(w.ended) {
		w.writing = writingDue
	}
}

// ask is a claim that waits for its verdict.
type ask struct {
	write
	claim record.Claim
	to    ident.Incarnation
	asked time.Time
}

// release waits to be read back.
type release struct {
	write
	claim record.Claim
	asked time.Time
}

func claimsOf(releases []*release) []record.Claim {
	out := make([]record.Claim, len(releases))
	for i, r := range releases {
		out[i] = r.claim
	}
	return out
}

func (p *partition) waiting(c record.Claim) *ask {
	for _, a := range p.line[c.Key] {
		if a.claim == c {
			return a
		}
	}
	return nil
}

func (p *partition) enqueue(a *ask) {
	p.fresh++
	p.asks = append(p.asks, a)
	p.line[a.claim.Key] = append(p.line[a.claim.Key], a)
}

func (p *partition) remove(a *ask) {
	p.asks = without(p.asks, a)
	line := without(p.line[a.claim.Key], a)
	if len(line) == 0 {
		delete(p.line, a.claim.Key)
		return
	}
	p.line[a.claim.Key] = line
}

func without(list []*ask, a *ask) []*ask {
	if at := slices.Index(list, a); at >= 0 {
		return slices.Delete(list, at, at+1)
	}
	return list
}

// releaseNeeded is false where the release would change nothing: it was read
// already, it waits already, or another request holds the key and the claim
// was never written here.
func (p *partition) releaseNeeded(c record.Claim) bool {
	if p.fold.isReleased(c) || slices.ContainsFunc(p.releases, func(r *release) bool { return r.claim == c }) {
		return false
	}
	_, unread := p.unread[c]
	if unread || p.stage != stageReady || p.fold.has(c) {
		return true
	}
	return p.fold.holder(c.Key) == ""
}

// released notes that a release was read back.
func (p *partition) released(c record.Claim) {
	p.releases = slices.DeleteFunc(p.releases, func(r *release) bool { return r.claim == c })
}

func (p *partition) forgetUnread(before time.Time) {
	maps.DeleteFunc(p.unread, func(_ record.Claim, sent time.Time) bool { return sent.Before(before) })
}
