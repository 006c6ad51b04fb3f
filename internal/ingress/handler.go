package ingress

import "github.com/valyala/fasthttp"

// Handler returns a handler before which its request counts as received, so that the connection does not make room
// for others while the request runs. It is for servers that read bodies themselves.
func Handler(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if conn, ok := ctx.Conn().(interface{ EndBody() }); ok {
			conn.EndBody()
		}
		handler(ctx)
	}
}
