// Package peers keeps one link to each other entry: a WebSocket that carries
// batches of CBOR messages, after a hello in which both ends prove that they
// know the shared key.
package peers

import "errors"

var (
	// ErrVersion: the peer speaks another version of the protocol.
	ErrVersion = errors.New("peer speaks another protocol version")
	// ErrKey: the peer does not know the shared key.
	ErrKey = errors.New("peer does not know the shared key")
	// ErrRefused: the peer refused the hello and said why.
	ErrRefused = errors.New("peer refused the hello")
	// ErrMalformed: what the peer sent cannot be read.
	ErrMalformed = errors.New("malformed frame from a peer")
	// ErrSelf: the address is this entry's own.
	ErrSelf = errors.New("the address is this entry's own")
	// errLinked: a link to the peer stands already, under another address.
	errLinked = errors.New("a link to the peer stands already")
	// errQueueFull: the peer takes nothing, and what waits may not be dropped.
	errQueueFull = errors.New("outgoing queue is full")
	// errReplaced: the peer opened a new link, so the old one is half-open.
	errReplaced = errors.New("replaced by a newer link")
	// errClosed: this entry closed its links.
	errClosed = errors.New("links are closed")
)
