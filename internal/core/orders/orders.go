// Package orders brings targets to hold the models that the document wants.
//
// An order is absolute ("be at version v"), so repeating it is harmless. The
// holder of a target, its scheduler, appends the order to the log, and only
// after reading its own record back does it send the order, with the record's
// offset as the fencing number. It looks at what the target says it holds, and
// orders anew until that agrees.
//
// Two may believe to be holders. A target that checks fencing numbers refuses
// the older. For one that does not, an order is sent only for a limited time
// after its append was begun (the validity), and a new holder waits that time
// out before its first; what a paused process sends later all the same is put
// right by the repeat. A holder that reads a later order of another for its
// target stands back, so that two that want different things do not alternate.
//
// The log's order also gives out the places at the weight store: the first
// PerPool unfinished orders of a pool proceed, at whichever entry.
package orders

import (
	"slices"
	"time"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/record"
)

// Config bounds what one entry orders.
type Config struct {
	Self ident.Incarnation
	// PerPool bounds the targets of a pool that load at one time.
	PerPool int
	// Validity is how long after its append was begun an order may be sent.
	Validity time.Duration
	// RepeatAfter is how long a target may take to agree before it is ordered
	// anew. It must leave time for loading. An order that is not seen to agree
	// for so long also gives its place in the pool free.
	RepeatAfter time.Duration
}

// DefaultConfig is what an entry uses.
func DefaultConfig(self ident.Incarnation) Config {
	return Config{
		Self:        self,
		PerPool:     2,
		Validity:    5 * time.Second,
		RepeatAfter: time.Minute,
	}
}

// Effect is something to be done.
type Effect interface{ effect() }

// Append writes a record to the stream of orders; answered by Appended.
type Append struct {
	Tag    uint64
	Record record.Record
}

// Order tells a target what to hold; answered by OrderDone.
type Order struct {
	Target   string
	Fencing  int64
	Model    string
	Version  string
	Adapters []string
}

func (Append) effect() {}
func (Order) effect()  {}

// holding is what a target holds or is to hold.
type holding struct {
	model    string
	version  string
	adapters []string
}

func (h holding) equal(other holding) bool {
	return h.model == other.model && h.version == other.version && slices.Equal(h.adapters, other.adapters)
}

// Orders is the state of one entry. Not safe for concurrent use.
type Orders struct {
	cfg     Config
	targets map[string]*target
	// pools holds the document's targets in its order, held those of which
	// this entry is the holder.
	pools map[string][]*target
	held  []*target
	// caught: the stream was read to its end and can be read.
	caught bool
	tags   uint64
	out    []Effect
}

// New starts with no document and no target held.
func New(cfg Config) *Orders {
	return &Orders{cfg: cfg, targets: make(map[string]*target)}
}

// SetDocument takes the document in force.
func (o *Orders) SetDocument(now time.Time, x *document.Index) []Effect {
	o.out = nil
	o.pools = make(map[string][]*target)
	former := o.targets
	o.targets = make(map[string]*target, len(x.Document().Targets))
	for i := range x.Document().Targets {
		d := &x.Document().Targets[i]
		t := former[d.Name]
		if t == nil {
			t = &target{name: d.Name}
		}
		t.configure(d, x)
		o.targets[d.Name] = t
		o.pools[d.Pool] = append(o.pools[d.Pool], t)
	}
	o.held = slices.DeleteFunc(o.held, func(t *target) bool { return o.targets[t.name] == nil })
	o.act(now)
	return o.out
}

// SetHeld says of which targets this entry is the holder; those that the
// document does not list are passed over.
func (o *Orders) SetHeld(now time.Time, targets []string) []Effect {
	o.out = nil
	former := o.held
	o.held = nil
	for _, name := range targets {
		t := o.targets[name]
		if t == nil || slices.Contains(o.held, t) {
			continue
		}
		if !slices.Contains(former, t) {
			t.take(now)
		}
		o.held = append(o.held, t)
	}
	o.act(now)
	return o.out
}

// Observed says what a target holds, by its own report, which lags. Reports of
// targets held elsewhere free their places in the pool.
func (o *Orders) Observed(now time.Time, name, model, version string, adapters []string) []Effect {
	o.out = nil
	t := o.targets[name]
	if t == nil {
		return nil
	}
	seen := holding{model: model, version: version, adapters: sorted(adapters)}
	if t.agrees(seen) {
		return nil
	}
	t.observed = &seen
	if t.latest.offset != 0 && t.observed.equal(t.latest.order) {
		t.latest.finished = true
	}
	o.act(now)
	return o.out
}

// Watched lists targets held elsewhere whose reports decide here: those with an
// unfinished order in a pool where a target held here waits for a place.
func (o *Orders) Watched(now time.Time) []string {
	var names []string
	for _, t := range o.held {
		if t.wanted == nil || t.observed == nil || t.agrees(*t.wanted) {
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

// Record takes the next record of the stream, in log order. Age is how long
// ago the log took it.
func (o *Orders) Record(now time.Time, offset int64, age time.Duration, rec record.Order) []Effect {
	o.out = nil
	t := o.targets[rec.Target]
	if t == nil || offset <= t.latest.offset {
		return nil
	}
	order := holding{model: rec.Model, version: rec.Version, adapters: sorted(rec.Adapters)}
	t.latest = logged{offset: offset, order: order, holder: rec.Holder, taken: now.Add(-age)}
	t.latest.finished = t.agrees(order)
	// An order of before this entry's hold is the former holder's, who is
	// replaced; a later one is of another that may be the holder now.
	if rec.Holder != o.cfg.Self && o.caught && t.latest.taken.After(t.from) {
		t.standBack()
	}
	o.act(now)
	return o.out
}

// CaughtUp says that the stream was read to its end. Before that this entry
// does not know what others ordered, and orders nothing.
func (o *Orders) CaughtUp(now time.Time) []Effect {
	o.out = nil
	o.caught = true
	o.act(now)
	return o.out
}

// Down says that the stream cannot be read: no order can be fenced.
func (o *Orders) Down(time.Time) []Effect {
	o.caught = false
	return nil
}

// Appended answers an Append. Only a certain failure needs attention: all else
// is settled by reading back, or by ordering anew.
func (o *Orders) Appended(now time.Time, tag uint64, _ int64, failed bool) []Effect {
	for _, t := range o.held {
		if failed && t.stage == stageAppending && t.tag == tag {
			t.stage, t.notBefore = stageIdle, now.Add(o.cfg.Validity)
		}
	}
	return nil
}

// OrderDone answers an Order.
func (o *Orders) OrderDone(now time.Time, name string, refused, failed bool) []Effect {
	t := o.targets[name]
	if t == nil || t.stage != stageSent {
		return nil
	}
	if refused {
		// The target knows a later order, whose record will be read in time.
		t.standBack()
	}
	if refused || failed {
		t.stage, t.notBefore = stageIdle, now.Add(o.cfg.Validity)
	}
	return nil
}

// Tick lets time pass.
func (o *Orders) Tick(now time.Time) []Effect {
	o.out = nil
	o.act(now)
	return o.out
}

func sorted(list []string) []string {
	out := slices.Clone(list)
	slices.Sort(out)
	return slices.Compact(out)
}
