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

// node is one entry's links and the inputs that they delivered.
type node struct {
	*Links
	address string

	mutex  sync.Mutex
	inputs []entry.Input
}

func (n *node) deliver(in entry.Input) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.inputs = append(n.inputs, in)
}

func (n *node) delivered() []entry.Input {
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

// listenAt listens at an address. "" selects a port on a loopback address that only this
// process uses. On 127.0.0.1 a server of another test could take a port that a spec has
// released, and would answer where the spec expects a refused connection.
func listenAt(address string) net.Listener {
	if address == "" {
		pid := os.Getpid()
		address = fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>16%254, pid>>8%256, 1+pid%254)
	}
	listener, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	return listener
}

// startNode starts a node on a listener and closes it after the test.
func startNode(incarnation string, listener net.Listener, change func(*Options)) *node {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &node{address: listener.Addr().String()}
	options := Options{
		Self:    message.Member{Name: incarnation, Incarnation: ident.Incarnation(incarnation), PeerAddress: n.address},
		Key:     []byte(testKey),
		Deliver: n.deliver,
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
	It("are established once for each pair, whichever end has the other's address", func() {
		for _, names := range [][2]string{{"1", "2"}, {"2", "1"}} {
			dialled := startNode(names[0], listenAt(""), nil)
			dialler := startNode(names[1], listenAt(""), seeds(dialled.address, "127.0.0.1:1"))
			Eventually(dialled.delivered).Should(Equal([]entry.Input{dialled.up(dialler)}))
			Eventually(dialler.delivered).Should(Equal([]entry.Input{dialler.up(dialled)}))
			Expect(dialled.Stats().Links).To(Equal(1))
			Expect(dialler.Stats().Links).To(Equal(1))
		}
	})

	It("carry messages both ways in order, and count them", func() {
		a := startNode("1", listenAt(""), nil)
		b := startNode("2", listenAt(""), seeds(a.address))
		Eventually(a.delivered).Should(HaveLen(1))
		Eventually(b.delivered).Should(HaveLen(1))
		var want []entry.Input
		for _, m := range oneOfEachType() {
			a.Send("2", m)
			b.Send("1", m)
			want = append(want, entry.FromPeer{From: "1", Message: m})
		}
		a.Send("nobody", message.DocumentRequest{})
		Eventually(b.delivered).Should(Equal(append([]entry.Input{b.up(a)}, want...)))
		Eventually(a.delivered).Should(HaveLen(1 + len(want)))
		Eventually(func() int64 { return a.Stats().ReceivedBytes }).Should(Equal(b.Stats().SentBytes))
		sent, received := a.Stats(), b.Stats()
		Expect(sent.NoLink).To(Equal(int64(1)))
		for i, kind := range sent.Kinds {
			Expect(kind.Sent).To(Equal(int64(1)), kind.Kind.String())
			Expect(received.Kinds[i].ReceivedBytes).To(Equal(kind.SentBytes), kind.Kind.String())
		}
	})

	// The connection between two running entries breaks. Both cores must get PeerDown,
	// without Refused since no process is known to have terminated, and PeerUp once the
	// end with the smaller incarnation has dialled again.
	It("are established again after the connection breaks", func() {
		a := startNode("1", listenAt(""), nil)
		b := startNode("2", listenAt(""), seeds(a.address))
		Eventually(b.delivered).Should(HaveLen(1))
		Eventually(a.delivered).Should(HaveLen(1))
		Expect(a.linkTo(b).conn.UnderlyingConn().Close()).To(Succeed())
		Eventually(a.delivered).Should(Equal([]entry.Input{a.up(b), a.down(b, false), a.up(b)}))
		Eventually(b.delivered).Should(Equal([]entry.Input{b.up(a), b.down(a, false), b.up(a)}))
	})

	// An entry process ends and its address refuses connections. The remaining end must
	// detect this even if it is not the one that opens links. Otherwise the owner of
	// requests that has terminated would be queried until the failure-detection timeout.
	DescribeTable("report a terminated process", func(ending, staying string) {
		ended := startNode(ending, listenAt(""), nil)
		remaining := startNode(staying, listenAt(""), seeds(ended.address))
		Eventually(remaining.delivered).Should(HaveLen(1))
		Eventually(ended.delivered).Should(HaveLen(1))
		ended.Close()
		Eventually(remaining.delivered).Should(Equal([]entry.Input{remaining.up(ended), remaining.down(ended, false), remaining.down(ended, true)}))
	},
		Entry("to the dialling end", "2", "1"),
		Entry("to the accepting end", "1", "2"),
	)

	// An instance is replaced by one with the same address. The new process is another
	// incarnation, so the previous one must be reported as terminated before PeerUp.
	It("report a process whose address now belongs to another incarnation", func() {
		previous := startNode("2", listenAt(""), nil)
		remaining := startNode("1", listenAt(""), seeds(previous.address))
		Eventually(remaining.delivered).Should(HaveLen(1))
		previous.Close()
		successor := startNode("3", listenAt(previous.address), nil)
		Eventually(remaining.delivered).Should(ContainElement(remaining.up(successor)))
		Expect(remaining.delivered()).To(Equal([]entry.Input{
			remaining.up(previous), remaining.down(previous, false), remaining.down(previous, true), remaining.up(successor),
		}))
	})

	// A peer's machine disappears without a FIN or an RST. Without an idle timeout the
	// core would consider the link up until TCP gives up, after many minutes.
	It("end when a peer stops sending", func() {
		a := startNode("2", listenAt(""), func(o *Options) { o.IdleTimeout = 50 * time.Millisecond })
		conn, _, err := (&websocket.Dialer{}).Dial("ws://"+a.address+linkPath, nil)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		silent := identity{version: message.Version, key: []byte(testKey), self: message.Member{Incarnation: "1"}}
		_, err = silent.dialHello(conn, acceptAny)
		Expect(err).NotTo(HaveOccurred())
		Eventually(a.delivered).Should(Equal([]entry.Input{
			entry.PeerUp{Member: silent.self}, entry.PeerDown{Incarnation: "1"},
		}))
	})

	// The dialler lost its side of a connection that the acceptor still holds, and dials
	// again. The new link must replace the old one, with PeerDown of the old link before
	// PeerUp of the new one, or the core would be left with the wrong link.
	It("replace a half-open link with the new one", func() {
		a := startNode("2", listenAt(""), nil)
		peer := identity{version: message.Version, key: []byte(testKey), self: message.Member{Incarnation: "1"}}
		for range 2 {
			conn, _, err := (&websocket.Dialer{}).Dial("ws://"+a.address+linkPath, nil)
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_, err = peer.dialHello(conn, acceptAny)
			Expect(err).NotTo(HaveOccurred())
		}
		up, down := entry.PeerUp{Member: peer.self}, entry.PeerDown{Incarnation: "1"}
		Eventually(a.delivered).Should(Equal([]entry.Input{up, down, up}))
	})

	It("are not established with another key or version", func() {
		a := startNode("2", listenAt(""), nil)
		for _, other := range []identity{
			{version: message.Version, key: []byte("another"), self: message.Member{Incarnation: "1"}},
			{version: message.Version + 1, key: []byte(testKey), self: message.Member{Incarnation: "1"}},
		} {
			conn, _, err := (&websocket.Dialer{}).Dial("ws://"+a.address+linkPath, nil)
			Expect(err).NotTo(HaveOccurred())
			_, err = other.dialHello(conn, acceptAny)
			Expect(err).To(Or(MatchError(ErrKey), MatchError(ErrVersion)))
			conn.Close()
		}
		Expect(a.delivered()).To(BeEmpty())
	})

	// The instance list has a peer under an address other than its own, so that two
	// addresses lead to one process. A second link would replace the first, then the
	// first the second, and so on.
	It("keep one link if two addresses lead to one peer", func() {
		inner := listenAt("")
		alias := listenAt("")
		b := startNode("2", inner, nil)
		tried := make(chan struct{}, 64)
		go forward(alias, b.address, tried)
		DeferCleanup(alias.Close)
		a := startNode("1", listenAt(""), seeds(b.address))
		Eventually(a.delivered).Should(HaveLen(1))
		a.SetListed([]string{alias.Addr().String(), a.address})
		Eventually(tried).Should(Receive(), "the alias was dialled and abandoned")
		Expect(a.delivered()).To(Equal([]entry.Input{a.up(b)}))
		Expect(b.delivered()).To(Equal([]entry.Input{b.up(a)}))
	})
})

// forward proxies connections to an address, as network address translation would. It
// signals for each connection when the side that opened it has closed it.
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
