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

func longNews() *gossip.Replica {
	random := rand.New(rand.NewPCG(1, 2))
	news := &gossip.Replica{Topic: feed.Targets, From: 3, To: 203}
	for i := range 200 {
		value := fmt.Sprintf(`{"address":"10.0.%d.%d:%d"}`, random.IntN(256), random.IntN(256), random.IntN(65536))
		news.Records = append(news.Records, feed.Record{Key: fmt.Sprint(random.Uint64()), Value: []byte(value), Offset: int64(i)})
	}
	return news
}

// Replica of many records are cut into datagrams, which arrive in any order and some
// twice. They are joined once, to what was sent.
func TestFragmentsAreJoinedInAnyOrder(t *testing.T) {
	g := NewWithT(t)
	news := longNews()
	fragments, err := gossip.Split(1, news)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(fragments)).To(BeNumerically(">", 2))
	fragments = append(fragments, fragments[0])
	rand.New(rand.NewPCG(3, 4)).Shuffle(len(fragments), func(i, j int) { fragments[i], fragments[j] = fragments[j], fragments[i] })
	assembler := gossip.NewAssembler()
	joined := 0
	for i := range fragments {
		whole, err := assembler.Add(now, 9, &fragments[i])
		g.Expect(err).NotTo(HaveOccurred())
		if whole != nil {
			joined++
			g.Expect(whole).To(Equal(news))
		}
	}
	g.Expect(joined).To(Equal(1))
}

// A fragment is lost. The rest is forgotten, and the next message is joined all the same.
func TestLostFragmentSpoilsOnlyItsMessage(t *testing.T) {
	g := NewWithT(t)
	assembler := gossip.NewAssembler()
	for number := range uint64(2) {
		fragments, err := gossip.Split(number, longNews())
		g.Expect(err).NotTo(HaveOccurred())
		var whole *gossip.Replica
		for i := range fragments {
			if number == 0 && i == 1 {
				continue
			}
			if found, err := assembler.Add(now.Add(time.Duration(number)*time.Second), 9, &fragments[i]); found != nil || err != nil {
				whole = found
			}
		}
		g.Expect(whole != nil).To(Equal(number == 1))
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
