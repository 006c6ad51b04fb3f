// Package gossip carries what entries tell each other: soft state that the next
// message replaces. It goes by datagram, since a lost one costs nothing but some
// milliseconds of age, and neither connections that fall silent nor a peer that
// does not read can hold anything up.
package gossip

import (
	"errors"
	"fmt"
	"net"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"

	"sycamoretrail/internal/feed"
)

// MaxDatagram is the longest message sent: what fits a common MTU in one piece.
const MaxDatagram = 1400

// errMessage is wrapped by errors of messages that cannot be sent.
var errMessage = errors.New("gossip")

// Message is one datagram. Parts that are absent say nothing. The number of a field
// whose meaning has changed is not used again: an entry of another release that could
// not decode a heartbeat would take its sender for silent.
type Message struct {
	// From names the sender and its incarnation.
	From        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// AgeMS is how long the sender has been running.
	AgeMS int64 `cbor:"3,keyasint"`
	// Sequence rises with each message of an incarnation; an older one is dropped.
	Sequence uint64 `cbor:"4,keyasint"`

	Heartbeat *Heartbeat `cbor:"5,keyasint,omitempty"`
	Load      *Load      `cbor:"6,keyasint,omitempty"`
	Replica   *Replica   `cbor:"7,keyasint,omitempty"`
	Crash     *Crash     `cbor:"8,keyasint,omitempty"`
	Fragment  *Fragment  `cbor:"9,keyasint,omitempty"`
	// History is what organisations have used over all entries, for an entry that has
	// just begun.
	History   map[string]History `cbor:"10,keyasint,omitempty"`
	Digest    *Digest            `cbor:"11,keyasint,omitempty"`
	Departure *Departure         `cbor:"14,keyasint,omitempty"`
	// RolloutStep is from the leader of a roll-out, RolloutReport for it.
	RolloutStep   *RolloutStep   `cbor:"12,keyasint,omitempty"`
	RolloutReport *RolloutReport `cbor:"13,keyasint,omitempty"`
}

// Heartbeat is what the sender says of itself: often to the entries of its cell, and to
// every other entry when it starts, is ready or stops.
type Heartbeat struct {
	Zone    string `cbor:"1,keyasint"`
	Callers string `cbor:"2,keyasint"`
	Links   string `cbor:"3,keyasint"`
	State   uint8  `cbor:"4,keyasint"`
	// Version is the configuration in force.
	Version int64 `cbor:"5,keyasint"`
	// Totals are what organisations have used since the start.
	Totals map[string]Total `cbor:"8,keyasint,omitempty"`
	// Blind: the sender cannot read the store, so it should not read for others.
	Blind bool `cbor:"7,keyasint,omitempty"`
	// Partial: there are other totals, which later heartbeats hold.
	Partial bool `cbor:"9,keyasint,omitempty"`
}

// Load is what the sender has at targets and in its queues.
type Load struct {
	InFlight map[string]int `cbor:"1,keyasint,omitempty"`
	// Waiting is the urgency of the most urgent request that waits, by service.
	Waiting map[string]uint32 `cbor:"8,keyasint,omitempty"`
	// Totals are those of Heartbeat, for entries that are told each change.
	Totals map[string]Total `cbor:"5,keyasint,omitempty"`
	// UnresponsiveMS is for how long yet targets get nothing from the sender, because they
	// did not answer in time.
	UnresponsiveMS map[string]int64 `cbor:"4,keyasint,omitempty"`
	// Reading is the number of prompt tokens that targets still have to read for the sender.
	Reading map[string]int `cbor:"6,keyasint,omitempty"`
	// Samples are the sender's measurements of targets since its last report.
	Samples []Sample `cbor:"7,keyasint,omitempty"`
	// Partial is that of Heartbeat.
	Partial bool `cbor:"9,keyasint,omitempty"`
	// Limits are those that targets declare; where they have no room, some in turn.
	Limits map[string]Limit `cbor:"10,keyasint,omitempty"`
}

