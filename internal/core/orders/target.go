package orders

import (
	"time"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/record"
)

// stage is how far the holder is with one order.
type stage uint8

const (
	stageIdle stage = iota
	// stageAppending: the record was not read back yet.
	stageAppending
	// stageSent: the order left, and the target does not agree yet.
	stageSent
)

// logged is the latest order for a target on the log.
type logged struct {
	offset int64
	order  holding
	holder ident.Incarnation
	taken  time.Time
	// finished: the target was seen to agree.
	finished bool
}

// target is one target's wanted and observed state.
type target struct {
	name    string
	pool    string
	fencing bool
	// wanted is nil where the document leaves the target as it is, observed
	// until its first report.
	wanted, observed *holding
	latest           logged

	// from is when holding began; back is the offset of another holder's
	// order for which this one stands back, while it is the latest.
	from time.Time
	back int64

	stage stage
	tag   uint64
	// begun is when the last append was begun and after the offset of the
	// latest order then read; notBefore holds the next append back.
	begun, notBefore time.Time
	after            int64
}

// configure takes what the document says of the target. A target serves the
// models of its pool; at most one of them has a version (see document.Check),
// which is the one to hold, with the adapters of all.
func (t *target) configure(d *document.Target, x *document.Index) {
	t.pool, t.wanted = d.Pool, nil
	class, found := x.ClassOf(d.Name)
	if !found || class.Kind != document.KindEngine || d.Leaving {
		return
	}
	t.fencing = class.ChecksFencing
	var adapters []string
	for _, m := range x.Models(d.Pool) {
		adapters = append(adapters, m.Adapters...)
		if m.Version != "" {
			t.wanted = &holding{model: m.Name, version: m.Version}
		}
	}
	if t.wanted != nil {
		t.wanted.adapters = sorted(adapters)
	}
}

// take makes this entry the holder from now on.
func (t *target) take(now time.Time) {
	t.from, t.stage, t.back = now, stageIdle, 0
	t.notBefore = time.Time{}
}

// standBack ends what was begun, in favour of a later holder.
func (t *target) standBack() {
	t.stage = stageIdle
	t.back = t.latest.offset
}

func (t *target) agrees(h holding) bool {
	return t.observed != nil && t.observed.equal(h)
}

// unfinished reports whether the latest order still takes a place in its pool.
func (t *target) unfinished(now time.Time, cfg *Config) bool {
	return t.latest.offset != 0 && !t.latest.finished && now.Sub(t.latest.taken) < cfg.RepeatAfter
}

// needsOrder reports whether the holder is to append an order now.
func (t *target) needsOrder(now time.Time, cfg *Config) bool {
	if t.wanted == nil || t.observed == nil || t.agrees(*t.wanted) {
		return false
	}
	if now.Before(t.notBefore) || now.Before(t.earliest(cfg)) {
		return false
	}
	if t.stage == stageIdle {
		return true
	}
	// What was begun is not what is wanted any more, or took too long: its
	// append or the order was lost, or a paused former holder undid it.
	changed := t.stage == stageSent && !t.latest.order.equal(*t.wanted)
	return changed || now.Sub(t.begun) >= cfg.RepeatAfter
}

// earliest is when this holder may begin its first order.
func (t *target) earliest(cfg *Config) time.Time {
	at := time.Time{}
	if !t.fencing {
		at = t.from.Add(cfg.Validity)
	}
	if t.back == 0 || t.back != t.latest.offset {
		return at
	}
	// Another ordered later. It is left to bring the target to agree for as
	// long as it takes; then it is gone, or membership has not settled, and
	// whoever still holds the target goes on.
	if back := t.latest.taken.Add(cfg.RepeatAfter); back.After(at) {
		return back
	}
	return at
}

// act appends and sends what is due for the targets held.
func (o *Orders) act(now time.Time) {
	if !o.caught {
		return
	}
	for _, t := range o.held {
		if t.stage != stageIdle && t.wanted != nil && t.agrees(*t.wanted) {
			t.stage = stageIdle
		}
		o.send(now, t)
		if t.needsOrder(now, &o.cfg) && o.placesBefore(now, t, noOffset) < o.cfg.PerPool {
			o.begin(now, t)
		}
	}
}

func (o *Orders) begin(now time.Time, t *target) {
	o.tags++
	t.stage, t.tag = stageAppending, o.tags
	t.begun, t.after = now, t.latest.offset
	order := &record.Order{
		Target:   t.name,
		Model:    t.wanted.model,
		Version:  t.wanted.version,
		Adapters: t.wanted.adapters,
		Holder:   o.cfg.Self,
	}
	o.out = append(o.out, Append{Tag: o.tags, Record: record.Record{Order: order}})
}

// send sends the order whose record was read back, if it may go now.
func (o *Orders) send(now time.Time, t *target) {
	mine := t.latest.holder == o.cfg.Self && t.latest.offset > t.after
	if t.stage != stageAppending || !mine {
		return
	}
	if t.wanted == nil || !t.latest.order.equal(*t.wanted) {
		t.stage = stageIdle
		return
	}
	if !t.fencing && now.Sub(t.begun) >= o.cfg.Validity {
		// This process was paused, or the log was slow: by now another may
		// hold the target, have waited the validity out and ordered.
		t.stage = stageIdle
		return
	}
	if o.placesBefore(now, t, t.latest.offset) >= o.cfg.PerPool {
		return
	}
	t.stage = stageSent
	o.out = append(o.out, Order{
		Target:   t.name,
		Fencing:  t.latest.offset,
		Model:    t.wanted.model,
		Version:  t.wanted.version,
		Adapters: t.wanted.adapters,
	})
}

// noOffset counts every unfinished order.
const noOffset = int64(1<<63 - 1)

// placesBefore counts the pool's other targets that load: those with an
// unfinished order before the offset, and, for a new order, those that this
// entry is about to append.
func (o *Orders) placesBefore(now time.Time, t *target, offset int64) int {
	n := 0
	for _, other := range o.pools[t.pool] {
		if other == t {
			continue
		}
		logged := other.unfinished(now, &o.cfg) && other.latest.offset < offset
		begun := offset == noOffset && other.stage == stageAppending
		if logged || begun {
			n++
		}
	}
	return n
}
