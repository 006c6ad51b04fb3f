package peers

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"sycamoretrail/internal/core/message"
)

const (
	// MaxBatch bounds the number of messages in one packet.
	MaxBatch = 512
	// maxNesting and maxElements bound the structures that the decoder builds for one frame.
	maxNesting  = 16
	maxElements = 65536
)

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

// Packet is one frame on a link: a batch of messages in sending order.
type Packet struct {
	Messages []message.Message
}

// wirePacket groups the messages by type, so that each list is decoded into one
// typed slice. Order keeps the sending order across types: a Withdraw that overtook
// its Offer would leave the offer in force.
type wirePacket struct {
	Order []byte                   `cbor:"1,keyasint"`
	Lists map[Kind]cbor.RawMessage `cbor:"2,keyasint"`
}

// kindCount is the number of messages of one type in a packet, and their size.
type kindCount struct {
	messages int
	bytes    int
}

// counts holds a kindCount for each type.
type counts [kindEnd]kindCount

// encodePacket encodes a frame and counts the messages and bytes of each type.
func encodePacket(p Packet) ([]byte, counts, error) {
	var lists [kindEnd][]message.Message
	var count counts
	wire := wirePacket{
		Order: make([]byte, 0, len(p.Messages)),
		Lists: make(map[Kind]cbor.RawMessage),
	}
	for _, m := range p.Messages {
		kind := kindOf(m)
		wire.Order = append(wire.Order, byte(kind))
		lists[kind] = append(lists[kind], m)
	}
	for kind, list := range lists {
		if len(list) == 0 {
			continue
		}
		raw, err := encMode.Marshal(list)
		if err != nil {
			return nil, count, fmt.Errorf("encode %v: %w", Kind(kind), err)
		}
		wire.Lists[Kind(kind)] = raw
		count[kind] = kindCount{messages: len(list), bytes: len(raw)}
	}
	data, err := encMode.Marshal(wire)
	if err != nil {
		return nil, count, fmt.Errorf("encode packet: %w", err)
	}
	return data, count, nil
}

// decodePacket decodes a frame. All errors wrap ErrMalformed.
func decodePacket(data []byte) (Packet, counts, error) {
	var count counts
	var wire wirePacket
	if err := decMode.Unmarshal(data, &wire); err != nil {
		return Packet{}, count, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if len(wire.Order) > MaxBatch {
		return Packet{}, count, fmt.Errorf("%w: %d messages in one packet", ErrMalformed, len(wire.Order))
	}
	var lists [kindEnd][]message.Message
	for kind, raw := range wire.Lists {
		if !kind.valid() {
			return Packet{}, count, fmt.Errorf("%w: unknown message type %d", ErrMalformed, kind)
		}
		list, err := kinds[kind].decode(raw)
		if err != nil {
			return Packet{}, count, fmt.Errorf("%w: %v: %w", ErrMalformed, kind, err)
		}
		lists[kind] = list
		count[kind] = kindCount{messages: len(list), bytes: len(raw)}
	}
	messages, err := mergeInOrder(wire.Order, &lists)
	return Packet{Messages: messages}, count, err
}

// mergeInOrder merges the lists into sending order. The order must refer to each message
// exactly once.
func mergeInOrder(order []byte, lists *[kindEnd][]message.Message) ([]message.Message, error) {
	messages := make([]message.Message, 0, len(order))
	for _, b := range order {
		kind := Kind(b)
		if !kind.valid() || len(lists[kind]) == 0 {
			return nil, fmt.Errorf("%w: order refers to a message that is not in the packet", ErrMalformed)
		}
		messages = append(messages, lists[kind][0])
		lists[kind] = lists[kind][1:]
	}
	for _, rest := range lists {
		if len(rest) > 0 {
			return nil, fmt.Errorf("%w: a message is missing from the order", ErrMalformed)
		}
	}
	return messages, nil
}

func mustEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortBytewiseLexical}.EncMode()
	if err != nil {
		panic(err) // constant options
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // constant options
	}
	return mode
}
