package peers

import (
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
)

var errPipe = errors.New("pipe closed")

// pipe is one end of an in-memory connection.
type pipe struct {
	in  <-chan []byte
	out chan<- []byte
	// sent holds all frames written.
	sent [][]byte
}

func (p *pipe) ReadMessage() (int, []byte, error) {
	data, open := <-p.in
	if !open {
		return 0, nil, errPipe
	}
	return 2, data, nil
}

func (p *pipe) WriteMessage(_ int, data []byte) error {
	p.sent = append(p.sent, data)
	p.out <- data
	return nil
}

func pipes() (*pipe, *pipe) {
	a, b := make(chan []byte, 8), make(chan []byte, 8)
	return &pipe{in: a, out: b}, &pipe{in: b, out: a}
}

func newIdentity(name, key string, version int) identity {
	return identity{
		version: version,
		key:     []byte(key),
		self:    message.Member{Name: name, Incarnation: ident.Incarnation("incarnation-" + name)},
	}
}

type helloResult struct {
	member message.Member
	err    error
}

func acceptAny(message.Member) error { return nil }

// performHello runs a hello between two identities.
func performHello(dialler, acceptor identity, veto func(message.Member) error) (dialled, accepted helloResult, d, a *pipe) {
	d, a = pipes()
	done := make(chan helloResult)
	go func() {
		member, err := acceptor.acceptHello(a)
		close(a.out)
		done <- helloResult{member, err}
	}()
	member, err := dialler.dialHello(d, veto)
	close(d.out)
	return helloResult{member, err}, <-done, d, a
}

var _ = Describe("the hello", func() {
	const key = "0123456789abcdef0123456789abcdef"

	It("identifies each end to the other and never sends the key", func() {
		dialled, accepted, d, a := performHello(newIdentity("a", key, 1), newIdentity("b", key, 1), acceptAny)
		Expect(dialled.err).NotTo(HaveOccurred())
		Expect(accepted.err).NotTo(HaveOccurred())
		Expect(dialled.member.Name).To(Equal("b"))
		Expect(accepted.member.Name).To(Equal("a"))
		for _, frame := range append(d.sent, a.sent...) {
			Expect(string(frame)).NotTo(ContainSubstring(key))
		}
	})

	It("is refused at both ends if the keys differ", func() {
		dialled, accepted, _, _ := performHello(newIdentity("a", key, 1), newIdentity("b", "another key, as long as the first", 1), acceptAny)
		Expect(dialled.err).To(MatchError(ErrKey))
		Expect(accepted.err).To(MatchError(ErrKey))
	})

	// The shared key is rotated entry by entry in three rounds: all entries accept the
	// new key, all use it, none accepts the old one. In each round every entry must link
	// with every other, whether or not either of the two has already changed.
	It("succeeds in each round of a key rotation", func() {
		const fresh = "another key, as long as the first"
		with := func(name, key, accepted string) identity {
			id := newIdentity(name, key, 1)
			id.accepted = []byte(accepted)
			return id
		}
		rounds := [][2]string{{key, ""}, {key, fresh}, {fresh, key}, {fresh, ""}}
		for i := range rounds[1:] {
			before, after := rounds[i], rounds[i+1]
			for _, pair := range [][2][2]string{{before, after}, {after, before}, {after, after}} {
				dialled, accepted, _, _ := performHello(with("a", pair[0][0], pair[0][1]), with("b", pair[1][0], pair[1][1]), acceptAny)
				Expect(dialled.err).NotTo(HaveOccurred())
				Expect(accepted.err).NotTo(HaveOccurred())
			}
		}
		dialled, accepted, _, _ := performHello(with("a", key, ""), with("b", fresh, ""), acceptAny)
		Expect(dialled.err).To(MatchError(ErrKey))
		Expect(accepted.err).To(MatchError(ErrKey))
	})

	// A client computes its proof with the empty key and ignores the proof of the other
	// end. Settings without an accepted key must not be taken for an empty accepted key.
	It("does not accept the empty key if no second key is configured", func() {
		client, acceptor := newIdentity("a", "", 1), newIdentity("b", key, 1)
		client.accepted, acceptor.accepted = []byte(key), []byte{}
		_, accepted, _, _ := performHello(client, acceptor, acceptAny)
		Expect(accepted.err).To(MatchError(ErrKey))
	})

	// During an upgrade an entry of the next version dials an old one. Both ends must
	// report both versions, even if the keys differ as well, so that an operator does not
	// search for a wrong key.
	It("is refused at both ends if the versions differ, and the errors name both", func() {
		dialled, accepted, _, _ := performHello(newIdentity("a", key, 2), newIdentity("b", "another key", 1), acceptAny)
		Expect(dialled.err).To(MatchError(ErrVersion))
		Expect(accepted.err).To(MatchError(ErrVersion))
		for _, err := range []error{dialled.err, accepted.err} {
			Expect(err.Error()).To(And(ContainSubstring("2"), ContainSubstring("1")))
		}
	})

	// A client without the key records the proofs of one hello and replays them in the
	// next. The acceptor's nonce is new, so the old proof must be refused.
	It("refuses a proof replayed from an earlier hello", func() {
		_, _, recorded, _ := performHello(newIdentity("a", key, 1), newIdentity("b", key, 1), acceptAny)
		d, a := pipes()
		for _, frame := range recorded.sent {
			Expect(d.WriteMessage(2, frame)).To(Succeed())
		}
		_, err := newIdentity("b", key, 1).acceptHello(a)
		Expect(err).To(MatchError(ErrKey))
	})

	// A client without the key reflects the acceptor's proof as the dialler's.
	It("refuses its own proof when it is reflected", func() {
		d, a := pipes()
		go func() {
			defer GinkgoRecover()
			own, err := newIdentity("a", "unknown", 1).sendHello(d)
			Expect(err).NotTo(HaveOccurred())
			Expect(own).NotTo(BeEmpty())
			_, _, _ = d.ReadMessage()
			_, proof, _ := d.ReadMessage()
			Expect(d.WriteMessage(2, proof)).To(Succeed())
		}()
		_, err := newIdentity("b", key, 1).acceptHello(a)
		Expect(err).To(MatchError(ErrKey))
	})

	It("ends before the acceptor registers the link if the dialler already has one", func() {
		veto := func(message.Member) error { return errLinked }
		dialled, accepted, _, _ := performHello(newIdentity("a", key, 1), newIdentity("b", key, 1), veto)
		Expect(dialled.err).To(MatchError(errLinked))
		Expect(dialled.member.Name).To(Equal("b"))
		Expect(accepted.err).To(MatchError(errPipe))
	})

	It("refuses a first frame that is not a hello", func() {
		d, a := pipes()
		Expect(d.WriteMessage(2, []byte("GET /"))).To(Succeed())
		_, err := newIdentity("b", key, 1).acceptHello(a)
		Expect(err).To(MatchError(ErrMalformed))
		Expect(writeFrame(d, helloFrame{Welcome: true})).To(Succeed())
		_, err = newIdentity("b", key, 1).acceptHello(a)
		Expect(err).To(MatchError(ErrMalformed))
	})
})
