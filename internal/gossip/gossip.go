// Package gossip exchanges soft state between entries. It uses datagrams: each
// message is superseded by the next, so a lost one only makes the state some
// milliseconds older, and neither an unresponsive connection nor a slow peer can
// block the sender.
package gossip

import (
	"errors"
	"fmt"
	"net"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"

	"sycamoretrail/internal/feed"
)

// MaxDatagram is the largest message sent, in bytes. It fits a common MTU without
// IP fragmentation.
const MaxDatagram = 1400

// errMessage is wrapped by the errors of this package.
var errMessage = errors.New("gossip")

// Message is one datagram. An absent part carries no information. When the meaning of
// a field changes, the field gets a new number: an entry of another release that could
// not decode a heartbeat would consider its sender unresponsive.
type Message struct {
	// From names the sender and its incarnation.
	From        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// AgeMS is how long the sender has been running.
	AgeMS int64 `cbor:"3,keyasint"`
	// Sequence increases with each message of an incarnation; older messages are dropped.
	Sequence uint64 `cbor:"4,keyasint"`

	Heartbeat *Heartbeat `cbor:"5,keyasint,omitempty"`
	Load      *Load      `cbor:"6,keyasint,omitempty"`
	Replica   *Replica   `cbor:"7,keyasint,omitempty"`
	Crash     *Crash     `cbor:"8,keyasint,omitempty"`
	Fragment  *Fragment  `cbor:"9,keyasint,omitempty"`
	// History is the usage of organisations over all entries, for an entry that has
	// just started.
	History   map[string]History `cbor:"10,keyasint,omitempty"`
	Digest    *Digest            `cbor:"11,keyasint,omitempty"`
	Departure *Departure         `cbor:"14,keyasint,omitempty"`
	// Leases is the announcement of a cell's load and of the targets that it lends.
	Leases *Leases `cbor:"15,keyasint,omitempty"`
	// RolloutStep is sent by the leader of a roll-out, RolloutReport to it.
	RolloutStep   *RolloutStep   `cbor:"12,keyasint,omitempty"`
	RolloutReport *RolloutReport `cbor:"13,keyasint,omitempty"`
	// Origins are streams that the sender has begun. OriginQuery is the key of a stream whose
	// origin the sender needs.
	Origins     []Origin     `cbor:"16,keyasint,omitempty"`
	OriginQuery []byte       `cbor:"17,keyasint,omitempty"`
	OriginReply *OriginReply `cbor:"18,keyasint,omitempty"`
	// Cleared is the fingerprint of a request against which earlier Crash messages count no longer.
	Cleared uint64 `cbor:"19,keyasint,omitempty"`
	// CauseReport is what the sender knows of causes of crashes.
	CauseReport *CauseReport `cbor:"20,keyasint,omitempty"`
	// RecordOrigins asks the receiver to record Origins in the store.
	RecordOrigins bool `cbor:"21,keyasint,omitempty"`
	// QueryService is the service at which the stream of OriginQuery may have begun, QueryWithinMS how long ago
	// at most. QueryRecords asks the receiver to read what is recorded in the store before it replies.
	QueryService  string `cbor:"22,keyasint,omitempty"`
	QueryRecords  bool   `cbor:"23,keyasint,omitempty"`
	QueryWithinMS int64  `cbor:"24,keyasint,omitempty"`
	// AwaitRecord asks the receiver of RecordOrigins to confirm it: OriginsRecorded are the keys of streams that
	// were recorded, one after the other.
	AwaitRecord     bool   `cbor:"25,keyasint,omitempty"`
	OriginsRecorded []byte `cbor:"26,keyasint,omitempty"`
}

// Heartbeat is the status of the sender. It is sent often to the entries of its cell, and
// to every other entry when the sender starts, becomes ready or stops.
type Heartbeat struct {
	Zone    string `cbor:"1,keyasint"`
	Callers string `cbor:"2,keyasint"`
	Links   string `cbor:"3,keyasint"`
	State   uint8  `cbor:"4,keyasint"`
	// Version is the configuration in force.
	Version int64 `cbor:"5,keyasint"`
	// Totals are the usage of organisations since the sender's start.
	Totals map[string]Total `cbor:"8,keyasint,omitempty"`
	// StoreDisconnected is set while the sender cannot read the store, so that it is not
	// chosen as the reader.
	StoreDisconnected bool `cbor:"7,keyasint,omitempty"`
	// Partial is set if further totals follow in later heartbeats.
	Partial bool `cbor:"9,keyasint,omitempty"`
}

