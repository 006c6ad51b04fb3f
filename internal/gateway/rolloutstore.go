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
	// rolloutRetry is the pause after a call to the store that has failed: a store that is
	// away is not there a quarter of a second later either, and calls are paid for.
	rolloutRetry = 700 * time.Millisecond
)

// errSuperseded says that the store has a later order's roll-out, of which this entry has not
// read yet. Its record must not be replaced: the later order would begin anew.
var errSuperseded = errors.New("the order has been superseded")

// store puts the step of a decision into the store, or tells the operators of the one that
// is there; again: the store may have lost that one.
func (r *rollouts) store(order rollout.Order, phase rollout.Phase, d rollout.Decision, again bool) {
	var err error
	switch {
	case again:
		err = r.writeAgain(order)
	case d.Action != rollout.Wait:
		phase, err = r.write(order, d)
	}
	if err == nil {
		err = r.gateway.platform.PutStatus(order, phase)
	}
	if err != nil {
		r.gateway.feeds.noteLost(feed.Rollouts, err)
	}
	g := r.gateway
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	known := r.services[order.Service]
	known.writing = false
	switch {
	case errors.Is(err, feed.ErrConflict):
		// The next look finds what was put first.
	case err != nil:
		known.writeAfter = time.Now().Add(rolloutRetry)
		known.ended = time.Time{}
	case known.tracker.Order() == order:
		known.told = max(known.told, phase)
		known.recordLost = known.recordLost && !again
	}
}

// rolloutRecord is what the store keeps of a roll-out, under the service's name.
type rolloutRecord struct {
	Order      int64    `json:"order"`
	To         string   `json:"to"`
	DurationMS int64    `json:"duration_ms"`
	Phase      uint8    `json:"phase"`
	From       []string `json:"from"`
	BeganMS    int64    `json:"began_ms"`
}

func recordOf(order rollout.Order, r rolloutRecord) rollout.Record {
	return rollout.Record{
		Order: rollout.Order{ID: r.Order, Service: order.Service, To: r.To, Duration: milliseconds(r.DurationMS)},
		Phase: rollout.Phase(r.Phase), From: r.From, Began: time.UnixMilli(r.BeganMS),
	}
}

// newest is the store's record of an order's service, and the end of the topic.
func (r *rollouts) newest(order rollout.Order) (record rollout.Record, end feed.Position, err error) {
	records, end, err := r.gateway.platform.Snapshot(feed.Rollouts)
	if err != nil {
		return rollout.Record{}, feed.Position{}, err
	}
	for _, each := range records {
		if each.Key != order.Service {
			continue
		}
		var kept rolloutRecord
		if err := json.Unmarshal(each.Value, &kept); err != nil {
			r.gateway.feeds.noteUndecodable(feed.Rollouts, each, err)
			continue
		}
		record = recordOf(order, kept)
	}
	return record, end, nil
}

// readRecord takes what the store has of an order's roll-out.
func (r *rollouts) readRecord(order rollout.Order) {
	record, _, err := r.newest(order)
	if err != nil {
		r.gateway.feeds.noteLost(feed.Rollouts, err)
		return
	}
	r.restore(record)
}

// restore takes a record.
func (r *rollouts) restore(record rollout.Record) {
	r.learn(record.Service, "store", func(t *rollout.Tracker) bool { return t.Restore(time.Now(), record) })
}

// write puts the phase that a decision leads to into the store, if that has no later one
// by now, and returns the one that it has then. A step counts when it is there: of two
// leaders that decide differently, such as one that has been paused, the first to write
// decides.
func (r *rollouts) write(order rollout.Order, d rollout.Decision) (rollout.Phase, error) {
	kept, end, err := r.newest(order)
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
	next := r.next(order, kept, d.Action.Phase())
	if err := r.put(next, end); err != nil {
		return 0, err
	}
	r.note(order, d)
	r.restore(next)
	r.tell(order.Service)
	return next.Phase, nil
}

// put puts a record if the topic still ends where it did.
func (r *rollouts) put(record rollout.Record, end feed.Position) error {
	value, err := json.Marshal(rolloutRecord{
		Order: record.ID, To: record.To, DurationMS: record.Duration.Milliseconds(), Phase: uint8(record.Phase),
		From: record.From, BeganMS: record.Began.UnixMilli(),
	})
	if err != nil {
		return fmt.Errorf("record of a roll-out: %w", err)
	}
	return r.gateway.platform.PutAt(feed.Rollouts, end, feed.Record{Key: record.Service, Value: value})
}

// writeAgain puts the phase that is known into the store where that has an earlier one.
func (r *rollouts) writeAgain(order rollout.Order) error {
	kept, end, err := r.newest(order)
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

// next is the record that follows the one that is kept.
func (r *rollouts) next(order rollout.Order, kept rollout.Record, phase rollout.Phase) rollout.Record {
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
	next.From = rollout.Froms(own, order.To)
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	next.Began = time.Now().Add(-r.services[order.Service].tracker.Elapsed(time.Now()))
	return next
}

// note writes the line of a decision that is in the store, with the counts that decided it.
func (r *rollouts) note(order rollout.Order, d rollout.Decision) {
	r.gateway.log.Write(eventlog.Belief, eventRollout, eventlog.Fields{
		"service": order.Service, "order": order.ID, "to": order.To, "action": d.Action.String(), "reason": string(d.Reason),
		"unclear": string(d.Unclear), "answers": d.Answers, "bad": d.Bad, "expected": d.Expected, "worse": d.Worse,
	})
}
