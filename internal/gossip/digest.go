package gossip

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Digest passes on what the sender has heard from the entries of its cell. It goes to one
// entry of each other cell, which passes it on to its own.
type Digest struct {
	// PassOn: the receiver is the one that passes it on.
	PassOn bool `cbor:"1,keyasint,omitempty"`
	// Organisations are those of the words' totals, in their order.
	Organisations []string `cbor:"2,keyasint,omitempty"`
	Words         []Word   `cbor:"3,keyasint"`
	// Partial is that of Heartbeat.
	Partial bool `cbor:"4,keyasint,omitempty"`
}

// Word is an entry's last word of itself. Addresses are left out: they are in the register
// of entries and in the heartbeat with which an entry starts, and would take a third of
// the datagram.
type Word struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
	Sequence    uint64
	// AgeMS is how long the entry had been running, SilentMS how long before sending it
	// was heard.
	AgeMS, SilentMS int64
	State           uint8
	Blind           bool
	Version         int64
	// Admitted and Waiting are the parts of its totals, by organisation; the end of each
	// is left out where it is zero.
	Admitted, Waiting []int64
}

// Digests forms as many digests of words as fit a datagram each; together they hold all of
// them.
func Digests(organisations []string, words []Word) ([]*Digest, error) {
	var digests []*Digest
	for len(words) > 0 {
		n, err := fitting(organisations, words)
		if err != nil {
			return nil, err
		}
		digests = append(digests, &Digest{PassOn: true, Organisations: organisations, Words: words[:n]})
		words = words[n:]
	}
	return digests, nil
}

// envelopeBytes is what the other fields of a message with a digest take at most, the
// sender's name included.
const envelopeBytes = 120

// fitting is the number of words that fit one datagram.
func fitting(organisations []string, words []Word) (int, error) {
	size, err := encodedSize(organisations)
	if err != nil {
		return 0, err
	}
	size += envelopeBytes
	for i := range words {
		one, err := encodedSize(words[i])
		if err != nil {
			return 0, err
		}
		if size += one; size > MaxDatagram {
			if i == 0 {
				return 0, fmt.Errorf("%w: a word of %d bytes does not fit a datagram", errMessage, one)
			}
			return i, nil
		}
	}
	return len(words), nil
}

func encodedSize(value any) (int, error) {
	data, err := cbor.Marshal(value)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errMessage, err)
	}
	return len(data), nil
}
