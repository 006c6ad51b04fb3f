package gossip_test

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/gossip"
)

// Guards against the origins of one message, with names as long as are told, not fitting a datagram.
func TestOriginsFitOneDatagram(t *testing.T) {
	g := NewWithT(t)
	const perMessage, longestName = 4, 128
	name := fmt.Sprintf("%0*d", longestName, 1)
	m := gossip.Message{From: name[:64], Incarnation: 1 << 63, AgeMS: 1 << 50, Sequence: 1 << 40}
	for range perMessage {
		m.Origins = append(m.Origins, gossip.Origin{Key: make([]byte, 16), Service: name, Version: name, KeepMS: 120_000})
	}
	data, err := cbor.Marshal(&m)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(data)).To(BeNumerically("<=", gossip.MaxDatagram))
	one := gossip.Message{From: "front-centro-a-1", Incarnation: 1 << 63, AgeMS: 1 << 20, Sequence: 1 << 20}
	one.Origins = []gossip.Origin{{Key: make([]byte, 16), Service: "leba18a", Version: "v1.2", KeepMS: 8000}}
	data, err = cbor.Marshal(&one)
	g.Expect(err).NotTo(HaveOccurred())
	t.Logf("one origin: %d bytes", len(data))
}
