// Package weights implements the stand-in for the weight store, described in
// docs/PLATFORM.md, "Weight store".
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
	// defaultRate is in fetches per second.
	defaultRate = 2
)

// Params configures a store. The rate is set by faults.rate; an initial rate of 0
// means 2 fetches per second.
type Params struct {
	base.Common
	// Bytes is the size of every set of weights; 0 means 64 KiB.
	Bytes int `json:"bytes"`
}

// Validate returns all errors in the parameters, joined.
func (p Params) Validate() error {
	var err error
	if p.Bytes < 0 || p.Bytes > maxBytes {
		err = errors.New("bytes must lie between 0 and 16 MiB")
	}
	return errors.Join(err, p.Faults.Validate())
}

// Server is a running store.
type Server struct {
	*base.Host
	bytes int
}

// Start starts a store that serves on an address.
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

// content returns bytes that depend only on name and size. Different names have
// different content.
func content(name string, size int) []byte {
	seed := xxhash.Sum64String(name)
	data := make([]byte, size)
	for i := range data {
		data[i] = byte(seed >> (8 * (i % 8)))
	}
	return data
}
