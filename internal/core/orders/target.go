package orders

import (
	"time"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/record"
)

// stage is the progress of the holder with one order.
type stage uint8

const (
	stageIdle stage = iota
	// stageAppending: the record has not been read back yet.
	stageAppending
	// stageSent: the order was sent, and the target does not agree yet.
	stageSent
)

// loggedOrder is the latest order for a target on the log.
type loggedOrder struct {
	offset   int64
	order    modelSet
	holder   ident.Incarnation
	loggedAt time.Time
	// finished: the target was seen to agree.
	finished bool
}

// target is the desired and observed state of one target.
type target struct {
	name    string
	pool    string
	fencing bool
	// desired is nil if the document does not determine what the target holds, observed
	// is nil until its first report.
	desired, observed *modelSet
	latest            loggedOrder

	// heldSince is when this entry became the holder. yieldedTo is the offset of
	// another holder's order to which this entry yields as long as it is the latest.
	heldSince time.Time
	yieldedTo int64

	stage stage
	tag   uint64
	// appendBegan is when the last append began, baseOffset the offset of the latest
	// order read by then. notBefore delays the next append.
	appendBegan, notBefore time.Time
	baseOffset             int64
}

// configure sets what the document requires of the target. A target serves the models
// of its pool. At most one of them has a version (see document.Check): this is the one
// to hold, with the adapters of all.
func (t *target) configure(d *document.Target, x *document.Index) {
	t.pool, t.desired = d.Pool, nil
	class, found := x.ClassOf(d.Name)
	if !found || class.Kind != document.KindEngine || d.Leaving {
		return
	}
	t.fencing = class.ChecksFencing
	var adapters []string
	for _, m := range x.Models(d.Pool) {
		adapters = append(adapters, m.Adapters...)
		if m.Version != "" {
			t.desired = &modelSet{model: m.Name, version: m.Version}
		}
	}
	if t.desired != nil {
		t.desired.adapters = sorted(adapters)
	}
}

// beginHolding makes this entry the holder from now on.
func (t *target) beginHolding(now time.Time) {
	t.heldSince, t.stage, t.yieldedTo = now, stageIdle, 0
	t.notBefore = time.Time{}
}

// yield abandons the order in progress in favour of a later holder.
func (t *target) yield() {
	t.stage = stageIdle
	t.yieldedTo = t.latest.offset
}

func (t *target) agrees(h modelSet) bool {
	return t.observed != nil && t.observed.equal(h)
}

// unfinished reports whether the latest order still occupies a slot in its pool.
func (t *target) unfinished(now time.Time, cfg *Config) bool {
	return t.latest.offset != 0 && !t.latest.finished && now.Sub(t.latest.loggedAt) < cfg.RepeatAfter
}

// needsOrder reports whether the holder must append an order now.
func (t *target) needsOrder(now time.Time, cfg *Config) bool {
	if t.desired == nil || t.observed == nil || t.agrees(*t.desired) {
		return false
	}
	if now.Before(t.notBefore) || now.Before(t.earliestOrder(cfg)) {
		return false
	}
	if t.stage == stageIdle {
		return true
	}
	// The order in progress is outdated or took too long: its append or the order was
	// lost, or a paused previous holder reverted it.
	changed := t.stage == stageSent && !t.latest.order.equal(*t.desired)
	return changed || now.Sub(t.appendBegan) >= cfg.RepeatAfter
}

// earliestOrder returns the earliest time for this holder's next order.
func (t *target) earliestOrder(cfg *Config) time.Time {
	at := time.Time{}
	if !t.fencing {
		at = t.heldSince.Add(cfg.Validity)
	}
	if t.yieldedTo == 0 || t.yieldedTo != t.latest.offset {
		return at
	}
	// Another entry ordered later. It gets RepeatAfter to make the target agree. After
	// that it has terminated, or membership has not converged, and whichever entry
	// still holds the target continues.
	if retryAt := t.latest.loggedAt.Add(cfg.RepeatAfter); retryAt.After(at) {
		return retryAt
	}
	return at
}

// advance appends and sends what is due for the held targets.
func (o *Orders) advance(now time.Time) {
	if !o.caughtUp {
		return
	}
	for _, t := range o.held {
		if t.stage != stageIdle && t.desired != nil && t.agrees(*t.desired) {
			t.stage = stageIdle
		}
		o.sendOrder(now, t)
		if t.needsOrder(now, &o.cfg) && o.slotsTakenBefore(now, t, noOffset) < o.cfg.PerPool {
			o.appendOrder(now, t)
		}
	}
}

func (o *Orders) appendOrder(now time.Time, t *target) {
	o.lastTag++
	t.stage, t.tag = stageAppending, o.lastTag
	t.appendBegan, t.baseOffset = now, t.latest.offset
	order := &record.Order{
		Target:   t.name,
		Model:    t.desired.model,
		Version:  t.desired.version,
		Adapters: t.desired.adapters,
		Holder:   o.cfg.Self,
	}
	o.out = append(o.out, Append{Tag: o.lastTag, Record: record.Record{Order: order}})
}

// sendOrder sends the order whose record was read back, if it may be sent now.
func (o *Orders) sendOrder(now time.Time, t *target) {
	own := t.latest.holder == o.cfg.Self && t.latest.offset > t.baseOffset
	if t.stage != stageAppending || !own {
		return
	}
	if t.desired == nil || !t.latest.order.equal(*t.desired) {
		t.stage = stageIdle
		return
	}
	if !t.fencing && now.Sub(t.appendBegan) >= o.cfg.Validity {
		// This process was paused, or the log was slow. Another entry may hold the
		// target by now, and have ordered after waiting for the validity to end.
		t.stage = stageIdle
		return
	}
	if o.slotsTakenBefore(now, t, t.latest.offset) >= o.cfg.PerPool {
		return
	}
	t.stage = stageSent
	o.out = append(o.out, Order{
		Target:   t.name,
		Fencing:  t.latest.offset,
		Model:    t.desired.model,
		Version:  t.desired.version,
		Adapters: t.desired.adapters,
	})
}

// noOffset makes slotsTakenBefore count every unfinished order.
const noOffset = int64(1<<63 - 1)

// slotsTakenBefore counts the pool's other targets that load: those with an unfinished
// order before the offset and, for a new order, those for which this entry is about to
// append one.
func (o *Orders) slotsTakenBefore(now time.Time, t *target, offset int64) int {
	n := 0
	for _, other := range o.pools[t.pool] {
		if other == t {
			continue
		}
		logged := other.unfinished(now, &o.cfg) && other.latest.offset < offset
		appending := offset == noOffset && other.stage == stageAppending
		if logged || appending {
			n++
		}
	}
	return n
}
