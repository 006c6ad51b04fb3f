package gossip_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/gossip"
)

// The blocks of all cells of a zone do not fit one datagram. Each datagram must stay within the
// MTU, or IP splits it into packets and the loss of one packet loses all of them. Together the
// datagrams must hold every block once, and few datagrams should be needed.
func TestDigestsFitDatagramsAndHoldEveryBlock(t *testing.T) {
	for _, tokens := range []int{0, 12, 200} {
		t.Run(fmt.Sprint(tokens), func(t *testing.T) {
			g := NewWithT(t)
			var blocks []gossip.Block
			for i := range 17 {
				blocks = append(blocks, gossip.Block{Relay: fmt.Sprint("front-", i), AgeMS: 1 << 40, Version: 4711, Live: make([]byte, 4*tokens)})
			}
			digests, err := gossip.Digests(blocks)
			g.Expect(err).NotTo(HaveOccurred())
			var decoded []gossip.Block
			for _, digest := range digests {
				digest.Zone = strings.Repeat("z", 20)
				m := &gossip.Message{From: strings.Repeat("x", 40), Incarnation: 1 << 63, AgeMS: 1 << 40, Sequence: 1 << 40, Digest: digest, Hop: gossip.HopAll}
				data, err := cbor.Marshal(m)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(len(data)).To(BeNumerically("<=", gossip.MaxDatagram))
				back := &gossip.Message{}
				g.Expect(cbor.Unmarshal(data, back)).To(Succeed())
				decoded = append(decoded, back.Digest.Blocks...)
			}
			g.Expect(decoded).To(HaveLen(len(blocks)))
			for i := range decoded {
				g.Expect(decoded[i].Relay).To(Equal(blocks[i].Relay))
				g.Expect(decoded[i].Live).To(Equal(blocks[i].Live))
			}
			if tokens == 12 {
				g.Expect(len(digests)).To(BeNumerically("<=", 2))
			}
		})
	}
}

// A block that exceeds a datagram cannot be sent. The sender must get an error rather than
// silently send nothing.
func TestBlockLargerThanDatagramIsAnError(t *testing.T) {
	g := NewWithT(t)
	_, err := gossip.Digests([]gossip.Block{{Live: make([]byte, gossip.MaxDatagram)}})
	g.Expect(err).To(HaveOccurred())
}
