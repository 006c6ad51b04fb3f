package peers

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/fasthttp/websocket"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
)

const testKey = "0123456789abcdef0123456789abcdef"

// node is one entry's links and what they delivered.
type node struct {
	*Links
	address string

	mutex  sync.Mutex
	inputs []entry.Input
}

func (n *node) take(in entry.Input) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.inputs = append(n.inputs, in)
}

func (n *node) seen() []entry.Input {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return append([]entry.Input(nil), n.inputs...)
}

func (n *node) up(other *node) entry.Input { return entry.PeerUp{Member: other.options.Self} }

func (n *node) down(other *node, refused bool) entry.Input {
	return entry.PeerDown{Incarnation: other.options.Self.Incarnation, Refused: refused}
}

func (n *node) linkTo(other *node) *link {
	n.Links.mutex.RLock()
	defer n.Links.mutex.RUnlock()
	return n.links[other.options.Self.Incarnation]
}

// listenAt opens an address; "" chooses one on a loopback address that only this
// process uses. On the common one a port that a spec gives back may be taken by a
// server of another test, which would answer where the spec wants a refusal.
func listenAt(address string) net.Listener {
	if address == "" {
		pid := os.Getpid()
		address = fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>16%254, pid>>8%256, 1+pid%254)
	}
	listener, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	return listener
}

// begin starts a node on a listener and ends it after the test.
func begin(incarnation string, listener net.Listener, change func(*Options)) *node {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &node{address: listener.Addr().String()}
	options := Options{
		Self:    message.Member{Name: incarnation, Incarnation: ident.Incarnation(incarnation), PeerAddress: n.address},
		Key:     []byte(testKey),
		Deliver: n.take,
		Log:     log,
	}
	if change != nil {
		change(&options)
	}
	n.Links = New(options)
	n.Start(listener)
	DeferCleanup(n.Close)
	return n
}

func seeds(addresses ...string) func(*Options) {
	return func(o *Options) { o.Seeds = addresses }
}

