package gossip

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Hop tells the receiver of a message to whom it passes the message on. Messages for all
// entries go down a tree: from the hub of each availability zone to one entry of each cell of
// the zone, and from there to the rest of the cell.
type Hop uint8

const (
	// HopNone: the message is for the receiver only.
	HopNone Hop = iota
	// HopCell: the receiver passes it on to the other entries of its cell.
	HopCell
	// HopZone: the receiver passes it on to one entry of each cell of its zone, with HopCell.
	HopZone
	// HopAll: the receiver passes it on within its zone, and to a hub of each other zone with
	// HopZone.
	HopAll
)

// Digest carries the status of cells to the entries outside of them.
type Digest struct {
	// Zone is the zone to which the cells belong.
	Zone   string  `cbor:"2,keyasint,omitempty"`
	Blocks []Block `cbor:"1,keyasint,omitempty"`
	// Crashes are broken runs that entries have reported to the hub.
	Crashes []Crash `cbor:"3,keyasint,omitempty"`
}

// MaxCrashes is the number of broken runs that fit a datagram.
const MaxCrashes = 24

// Block is the status of the entries of one cell, as composed by the relay of the cell.
type Block struct {
	_ struct{} `cbor:",toarray"`
	// Relay is the name of the relay, AgeMS the time since it composed the block.
	Relay string
	AgeMS int64
	// Version is the latest version of the configuration that is in force at any of the
	// entries.
	Version int64
	// Live holds the token of each live entry, four bytes each; see peerset.Token.
	Live []byte
	// Changed holds the statuses that differ from those of earlier blocks.
	Changed []Status
	// Organisations names the organisations in Usage.
	Organisations []string
	Usage         []Usage
}

// Status is the status of an entry. Most blocks hold only its token instead.
type Status struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
	Sequence    uint64
	// AgeMS is how long the entry had been running, SinceContactMS the time between the last
	// contact with it and the composition of the block.
	AgeMS, SinceContactMS int64
	State                 uint8
	StoreDisconnected     bool
	// Lost: the relay has received nothing from the entry within the failure-detection
	// timeout.
	Lost                 bool
	Zone, Callers, Links string
}

// Usage is what an entry has counted for an organisation, if that has changed. Entry is the
// index of its token in Live, Organisation that of the name in Organisations.
type Usage struct {
	_             struct{} `cbor:",toarray"`
	Entry         uint8
	Organisation  uint16
	Admitted      int64
	Waiting       int64
	RecentlyAdded int64
}

// envelopeBytes bounds the size of the other fields of a message with a digest, including
// the sender's name.
const envelopeBytes = 120

// MaxBlock is the largest encoded size of a block, in bytes.
const MaxBlock = MaxDatagram - envelopeBytes

// Digests distributes blocks over as few digests as fit a datagram each.
func Digests(blocks []Block) ([]*Digest, error) {
	var digests []*Digest
	left := 0
	for i := range blocks {
		size, err := EncodedSize(&blocks[i])
		if err != nil {
			return nil, err
		}
		if size > MaxBlock {
			return nil, fmt.Errorf("%w: block of %d bytes does not fit a datagram", errMessage, size)
		}
		if size > left {
			digests = append(digests, &Digest{})
			left = MaxBlock
		}
		left -= size
		last := digests[len(digests)-1]
		last.Blocks = append(last.Blocks, blocks[i])
	}
	return digests, nil
}

// EncodedSize returns the size of a value in a datagram, in bytes.
func EncodedSize(value any) (int, error) {
	data, err := cbor.Marshal(value)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errMessage, err)
	}
	return len(data), nil
}
