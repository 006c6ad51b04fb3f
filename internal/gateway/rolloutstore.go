package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/rollout"
	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/feed"
)

const (
	// rolloutRetry is the pause after a failed call to the store: an unavailable store will
	// not be back a quarter of a second later, and calls are charged for.
	rolloutRetry = 700 * time.Millisecond
)

// errSuperseded reports that the store has the roll-out of a later order, which this entry has
// not read yet. That record must not be replaced, or the later order would start again from
// the beginning.
var errSuperseded = errors.New("the order has been superseded")

// persist writes the step of a decision to the store, or publishes to the operators the phase
// that is there. rewrite: the store may have lost the record.
func (r *rollouts) persist(order rollout.Order, phase rollout.Phase, d rollout.Decision, rewrite bool) {
	var err error
	switch {
	case rewrite:
		err = r.rewrite(order)
	case d.Action != rollout.Wait:
		phase, err = r.write(order, d)
	}
	if err == nil {
		err = r.gateway.platform.PutStatus(order, phase)
	}
	if err != nil {
		r.gateway.feeds.logStoreError(feed.Rollouts, err)
	}
	g := r.gateway
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	known := r.services[order.Service]
	known.writing = false
	switch {
	case errors.Is(err, feed.ErrConflict):
		// The next round reads what was written first.
	case err != nil:
		known.writeAfter = time.Now().Add(rolloutRetry)
		known.ended = time.Time{}
	case known.tracker.Order() == order:
		known.published = max(known.published, phase)
		known.recordLost = known.recordLost && !rewrite
	}
}

// rolloutRecord is the store's record of a roll-out, under the service's name.
type rolloutRecord struct {
	Order      int64    `json:"order"`
	To         string   `json:"to"`
	DurationMS int64    `json:"duration_ms"`
	Phase      uint8    `json:"phase"`
	From       []string `json:"from"`
	BeganMS    int64    `json:"began_ms"`
}

func recordOf(service string, r rolloutRecord) rollout.Record {
	return rollout.Record{
		Order: rollout.Order{ID: r.Order, Service: service, To: r.To, Duration: milliseconds(r.DurationMS)},
		Phase: rollout.Phase(r.Phase), From: r.From, Began: time.UnixMilli(r.BeganMS),
	}
}

// storedRecords returns the store's records of roll-outs by service, and the end of the topic.
func (r *rollouts) storedRecords() (stored map[string]rollout.Record, end feed.Position, err error) {
	records, end, err := r.gateway.platform.Snapshot(feed.Rollouts)
	if err != nil {
		return nil, feed.Position{}, err
	}
	stored = make(map[string]rollout.Record, len(records))
	for _, each := range records {
		var kept rolloutRecord
		if err := json.Unmarshal(each.Value, &kept); err != nil {
			r.gateway.feeds.logUndecodable(feed.Rollouts, each, err)
			continue
		}
		stored[each.Key] = recordOf(each.Key, kept)
	}
	return stored, end, nil
}

// latestRecord returns the store's record of an order's service, and the end of the topic.
func (r *rollouts) latestRecord(order rollout.Order) (record rollout.Record, end feed.Position, err error) {
	stored, end, err := r.storedRecords()
	return stored[order.Service], end, err
}

// resume continues the recorded roll-outs at an entry that cannot read their orders.
func (r *rollouts) resume() error {
	stored, end, err := r.storedRecords()
	if err != nil {
		return err
	}
	for _, record := range stored {
		if r.addOrder(record.Order, end.Generation, true) {
			r.restore(record)
		}
	}
	return nil
}

// readRecord reads and applies the store's record of an order's roll-out.
func (r *rollouts) readRecord(order rollout.Order) {
	record, _, err := r.latestRecord(order)
	if err != nil {
		r.gateway.feeds.logStoreError(feed.Rollouts, err)
		return
	}
	r.restore(record)
}

// restore applies a record.
func (r *rollouts) restore(record rollout.Record) {
	r.update(record.Service, "store", func(t *rollout.Tracker) bool { return t.Restore(time.Now(), record) })
}

// write writes the phase that a decision leads to, unless the store already has that or a
// later one, and returns the phase that the store then has. A step is in force once it is in
// the store: if two leaders decide differently, for example because one of them was suspended,
// the first to write prevails.
func (r *rollouts) write(order rollout.Order, d rollout.Decision) (rollout.Phase, error) {
	kept, end, err := r.latestRecord(order)
	if err != nil {
		return 0, err
	}
	if kept.ID == order.ID && (kept.Phase >= d.Action.Phase() || kept.Phase.Final()) {
		r.restore(kept)
		return kept.Phase, nil
	}
	if kept.ID > order.ID {
		return 0, fmt.Errorf("%w: %d by %d", errSuperseded, order.ID, kept.ID)
	}
	next := r.nextRecord(order, kept, d.Action.Phase())
	if err := r.put(next, end); err != nil {
		return 0, err
	}
	r.logDecision(order, d)
	r.restore(next)
	r.announce(order.Service)
	return next.Phase, nil
}

// put writes a record if the end of the topic has not moved.
func (r *rollouts) put(record rollout.Record, end feed.Position) error {
	value, err := json.Marshal(rolloutRecord{
		Order: record.ID, To: record.To, DurationMS: record.Duration.Milliseconds(), Phase: uint8(record.Phase),
		From: record.From, BeganMS: record.Began.UnixMilli(),
	})
	if err != nil {
		return fmt.Errorf("encode the record of a roll-out: %w", err)
	}
	return r.gateway.platform.PutAt(feed.Rollouts, end, feed.Record{Key: record.Service, Value: value})
}

// rewrite writes the known phase to the store again if the store has an earlier one.
func (r *rollouts) rewrite(order rollout.Order) error {
	kept, end, err := r.latestRecord(order)
	if err != nil {
		return err
	}
	g := r.gateway
	g.state.mutex.Lock()
	known := r.services[order.Service].tracker.Record()
	g.state.mutex.Unlock()
	if known.Order != order || kept.ID == order.ID && kept.Phase >= known.Phase {
		return nil
	}
	return r.put(known, end)
}

// nextRecord returns the record that follows the stored one.
func (r *rollouts) nextRecord(order rollout.Order, kept rollout.Record, phase rollout.Phase) rollout.Record {
	g := r.gateway
	next := rollout.Record{Order: order, Phase: phase, From: kept.From, Began: kept.Began}
	if kept.ID == order.ID {
		return next
	}
	g.feeds.mutex.Lock()
	targets := g.feeds.register.Targets()
	g.feeds.mutex.Unlock()
	var own []catalog.Target
	for _, target := range targets {
		if target.Service == order.Service {
			own = append(own, target)
		}
	}
	next.From = rollout.OtherVersions(own, order.To)
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	next.Began = time.Now().Add(-r.services[order.Service].tracker.Elapsed(time.Now()))
	return next
}

// logDecision logs a decision that has been written to the store, with the counts that led to
// it.
func (r *rollouts) logDecision(order rollout.Order, d rollout.Decision) {
	r.gateway.log.Write(eventlog.StateChange, eventRollout, eventlog.Fields{
		"service": order.Service, "order": order.ID, "to": order.To, "action": d.Action.String(), "reason": string(d.Reason),
		"unclear": string(d.Unclear), "answers": d.Answers, "bad": d.Bad, "expected": d.Expected, "worse": d.Worse,
	})
}
