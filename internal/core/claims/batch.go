package claims

import (
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/record"
	"sycamoretrail/internal/core/request"
)

// batch is one record on its way to the log.
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

func (h *Home) append(now time.Time, partition int, claims, releases []record.Claim) *batch {
	h.tags++
	rec := record.Record{Claims: claims, Releases: releases}
	h.out = append(h.out, Append{Tag: h.tags, Partition: partition, Record: rec})
	b := &batch{tag: h.tags, sent: now}
	h.batches = append(h.batches, b)
	return b
}

// flush writes what is due: once the oldest has waited for BatchEvery, or when
// a record is full.
func (h *Home) flush(now time.Time, p *partition) {
	if p.stage != stageReady {
		return
	}
	p.fresh = 0
	for {
		due, oldest := p.dueAsks(h.cfg.MaxBatch)
		if len(due) == 0 || len(due) < h.cfg.MaxBatch && now.Sub(oldest) < h.cfg.BatchEvery {
			break
		}
		h.sendAsks(now, p, due)
	}
	for {
		due, oldest := p.dueReleases(h.cfg.MaxBatch)
		if len(due) == 0 || len(due) < h.cfg.MaxBatch && now.Sub(oldest) < h.cfg.BatchEvery {
			break
		}
		h.sendReleases(now, p, due)
	}
}

// dueAsks lists asks to be written, the first of each key's line, and when the
// oldest of them came due.
func (p *partition) dueAsks(limit int) (due []*ask, oldest time.Time) {
	for _, a := range p.asks {
		if a.writing != writingDue || p.line[a.claim.Key][0] != a {
			continue
		}
		due, oldest = append(due, a), earliest(oldest, later(a.asked, a.ended))
		if len(due) == limit {
			break
		}
	}
	return due, oldest
}

func (p *partition) dueReleases(limit int) (due []*release, oldest time.Time) {
	for _, r := range p.releases {
		if r.writing != writingDue {
			continue
		}
		due, oldest = append(due, r), earliest(oldest, later(r.asked, r.ended))
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

func (h *Home) sendAsks(now time.Time, p *partition, due []*ask) {
	claims := make([]record.Claim, len(due))
	for i, a := range due {
		claims[i] = a.claim
		p.unread[a.claim] = now
	}
	b := h.append(now, p.number, claims, nil)
	for _, a := range due {
		a.writing = writingSent
		b.writes = append(b.writes, &a.write)
	}
}

func (h *Home) sendReleases(now time.Time, p *partition, due []*release) {
	b := h.append(now, p.number, nil, claimsOf(due))
	for _, r := range due {
		r.writing = writingSent
		b.writes = append(b.writes, &r.write)
	}
}

func (h *Home) answer(a *ask, winner ident.RequestID) {
	h.out = append(h.out, Verdict{To: a.to, Key: a.claim.Key, ID: a.claim.ID, Winner: winner})
}

// noVerdict turns an ask away. What was read still counts against it: that
// another request came first stays true while the log is out, and "not run"
// would be false if that one ran.
func (h *Home) noVerdict(p *partition, a *ask) {
	v := Verdict{To: a.to, Key: a.claim.Key, ID: a.claim.ID, Unread: p == nil || !p.read}
	if p != nil {
		if holder := p.fold.holder(a.claim.Key); holder != a.claim.ID {
			v.Winner = holder
		}
	}
	h.out = append(h.out, v)
}

// settled answers an ask if what was read decides it.
func (h *Home) settled(p *partition, a *ask) bool {
	if p.fold.isReleased(a.claim) {
		h.answer(a, "")
		return true
	}
	if holder := p.fold.holder(a.claim.Key); holder != "" {
		h.answer(a, holder)
		return true
	}
	return false
}

// settleKeys answers the asks for keys of which something was read.
func (h *Home) settleKeys(p *partition, touched []record.Claim) {
	for _, c := range touched {
		h.settleLine(p, c.Key)
	}
}

func (h *Home) settleLine(p *partition, key request.KeyHash) {
	for _, a := range append([]*ask(nil), p.line[key]...) {
		if h.settled(p, a) {
			p.remove(a)
		}
	}
}

func (h *Home) refuseAll(p *partition) {
	for _, a := range p.asks {
		h.noVerdict(p, a)
	}
	p.asks = nil
	clear(p.line)
}
