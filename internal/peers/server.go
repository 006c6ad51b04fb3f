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
	// linkPath is where peers open links.
	linkPath = "/v1/peer"
	// helloTimeout bounds the hello, for strangers who connect and say nothing.
	helloTimeout = 5 * time.Second
	// maxHello bounds a frame of the hello.
	maxHello = 8 << 10
	// maxConnections bounds connections, strangers' included.
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
		// Without it Close on an upgraded connection does nothing until the handler
		// returns, and the handler is a read that only Close would end.
		KeepHijackedConns: true,
		Logger:            l.options.Log,
	}
}

// accept serves one connection that a peer opened.
func (l *Links) accept(conn *websocket.Conn) {
	defer conn.Close()
	if !l.enter() {
		return
	}
	defer l.group.Done()
	limitHello(conn)
	member, err := l.identity.acceptHello(conn)
	if err != nil {
		l.refused(conn.RemoteAddr().String(), err)
		return
	}
	if member.Incarnation == l.options.Self.Incarnation {
		return
	}
	l.learn(member.PeerAddress, sourceHello)
	if l.dials(member.Incarnation) {
		l.nudge(member.PeerAddress)
		return
	}
	_ = l.hold(newLink(conn, member, l)) // logged there
}

// enter counts a connection in, unless the links are closing.
func (l *Links) enter() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.ctx.Err() != nil {
		return false
	}
	l.group.Add(1)
	return true
}

// limitHello bounds what a peer may take of us before it has proved itself.
func limitHello(conn *websocket.Conn) {
	deadline := time.Now().Add(helloTimeout)
	conn.SetReadLimit(maxHello)
	_ = conn.SetReadDeadline(deadline)  // a closed connection shows at the
	_ = conn.SetWriteDeadline(deadline) // first read or write
}

// refused logs a failed hello; a wrong version, key or certificate is an
// operator's mistake and worth a warning, a connection that just ended is not.
func (l *Links) refused(address string, err error) {
	line := l.options.Log.WithError(err).WithField("address", address)
	if errors.Is(err, ErrVersion) || errors.Is(err, ErrKey) || certificateRefused(err) {
		line.Warn("peer link refused")
		return
	}
	line.Debug("peer hello failed")
}

// opAlert is the operation of errors by which crypto/tls tells of an alert that
// the other end sent.
const opAlert = "remote error"

// certificateRefused: one of the ends does not accept the other's certificate.
func certificateRefused(err error) bool {
	var unverified *tls.CertificateVerificationError
	var op *net.OpError
	return errors.As(err, &unverified) || errors.As(err, &op) && op.Op == opAlert
}