var _ = Describe("links", func() {
	It("stand once for each pair, whoever knew the other's address", func() {
		for _, names := range [][2]string{{"1", "2"}, {"2", "1"}} {
			known := begin(names[0], listenAt(""), nil)
			knows := begin(names[1], listenAt(""), seeds(known.address, "127.0.0.1:1"))
			Eventually(known.seen).Should(Equal([]entry.Input{known.up(knows)}))
			Eventually(knows.seen).Should(Equal([]entry.Input{knows.up(known)}))
			Expect(known.Stats().Links).To(Equal(1))
			Expect(knows.Stats().Links).To(Equal(1))
		}
	})

	It("carry messages both ways, in order, and count them", func() {
		a := begin("1", listenAt(""), nil)
		b := begin("2", listenAt(""), seeds(a.address))
		Eventually(a.seen).Should(HaveLen(1))
		Eventually(b.seen).Should(HaveLen(1))
		var want []entry.Input
		for _, m := range everyMessage() {
			a.Send("2", m)
			b.Send("1", m)
			want = append(want, entry.FromPeer{From: "1", Message: m})
		}
		a.Send("nobody", message.DocumentAsk{})
		Eventually(b.seen).Should(Equal(append([]entry.Input{b.up(a)}, want...)))
		Eventually(a.seen).Should(HaveLen(1 + len(want)))
		Eventually(func() int64 { return a.Stats().ReceivedBytes }).Should(Equal(b.Stats().SentBytes))
		sent, received := a.Stats(), b.Stats()
		Expect(sent.NoLink).To(Equal(int64(1)))
		for i, kind := range sent.Kinds {
			Expect(kind.Sent).To(Equal(int64(1)), kind.Kind.String())
			Expect(received.Kinds[i].RBytes).To(Equal(kind.SentBytes), kind.Kind.String())
		}
	})

	// A connection between two entries that live on is cut. Both cores hear
	// PeerDown, without Refused since nobody knows that a process is gone, and
	// PeerUp once the end with the smaller incarnation has dialled again.
	It("come back after a cut", func() {
		a := begin("1", listenAt(""), nil)
		b := begin("2", listenAt(""), seeds(a.address))
		Eventually(b.seen).Should(HaveLen(1))
		Eventually(a.seen).Should(HaveLen(1))
		Expect(a.linkTo(b).conn.UnderlyingConn().Close()).To(Succeed())
		Eventually(a.seen).Should(Equal([]entry.Input{a.up(b), a.down(b, false), a.up(b)}))
		Eventually(b.seen).Should(Equal([]entry.Input{b.up(a), b.down(a, false), b.up(a)}))
	})

	// An entry process ends and its address refuses connections. Each end of the
	// pair must learn that it is gone, also the one that never dials, or requests
	// of the dead owner would be asked about until the silence limit.
	DescribeTable("report a process that is gone", func(dies, stays string) {
		gone := begin(dies, listenAt(""), nil)
		left := begin(stays, listenAt(""), seeds(gone.address))
		Eventually(left.seen).Should(HaveLen(1))
		Eventually(gone.seen).Should(HaveLen(1))
		gone.Close()
		Eventually(left.seen).Should(Equal([]entry.Input{left.up(gone), left.down(gone, false), left.down(gone, true)}))
	},
		Entry("to the end that dials", "2", "1"),
		Entry("to the end that is dialled", "1", "2"),
	)

	// An instance is replaced by one with the same address. The new process is
	// another incarnation, so the former one is reported as gone before PeerUp.
	It("report a process whose address answers as another incarnation", func() {
		former := begin("2", listenAt(""), nil)
		left := begin("1", listenAt(""), seeds(former.address))
		Eventually(left.seen).Should(HaveLen(1))
		former.Close()
		successor := begin("3", listenAt(former.address), nil)
		Eventually(left.seen).Should(ContainElement(left.up(successor)))
		Expect(left.seen()).To(Equal([]entry.Input{
			left.up(former), left.down(former, false), left.down(former, true), left.up(successor),
		}))
	})

	// A peer's machine vanishes: no FIN, no RST, only silence. Without a bound on
	// silence the core would believe in the link until TCP gives up, many minutes.
	It("end when a peer falls silent", func() {
		a := begin("2", listenAt(""), func(o *Options) { o.IdleTimeout = 50 * time.Millisecond })
		conn, _, err := (&websocket.Dialer{}).Dial("ws://"+a.address+linkPath, nil)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		silent := identity{version: message.Version, key: []byte(testKey), self: message.Member{Incarnation: "1"}}
		_, err = silent.dialHello(conn, agree)
		Expect(err).NotTo(HaveOccurred())
		Eventually(a.seen).Should(Equal([]entry.Input{
			entry.PeerUp{Member: silent.self}, entry.PeerDown{Incarnation: "1"},
		}))
	})

	// The dialler lost its side of a connection that the acceptor still holds, and
	// comes again. The new link must take over, with PeerDown of the old before
	// PeerUp of the new, or the core would end with the wrong one.
	It("replace a half-open link by the new one", func() {
		a := begin("2", listenAt(""), nil)
		peer := identity{version: message.Version, key: []byte(testKey), self: message.Member{Incarnation: "1"}}
		for range 2 {
			conn, _, err := (&websocket.Dialer{}).Dial("ws://"+a.address+linkPath, nil)
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_, err = peer.dialHello(conn, agree)
			Expect(err).NotTo(HaveOccurred())
		}
		up, down := entry.PeerUp{Member: peer.self}, entry.PeerDown{Incarnation: "1"}
		Eventually(a.seen).Should(Equal([]entry.Input{up, down, up}))
	})

	It("do not come about with another key or version", func() {
		a := begin("2", listenAt(""), nil)
		for _, other := range []identity{
			{version: message.Version, key: []byte("another"), self: message.Member{Incarnation: "1"}},
			{version: message.Version + 1, key: []byte(testKey), self: message.Member{Incarnation: "1"}},
		} {
			conn, _, err := (&websocket.Dialer{}).Dial("ws://"+a.address+linkPath, nil)
			Expect(err).NotTo(HaveOccurred())
			_, err = other.dialHello(conn, agree)
			Expect(err).To(Or(MatchError(ErrKey), MatchError(ErrVersion)))
			conn.Close()
		}
		Expect(a.seen()).To(BeEmpty())
	})

	// The instance list names a peer under an address other than its own, so two
	// addresses lead to one process. A second link would replace the first, then
	// the first the second, without end.
	It("keep one link where two addresses lead to one peer", func() {
		inner := listenAt("")
		alias := listenAt("")
		b := begin("2", inner, nil)
		tried := make(chan struct{}, 64)
		go forward(alias, b.address, tried)
		DeferCleanup(alias.Close)
		a := begin("1", listenAt(""), seeds(b.address))
		Eventually(a.seen).Should(HaveLen(1))
		a.Listed([]string{alias.Addr().String(), a.address})
		Eventually(tried).Should(Receive(), "the alias was dialled and given up")
		Expect(a.seen()).To(Equal([]entry.Input{a.up(b)}))
		Expect(b.seen()).To(Equal([]entry.Input{b.up(a)}))
	})
})

// forward joins connections to an address, as an address translation would, and
// tells of each that the side which opened it has closed.
func forward(listener net.Listener, address string, closed chan<- struct{}) {
	for {
		from, err := listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", address)
		if err != nil {
			from.Close()
			return
		}
		go func() {
			_, _ = io.Copy(from, to)
			from.Close()
		}()
		go func() {
			_, _ = io.Copy(to, from)
			to.Close()
			closed <- struct{}{}
		}()
	}
}
