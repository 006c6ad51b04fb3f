package gateway

import (
	"encoding/json"
	"strings"
	"time"

	"sycamoretrail/internal/core/crashes"
	"sycamoretrail/internal/feed"
)

// The store's records of quarantined causes. Entries otherwise have them only from each other; if all
// restarted at once, each cause would take down as many targets again.

const (
	// quarantineKeys begins the keys of these records, among those of organisations.
	quarantineKeys = "quarantine/"
	// maxQuarantineRecords bounds the records.
	maxQuarantineRecords = 64
)

// quarantineRecord is the store's record of a quarantined cause.
type quarantineRecord struct {
	Kind           uint8  `json:"kind"`
	Service        string `json:"service,omitempty"`
	ID             string `json:"id"`
	Stage          int    `json:"stage"`
	DespiteAnswers bool   `json:"despite_answers,omitempty"`
	// ProbeAtMS is when the next probe is due, in Unix milliseconds.
	ProbeAtMS int64 `json:"probe_at_ms"`
}

// quarantineRecords returns the records of the quarantined causes, by key. That of a cause changes with
// its probes.
func quarantineRecords(now time.Time, quarantines []crashes.Quarantine) map[string]quarantineRecord {
	records := make(map[string]quarantineRecord, len(quarantines))
	for _, q := range quarantines {
		key := quarantineKeys + q.Cause.Kind.String() + "/" + q.Cause.Service + "/" + q.Cause.ID
		records[key] = quarantineRecord{
			Kind: uint8(q.Cause.Kind), Service: q.Cause.Service, ID: q.Cause.ID, Stage: q.Stage,
			DespiteAnswers: q.DespiteAnswers, ProbeAtMS: now.Add(q.ProbeIn).UnixMilli(),
		}
	}
	return records
}

// limitNew removes new records beyond the bound. Those already written stay, so that they don't displace
// each other with each write.
func limitNew(records, recorded map[string]quarantineRecord) {
	written := 0
	for key := range records {
		if _, found := recorded[key]; found {
			written++
		}
	}
	for key := range records {
		if _, found := recorded[key]; found {
			continue
		}
		if written >= maxQuarantineRecords {
			delete(records, key)
			continue
		}
		written++
	}
}

// recordQuarantines writes the quarantines that changed since the last call, and drops those that ended.
func (f *feeds) recordQuarantines(recorded map[string]quarantineRecord) map[string]quarantineRecord {
	s := f.gateway.state
	s.mutex.Lock()
	now := time.Now()
	records := quarantineRecords(now, s.causes.Quarantines(now, s.causes.Quarantined()))
	s.mutex.Unlock()
	limitNew(records, recorded)
	same := func(a, b quarantineRecord) bool { return a.Stage == b.Stage }
	return putChanges(f, recorded, records, same, func(record quarantineRecord) any { return record })
}

// restoreQuarantine applies a record from before this entry started, and adds it to the restored ones.
// It returns false if the record is not one of a quarantine.
func (f *feeds) restoreQuarantine(record feed.Record, restored map[string]quarantineRecord) bool {
	if !strings.HasPrefix(record.Key, quarantineKeys) {
		return false
	}
	var stored quarantineRecord
	if err := json.Unmarshal(record.Value, &stored); err != nil {
		f.logUndecodable(feed.Usage, record, err)
		return true
	}
	cause := crashes.Cause{Kind: crashes.Kind(stored.Kind), Service: stored.Service, ID: stored.ID}
	if !cause.Kind.Known() {
		return true // of a later release, which drops it
	}
	restored[record.Key] = stored
	s := f.gateway.state
	s.changeCauses(func(now time.Time) {
		probeIn := max(0, time.UnixMilli(stored.ProbeAtMS).Sub(now))
		s.causes.ApplyQuarantine(now, crashes.Quarantine{Cause: cause, Stage: stored.Stage, ProbeIn: probeIn, DespiteAnswers: stored.DespiteAnswers})
	})
	return true
}
