package gossip

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Digest forwards the latest status of each entry of the sender's cell. It is sent to one
// entry of each other cell, which forwards it to its cell peers.
type Digest struct {
	// PassOn is set if the receiver has to forward the digest to its cell peers.
	PassOn bool `cbor:"1,keyasint,omitempty"`
	// Organisations names the organisations of the totals in Statuses, in the same order.
	Organisations []string `cbor:"2,keyasint,omitempty"`
	Statuses      []Status `cbor:"3,keyasint"`
	// Partial is set as in Heartbeat.
	Partial bool `cbor:"4,keyasint,omitempty"`
}

// Status is the latest status that an entry has reported. It has no addresses, which would
// take up a third of the datagram: they are in the registry of entries and in the
// heartbeat that an entry sends at its start.
type Status struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
	Sequence    uint64
	// AgeMS is how long the entry had been running, SinceContactMS the time between the last
	// contact with it and the sending of this message.
	AgeMS, SinceContactMS int64
	State                 uint8
	StoreDisconnected     bool
	Version               int64
	// Admitted and Waiting are the parts of its totals, by organisation. Trailing zeros
	// are omitted.
	Admitted, Waiting []int64
}

// Digests distributes statuses over digests that fit a datagram each.
func Digests(organisations []string, statuses []Status) ([]*Digest, error) {
	var digests []*Digest
	for len(statuses) > 0 {
		n, err := fitCount(organisations, statuses)
		if err != nil {
			return nil, err
		}
		digests = append(digests, &Digest{PassOn: true, Organisations: organisations, Statuses: statuses[:n]})
		statuses = statuses[n:]
	}
	return digests, nil
}

// envelopeBytes bounds the size of the other fields of a message with a digest, including
// the sender's name.
const envelopeBytes = 120

// fitCount returns how many of the statuses, from the first on, fit one datagram.
func fitCount(organisations []string, statuses []Status) (int, error) {
	size, err := encodedSize(organisations)
	if err != nil {
		return 0, err
	}
	size += envelopeBytes
	for i := range statuses {
		one, err := encodedSize(statuses[i])
		if err != nil {
			return 0, err
		}
		if size += one; size > MaxDatagram {
			if i == 0 {
				return 0, fmt.Errorf("%w: status of an entry has %d bytes and does not fit a datagram", errMessage, one)
			}
			return i, nil
		}
	}
	return len(statuses), nil
}

func encodedSize(value any) (int, error) {
	data, err := cbor.Marshal(value)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errMessage, err)
	}
	return len(data), nil
}
