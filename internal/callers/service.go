package callers

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/inflight"
)

// service forwards a call of a plain service to a target of its pool.
func (s *Server) service(ctx *fasthttp.RequestCtx) {
	c, err := s.identify(ctx)
	if err != nil {
		s.refuseError(ctx, nil, err)
		return
	}
	req, f, err := s.readService(c)
	if err != nil {
		s.refuseError(ctx, c, err)
		return
	}
	s.run(c, req, f)
}

func (s *Server) readService(c *call) (request.Request, *inflight.Flight, error) {
	name, _ := c.ctx.UserValue("service").(string)
	sv := c.ix.services[name]
	if sv == nil || !c.org.services[name] {
		return request.Request{}, nil, refused(outcome.ReasonUnknownService, "the organisation has no service %q", name)
	}
	body := append([]byte(nil), c.ctx.PostBody()...)
	path := servicePath(c.ctx.Request.Header.RequestURI())
	method := string(c.ctx.Method())
	req, err := c.describe(s.cfg.Now(), name)
	if err != nil {
		return req, nil, err
	}
	req.Fingerprint = serviceFingerprint(c.org.name, name, method, path, body)
	// The header can only restrict: a method that the document does not list as
	// repeatable is never repeated.
	idempotent, err := c.idempotentHeader(true)
	if err != nil {
		return req, nil, err
	}
	req.Idempotent = idempotent && sv.repeatable[method]
	req.Kind = request.Service
	req.Pool = sv.pool
	return req, s.newFlight(c, &req, path, false, body), nil
}

// servicePath returns the part of the URI after the service's name, with the query,
// unchanged.
func servicePath(uri []byte) string {
	rest := uri[len("/v1/services/"):]
	end := bytes.IndexAny(rest, "/?")
	if end < 0 {
		return "/"
	}
	if rest[end] == '?' {
		return "/" + string(rest[end:])
	}
	return string(rest[end:])
}

// fieldsNotForwarded are header fields that belong to the connection or to this
// system, among them the caller's bearer token.
var fieldsNotForwarded = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Content-Length": true, "Te": true,
	"Trailer": true, "Upgrade": true, "Proxy-Connection": true, "Proxy-Authorization": true, "Expect": true,
	"Host": true, fasthttp.HeaderAuthorization: true, headerRequestID: true, headerTier: true,
	headerDeadline: true, headerFirstToken: true, headerIdempotent: true, "Accept-Encoding": true,
}

// forwardedFields copies the header fields that are forwarded to the target.
func forwardedFields(header *fasthttp.RequestHeader) []inflight.Field {
	var fields []inflight.Field
	for name, value := range header.All() {
		if !fieldsNotForwarded[string(name)] {
			fields = append(fields, inflight.Field{Name: string(name), Value: string(value)})
		}
	}
	return fields
}

// serviceFingerprint is a fingerprint that includes the method and the path.
func serviceFingerprint(organisation, service, method, path string, body []byte) request.Fingerprint {
	return fingerprint(organisation, service, []byte(method+" "+path+"\n"), body)
}
