package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/feed"
	"sycamoretrail/internal/gossip"
)

var now = time.Unix(1_000_000, 0)

func longReplica() *gossip.Replica {
	random := rand.New(rand.NewPCG(1, 2))
	replica := &gossip.Replica{Topic: feed.Targets, From: 3, To: 203}
	for i := range 200 {
		value := fmt.Sprintf(`{"address":"10.0.%d.%d:%d"}`, random.IntN(256), random.IntN(256), random.IntN(65536))
		replica.Records = append(replica.Records, feed.Record{Key: fmt.Sprint(random.Uint64()), Value: []byte(value), Offset: int64(i)})
	}
	return replica
}

// A replica of many records is split into datagrams, which arrive in any order and some
// twice. It must be reassembled exactly once and equal what was sent.
func TestFragmentsAreJoinedInAnyOrder(t *testing.T) {
	g := NewWithT(t)
	replica := longReplica()
	fragments, err := gossip.Split(1, replica)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(fragments)).To(BeNumerically(">", 2))
	fragments = append(fragments, fragments[0])
	rand.New(rand.NewPCG(3, 4)).Shuffle(len(fragments), func(i, j int) { fragments[i], fragments[j] = fragments[j], fragments[i] })
	assembler := gossip.NewAssembler()
	joined := 0
	for i := range fragments {
		assembled, err := assembler.Add(now, 9, &fragments[i])
		g.Expect(err).NotTo(HaveOccurred())
		if assembled != nil {
			joined++
			g.Expect(assembled).To(Equal(replica))
		}
	}
	g.Expect(joined).To(Equal(1))
}

// If a fragment is lost, the incomplete message is dropped and the next one is still
// reassembled.
func TestLostFragmentLosesOnlyItsMessage(t *testing.T) {
	g := NewWithT(t)
	assembler := gossip.NewAssembler()
	for number := range uint64(2) {
		fragments, err := gossip.Split(number, longReplica())
		g.Expect(err).NotTo(HaveOccurred())
		var assembled *gossip.Replica
		for i := range fragments {
			if number == 0 && i == 1 {
				continue
			}
			if found, err := assembler.Add(now.Add(time.Duration(number)*time.Second), 9, &fragments[i]); found != nil || err != nil {
				assembled = found
			}
		}
		g.Expect(assembled != nil).To(Equal(number == 1))
	}
}

func TestBadFragmentsAreErrors(t *testing.T) {
	g := NewWithT(t)
	assembler := gossip.NewAssembler()
	for _, f := range []gossip.Fragment{{Count: 0}, {Index: 2, Count: 2}, {Index: -1, Count: 1}, {Count: 1 << 20}, {Count: 1, Data: []byte("not packed")}} {
		_, err := assembler.Add(now, 1, &f)
		g.Expect(err).To(HaveOccurred())
	}
}

func FuzzFragments(f *testing.F) {
	f.Add(uint64(1), 0, 1, []byte("x"))
	f.Fuzz(func(_ *testing.T, number uint64, index, count int, data []byte) {
		_, _ = gossip.NewAssembler().Add(now, 1, &gossip.Fragment{Message: number, Index: index, Count: count, Data: data})
	})
}