// Load is the number of the sender's requests at targets and the state of its queues.
type Load struct {
	InFlight map[string]int `cbor:"1,keyasint,omitempty"`
	// Waiting is the urgency of the most urgent queued request, by service.
	Waiting map[string]uint32 `cbor:"12,keyasint,omitempty"`
	// Totals are those of Heartbeat, for entries that receive each change.
	Totals map[string]Total `cbor:"5,keyasint,omitempty"`
	// UnresponsiveMS is the remaining time for which the sender backs off from targets that
	// did not answer in time.
	UnresponsiveMS map[string]int64 `cbor:"4,keyasint,omitempty"`
	// PendingPromptTokens is the number of the sender's prompt tokens that targets have not
	// processed yet.
	PendingPromptTokens map[string]int `cbor:"6,keyasint,omitempty"`
	// Samples are the sender's measurements of targets since its last report.
	Samples []Sample `cbor:"7,keyasint,omitempty"`
	// Partial is set as in Heartbeat.
	Partial bool `cbor:"9,keyasint,omitempty"`
	// Limits are the rate limits that targets declare. If they do not all fit, each message
	// holds some of them in turn.
	Limits map[string]Limit `cbor:"10,keyasint,omitempty"`
	// Pools is the sender's demand, by service.
	Pools map[string]PoolLoad `cbor:"11,keyasint,omitempty"`
}

// PoolLoad is the sender's demand for one service by rank, most urgent first: the work that
// arrives, in milliseconds of a slot each second, and the work that waits, in milliseconds.
// Trailing zeros are left out.
type PoolLoad struct {
	_                 struct{} `cbor:",toarray"`
	Arriving, Backlog []uint32
}

// Limit is the rate limit that a target declared in an answer, or the end of that limit. AgeMS
// is the age of the answer, Sent the number of requests that the sender has sent to the target
// since the limit began.
type Limit struct {
	_         struct{} `cbor:",toarray"`
	Declared  bool
	PerSecond float64
	AgeMS     int64
	Sent      int
}

// Sample is the speed of a target as measured on one answer, in nanoseconds; 0 means not
// measured.
type Sample struct {
	_         struct{} `cbor:",toarray"`
	Target    string
	TokenTime int64
	Latency   int64
	Longest   int64
}

// Total is the cost of an organisation's requests since the sender's start, in whole
// units. Admitted covers all admitted requests, Waiting those of them that have not been
// sent to a target yet.
type Total struct {
	_        struct{} `cbor:",toarray"`
	Admitted int64
	Waiting  int64
}

// History is an organisation's usage in the two halves of the quota window, in whole units.
type History struct {
	_             struct{} `cbor:",toarray"`
	Older, Recent int64
}

// Replica is a part of a log, as read by the sender.
type Replica struct {
	Topic feed.Topic `cbor:"1,keyasint"`
	// From and To are the offsets between which Records holds all relevant records.
	// Generation is the generation of the log.
	From       int64         `cbor:"2,keyasint"`
	To         int64         `cbor:"3,keyasint"`
	Generation int64         `cbor:"7,keyasint,omitempty"`
	Records    []feed.Record `cbor:"4,keyasint,omitempty"`
	// AgeMS is the time between the read of the log and the sending of this message.
	AgeMS int64 `cbor:"5,keyasint"`
	// Snapshot is set if Records is a snapshot with the newest record of each key, rather
	// than changes.
	Snapshot bool `cbor:"6,keyasint,omitempty"`
}

// Crash reports that a run of a request ended with a broken connection.
type Crash struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	ID          string `cbor:"2,keyasint"`
	// Target is the incarnation of the target that the run was at.
	Target string `cbor:"3,keyasint,omitempty"`
	// Service is the service of the target, Causes what the request has in common with others.
	Service string          `cbor:"4,keyasint,omitempty"`
	Causes  []CauseEvidence `cbor:"5,keyasint,omitempty"`
	// RanMS is how long the run had taken.
	RanMS int64 `cbor:"6,keyasint,omitempty"`
}

