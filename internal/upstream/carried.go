package upstream

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// A target may send a second copy of an answer later, and an answer names its request but not the
// send that it belongs to. So a connection carries a request id at most once: what comes on it
// with that id belongs to that send.

// maxCarried bounds the ids that are remembered of one connection. A connection that has carried
// more requests which have not expired is closed.
const maxCarried = 512

// carriedIDs holds the ids of the requests that a connection has carried and that may be sent again.
type carriedIDs []carriedID

type carriedID struct {
	// hash stands for the id. If two ids collide, a connection is passed over without need.
	hash uint64
	// expires is when the request is no longer sent.
	expires time.Time
}

func hashID(id string) uint64 { return xxhash.Sum64String(id) }

// contains reports whether a request has been added.
func (c carriedIDs) contains(hash uint64) bool {
	for _, carried := range c {
		if carried.hash == hash {
			return true
		}
	}
	return false
}

// add adds a request. It drops expired ones if there are many.
func (c *carriedIDs) add(id string, now, expires time.Time) {
	if len(*c) >= maxCarried {
		c.expire(now)
	}
	*c = append(*c, carriedID{hash: hashID(id), expires: expires})
}

// full reports whether no further request can be remembered.
func (c *carriedIDs) full(now time.Time) bool {
	if len(*c) < maxCarried {
		return false
	}
	c.expire(now)
	return len(*c) >= maxCarried
}

func (c *carriedIDs) expire(now time.Time) {
	kept := (*c)[:0]
	for _, carried := range *c {
		if carried.expires.After(now) {
			kept = append(kept, carried)
		}
	}
	*c = kept
}
