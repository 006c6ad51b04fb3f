package feed

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxKeptDrops bounds the dropped keys that a copy holds: those of some seconds at a release
// of all targets.
const maxKeptDrops = 1024

// Copy is an entry's copy of a topic, for another entry.
type Copy struct {
	// Snapshot is set if Records holds the newest record of each key; otherwise it holds the
	// changes since From.
	Snapshot bool
	From, To Position
	Records  []Record
	// AsOf is when the log was in this state.
	AsOf time.Time
}

// kept holds the records of a topic and the keys that were dropped since an offset.
type kept struct {
	records map[string]Record
	drops   []Record
	// since is the offset from which drops is complete, to the position of the last update.
	since int64
	to    Position
}

// update applies an update. For a snapshot that follows other updates of the same generation
// it returns the changes and the offset since which they are; otherwise a negative offset.
func (k *kept) update(u Update) (changes []Record, since int64) {
	since = -1
	switch {
	case k.records == nil || u.Reset && u.To.Generation != k.to.Generation:
		k.records, k.drops, k.since = make(map[string]Record, len(u.Records)), nil, u.To.Offset
	case u.Reset:
		changes, since = k.difference(u), k.to.Offset
		u.Records = changes
	}
	k.to = u.To
	for _, record := range u.Records {
		if len(record.Value) > 0 || record.Corrupt {
			k.records[record.Key] = record
			continue
		}
		delete(k.records, record.Key)
		k.drops = append(k.drops, record)
	}
	if len(k.drops) > maxKeptDrops {
		half := len(k.drops) / 2
		k.since = k.drops[half-1].Offset + 1
		k.drops = slices.Clone(k.drops[half:])
	}
	return changes, since
}

// difference returns the changes that lead to a snapshot.
func (k *kept) difference(u Update) []Record {
	var changes []Record
	listed := make(map[string]bool, len(u.Records))
	for _, record := range u.Records {
		listed[record.Key] = true
		known, found := k.records[record.Key]
		if !found || known.Offset != record.Offset {
			changes = append(changes, record)
		}
	}
	for key := range k.records {
		if !listed[key] {
			changes = append(changes, Record{Key: key, Offset: u.To.Offset - 1})
		}
	}
	return changes
}

// from returns the changes since an offset; false: they are not all kept.
func (k *kept) from(offset int64) ([]Record, bool) {
	if offset < k.since {
		return nil, false
	}
	var changes []Record
	for _, records := range []func(func(Record) bool){maps.Values(k.records), slices.Values(k.drops)} {
		for record := range records {
			if record.Offset >= offset {
				changes = append(changes, record)
			}
		}
	}
	slices.SortFunc(changes, func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return changes, true
}

// Copy returns a copy of what has changed since a position or, if that is not known, of all
// records. It returns false if this entry has no copy yet, or none that is fresh enough for an
// entry that has one itself.
func (f *Follower) Copy(from Position) (Copy, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.next.Offset < 0 || from.Offset >= 0 && time.Since(f.AsOf()) >= f.config.MaxAge {
		return Copy{}, false
	}
	c := Copy{From: from, To: f.next, AsOf: f.AsOf()}
	if from.Generation == f.next.Generation && from.Offset >= 0 {
		if changes, known := f.kept.from(from.Offset); known {
			c.Records = changes
			return c, true
		}
	}
	c.Snapshot = true
	c.Records = slices.SortedFunc(maps.Values(f.kept.records), func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	return c, true
}

// useCopy applies another entry's copy. A follower without any records takes an old copy too;
// otherwise the copy must be fresher than MaxAge. It reports whether the copy was of use.
func (f *Follower) useCopy(c Copy) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	fresh := time.Since(c.AsOf) < f.config.MaxAge
	starting := f.next.Offset < 0
	older := c.To.Generation < f.next.Generation || c.To.Generation == f.next.Generation && c.To.Offset < f.next.Offset
	switch {
	case older || !starting && (!fresh || !c.AsOf.After(f.AsOf())):
		return false
	case c.Snapshot:
		f.apply(Update{Reset: true, Records: c.Records, From: f.next, To: c.To, AsOf: c.AsOf, Replicated: true})
	case c.From.Offset > f.next.Offset || c.To.Generation != f.next.Generation:
		return false
	default:
		f.advance(c.Records, c.To, c.AsOf, true)
	}
	if fresh {
		f.endOutage()
	}
	return true
}
