// Package claims decides which request may run for an idempotency key chosen by
// a caller. It implements the coordinator of a partition of keys, which appends
// claims to the log in batches, reads the partition's stream, and decides only
// from the records that it has read.
//
// Rule: the claims of a key are ordered as in the log. A release removes the
// claim of its id, whether it precedes or follows the claim in the log. A claim
// expires after the horizon. The first remaining claim holds the key; when it is
// released, the next one does.
//
// Invariant: of two requests whose claims for one key lie within the horizon,
// at most one runs. A coordinator reports that an id holds the key only after
// reading the id's claim and all records before it, back to the horizon, so it
// has read the claim of any other holder. Only a release removes that claim, and
// only its owner requests the release, after voiding the id. The log therefore
// decides, not the coordinator: two coordinators at once, or one that was
// paused, are safe. Times matter only for expiry. A reader that lags treats
// claims as younger than they are, and keeps them longer.
//
// Owners: an owner that settles a request without dispatching it, whatever the
// decision was, voids the id and requests the release of its claim. Otherwise
// the claim would hold the key once the winner's claim is released.
package claims

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/record"
	"sycamoretrail/internal/core/request"
)

// Config configures a Coordinator.
type Config struct {
	// Partitions is the number of streams over which keys are distributed. It
	// must be the same at all entries for as long as the log keeps claims.
	Partitions int
	// Horizon is how long a claim holds its key.
	Horizon time.Duration
	// BatchDelay is how long a claim waits for others to share its record,
	// MaxBatch the maximum number of claims in a record.
	BatchDelay time.Duration
	MaxBatch   int
	// MaxKeys bounds the remembered and pending claims over all partitions:
	// above it no new key is accepted. Claims of other entries and releases that
	// are read may double that number; above it a partition is suspended.
	MaxKeys int
	// AppendTimeout is how long a claim may wait for its decision.
	AppendTimeout time.Duration
}

// Effect is an action for the caller to perform.
type Effect interface{ effect() }

// Append appends a record to a partition's stream. Its result is passed to
// Coordinator.Appended.
type Append struct {
	Tag       uint64
	Partition int
	Record    record.Record
}

// Follow starts reading a partition's stream, from records no older than Back.
type Follow struct {
	Partition int
	Back      time.Duration
}

// Unfollow stops reading a partition's stream.
type Unfollow struct{ Partition int }

// Decision reports to the owner To which request holds the key.
type Decision struct {
	To  ident.Incarnation
	Key request.KeyHash
	ID  ident.RequestID
	// Winner is ID itself or the request that came first. It is empty if there is
	// no decision, because the log is unavailable, memory is full, the time-out
	// passed or this is not the coordinator. The owner then refuses the request,
	// voids the id and requests the release of its claim.
	Winner ident.RequestID
	// Unread reports that there is no decision and that this coordinator has not
	// read the partition, so a request with the key may have run earlier.
	Unread bool
}

func (Append) effect()   {}
func (Follow) effect()   {}
func (Unfollow) effect() {}
func (Decision) effect() {}

// Coordinator coordinates the partitions assigned to one entry. It is not safe
// for concurrent use.
type Coordinator struct {
	cfg Config
	// partitions are sorted by number.
	partitions []*partition
	batches    []*batch
	tags       uint64
	out        []Effect
}

// New returns a Coordinator without partitions.
func New(cfg Config) *Coordinator { return &Coordinator{cfg: cfg} }

// PartitionOf returns the partition of a key.
func PartitionOf(key request.KeyHash, partitions int) int {
	return int(xxhash.Sum64String(string(key)) % uint64(partitions))
}

// SetPartitions sets the partitions that this entry coordinates. A partition
// that is no longer listed is followed until its pending claims are decided and
// its releases are read back, at most for AppendTimeout.
func (h *Coordinator) SetPartitions(now time.Time, partitions []int) []Effect {
	h.out = nil
	for _, p := range h.partitions {
		if !slices.Contains(partitions, p.number) && !p.leaving {
			p.leaving, p.leavingSince = true, now
		}
	}
	for _, number := range partitions {
		h.addPartition(now, number)
	}
	h.dropLeaving(now)
	return h.out
}

