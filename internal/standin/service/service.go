// Package service implements the stand-in for a plain service, described in
// docs/PLATFORM.md, "Plain service". It echoes each call and records it in the
// ledger.
package service

import (
	"errors"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/standin/base"
)

const (
	headerRequestID    = "X-Request-Id"
	headerKey          = "Idempotency-Key"
	pathReady          = "/ready"
	defaultServiceMS   = 5
	defaultConcurrency = 64
)

// Params configures a service.
type Params struct {
	base.Common
	// ServiceMS is the duration of a call; 0 means 5 ms.
	ServiceMS float64 `json:"service_ms"`
	// Concurrency bounds the number of concurrent calls; 0 means 64.
	Concurrency int `json:"concurrency"`
}

// Validate returns all errors in the parameters, joined.
func (p Params) Validate() error {
	var err error
	if p.ServiceMS < 0 || p.Concurrency < 0 {
		err = errors.New("service_ms and concurrency must not be negative")
	}
	return errors.Join(err, p.Faults.Validate())
}

// Echo is the answer to every call.
type Echo struct {
	ID     string `json:"id"`
	Key    string `json:"key"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Query  string `json:"query"`
	Body   string `json:"body"`
}

// Server is a running service.
type Server struct {
	*base.Host
	params  Params
	mu      sync.Mutex
	running int
}

// Start starts a service on an address.
func Start(address string, params Params) (*Server, error) {
	if err := params.Validate(); err != nil {
		return nil, err
	}
	if params.ServiceMS == 0 {
		params.ServiceMS = defaultServiceMS
	}
	if params.Concurrency == 0 {
		params.Concurrency = defaultConcurrency
	}
	s := &Server{params: params}
	s.Host = base.New(params.Common, base.Behaviour{Handle: s.handle})
	return s, s.Host.Start(address)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	f := s.Faults()
	if string(ctx.Path()) == pathReady {
		base.AnswerReady(ctx, f)
		return
	}
	if !s.Admits(ctx) {
		return
	}
	if !s.acquire() {
		base.NotAdmitted(ctx, base.NotAdmittedFull)
		return
	}
	defer s.release()
	s.run(ctx, f)
}

func (s *Server) run(ctx *fasthttp.RequestCtx, f base.Faults) {
	header := &ctx.Request.Header
	id := string(header.Peek(headerRequestID))
	ticket, begun := s.Ledger().Begin(ctx, id)
	if !begun {
		base.DropConnection(ctx)
		return
	}
	if !s.Pause(time.Duration(s.params.ServiceMS * f.Slowdown() * float64(time.Millisecond))) {
		return
	}
	if f.CrashesOn(ctx.PostBody()) {
		s.Crash()
		return
	}
	s.Ledger().End(ticket, func(run *base.Run) { run.Complete = true })
	ctx.Response.Header.Set(headerRequestID, id)
	base.JSON(ctx, fasthttp.StatusOK, Echo{
		ID:     id,
		Key:    string(header.Peek(headerKey)),
		Method: string(ctx.Method()),
		Path:   string(ctx.Path()),
		Query:  string(ctx.QueryArgs().QueryString()),
		Body:   string(ctx.PostBody()),
	})
}

func (s *Server) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.params.Concurrency {
		return false
	}
	s.running++
	return true
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
