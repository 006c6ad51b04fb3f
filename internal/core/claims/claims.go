// Package claims settles which request may run for an idempotency key that a
// caller chose. It is the home's side: the home of a partition of keys writes
// claims to the log in batches, reads the partition's stream, and gives its
// verdict only from what it has read.
//
// Rule. Claims of a key stand in log order; a release takes its id's claim out,
// whether it stands in the log before or after; a claim ages out after the
// horizon. The first that is left holds the key. A claim that stands behind
// moves up when those before it are released.
//
// Invariant: of two requests whose claims for one key lie within the horizon,
// at most one runs. A home says that an id holds the key only after reading the
// id's claim and, from a horizon back, everything before it; so it has read the
// claim of any other holder. That one is out of the way only by a release, which
// none but its owner asks for, after it has voided the id. Homes are therefore
// no authorities: two at once, or one that was paused, are safe. Times matter
// only for ageing out; a reader that lags judges claims younger than they are
// and keeps them longer.
//
// The owner's part: an owner that settles a request without dispatching it,
// whatever the verdict was, voids the id and asks for its release. A loser that
// is not released would hold the key once the winner is.
package claims

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/record"
	"sycamoretrail/internal/core/request"
)

// Config bounds a home.
type Config struct {
	// Partitions is the number of streams over which keys are spread. It is
	// the same at all entries for as long as the log keeps claims.
	Partitions int
	// Horizon is how long a claim holds its key.
	Horizon time.Duration
	// BatchEvery is how long a claim waits for others to share its record;
	// MaxBatch, how many share one at most.
	BatchEvery time.Duration
	MaxBatch   int
	// MaxKeys bounds what is remembered and waits, over all partitions: beyond
	// it no new key is taken. What is read from others and the releases may
	// bring memory to twice as much; beyond that a partition is given up.
	MaxKeys int
	// AppendTimeout is how long an ask may wait for its verdict.
	AppendTimeout time.Duration
}

// Effect is something to be done.
type Effect interface{ effect() }

// Append writes a record to a partition's stream; answered by Appended.
type Append struct {
	Tag       uint64
	Partition int
	Record    record.Record
}

// Follow reads a partition's stream from records no older than Back.
type Follow struct {
	Partition int
	Back      time.Duration
}

// Unfollow ends the reading of a partition's stream.
type Unfollow struct{ Partition int }

// Verdict tells the owner To which request holds the key.
type Verdict struct {
	To  ident.Incarnation
	Key request.KeyHash
	ID  ident.RequestID
	// Winner is ID itself or the request that came first. Empty: no verdict,
	// because the log is down, memory is full, time ran out or this is not the
	// home; the owner refuses, voids the id and asks for its release.
	Winner ident.RequestID
	// Unread: no verdict, and this home has not read the partition, so a
	// request with the key may have run earlier.
	Unread bool
}

func (Append) effect()   {}
func (Follow) effect()   {}
func (Unfollow) effect() {}
func (Verdict) effect()  {}

// Home is the state of one entry's partitions. Not safe for concurrent use.
type Home struct {
	cfg Config
	// partitions is in the order of their numbers.
	partitions []*partition
	batches    []*batch
	tags       uint64
	out        []Effect
}

// New starts as home of nothing.
func New(cfg Config) *Home { return &Home{cfg: cfg} }

// PartitionOf says which partition a key belongs to.
func PartitionOf(key request.KeyHash, partitions int) int {
	return int(xxhash.Sum64String(string(key)) % uint64(partitions))
}

// SetHome says of which partitions this entry is the home. One that is no more
// listed is followed until the asks that wait in it are settled.
func (h *Home) SetHome(now time.Time, partitions []int) []Effect {
	h.out = nil
	for _, p := range h.partitions {
		if !slices.Contains(partitions, p.number) && !p.leaving {
			p.leaving, p.leftAt = true, now
		}
	}
	for _, number := range partitions {
		h.join(now, number)
	}
	h.dropLeft(now)
	return h.out
}

