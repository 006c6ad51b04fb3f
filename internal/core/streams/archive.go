package streams

import "time"

// Batch holds the origins of streams that are recorded together, and until when callers may reconnect to
// the last of them.
type Batch struct {
	Expires time.Time
	Groups  []Group
}

// Group holds the keys of streams with one origin.
type Group struct {
	Origin Origin
	Keys   []Key
}

// Archive holds origins that were recorded outside the entries, with a few bytes for each: after the loss of
// all entries of a large fleet it has those of all streams.
type Archive struct {
	origins []Origin
	index   map[Origin]uint16
	keys    map[Key]uint16
}

// NewArchive returns an empty archive.
func NewArchive() *Archive {
	return &Archive{index: make(map[Origin]uint16), keys: make(map[Key]uint16)}
}

// maxArchivedOrigins bounds the pairs of service and version in an archive.
const maxArchivedOrigins = 1 << 15

// Add adds the streams of a batch.
func (a *Archive) Add(b Batch) {
	for _, group := range b.Groups {
		at, found := a.index[group.Origin]
		if !found {
			if len(a.origins) == maxArchivedOrigins {
				continue
			}
			at = uint16(len(a.origins))
			a.origins = append(a.origins, group.Origin)
			a.index[group.Origin] = at
		}
		for _, key := range group.Keys {
			a.keys[key] = at
		}
	}
}

// Lookup returns the origin of a stream, if it is in the archive.
func (a *Archive) Lookup(key Key) (Origin, bool) {
	at, found := a.keys[key]
	if !found {
		return Origin{}, false
	}
	return a.origins[at], true
}

// Origins returns the pairs of service and version that streams began at.
func (a *Archive) Origins() []Origin { return a.origins }

// Size returns the number of streams.
func (a *Archive) Size() int { return len(a.keys) }

// Pending collects the origins of streams until they are recorded. The oldest are dropped first if they are
// too many.
type Pending struct {
	records []Record
	times   []time.Time
}

// Add adds a stream.
func (p *Pending) Add(now time.Time, r Record) {
	p.records = append(p.records, r)
	p.times = append(p.times, now.Add(r.Keep))
	if excess := len(p.records) - maxOrigins; excess > 0 {
		p.records, p.times = p.records[excess:], p.times[excess:]
	}
}

// Size returns the number of streams.
func (p *Pending) Size() int { return len(p.records) }

// Take removes up to n streams and returns them as a batch, without those that have expired.
func (p *Pending) Take(now time.Time, n int) Batch {
	n = min(n, len(p.records))
	at := make(map[Origin]int)
	var batch Batch
	for i, r := range p.records[:n] {
		if !now.Before(p.times[i]) {
			continue
		}
		place, found := at[r.Origin]
		if !found {
			place = len(batch.Groups)
			at[r.Origin] = place
			batch.Groups = append(batch.Groups, Group{Origin: r.Origin})
		}
		batch.Groups[place].Keys = append(batch.Groups[place].Keys, r.Key)
		if p.times[i].After(batch.Expires) {
			batch.Expires = p.times[i]
		}
	}
	p.records, p.times = p.records[n:], p.times[n:]
	return batch
}

// Return adds a batch that could not be recorded again, as the latest streams.
func (p *Pending) Return(now time.Time, b Batch) {
	for _, group := range b.Groups {
		for _, key := range group.Keys {
			p.Add(now, Record{Key: key, Origin: group.Origin, Keep: b.Expires.Sub(now)})
		}
	}
}
