package gateway

import (
	"errors"
	"net"
	"os"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/ingress"
)

// receiveBuffer is the memory in which the kernel holds bytes of a client that this process has not read, and
// wideBuffer that for a body, in which it counts in the account.
const (
	receiveBuffer = 64 << 10
	wideBuffer    = 256 << 10
)

// bounded returns a listener that goes on after errors that pass, and whose connections are bounded.
func (g *Gateway) bounded(name string, listener net.Listener) net.Listener {
	retrying := &ingress.RetryingListener{
		Listener: listener,
		MakeRoom: func() { g.gates.callers.MakeRoom() },
		OnError: func(err error) {
			g.counters.acceptErrors.add(name)
			g.log.Write(eventlog.Failure, eventAcceptFailed, eventlog.Fields{"listener": name, "error": err.Error(), "connections": g.gates.open()})
		},
	}
	return ingress.Listener{Listener: retrying, Gate: g.gates.byListener()[name], Limits: g.clientLimits, ReceiveBuffer: receiveBuffer, Paused: g.pauses.Since}
}

// clientLimits returns how long clients may take.
func (g *Gateway) clientLimits() ingress.Limits {
	limits := ingress.Limits{Head: defaultHeadTimeout, Idle: defaultIdleTimeout}
	if c := g.configuration.Load(); c != nil {
		if c.Limits.HeaderTimeout > 0 {
			limits.Head = c.Limits.HeaderTimeout
		}
		if c.Limits.IdleTimeout > 0 {
			limits.Idle = c.Limits.IdleTimeout
		}
	}
	limits.Head += linkAllowance
	return limits
}

// prefetchedBytes is what the HTTP library reads of a body before it calls the handler, at the least.
const prefetchedBytes = 1

// newServer returns a server whose listener bounds the connections and the time of a head. The handler reads the
// body. expect answers requests that ask whether to send it; nil: they are to send it.
func (g *Gateway) newServer(listener string, handler fasthttp.RequestHandler, expect func(*fasthttp.RequestCtx) int) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                       handler,
		ExpectHandler:                 expect,
		HeaderReceived:                g.boundFirstByte,
		ErrorHandler:                  func(ctx *fasthttp.RequestCtx, err error) { g.refuseUnreadable(listener, ctx, err) },
		Concurrency:                   g.settings.MaxDescriptors,
		ReadBufferSize:                maxHeader,
		StreamRequestBody:             true,
		MaxRequestBodySize:            prefetchedBytes,
		NoDefaultServerHeader:         true,
		NoDefaultDate:                 true,
		NoDefaultContentType:          true,
		DisableHeaderNamesNormalizing: false,
		DisablePreParseMultipartForm:  true,
		Logger:                        discardLogger{},
	}
}

// boundFirstByte gives callers as long for the first byte of a body as any request may take. The handler, which
// is called then, knows how long this caller waits.
func (g *Gateway) boundFirstByte(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	const lengthOfChunked = -1
	if length := header.ContentLength(); length != lengthOfChunked && length <= 0 {
		return fasthttp.RequestConfig{}
	}
	longest := defaultWaitLimit
	if c := g.configuration.Load(); c != nil {
		longest = max(longest, c.LongestTimeout())
	}
	return fasthttp.RequestConfig{ReadTimeout: longest}
}

// refuseUnreadable answers a request whose head can't be read. A connection without a request is closed without an
// answer, which its client might take for that to its next request.
func (g *Gateway) refuseUnreadable(listener string, ctx *fasthttp.RequestCtx, err error) {
	conn, _ := ctx.Conn().(*ingress.Conn)
	if conn != nil && conn.IsIdle() {
		conn.Abort()
		return
	}
	r := unreadableHead
	var tooLong *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &tooLong):
		r = headTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		r = headTimeout
	}
	g.closedClients.add(listener, ctx.RemoteAddr(), r.reason)
	ctx.SetStatusCode(r.status)
	ctx.SetBodyString(r.text + "\n")
	if conn != nil {
		conn.Linger()
	}
}

// expect answers a request that asks whether to send its body.
func (g *Gateway) expect(ctx *fasthttp.RequestCtx) int {
	c := g.newCall(ctx)
	if reply := c.admitHead(); reply != nil {
		c.refuse(reply)
		if c.conn != nil {
			c.conn.Linger() // the client may send the body all the same
		}
		return reply.status
	}
	g.running.Add(-1)
	return fasthttp.StatusContinue
}

// refuseBody answers a request that asks whether to send a body that nobody reads.
func refuseBody(*fasthttp.RequestCtx) int { return fasthttp.StatusExpectationFailed }

// withoutBody returns a handler of requests that have no body. It closes the connections of those that send one.
func withoutBody(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		conn, _ := ctx.Conn().(*ingress.Conn)
		if conn != nil {
			conn.EndBody()
		}
		sendsBody := ctx.RequestBodyStream() != nil && ctx.Request.Header.ContentLength() != 0
		_ = ctx.Request.CloseBodyStream() // a handler would read it to its end
		handler(ctx)
		if !sendsBody {
			return
		}
		ctx.SetConnectionClose()
		if conn != nil {
			conn.Linger()
		}
	}
}