func (h *Home) join(now time.Time, number int) {
	at, found := slices.BinarySearchFunc(h.partitions, number, byNumber)
	if found {
		h.partitions[at].leaving = false
		return
	}
	p := newPartition(number)
	h.partitions = slices.Insert(h.partitions, at, p)
	h.follow(p)
}

func (h *Home) follow(p *partition) {
	p.stage, p.last, p.read = stageReading, 0, false
	h.out = append(h.out, Follow{Partition: p.number, Back: h.cfg.Horizon})
}

func byNumber(p *partition, number int) int { return p.number - number }

// find returns the partition of that number, or nil.
func (h *Home) find(number int) *partition {
	at, found := slices.BinarySearchFunc(h.partitions, number, byNumber)
	if !found {
		return nil
	}
	return h.partitions[at]
}

// Ask claims a key for a request of the owner from. The same id may ask again.
func (h *Home) Ask(now time.Time, from ident.Incarnation, key request.KeyHash, id ident.RequestID) []Effect {
	h.out = nil
	p := h.find(PartitionOf(key, h.cfg.Partitions))
	a := &ask{claim: record.Claim{Key: key, ID: id}, to: from, asked: now}
	if p == nil || p.leaving || p.stage == stageDown || p.stage == stageFull {
		h.noVerdict(p, a)
		return h.out
	}
	if waiting := p.waiting(a.claim); waiting != nil {
		waiting.to = from
		return h.out
	}
	if p.stage == stageReady && h.settled(p, a) {
		return h.out
	}
	if h.Size() >= h.cfg.MaxKeys {
		// Forgetting an older claim to make room would let its key run twice.
		h.noVerdict(p, a)
		return h.out
	}
	p.enqueue(a)
	if p.fresh >= h.cfg.MaxBatch {
		h.flush(now, p)
	}
	return h.out
}

// Release gives up a claim whose request was voided. It is written also when
// no claim was read yet, since an append that was given up may still land.
func (h *Home) Release(now time.Time, key request.KeyHash, id ident.RequestID) []Effect {
	h.out = nil
	claim := record.Claim{Key: key, ID: id}
	p := h.find(PartitionOf(key, h.cfg.Partitions))
	if p == nil || p.stage == stageFull {
		h.append(now, PartitionOf(key, h.cfg.Partitions), nil, []record.Claim{claim})
		return h.out
	}
	if a := p.waiting(claim); a != nil {
		p.remove(a)
	}
	if p.releaseNeeded(claim) && len(p.releases) < h.cfg.MaxKeys {
		p.releases = append(p.releases, &release{claim: claim, asked: now})
	}
	h.flush(now, p)
	return h.out
}

// Record takes the next record of a partition's stream, in log order. Age is
// how long ago the log took it.
func (h *Home) Record(now time.Time, number int, offset int64, age time.Duration, rec record.Record) []Effect {
	h.out = nil
	p := h.find(number)
	if p == nil || p.stage == stageFull || offset <= p.last {
		return h.out
	}
	p.last = offset
	for _, c := range rec.Claims {
		p.fold.claim(c, now.Add(-age))
		delete(p.unread, c)
	}
	for _, c := range rec.Releases {
		p.fold.release(c, now.Add(-age))
		p.released(c)
	}
	p.fold.expire(now.Add(-h.cfg.Horizon))
	if h.remembered() > overflowAt*h.cfg.MaxKeys {
		h.overflow(now, p)
		return h.out
	}
	if p.stage == stageReady {
		h.settleKeys(p, rec.Claims)
		h.settleKeys(p, rec.Releases)
	}
	return h.out
}

// overflowAt, times MaxKeys, is the bound on what is remembered. A home that
// takes keys up to MaxKeys must have room for the release of each.
const overflowAt = 2

// overflow gives a partition up for a while, since it holds more claims than
// there is memory for; without all of them no verdict is safe.
func (h *Home) overflow(now time.Time, p *partition) {
	h.refuseAll(p)
	p.fold = newFold()
	p.stage, p.fullAt = stageFull, now
	h.out = append(h.out, Unfollow{Partition: p.number})
}

