package peers

import (
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/message"
)

// oneOfEachType returns one message of each type, with a different value in each field.
func oneOfEachType() []message.Message {
	types := []message.Message{
		message.Heartbeat{}, message.Offer{}, message.Withdraw{}, message.Grant{}, message.Queued{},
		message.Refuse{}, message.Preempt{}, message.Done{}, message.Running{}, message.FloorRequest{},
		message.FloorReply{}, message.OwnerRequest{}, message.OwnerReply{}, message.ClaimRequest{}, message.ClaimReply{},
		message.ClaimRelease{}, message.Suspicion{}, message.DocumentRequest{}, message.DocumentReply{},
	}
	seed := int64(0)
	var filled []message.Message
	for _, m := range types {
		value := reflect.New(reflect.TypeOf(m)).Elem()
		fill(value, &seed)
		filled = append(filled, value.Interface().(message.Message))
	}
	return filled
}

func fill(v reflect.Value, seed *int64) {
	*seed++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), seed)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			fill(v.Index(i), seed)
		}
	case reflect.String:
		v.SetString("text-" + string(rune('a'+*seed%26)))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(*seed) + 0.5)
	case reflect.Int, reflect.Int64:
		v.SetInt(*seed * 1_000_003)
	case reflect.Uint8:
		v.SetUint(uint64(*seed%200) + 1)
	default:
		v.SetUint(uint64(*seed) << 33)
	}
}

var _ = Describe("a packet", func() {
	It("carries every message type completely and in sending order", func() {
		Expect(oneOfEachType()).To(HaveLen(int(kindEnd) - 1))
		batch := append(oneOfEachType(), oneOfEachType()...)
		batch[0], batch[30] = batch[30], batch[0]
		data, sent, err := encodePacket(Packet{Messages: batch})
		Expect(err).NotTo(HaveOccurred())
		packet, received, err := decodePacket(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(packet.Messages).To(Equal(batch))
		Expect(received).To(Equal(sent))
		for kind := KindHeartbeat; kind < kindEnd; kind++ {
			Expect(sent[kind].messages).To(Equal(2), kind.String())
			Expect(sent[kind].bytes).To(BeNumerically(">", 0), kind.String())
		}
	})

	DescribeTable("is refused if it is inconsistent", func(wire any) {
		data, err := encMode.Marshal(wire)
		Expect(err).NotTo(HaveOccurred())
		_, _, err = decodePacket(data)
		Expect(err).To(MatchError(ErrMalformed))
	},
		Entry("not a map", "text"),
		Entry("refers to a missing message", wirePacket{Order: []byte{byte(KindGrant)}}),
		Entry("has a message that is missing from the order", wirePacket{Lists: lists(KindDocumentRequest, []message.DocumentRequest{{}})}),
		Entry("unknown message type", wirePacket{Order: []byte{200}, Lists: lists(200, []int{1})}),
		Entry("list of another type", wirePacket{Order: []byte{byte(KindGrant)}, Lists: lists(KindGrant, []string{"x"})}),
		Entry("more messages than a batch", wirePacket{Order: make([]byte, MaxBatch+1)}),
	)
})

func lists(kind Kind, list any) map[Kind]cbor.RawMessage {
	raw, err := encMode.Marshal(list)
	if err != nil {
		panic(err)
	}
	return map[Kind]cbor.RawMessage{kind: raw}
}

func FuzzDecodePacket(f *testing.F) {
	data, _, err := encodePacket(Packet{Messages: oneOfEachType()})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{})
	f.Add([]byte{0xa2, 0x01, 0x40, 0x02, 0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		packet, _, err := decodePacket(data)
		if err != nil {
			return
		}
		again, _, err := encodePacket(packet)
		if err != nil {
			t.Fatalf("a decoded packet does not encode: %v", err)
		}
		if _, _, err := decodePacket(again); err != nil {
			t.Fatalf("an encoded packet does not decode: %v", err)
		}
	})
}
