// Package orders makes targets load the models that the document requires.
//
// An order is absolute ("be at version v"), so that repeating it is harmless. The
// holder of a target, its scheduler, appends the order to the log, and sends it only
// after reading its own record back, with the record's offset as the fencing number. It
// compares the order with what the target reports to hold, and orders again until these
// agree.
//
// Two entries may consider themselves the holder. A target that checks fencing numbers
// refuses the older order. For one that does not, an order is sent only for a limited
// time after its append began (the validity), and a new holder waits for that time
// before its first order. If a paused process sends an order later than that, the
// repeated order corrects it. A holder that reads a later order of another for its
// target yields, so that two holders with different documents do not alternate.
//
// The order of the log also assigns the slots at the weight store: the first PerPool
// unfinished orders of a pool proceed, whichever entry made them.
package orders

import (
	"slices"
	"time"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/record"
)

// Config limits the orders of one entry.
type Config struct {
	Self ident.Incarnation
	// PerPool is the maximum number of targets of a pool that load at the same time.
	PerPool int
	// Validity is how long after the start of its append an order may be sent.
	Validity time.Duration
	// RepeatAfter is how long a target may take to agree before the order is repeated.
	// It must leave time for loading. An order that has not been seen to agree for that
	// long also releases its slot in the pool.
	RepeatAfter time.Duration
}

// DefaultConfig returns the configuration of an entry.
func DefaultConfig(self ident.Incarnation) Config {
	return Config{
		Self:        self,
		PerPool:     2,
		Validity:    5 * time.Second,
		RepeatAfter: time.Minute,
	}
}

// Effect is an action for the caller.
type Effect interface{ effect() }

// Append writes a record to the stream of orders; the result is passed to Appended.
type Append struct {
	Tag    uint64
	Record record.Record
}

// Order sends a target what to hold; the result is passed to OrderDone.
type Order struct {
	Target   string
	Fencing  int64
	Model    string
	Version  string
	Adapters []string
}

func (Append) effect() {}
func (Order) effect()  {}

// modelSet is what a target holds or should hold.
type modelSet struct {
	model    string
	version  string
	adapters []string
}

func (h modelSet) equal(other modelSet) bool {
	return h.model == other.model && h.version == other.version && slices.Equal(h.adapters, other.adapters)
}

// Orders is the state of one entry. It is not safe for concurrent use.
type Orders struct {
	cfg     Config
	targets map[string]*target
	// pools contains the document's targets in its order, held the targets of which
	// this entry is the holder.
	pools map[string][]*target
	held  []*target
	// caughtUp: the stream was read to its end and is readable.
	caughtUp bool
	lastTag  uint64
	out      []Effect
}

// New returns an Orders without a document or held targets.
func New(cfg Config) *Orders {
	return &Orders{cfg: cfg, targets: make(map[string]*target)}
}

// SetDocument applies the document in force.
func (o *Orders) SetDocument(now time.Time, x *document.Index) []Effect {
	o.out = nil
	o.pools = make(map[string][]*target)
	previous := o.targets
	o.targets = make(map[string]*target, len(x.Document().Targets))
	for i := range x.Document().Targets {
		d := &x.Document().Targets[i]
		t := previous[d.Name]
		if t == nil {
			t = &target{name: d.Name}
		}
		t.configure(d, x)
		o.targets[d.Name] = t
		o.pools[d.Pool] = append(o.pools[d.Pool], t)
	}
	o.held = slices.DeleteFunc(o.held, func(t *target) bool { return o.targets[t.name] == nil })
	o.advance(now)
	return o.out
}

// SetHeld sets the targets of which this entry is the holder; targets that are not in
// the document are ignored.
func (o *Orders) SetHeld(now time.Time, targets []string) []Effect {
	o.out = nil
	previous := o.held
	o.held = nil
	for _, name := range targets {
		t := o.targets[name]
		if t == nil || slices.Contains(o.held, t) {
			continue
		}
		if !slices.Contains(previous, t) {
			t.beginHolding(now)
		}
		o.held = append(o.held, t)
	}
	o.advance(now)
	return o.out
}