func (h *Coordinator) addPartition(now time.Time, number int) {
	at, found := slices.BinarySearchFunc(h.partitions, number, byNumber)
	if found {
		h.partitions[at].leaving = false
		return
	}
	p := newPartition(number)
	h.partitions = slices.Insert(h.partitions, at, p)
	h.follow(p)
}

func (h *Coordinator) follow(p *partition) {
	p.stage, p.last, p.read = stageReading, 0, false
	h.out = append(h.out, Follow{Partition: p.number, Back: h.cfg.Horizon})
}

func byNumber(p *partition, number int) int { return p.number - number }

// find returns the partition with the given number, or nil.
func (h *Coordinator) find(number int) *partition {
	at, found := slices.BinarySearchFunc(h.partitions, number, byNumber)
	if !found {
		return nil
	}
	return h.partitions[at]
}

// Claim claims a key for a request of the owner from. Repeating it for the same
// id is allowed.
func (h *Coordinator) Claim(now time.Time, from ident.Incarnation, key request.KeyHash, id ident.RequestID) []Effect {
	h.out = nil
	p := h.find(PartitionOf(key, h.cfg.Partitions))
	a := &pendingClaim{claim: record.Claim{Key: key, ID: id}, to: from, requestedAt: now}
	if p == nil || p.leaving || p.stage == stageDown || p.stage == stageFull {
		h.refuse(p, a)
		return h.out
	}
	if waiting := p.findPending(a.claim); waiting != nil {
		waiting.to = from
		return h.out
	}
	if p.stage == stageReady && h.tryDecide(p, a) {
		return h.out
	}
	if h.Size() >= h.cfg.MaxKeys {
		// Evicting an older claim would allow a second request to run for its key.
		h.refuse(p, a)
		return h.out
	}
	p.enqueue(a)
	if p.sinceFlush >= h.cfg.MaxBatch {
		h.flush(now, p)
	}
	return h.out
}

// Release releases the claim of a voided request. The release is appended even
// if the claim has not been read, since an append that timed out may still reach
// the log.
func (h *Coordinator) Release(now time.Time, key request.KeyHash, id ident.RequestID) []Effect {
	h.out = nil
	claim := record.Claim{Key: key, ID: id}
	p := h.find(PartitionOf(key, h.cfg.Partitions))
	if p == nil || p.stage == stageFull {
		h.append(now, PartitionOf(key, h.cfg.Partitions), nil, []record.Claim{claim})
		return h.out
	}
	if a := p.findPending(claim); a != nil {
		p.remove(a)
	}
	if p.releaseNeeded(claim) && len(p.releases) < h.cfg.MaxKeys {
		p.releases = append(p.releases, &release{claim: claim, requestedAt: now})
	}
	h.flush(now, p)
	return h.out
}

// Record processes the next record of a partition's stream, in log order. Age
// is the time since it was appended to the log.
func (h *Coordinator) Record(now time.Time, number int, offset int64, age time.Duration, rec record.Record) []Effect {
	h.out = nil
	p := h.find(number)
	if p == nil || p.stage == stageFull || offset <= p.last {
		return h.out
	}
	p.last = offset
	for _, c := range rec.Claims {
		p.state.claim(c, now.Add(-age))
		delete(p.unconfirmed, c)
	}
	for _, c := range rec.Releases {
		p.state.release(c, now.Add(-age))
		p.confirmRelease(c)
	}
	p.state.expire(now.Add(-h.cfg.Horizon))
	if h.remembered() > overflowFactor*h.cfg.MaxKeys {
		h.overflow(now, p)
		return h.out
	}
	if p.stage == stageReady {
		h.decideKeys(p, rec.Claims)
		h.decideKeys(p, rec.Releases)
	}
	return h.out
}

// overflowFactor times MaxKeys bounds what is remembered: a coordinator that
// accepts up to MaxKeys keys needs memory for the release of each.
const overflowFactor = 2

// overflow suspends a partition that has more claims than fit into memory. No
// decision is safe without all of them.
func (h *Coordinator) overflow(now time.Time, p *partition) {
	h.refuseAll(p)
	p.state = newState()
	p.stage, p.fullSince = stageFull, now
	h.out = append(h.out, Unfollow{Partition: p.number})
}

