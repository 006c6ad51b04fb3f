package gossip

import "sycamoretrail/internal/feed"

// Entries transfer state that does not fit datagrams by HTTP, at the TCP port of the address
// for other entries. Bodies are packed; see Pack.

// Paths of the calls.
const (
	PathCopy = "/v1/copy"
	PathJoin = "/v1/join"
)

// CopyRequest asks for a copy of a topic from a position on; see feed.Copy.
type CopyRequest struct {
	Topic      feed.Topic `cbor:"1,keyasint"`
	Generation int64      `cbor:"2,keyasint,omitempty"`
	Offset     int64      `cbor:"3,keyasint"`
}

// CopyAnswer holds a copy. Packed is a packed Replica without its age.
type CopyAnswer struct {
	AgeMS  int64  `cbor:"1,keyasint"`
	Packed []byte `cbor:"2,keyasint"`
}

// JoinAnswer is what an entry tells one that has started, which sends its own heartbeat.
type JoinAnswer struct {
	// Complete: the entry knows all others.
	Complete bool `cbor:"1,keyasint"`
	// Members are the statuses of the live entries, including the one that answers.
	Members []Status `cbor:"2,keyasint"`
	// Settled: the entry has counted for a whole quota window, so that Histories is complete.
	Settled   bool               `cbor:"3,keyasint"`
	Histories map[string]History `cbor:"4,keyasint,omitempty"`
	Crashes   []Crash            `cbor:"5,keyasint,omitempty"`
	// Restored: UsageRecords are the records of usage that the log held when the entry started.
	Restored     bool          `cbor:"6,keyasint,omitempty"`
	UsageRecords []feed.Record `cbor:"7,keyasint,omitempty"`
}