// CaughtUp says that all records of the partition, as of a read begun at
// since, were delivered. Only then may a home speak; and an append that ended
// before since and was not read did not take effect, so it is made again.
func (h *Home) CaughtUp(now time.Time, number int, since time.Time) []Effect {
	h.out = nil
	p := h.find(number)
	if p == nil || p.stage == stageFull {
		return h.out
	}
	p.stage, p.read = stageReady, true
	for _, a := range slices.Clone(p.asks) {
		if !h.settled(p, a) {
			a.again(since)
		} else {
			p.remove(a)
		}
	}
	for _, r := range p.releases {
		r.again(since)
	}
	h.flush(now, p)
	return h.out
}

// Down says that the partition's stream cannot be read. Nobody waits for it.
func (h *Home) Down(now time.Time, number int) []Effect {
	h.out = nil
	if p := h.find(number); p != nil && p.stage != stageFull {
		p.stage = stageDown
		h.refuseAll(p)
	}
	return h.out
}

// Appended answers an Append. Failed: the log said no. Neither failed nor an
// offset of 0 or more: not known. Also a known offset is settled by reading.
func (h *Home) Appended(now time.Time, tag uint64, offset int64, failed bool) []Effect {
	h.out = nil
	at := slices.IndexFunc(h.batches, func(b *batch) bool { return b.tag == tag })
	if at < 0 {
		return h.out
	}
	b := h.batches[at]
	h.batches = slices.Delete(h.batches, at, at+1)
	b.finish(now, failed)
	return h.out
}

// Tick lets time pass.
func (h *Home) Tick(now time.Time) []Effect {
	h.out = nil
	h.expireBatches(now)
	for _, p := range h.partitions {
		h.expireAsks(now, p)
		p.fold.expire(now.Add(-h.cfg.Horizon))
		p.forgetUnread(now.Add(-h.cfg.Horizon))
		h.refollow(now, p)
		h.flush(now, p)
	}
	h.dropLeft(now)
	return h.out
}

// refollowAfter is the part of the horizon after which a partition that was
// too large is read again, and roomToFollow the part of memory then free.
const (
	refollowAfter = 8
	roomToFollow  = 4
)

func (h *Home) refollow(now time.Time, p *partition) {
	if p.stage != stageFull || now.Sub(p.fullAt) < h.cfg.Horizon/refollowAfter {
		return
	}
	if h.Size() > h.cfg.MaxKeys-h.cfg.MaxKeys/roomToFollow {
		return
	}
	h.follow(p)
}

// expireBatches treats an append that was never answered as one whose answer
// was lost.
func (h *Home) expireBatches(now time.Time) {
	for len(h.batches) > 0 && now.Sub(h.batches[0].sent) >= h.cfg.AppendTimeout {
		h.batches[0].finish(now, false)
		h.batches = h.batches[1:]
	}
}

func (h *Home) expireAsks(now time.Time, p *partition) {
	for len(p.asks) > 0 && now.Sub(p.asks[0].asked) >= h.cfg.AppendTimeout {
		a := p.asks[0]
		p.remove(a)
		h.noVerdict(p, a)
	}
}

// dropLeft stops reading partitions of which this is the home no more. The
// releases that were not read back are written once more, for the last time.
func (h *Home) dropLeft(now time.Time) {
	h.partitions = slices.DeleteFunc(h.partitions, func(p *partition) bool {
		busy := len(p.asks)+len(p.releases) > 0 && now.Sub(p.leftAt) < h.cfg.AppendTimeout
		if !p.leaving || busy {
			return false
		}
		h.refuseAll(p)
		for some := range slices.Chunk(p.releases, h.cfg.MaxBatch) {
			h.append(now, p.number, nil, claimsOf(some))
		}
		if p.stage != stageFull {
			h.out = append(h.out, Unfollow{Partition: p.number})
		}
		return true
	})
}

// Size is the number of claims and releases remembered and of asks waiting.
func (h *Home) Size() int {
	n := h.remembered()
	for _, p := range h.partitions {
		n += len(p.asks) + len(p.releases)
	}
	return n
}

// remembered is the number of claims and releases that were read.
func (h *Home) remembered() int {
	n := 0
	for _, p := range h.partitions {
		n += p.fold.size()
	}
	return n
}