// Limit is the rate that a target declares, or the end of it, as told by an answer of some
// age, and the number of requests that the sender has sent there since the limit began.
type Limit struct {
	_         struct{} `cbor:",toarray"`
	Declared  bool
	PerSecond float64
	AgeMS     int64
	Sent      int
}

// Sample is what one answer showed of a target's speed, in nanoseconds; 0: not measured.
type Sample struct {
	_         struct{} `cbor:",toarray"`
	Target    string
	TokenTime int64
	Latency   int64
	Longest   int64
}

// Total is the cost of what an organisation's requests have used since the sender's
// start, in whole units: of those admitted, and of these the part that still waits to
// be sent to a target.
type Total struct {
	_        struct{} `cbor:",toarray"`
	Admitted int64
	Waiting  int64
}

// History is an organisation's usage in the two halves of the window, in whole units.
type History struct {
	_             struct{} `cbor:",toarray"`
	Older, Recent int64
}

// Replica is a part of a log that the sender has read.
type Replica struct {
	Topic feed.Topic `cbor:"1,keyasint"`
	// From and To are the offsets between which Records are all that matters, Generation the
	// log's.
	From       int64         `cbor:"2,keyasint"`
	To         int64         `cbor:"3,keyasint"`
	Generation int64         `cbor:"7,keyasint,omitempty"`
	Records    []feed.Record `cbor:"4,keyasint,omitempty"`
	// AgeMS is how long before sending the log was in this state.
	AgeMS int64 `cbor:"5,keyasint"`
	// Whole: Records are the newest of all keys, not changes.
	Whole bool `cbor:"6,keyasint,omitempty"`
}

// Crash says that a run of a request ended with a broken connection.
type Crash struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	ID          string `cbor:"2,keyasint"`
}

// Departure says that a target has said in an answer that it leaves.
type Departure struct {
	Target    string `cbor:"1,keyasint"`
	StartedMS int64  `cbor:"2,keyasint,omitempty"`
}

// Conn sends and receives messages.
type Conn struct {
	socket   *net.UDPConn
	sequence atomic.Uint64
	// Sent and Received count datagrams, Undecodable those that were dropped.
	Sent, Received, Undecodable atomic.Int64
}

// Listen opens the socket.
func Listen(address string) (*Conn, error) {
	resolved, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("%w: address %s: %w", errMessage, address, err)
	}
	socket, err := net.ListenUDP("udp4", resolved)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMessage, err)
	}
	return &Conn{socket: socket}, nil
}

// Next is a number for what the sender says of itself: later than that of its messages
// before, earlier than that of those to come.
func (c *Conn) Next() uint64 { return c.sequence.Add(1) }

// Encode forms a datagram.
func (c *Conn) Encode(m *Message) ([]byte, error) {
	m.Sequence = c.Next()
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMessage, err)
	}
	if len(data) > MaxDatagram {
		return nil, fmt.Errorf("%w: message of %d bytes is too long", errMessage, len(data))
	}
	return data, nil
}

// Send sends a datagram. An error means that it was not sent; the next message
// replaces it, so callers may count and go on.
func (c *Conn) Send(address *net.UDPAddr, datagram []byte) error {
	if _, err := c.socket.WriteToUDP(datagram, address); err != nil {
		return fmt.Errorf("%w: %w", errMessage, err)
	}
	c.Sent.Add(1)
	return nil
}

// Receive hands messages on until the socket is closed.
func (c *Conn) Receive(handle func(*Message)) error {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := c.socket.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("%w: %w", errMessage, err)
		}
		c.Received.Add(1)
		message := &Message{}
		if err := cbor.Unmarshal(buffer[:n], message); err != nil {
			c.Undecodable.Add(1)
			continue
		}
		handle(message)
	}
}

// Close ends Receive.
func (c *Conn) Close() error { return c.socket.Close() }
