package peers

import (
	"crypto/tls"
	"errors"
	"net"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/valyala/fasthttp"
)

const (
	// linkPath is the path at which peers open links.
	linkPath = "/v1/peer"
	// helloTimeout bounds the hello, so that unauthenticated clients cannot hold idle
	// connections.
	helloTimeout = 5 * time.Second
	// maxHello bounds the bytes of one frame of the hello.
	maxHello = 8 << 10
	// maxConnections bounds the connections, including unauthenticated ones.
	maxConnections = 4096
	bufferSize     = 4 << 10
)

func newServer(l *Links) *fasthttp.Server {
	upgrader := websocket.FastHTTPUpgrader{
		HandshakeTimeout: helloTimeout,
		ReadBufferSize:   bufferSize,
		WriteBufferSize:  bufferSize,
	}
	handler := func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != linkPath {
			ctx.Error("not found", fasthttp.StatusNotFound)
			return
		}
		if err := upgrader.Upgrade(ctx, l.accept); err != nil {
			l.options.Log.WithError(err).Debug("not a WebSocket")
		}
	}
	return &fasthttp.Server{
		Name:               "sycamoretrail",
		Handler:            handler,
		Concurrency:        maxConnections,
		ReadTimeout:        helloTimeout,
		MaxRequestBodySize: maxHello,
		CloseOnShutdown:    true,
		// Without it, Close on an upgraded connection has no effect until the handler
		// returns, but the handler blocks in a read that only Close ends.
		KeepHijackedConns: true,
		Logger:            l.options.Log,
	}
}

// accept serves a connection opened by a peer.
func (l *Links) accept(conn *websocket.Conn) {
	defer conn.Close()
	if !l.trackConnection() {
		return
	}
	defer l.group.Done()
	limitHandshake(conn)
	member, err := l.identity.acceptHello(conn)
	if err != nil {
		l.logFailedHello(conn.RemoteAddr().String(), err)
		return
	}
	if member.Incarnation == l.options.Self.Incarnation {
		return
	}
	l.addAddress(member.PeerAddress, sourceHello)
	if l.dials(member.Incarnation) {
		l.wakeAddress(member.PeerAddress)
		return
	}
	_ = l.serve(newLink(conn, member, l)) // logged there
}

// trackConnection adds a connection to the wait group, unless the links are being closed.
func (l *Links) trackConnection() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.ctx.Err() != nil {
		return false
	}
	l.group.Add(1)
	return true
}

// limitHandshake limits the size and the time of a hello with a peer that is not
// authenticated yet.
func limitHandshake(conn *websocket.Conn) {
	deadline := time.Now().Add(helloTimeout)
	conn.SetReadLimit(maxHello)
	_ = conn.SetReadDeadline(deadline)  // a closed connection shows at the
	_ = conn.SetWriteDeadline(deadline) // first read or write
}

// logFailedHello logs a failed hello. A wrong version, key or certificate is an operator's
// mistake and gets a warning, unlike a connection that merely ended.
func (l *Links) logFailedHello(address string, err error) {
	line := l.options.Log.WithError(err).WithField("address", address)
	if errors.Is(err, ErrVersion) || errors.Is(err, ErrKey) || certificateRefused(err) {
		line.Warn("peer link refused")
		return
	}
	line.Debug("peer hello failed")
}

// opAlert is the Op of the net.OpError with which crypto/tls reports an alert from the
// other end.
const opAlert = "remote error"

// certificateRefused reports whether one of the ends rejected the other's certificate.
func certificateRefused(err error) bool {
	var unverified *tls.CertificateVerificationError
	var op *net.OpError
	return errors.As(err, &unverified) || errors.As(err, &op) && op.Op == opAlert
}
