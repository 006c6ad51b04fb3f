package gossip_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/gossip"
)

func words(n, organisations int) []gossip.Word {
	var list []gossip.Word
	for i := range n {
		w := gossip.Word{Name: fmt.Sprint("front-monumento-", i), Incarnation: 1<<63 + uint64(i), Sequence: 100_000, AgeMS: 40_000, SilentMS: 120, State: 1, Version: 4711}
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

// A cell of a dozen with many organisations does not fit one datagram. Each datagram must
// stay within the MTU, or it is cut into packets of which one lost loses all, and together
// they must tell every word once.
func TestDigestsFitDatagramsAndTellAll(t *testing.T) {
	for _, organisations := range []int{0, 5, 19, 40} {
		t.Run(fmt.Sprint(organisations), func(t *testing.T) {
			g := NewWithT(t)
			list := words(13, organisations)
			digests, err := gossip.Digests(names(organisations), list)
			g.Expect(err).NotTo(HaveOccurred())
			var told []gossip.Word
			for _, digest := range digests {
				m := &gossip.Message{From: strings.Repeat("x", 40), Incarnation: 1 << 63, AgeMS: 1 << 40, Sequence: 1 << 40, Digest: digest}
				data, err := cbor.Marshal(m)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(len(data)).To(BeNumerically("<=", gossip.MaxDatagram))
				back := &gossip.Message{}
				g.Expect(cbor.Unmarshal(data, back)).To(Succeed())
				told = append(told, back.Digest.Words...)
			}
			g.Expect(told).To(Equal(list))
		})
	}
}

// So many organisations that one entry's totals fill a datagram cannot be told this way;
// the sender must hear of it instead of telling nobody.
func TestWordThatFitsNoDatagramIsAnError(t *testing.T) {
	g := NewWithT(t)
	_, err := gossip.Digests(names(1000), words(1, 1000))
	g.Expect(err).To(HaveOccurred())
}
