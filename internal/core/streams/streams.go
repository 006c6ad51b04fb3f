// Package streams remembers by which service and software version streams were begun, so that a
// stream that its caller reconnects to, at any entry, continues at the same version. Entries tell each
// other of the streams that they begin; see peerset.Holders for which ones.
//
// Time is passed as an argument. The types are not safe for concurrent use.
package streams

import (
	"crypto/sha256"
	"time"
)

// Key identifies the request that brought the first event of a stream.
type Key [16]byte

// KeyOf returns the key of a request by its organisation and id. Ids of different organisations
// never collide.
func KeyOf(organisation, id string) Key {
	digest := sha256.New()
	digest.Write([]byte(organisation))
	digest.Write([]byte{0})
	digest.Write([]byte(id))
	return Key(digest.Sum(nil)[:len(Key{})])
}

// Origin is what began a stream.
type Origin struct {
	Service, Version string
}

const (
	// maxOrigins bounds the streams that are remembered; the oldest are dropped first.
	maxOrigins = 1 << 15
	// maxKeep bounds how long a stream is remembered.
	maxKeep = 2 * time.Minute
)

// Registry holds the origins of streams until callers no longer reconnect to them.
type Registry struct {
	records map[Key]record
	// order lists the keys by insertion; a key that was recorded again may stand in it twice.
	order []ordered
	next  uint64
}

type record struct {
	origin   Origin
	expires  time.Time
	own      bool
	sequence uint64
}

type ordered struct {
	key      Key
	sequence uint64
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{records: make(map[Key]record)} }

// Record remembers a stream for some time. own: it runs at this entry.
func (r *Registry) Record(now time.Time, key Key, origin Origin, keep time.Duration, own bool) {
	r.next++
	r.records[key] = record{origin: origin, expires: now.Add(min(keep, maxKeep)), own: own, sequence: r.next}
	r.order = append(r.order, ordered{key, r.next})
	r.evict(now)
}

// evict drops records from the oldest on while they are expired, replaced or too many.
func (r *Registry) evict(now time.Time) {
	dropped := 0
	for _, oldest := range r.order {
		known, found := r.records[oldest.key]
		current := found && known.sequence == oldest.sequence
		if current && now.Before(known.expires) && len(r.order)-dropped <= maxOrigins {
			break
		}
		if current {
			delete(r.records, oldest.key)
		}
		dropped++
	}
	r.order = r.order[dropped:]
}

// Lookup returns the origin of a stream, if it is known.
func (r *Registry) Lookup(now time.Time, key Key) (Origin, bool) {
	known, found := r.Get(now, key)
	return known.Origin, found
}

// Get returns all that is known of a stream.
func (r *Registry) Get(now time.Time, key Key) (Record, bool) {
	known, found := r.records[key]
	if !found || !now.Before(known.expires) {
		return Record{}, false
	}
	return Record{Key: key, Origin: known.origin, Keep: known.expires.Sub(now)}, true
}

// Size returns the number of streams that are remembered.
func (r *Registry) Size() int { return len(r.records) }

// Record is a remembered stream and the time for which it is still remembered.
type Record struct {
	Key    Key
	Origin Origin
	Keep   time.Duration
}

// Own returns the streams that began at this entry.
func (r *Registry) Own(now time.Time) []Record {
	var own []Record
	for key, known := range r.records {
		if known.own && now.Before(known.expires) {
			own = append(own, Record{Key: key, Origin: known.origin, Keep: known.expires.Sub(now)})
		}
	}
	return own
}
