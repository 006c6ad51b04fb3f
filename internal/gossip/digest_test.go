package gossip_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/gossip"
)

func statuses(n, organisations int) []gossip.Status {
	var list []gossip.Status
	for i := range n {
		w := gossip.Status{Name: fmt.Sprint("front-monumento-", i), Incarnation: 1<<63 + uint64(i), Sequence: 100_000, AgeMS: 40_000, SinceContactMS: 120, State: 1, Version: 4711}
		for o := range organisations {
			w.Admitted = append(w.Admitted, int64(1_000_000+o))
			w.Waiting = append(w.Waiting, int64(4_000))
		}
		list = append(list, w)
	}
	return list
}

func names(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprint("organisation-", i))
	}
	return list
}

// The statuses of a cell of a dozen entries with many organisations do not fit one datagram.
// Each datagram must stay within the MTU, or IP splits it into packets and the loss of one
// packet loses all of them. Together the datagrams must hold every status once.
func TestDigestsFitDatagramsAndHoldEveryStatus(t *testing.T) {
	for _, organisations := range []int{0, 5, 19, 40} {
		t.Run(fmt.Sprint(organisations), func(t *testing.T) {
			g := NewWithT(t)
			list := statuses(13, organisations)
			digests, err := gossip.Digests(names(organisations), list)
			g.Expect(err).NotTo(HaveOccurred())
			var decoded []gossip.Status
			for _, digest := range digests {
				m := &gossip.Message{From: strings.Repeat("x", 40), Incarnation: 1 << 63, AgeMS: 1 << 40, Sequence: 1 << 40, Digest: digest}
				data, err := cbor.Marshal(m)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(len(data)).To(BeNumerically("<=", gossip.MaxDatagram))
				back := &gossip.Message{}
				g.Expect(cbor.Unmarshal(data, back)).To(Succeed())
				decoded = append(decoded, back.Digest.Statuses...)
			}
			g.Expect(decoded).To(Equal(list))
		})
	}
}

// With so many organisations that one entry's totals exceed a datagram, its status cannot be
// sent in a digest. The sender must get an error rather than silently send nothing.
func TestStatusLargerThanDatagramIsAnError(t *testing.T) {
	g := NewWithT(t)
	_, err := gossip.Digests(names(1000), statuses(1, 1000))
	g.Expect(err).To(HaveOccurred())
}
