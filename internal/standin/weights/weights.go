// Package weights is the stand-in for the weight store: docs/PLATFORM.md,
// "Weight store".
package weights

import (
	"errors"

	"github.com/cespare/xxhash/v2"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/standin/base"
)

const (
	defaultBytes = 64 << 10
	maxBytes     = 16 << 20
	// defaultRate is in fetches a second.
	defaultRate = 2
)

// Params configure a store. The rate is faults.rate; 0 at the start means 2
// fetches a second.
type Params struct {
	base.Common
	// Bytes is the size of every set of weights; 0: 64 KiB.
	Bytes int `json:"bytes"`
}

// Validate lists every fault of the parameters, joined.
func (p Params) Validate() error {
	var fault error
	if p.Bytes < 0 || p.Bytes > maxBytes {
		fault = errors.New("bytes must lie between 0 and 16 MiB")
	}
	return errors.Join(fault, p.Faults.Validate())
}

// Server is a running store.
type Server struct {
	*base.Host
	bytes int
}

// Start serves a store on an address.
func Start(address string, params Params) (*Server, error) {
	if err := params.Validate(); err != nil {
		return nil, err
	}
	if params.Bytes == 0 {
		params.Bytes = defaultBytes
	}
	if params.Faults.Rate == 0 {
		params.Faults.Rate = defaultRate
	}
	s := &Server{bytes: params.Bytes}
	r := router.New()
	r.GET("/weights/{model}/{version}", s.handleFetch)
	s.Host = base.New(params.Common, base.Behaviour{Handle: r.Handler})
	return s, s.Host.Start(address)
}

func (s *Server) handleFetch(ctx *fasthttp.RequestCtx) {
	if !s.TakeRate(ctx) {
		return
	}
	name := base.PathValue(ctx, "model") + "/" + base.PathValue(ctx, "version")
	ticket, begun := s.Ledger().Begin(ctx, name)
	if !begun {
		base.DropConnection(ctx)
		return
	}
	ctx.SetContentType("application/octet-stream")
	ctx.SetBody(content(name, s.bytes))
	s.Ledger().End(ticket, func(run *base.Run) { run.Complete = true })
}

// content is the same for the same name, and differs between names.
func content(name string, size int) []byte {
	seed := xxhash.Sum64String(name)
	data := make([]byte, size)
	for i := range data {
		data[i] = byte(seed >> (8 * (i % 8)))
	}
	return data
}
