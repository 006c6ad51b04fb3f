package gateway

import (
	"context"
	"encoding/json"
	"math"
	"slices"
	"time"

	"sycamoretrail/internal/core/quota"
	"sycamoretrail/internal/feed"
	"sycamoretrail/internal/gossip"
	"sycamoretrail/internal/settings"
)

// usageClockSlack is the largest difference between the wall clocks of instances, jumps
// included.
const usageClockSlack = 4 * time.Second

// usageRecord is the store's record of the usage of an organisation close to its quota.
type usageRecord struct {
	Older  float64 `json:"older"`
	Recent float64 `json:"recent"`
	// AtMS is when the record was written, in Unix milliseconds. A record whose writer
	// terminated before it could drop it would otherwise hold an organisation to a quota that
	// it used up long ago: after a loss of all entries nearly all requests would be refused
	// for seconds.
	AtMS int64 `json:"at_ms"`
}

// stale reports whether the recorded usage has left the window.
func (r usageRecord) stale(now time.Time, window time.Duration) bool {
	return now.Sub(time.UnixMilli(r.AtMS)) > window+usageClockSlack
}

// recordUsage writes the usage of organisations close to their quota, and quarantines, to the store.
// Entries otherwise have these only from each other; if all restarted at once they would be lost, and
// such an organisation could use its quota twice.
func (f *feeds) recordUsage(ctx context.Context) {
	quarantines := f.restoreUsage(ctx)
	ticker := time.NewTicker(quota.RecordEvery)
	defer ticker.Stop()
	recorded := make(map[string]quota.History)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if f.usageLost.Swap(false) {
			clear(recorded)
			clear(quarantines)
		}
		if f.gateway.recordsUsage() {
			recorded = f.record(recorded)
			quarantines = f.recordQuarantines(quarantines)
		}
	}
}

// record writes what has changed since the last call, and drops the records of organisations
// that are no longer close to their quota.
func (f *feeds) record(recorded map[string]quota.History) map[string]quota.History {
	g := f.gateway
	g.state.mutex.Lock()
	records := g.state.quota.Records(time.Now())
	g.state.mutex.Unlock()
	same := func(a, b quota.History) bool { return a == b }
	return putChanges(f, recorded, records, same, func(history quota.History) any {
		return usageRecord{Older: history.Older, Recent: history.Recent, AtMS: time.Now().UnixMilli()}
	})
}

// putChanges writes the records that changed to the topic of usage and drops those that are gone. It
// returns what is recorded then.
func putChanges[R any](f *feeds, recorded, records map[string]R, same func(a, b R) bool, stored func(R) any) map[string]R {
	var changed []feed.Record
	for key, record := range records {
		if before, found := recorded[key]; found && same(before, record) {
			continue
		}
		value, err := json.Marshal(stored(record))
		if err != nil {
			f.logStoreError(feed.Usage, err)
			continue
		}
		changed = append(changed, feed.Record{Key: key, Value: value})
	}
	for key := range recorded {
		if _, found := records[key]; !found {
			changed = append(changed, feed.Record{Key: key})
		}
	}
	if len(changed) == 0 {
		return records
	}
	if err := f.gateway.platform.Put(feed.Usage, changed...); err != nil {
		f.logStoreError(feed.Usage, err)
		return recorded
	}
	return records
}

// restoreUsage reads the usage and the quarantines from before this entry started. If the store does
// not answer within the window, that usage has expired, and other entries have told the quarantines.
// It returns the records of the quarantines, so that those which have ended are dropped.
func (f *feeds) restoreUsage(ctx context.Context) map[string]quarantineRecord {
	g := f.gateway
	quarantines := make(map[string]quarantineRecord)
	window := settings.Seconds(g.settings.Bounds.QuotaWindowS)
	for ctx.Err() == nil && time.Since(g.started) < window {
		records, _, err := g.platform.Snapshot(feed.Usage)
		if err != nil {
			f.logStoreError(feed.Usage, err)
			time.Sleep(registerRetry)
			continue
		}
		records = slices.DeleteFunc(records, func(record feed.Record) bool { return f.restoreQuarantine(record, quarantines) })
		g.state.mutex.Lock()
		for _, record := range records {
			var usage usageRecord
			if err := json.Unmarshal(record.Value, &usage); err != nil {
				f.logUndecodable(feed.Usage, record, err)
				continue
			}
			if usage.stale(time.Now(), window) {
				continue
			}
			g.state.quota.Restore(record.Key, quota.History{Older: usage.Older, Recent: usage.Recent})
			if g.started.Sub(time.UnixMilli(usage.AtMS)).Abs() < quota.RecordCurrentFor {
				g.state.quota.SetRecordsCurrent()
			}
		}
		g.state.mutex.Unlock()
		break
	}
	return quarantines
}

// totalMessage converts a total for other entries. Rounding up makes the sum too high by less
// than one unit for each organisation.
func totalMessage(total quota.Total) gossip.Total {
	return gossip.Total{
		Admitted: int64(math.Ceil(total.Admitted)),
		Waiting:  int64(math.Ceil(max(0, total.Admitted-total.Sent))),
	}
}

func totalOf(message gossip.Total) quota.Total {
	return quota.Total{Admitted: float64(message.Admitted), Sent: float64(message.Admitted - message.Waiting)}
}

func historyMessage(history quota.History) gossip.History {
	return gossip.History{Older: int64(math.Ceil(history.Older)), Recent: int64(math.Ceil(history.Recent))}
}

func historyOf(message gossip.History) quota.History {
	return quota.History{Older: float64(message.Older), Recent: float64(message.Recent)}
}
