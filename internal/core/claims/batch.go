package claims

import (
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/record"
	"sycamoretrail/internal/core/request"
)

// batch is one record whose append has not been answered.
type batch struct {
	tag    uint64
	sent   time.Time
	writes []*write
}

func (b *batch) finish(now time.Time, failed bool) {
	for _, w := range b.writes {
		w.finish(now, failed)
	}
}

func (h *Coordinator) append(now time.Time, partition int, claims, releases []record.Claim) *batch {
	h.tags++
	rec := record.Record{Claims: claims, Releases: releases}
	h.out = append(h.out, Append{Tag: h.tags, Partition: partition, Record: rec})
	b := &batch{tag: h.tags, sent: now}
	h.batches = append(h.batches, b)
	return b
}

// flush appends the claims and releases that are due: when the oldest has waited
// for BatchDelay, or when a record is full.
func (h *Coordinator) flush(now time.Time, p *partition) {
	if p.stage != stageReady {
		return
	}
	p.sinceFlush = 0
	for {
		due, oldest := p.dueClaims(h.cfg.MaxBatch)
		if len(due) == 0 || len(due) < h.cfg.MaxBatch && now.Sub(oldest) < h.cfg.BatchDelay {
			break
		}
		h.sendClaims(now, p, due)
	}
	for {
		due, oldest := p.dueReleases(h.cfg.MaxBatch)
		if len(due) == 0 || len(due) < h.cfg.MaxBatch && now.Sub(oldest) < h.cfg.BatchDelay {
			break
		}
		h.sendReleases(now, p, due)
	}
}

// dueClaims returns the pending claims to be appended, only the first of each
// key, and when the oldest of them became due.
func (p *partition) dueClaims(limit int) (due []*pendingClaim, oldest time.Time) {
	for _, a := range p.pending {
		if a.state != writeDue || p.byKey[a.claim.Key][0] != a {
			continue
		}
		due, oldest = append(due, a), earliest(oldest, later(a.requestedAt, a.endedAt))
		if len(due) == limit {
			break
		}
	}
	return due, oldest
}

func (p *partition) dueReleases(limit int) (due []*release, oldest time.Time) {
	for _, r := range p.releases {
		if r.state != writeDue {
			continue
		}
		due, oldest = append(due, r), earliest(oldest, later(r.requestedAt, r.endedAt))
		if len(due) == limit {
			break
		}
	}
	return due, oldest
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (h *Coordinator) sendClaims(now time.Time, p *partition, due []*pendingClaim) {
	claims := make([]record.Claim, len(due))
	for i, a := range due {
		claims[i] = a.claim
		p.unconfirmed[a.claim] = now
	}
	b := h.append(now, p.number, claims, nil)
	for _, a := range due {
		a.state = writeSent
		b.writes = append(b.writes, &a.write)
	}
}

func (h *Coordinator) sendReleases(now time.Time, p *partition, due []*release) {
	b := h.append(now, p.number, nil, claimsOf(due))
	for _, r := range due {
		r.state = writeSent
		b.writes = append(b.writes, &r.write)
	}
}

func (h *Coordinator) answer(a *pendingClaim, winner ident.RequestID) {
	h.out = append(h.out, Decision{To: a.to, Key: a.claim.Key, ID: a.claim.ID, Winner: winner})
}

// refuse answers a pending claim without a new decision. If another request is
// known to hold the key, the answer names it as the winner: this remains true
// while the log is unavailable, and "not run" would be false if that request ran.
func (h *Coordinator) refuse(p *partition, a *pendingClaim) {
	v := Decision{To: a.to, Key: a.claim.Key, ID: a.claim.ID, Unread: p == nil || !p.read}
	if p != nil {
		if holder := p.state.holder(a.claim.Key); holder != a.claim.ID {
			v.Winner = holder
		}
	}
	h.out = append(h.out, v)
}

// tryDecide answers a pending claim if the records that were read decide it, and
// reports whether they do.
func (h *Coordinator) tryDecide(p *partition, a *pendingClaim) bool {
	if p.state.isReleased(a.claim) {
		h.answer(a, "")
		return true
	}
	if holder := p.state.holder(a.claim.Key); holder != "" {
		h.answer(a, holder)
		return true
	}
	return false
}

// decideKeys answers the pending claims of keys for which a record was read.
func (h *Coordinator) decideKeys(p *partition, touched []record.Claim) {
	for _, c := range touched {
		h.decideKey(p, c.Key)
	}
}

func (h *Coordinator) decideKey(p *partition, key request.KeyHash) {
	for _, a := range append([]*pendingClaim(nil), p.byKey[key]...) {
		if h.tryDecide(p, a) {
			p.remove(a)
		}
	}
}

func (h *Coordinator) refuseAll(p *partition) {
	for _, a := range p.pending {
		h.refuse(p, a)
	}
	p.pending = nil
	clear(p.byKey)
}
