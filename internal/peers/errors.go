// Package peers maintains one link to each other entry: a WebSocket that carries
// batches of CBOR messages, after a handshake (hello) in which both ends prove that
// they have the shared key.
package peers

import "errors"

var (
	// ErrVersion means that the peer uses another version of the protocol.
	ErrVersion = errors.New("peer speaks another protocol version")
	// ErrKey means that the peer does not have the shared key.
	ErrKey = errors.New("peer does not know the shared key")
	// ErrRefused means that the peer refused the hello and sent the reason.
	ErrRefused = errors.New("peer refused the hello")
	// ErrMalformed means that a frame of the peer cannot be decoded.
	ErrMalformed = errors.New("malformed frame from a peer")
	// ErrSelf means that the address is this entry's own.
	ErrSelf = errors.New("the address is this entry's own")
	// errLinked means that the peer is already linked under another address.
	errLinked = errors.New("the peer is already linked")
	// errQueueFull means that the peer does not read, and that the queued messages must
	// not be dropped.
	errQueueFull = errors.New("outgoing queue is full")
	// errReplaced means that the peer opened a new link, so the old one is half-open.
	errReplaced = errors.New("replaced by a newer link")
	// errClosed means that this entry closed its links.
	errClosed = errors.New("links are closed")
)
