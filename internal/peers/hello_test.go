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
	// sent keeps what went out.
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

func someone(name, key string, version int) identity {
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

func agree(message.Member) error { return nil }

// shake runs a hello between two identities.
func shake(dialler, acceptor identity, veto func(message.Member) error) (dialled, accepted helloResult, d, a *pipe) {
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

	It("tells each end who the other is, and shows the key to nobody", func() {
		dialled, accepted, d, a := shake(someone("a", key, 1), someone("b", key, 1), agree)
		Expect(dialled.err).NotTo(HaveOccurred())
		Expect(accepted.err).NotTo(HaveOccurred())
		Expect(dialled.member.Name).To(Equal("b"))
		Expect(accepted.member.Name).To(Equal("a"))
		for _, frame := range append(d.sent, a.sent...) {
			Expect(string(frame)).NotTo(ContainSubstring(key))
		}
	})

	It("refuses another key at both ends", func() {
		dialled, accepted, _, _ := shake(someone("a", key, 1), someone("b", "another key, as long as the first", 1), agree)
		Expect(dialled.err).To(MatchError(ErrKey))
		Expect(accepted.err).To(MatchError(ErrKey))
	})

	// The shared key is changed entry by entry, in three rounds: all accept the new
	// one, all use it, none accepts the old one. In each round every entry must
	// link with every other, whichever of the two has gone on already.
	It("holds in each round of a change of the key", func() {
		const fresh = "another key, as long as the first"
		with := func(name, key, accepted string) identity {
			id := someone(name, key, 1)
			id.accepted = []byte(accepted)
			return id
		}
		rounds := [][2]string{{key, ""}, {key, fresh}, {fresh, key}, {fresh, ""}}
		for i := range rounds[1:] {
			before, after := rounds[i], rounds[i+1]
			for _, pair := range [][2][2]string{{before, after}, {after, before}, {after, after}} {
				dialled, accepted, _, _ := shake(with("a", pair[0][0], pair[0][1]), with("b", pair[1][0], pair[1][1]), agree)
				Expect(dialled.err).NotTo(HaveOccurred())
				Expect(accepted.err).NotTo(HaveOccurred())
			}
		}
		dialled, accepted, _, _ := shake(with("a", key, ""), with("b", fresh, ""), agree)
		Expect(dialled.err).To(MatchError(ErrKey))
		Expect(accepted.err).To(MatchError(ErrKey))
	})

	// A stranger proves itself by the empty key, and cares for no proof of the
	// other end. Settings without an accepted key must not mean this one.
	It("does not take the empty key where none is accepted", func() {
		stranger, careful := someone("a", "", 1), someone("b", key, 1)
		stranger.accepted, careful.accepted = []byte(key), []byte{}
		_, accepted, _, _ := shake(stranger, careful, agree)
		Expect(accepted.err).To(MatchError(ErrKey))
	})

	// During an upgrade an entry of the next version dials an old one. Both ends
	// must name both versions, also where the key would differ as well, so that an
	// operator does not look for a wrong key.
	It("refuses another version at both ends, and names both", func() {
		dialled, accepted, _, _ := shake(someone("a", key, 2), someone("b", "another key", 1), agree)
		Expect(dialled.err).To(MatchError(ErrVersion))
		Expect(accepted.err).To(MatchError(ErrVersion))
		for _, err := range []error{dialled.err, accepted.err} {
			Expect(err.Error()).To(And(ContainSubstring("2"), ContainSubstring("1")))
		}
	})

	// A stranger without the key records the proofs of one hello and sends them
	// again in the next. The acceptor's nonce is new, so the old proof is wrong.
	It("refuses a proof that was recorded in a former hello", func() {
		_, _, recorded, _ := shake(someone("a", key, 1), someone("b", key, 1), agree)
		d, a := pipes()
		for _, frame := range recorded.sent {
			Expect(d.WriteMessage(2, frame)).To(Succeed())
		}
		_, err := someone("b", key, 1).acceptHello(a)
		Expect(err).To(MatchError(ErrKey))
	})

	// A stranger sends the acceptor's own proof back to it as the dialler's.
	It("refuses its own proof sent back", func() {
		d, a := pipes()
		go func() {
			defer GinkgoRecover()
			own, err := someone("a", "unknown", 1).sendHello(d)
			Expect(err).NotTo(HaveOccurred())
			Expect(own).NotTo(BeEmpty())
			_, _, _ = d.ReadMessage()
			_, proof, _ := d.ReadMessage()
			Expect(d.WriteMessage(2, proof)).To(Succeed())
		}()
		_, err := someone("b", key, 1).acceptHello(a)
		Expect(err).To(MatchError(ErrKey))
	})

	It("ends before the acceptor counts the link, where the dialler has one already", func() {
		veto := func(message.Member) error { return errLinked }
		dialled, accepted, _, _ := shake(someone("a", key, 1), someone("b", key, 1), veto)
		Expect(dialled.err).To(MatchError(errLinked))
		Expect(dialled.member.Name).To(Equal("b"))
		Expect(accepted.err).To(MatchError(errPipe))
	})

	It("refuses a first frame that is no hello", func() {
		d, a := pipes()
		Expect(d.WriteMessage(2, []byte("GET /"))).To(Succeed())
		_, err := someone("b", key, 1).acceptHello(a)
		Expect(err).To(MatchError(ErrMalformed))
		Expect(writeFrame(d, helloFrame{Welcome: true})).To(Succeed())
		_, err = someone("b", key, 1).acceptHello(a)
		Expect(err).To(MatchError(ErrMalformed))
	})
})
