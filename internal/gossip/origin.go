package gossip

// Origin states by which service and version a stream was begun, and for how long callers may
// take it up.
type Origin struct {
	_       struct{} `cbor:",toarray"`
	Key     []byte
	Service string
	Version string
	KeepMS  int64
}

// OriginReply answers a query for the origin of a stream; Origin is nil if the sender does not
// know it.
type OriginReply struct {
	Key    []byte  `cbor:"1,keyasint"`
	Origin *Origin `cbor:"2,keyasint,omitempty"`
	// Several are services that have had targets of several versions lately, if Origin is nil.
	Several []string `cbor:"3,keyasint,omitempty"`
	// RecordsRead: the sender has read what is recorded in the store.
	RecordsRead bool `cbor:"4,keyasint,omitempty"`
}
