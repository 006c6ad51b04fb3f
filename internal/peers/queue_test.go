package peers

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/message"
)

var _ = Describe("the queue to a peer", func() {
	var (
		q       *queue
		dropped counts
	)

	BeforeEach(func() {
		dropped = counts{}
		q = newQueue(4, func(kind Kind, n int) { dropped[kind].messages += n })
	})

	// A peer does not read for a while and its queue fills up. The core sends offers and
	// heartbeats again, so the oldest of them are dropped and counted. The grant behind
	// them must stay: a lost grant would leave a slot reserved and idle.
	It("drops the oldest offers and heartbeats when it is full", func() {
		Expect(q.push(message.Grant{OfferSeq: 1})).To(BeTrue())
		Expect(q.push(message.Offer{Seq: 2})).To(BeTrue())
		Expect(q.push(message.Heartbeat{Seq: 3})).To(BeTrue())
		Expect(q.push(message.Grant{OfferSeq: 4})).To(BeTrue())
		Expect(q.push(message.Grant{OfferSeq: 5})).To(BeTrue())
		Expect(dropped[KindOffer].messages).To(Equal(1))
		Expect(dropped[KindHeartbeat].messages).To(Equal(0))
		Expect(q.nextBatch()).To(Equal([]message.Message{
			message.Grant{OfferSeq: 1}, message.Heartbeat{Seq: 3}, message.Grant{OfferSeq: 4}, message.Grant{OfferSeq: 5},
		}))
	})

	// Nothing in this full queue may be dropped. The peer would wait in vain for a message
	// lost from a working link, so the link is closed: both ends detect this and recover
	// as from any broken connection.
	It("closes the link if nothing may be dropped", func() {
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

	It("returns batches of bounded size, oldest first", func() {
		q = newQueue(2*MaxBatch, nil)
		for i := range MaxBatch + 1 {
			Expect(q.push(message.Grant{OfferSeq: uint64(i)})).To(BeTrue())
		}
		first, second := q.nextBatch(), q.nextBatch()
		Expect(first).To(HaveLen(MaxBatch))
		Expect(second).To(Equal([]message.Message{message.Grant{OfferSeq: MaxBatch}}))
		Expect(q.nextBatch()).To(BeNil())
	})

	It("ends a batch after a large document", func() {
		document := message.DocumentReply{Data: make([]byte, batchBytes)}
		Expect(q.push(document)).To(BeTrue())
		Expect(q.push(document)).To(BeTrue())
		Expect(q.nextBatch()).To(HaveLen(1))
		Expect(q.nextBatch()).To(HaveLen(1))
	})
})
