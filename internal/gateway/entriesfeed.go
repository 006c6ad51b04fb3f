package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"sycamoretrail/internal/core/peerset"
	"sycamoretrail/internal/feed"
)

const (
	// entriesEvery is the mean interval of reads of the registry of entries, which only
	// reveals entries that could not reach this one.
	entriesEvery = 60 * time.Second
	// minEntriesPause is the least time between a read of the registry and the next one for an
	// unknown entry.
	minEntriesPause = 5 * time.Second
	// registerRetry is the pause after a failed attempt to register this entry.
	registerRetry = 500 * time.Millisecond
)

// entryRecord is the registration of an entry.
type entryRecord struct {
	Incarnation uint64 `json:"incarnation"`
	Zone        string `json:"zone"`
	Callers     string `json:"callers"`
	Links       string `json:"links"`
}

// followEntries registers this entry, and reads the registry of entries from time to time.
func (f *feeds) followEntries(ctx context.Context) {
	if f.isFirstStart() {
		f.gateway.state.setFirstStart()
		f.gateway.origins.versionLog.firstStart.Store(true)
	}
	pause := time.Duration(0)
	for registered := false; ctx.Err() == nil; {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		case <-f.entriesDue:
		}
		if !registered && !f.registerSelf() {
			pause = registerRetry
			continue
		}
		pause = registerRetry
		listed, err := f.readEntries()
		switch {
		case err != nil:
			f.logStoreError(feed.Entries, err)
			registered = true
		case listed:
			pause = entriesEvery/2 + rand.N(entriesEvery)
			registered = true
		default:
			registered = false
		}
	}
}

// requestEntries triggers a read of the registry of entries because another entry named an
// unknown one, whose first heartbeat was lost. It does so at most once per minEntriesPause.
func (f *feeds) requestEntries() {
	now := time.Now().UnixNano()
	last := f.entriesReadAt.Load()
	if now-last < int64(minEntriesPause) || !f.entriesReadAt.CompareAndSwap(last, now) {
		return
	}
	signal(f.entriesDue)
}

// isFirstStart reports whether the registry shows that no earlier process of this entry has
// registered itself.
func (f *feeds) isFirstStart() bool {
	records, _, err := f.gateway.platform.Snapshot(feed.Entries)
	if err != nil {
		f.logStoreError(feed.Entries, err)
		return false
	}
	return !slices.ContainsFunc(records, func(r feed.Record) bool { return r.Key == f.gateway.self.Name })
}

func (f *feeds) registerSelf() bool {
	self := f.gateway.self
	value, err := json.Marshal(entryRecord{Incarnation: self.Incarnation, Zone: self.Zone, Callers: self.Callers, Links: self.Links})
	if err == nil {
		err = f.gateway.platform.Put(feed.Entries, feed.Record{Key: self.Name, Value: value})
	}
	if err != nil {
		f.logStoreError(feed.Entries, err)
		return false
	}
	return true
}

// readEntries reads the registry of entries. listed: this entry is in it.
func (f *feeds) readEntries() (listed bool, err error) {
	records, _, err := f.gateway.platform.Snapshot(feed.Entries)
	if err != nil {
		return false, err
	}
	self := f.gateway.self
	var entries []peerset.Entry
	for _, record := range records {
		var entry entryRecord
		if err := json.Unmarshal(record.Value, &entry); err != nil {
			f.logUndecodable(feed.Entries, record, err)
			continue
		}
		listed = listed || record.Key == self.Name && entry.Incarnation == self.Incarnation
		entries = append(entries, peerset.Entry{Name: record.Key, Incarnation: entry.Incarnation, Zone: entry.Zone, Callers: entry.Callers, Links: entry.Links})
	}
	f.entriesReadAt.Store(time.Now().UnixNano())
	f.gateway.links.applyRegister(entries)
	return listed, nil
}