// Observed applies a target's own report of what it holds, which lags. Reports of
// targets held by other entries release their slots in the pool.
func (o *Orders) Observed(now time.Time, name, model, version string, adapters []string) []Effect {
	o.out = nil
	t := o.targets[name]
	if t == nil {
		return nil
	}
	seen := modelSet{model: model, version: version, adapters: sorted(adapters)}
	if t.agrees(seen) {
		return nil
	}
	t.observed = &seen
	if t.latest.offset != 0 && t.observed.equal(t.latest.order) {
		t.latest.finished = true
	}
	o.advance(now)
	return o.out
}

// Watched lists targets held by other entries whose reports are needed here: those with
// an unfinished order in a pool where a target held here waits for a slot.
func (o *Orders) Watched(now time.Time) []string {
	var names []string
	for _, t := range o.held {
		if t.desired == nil || t.observed == nil || t.agrees(*t.desired) {
			continue
		}
		for _, other := range o.pools[t.pool] {
			if other.unfinished(now, &o.cfg) && !slices.Contains(o.held, other) && !slices.Contains(names, other.name) {
				names = append(names, other.name)
			}
		}
	}
	return names
}

// Record applies the next record of the stream, in log order. Age is the time since the
// log accepted it.
func (o *Orders) Record(now time.Time, offset int64, age time.Duration, rec record.Order) []Effect {
	o.out = nil
	t := o.targets[rec.Target]
	if t == nil || offset <= t.latest.offset {
		return nil
	}
	order := modelSet{model: rec.Model, version: rec.Version, adapters: sorted(rec.Adapters)}
	t.latest = loggedOrder{offset: offset, order: order, holder: rec.Holder, loggedAt: now.Add(-age)}
	t.latest.finished = t.agrees(order)
	// An order from before this entry became the holder is the previous holder's, which
	// has been replaced. A later one comes from another entry that may be the holder
	// now.
	if rec.Holder != o.cfg.Self && o.caughtUp && t.latest.loggedAt.After(t.heldSince) {
		t.yield()
	}
	o.advance(now)
	return o.out
}

// CaughtUp states that the stream was read to its end. Before that the orders of others
// are not known, and this entry orders nothing.
func (o *Orders) CaughtUp(now time.Time) []Effect {
	o.out = nil
	o.caughtUp = true
	o.advance(now)
	return o.out
}

// Down states that the stream cannot be read, so that no order can be fenced.
func (o *Orders) Down(time.Time) []Effect {
	o.caughtUp = false
	return nil
}

// Appended applies the result of an Append. Only a definite failure needs a reaction:
// all else is resolved by reading the record back or by ordering again.
func (o *Orders) Appended(now time.Time, tag uint64, _ int64, failed bool) []Effect {
	for _, t := range o.held {
		if failed && t.stage == stageAppending && t.tag == tag {
			t.stage, t.notBefore = stageIdle, now.Add(o.cfg.Validity)
		}
	}
	return nil
}

// OrderDone applies the result of an Order.
func (o *Orders) OrderDone(now time.Time, name string, refused, failed bool) []Effect {
	t := o.targets[name]
	if t == nil || t.stage != stageSent {
		return nil
	}
	if refused {
		// The target has received a later order, whose record will be read in time.
		t.yield()
	}
	if refused || failed {
		t.stage, t.notBefore = stageIdle, now.Add(o.cfg.Validity)
	}
	return nil
}

// Tick performs what has become due.
func (o *Orders) Tick(now time.Time) []Effect {
	o.out = nil
	o.advance(now)
	return o.out
}

func sorted(list []string) []string {
	out := slices.Clone(list)
	slices.Sort(out)
	return slices.Compact(out)
}