// CaughtUp reports that all records of the partition, as of a read begun at
// since, were delivered. A coordinator decides only after that. An append that
// ended before since and was not read had no effect, so it is repeated.
func (h *Coordinator) CaughtUp(now time.Time, number int, since time.Time) []Effect {
	h.out = nil
	p := h.find(number)
	if p == nil || p.stage == stageFull {
		return h.out
	}
	p.stage, p.read = stageReady, true
	for _, a := range slices.Clone(p.pending) {
		if !h.tryDecide(p, a) {
			a.retryUnlessRead(since)
		} else {
			p.remove(a)
		}
	}
	for _, r := range p.releases {
		r.retryUnlessRead(since)
	}
	h.flush(now, p)
	return h.out
}

// Down reports that the partition's stream cannot be read. Its pending claims
// are refused at once.
func (h *Coordinator) Down(now time.Time, number int) []Effect {
	h.out = nil
	if p := h.find(number); p != nil && p.stage != stageFull {
		p.stage = stageDown
		h.refuseAll(p)
	}
	return h.out
}

// Appended reports the result of an Append. Failed means that the log rejected
// it. Otherwise an offset of 0 or more means that the log accepted it, and a
// negative one that the outcome is unknown. Reading the stream confirms both.
func (h *Coordinator) Appended(now time.Time, tag uint64, offset int64, failed bool) []Effect {
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

// Tick processes time-outs and expiry, and flushes batches that are due.
func (h *Coordinator) Tick(now time.Time) []Effect {
	h.out = nil
	h.expireBatches(now)
	for _, p := range h.partitions {
		h.expirePending(now, p)
		p.state.expire(now.Add(-h.cfg.Horizon))
		p.expireUnconfirmed(now.Add(-h.cfg.Horizon))
		h.refollow(now, p)
		h.flush(now, p)
	}
	h.dropLeaving(now)
	return h.out
}

const (
	// refollowHorizonDivisor divides the horizon into the time after which a
	// suspended partition is read again.
	refollowHorizonDivisor = 8
	// refollowFreeDivisor divides MaxKeys into the number that must be free for
	// that.
	refollowFreeDivisor = 4
)

// refollow resumes reading a suspended partition.
func (h *Coordinator) refollow(now time.Time, p *partition) {
	if p.stage != stageFull || now.Sub(p.fullSince) < h.cfg.Horizon/refollowHorizonDivisor {
		return
	}
	if h.Size() > h.cfg.MaxKeys-h.cfg.MaxKeys/refollowFreeDivisor {
		return
	}
	h.follow(p)
}

// expireBatches treats an append without an answer within AppendTimeout as one
// whose answer was lost.
func (h *Coordinator) expireBatches(now time.Time) {
	for len(h.batches) > 0 && now.Sub(h.batches[0].sent) >= h.cfg.AppendTimeout {
		h.batches[0].finish(now, false)
		h.batches = h.batches[1:]
	}
}

func (h *Coordinator) expirePending(now time.Time, p *partition) {
	for len(p.pending) > 0 && now.Sub(p.pending[0].requestedAt) >= h.cfg.AppendTimeout {
		a := p.pending[0]
		p.remove(a)
		h.refuse(p, a)
	}
}

// dropLeaving stops following the partitions that this entry no longer
// coordinates. Releases that were not read back are appended a last time.
func (h *Coordinator) dropLeaving(now time.Time) {
	h.partitions = slices.DeleteFunc(h.partitions, func(p *partition) bool {
		busy := len(p.pending)+len(p.releases) > 0 && now.Sub(p.leavingSince) < h.cfg.AppendTimeout
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

// Size returns the number of remembered claims and releases and of pending
// claims and releases.
func (h *Coordinator) Size() int {
	n := h.remembered()
	for _, p := range h.partitions {
		n += len(p.pending) + len(p.releases)
	}
	return n
}

// remembered returns the number of claims and releases that were read.
func (h *Coordinator) remembered() int {
	n := 0
	for _, p := range h.partitions {
		n += p.state.size()
	}
	return n
}
