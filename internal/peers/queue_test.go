package peers

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/message"
)

var _ = Describe("the queue to a peer", func() {
	var (
		q    *queue
		gone counts
	)

	BeforeEach(func() {
		gone = counts{}
		q = newQueue(4, func(kind Kind, n int) { gone[kind].messages += n })
	})

	// A peer takes nothing for a while and its queue fills. Offers and heartbeats
	// are sent again by the core, so the oldest of them go and are counted, while
	// the grant behind them keeps its place; a lost grant would hold a place idle.
	It("drops the oldest offers and heartbeats when it is full", func() {
		Expect(q.push(message.Grant{Ask: 1})).To(BeTrue())
		Expect(q.push(message.Offer{Ask: 2})).To(BeTrue())
		Expect(q.push(message.Heartbeat{Seq: 3})).To(BeTrue())
		Expect(q.push(message.Grant{Ask: 4})).To(BeTrue())
		Expect(q.push(message.Grant{Ask: 5})).To(BeTrue())
		Expect(gone[KindOffer].messages).To(Equal(1))
		Expect(gone[KindHeartbeat].messages).To(Equal(0))
		Expect(q.take()).To(Equal([]message.Message{
			message.Grant{Ask: 1}, message.Heartbeat{Seq: 3}, message.Grant{Ask: 4}, message.Grant{Ask: 5},
		}))
	})

	// Here nothing in the full queue may go. A message that vanished from a link
	// that stands would be waited for in vain, so the link is given up: both ends
	// see it break and recover as from any cut.
	It("gives the link up where nothing may be dropped", func() {
		k := &link{queue: q, counters: &counters{}, stopping: make(chan struct{})}
		for range 4 {
			k.send(message.Grant{})
		}
		Expect(k.stopping).NotTo(BeClosed())
		k.send(message.Grant{})
		Expect(k.stopping).To(BeClosed())
		Expect(k.reason).To(MatchError(errQueueFull))
		Expect(k.counters.read().Kinds[KindGrant-1].Dropped).To(Equal(int64(1)))
	})

	It("hands out batches of bounded size, the oldest first", func() {
		q = newQueue(2*MaxBatch, nil)
		for i := range MaxBatch + 1 {
			Expect(q.push(message.Grant{Ask: uint64(i)})).To(BeTrue())
		}
		first, second := q.take(), q.take()
		Expect(first).To(HaveLen(MaxBatch))
		Expect(second).To(Equal([]message.Message{message.Grant{Ask: MaxBatch}}))
		Expect(q.take()).To(BeNil())
	})

	It("ends a batch after a large document", func() {
		document := message.DocumentReply{Data: make([]byte, batchBytes)}
		Expect(q.push(document)).To(BeTrue())
		Expect(q.push(document)).To(BeTrue())
		Expect(q.take()).To(HaveLen(1))
		Expect(q.take()).To(HaveLen(1))
	})
})