// CauseEvidence is one cause of a run that broke. Answered: the sender remembers an answer to a
// request with it.
type CauseEvidence struct {
	_        struct{} `cbor:",toarray"`
	Kind     uint8
	ID       string
	Answered bool
}

// CauseState is what an entry reports of causes.
type CauseState uint8

const (
	// CauseCleared: requests with them were answered after crashes.
	CauseCleared CauseState = iota + 1
	// CauseAnsweredBefore: the sender remembers earlier answers.
	CauseAnsweredBefore
	// CauseProbed: the sender runs a request to try them.
	CauseProbed
	// CauseQuarantined: requests with them are refused.
	CauseQuarantined
)

// CauseReport is what the sender knows of causes of one kind at a service. Stage counts the probes;
// ProbeInMS is the time to the next one. DespiteAnswers: they are quarantined although earlier answers
// are remembered.
type CauseReport struct {
	State     CauseState `cbor:"1,keyasint"`
	Kind      uint8      `cbor:"2,keyasint"`
	Service   string     `cbor:"3,keyasint"`
	IDs       []string   `cbor:"4,keyasint"`
	Stage     int        `cbor:"5,keyasint,omitempty"`
	ProbeInMS int64      `cbor:"6,keyasint,omitempty"`

	DespiteAnswers bool `cbor:"7,keyasint,omitempty"`
}

// Departure reports that a target has announced its departure in an answer.
type Departure struct {
	Target    string `cbor:"1,keyasint"`
	StartedMS int64  `cbor:"2,keyasint,omitempty"`
}

// Leases announces the load of the sender's cell and the targets that it lends to other cells.
type Leases struct {
	// Cell is the sender's cell of Cells.
	Cell  int `cbor:"1,keyasint"`
	Cells int `cbor:"2,keyasint"`
	// PassOn asks the receiver to forward the announcement to its cell.
	PassOn bool       `cbor:"3,keyasint,omitempty"`
	Loads  []CellLoad `cbor:"4,keyasint,omitempty"`
	Leases []Lease    `cbor:"5,keyasint,omitempty"`
	// Sequence increases with the announcements of the process that made this one. That of
	// Message is set again when an announcement is forwarded.
	Sequence uint64 `cbor:"6,keyasint"`
}

// CellLoad is the capacity of a cell's targets of a service and the work that arrives for
// them, both a second and in units of the mean latency of a target.
type CellLoad struct {
	_                  struct{} `cbor:",toarray"`
	Service            string
	Capacity, Arriving float64
}

// Lease lends a target of a service to a cell for a time.
type Lease struct {
	_       struct{} `cbor:",toarray"`
	Target  string
	Service string
	To      int
	TermMS  int64
}

// Conn sends and receives messages.
type Conn struct {
	socket   *net.UDPConn
	sequence atomic.Uint64
	// Sent and Received count datagrams, Undecodable received ones that were dropped.
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

// NextSequence returns a sequence number for a status of the sender. It is greater than the
// numbers of earlier messages and less than those of later ones.
func (c *Conn) NextSequence() uint64 { return c.sequence.Add(1) }

// Encode assigns the next sequence number to the message and encodes it as a datagram.
func (c *Conn) Encode(m *Message) ([]byte, error) {
	m.Sequence = c.NextSequence()
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMessage, err)
	}
	if len(data) > MaxDatagram {
		return nil, fmt.Errorf("%w: message of %d bytes is too long", errMessage, len(data))
	}
	return data, nil
}

// Send sends a datagram. An error means that it was not sent. Callers need not retry,
// since the next message supersedes it.
func (c *Conn) Send(address *net.UDPAddr, datagram []byte) error {
	if _, err := c.socket.WriteToUDP(datagram, address); err != nil {
		return fmt.Errorf("%w: %w", errMessage, err)
	}
	c.Sent.Add(1)
	return nil
}

// Receive passes messages to handle until the socket is closed.
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
