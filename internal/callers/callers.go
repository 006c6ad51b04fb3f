// Package callers is the HTTP interface towards callers. It checks what a
// caller brings against the document in force, hands the request to the core,
// and passes the answer on as it arrives. What the core never got is refused
// as "not run" here; every other end comes from the core or the target.
package callers

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/fasthttp/router"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/flight"
)

// Core takes the inputs of the entry's state machine.
type Core interface {
	// Submit hands an input over; false when the ring is full.
	Submit(entry.Input) bool
}

// Follower reads streams that stand at a target; see targets.Targets.Follow.
type Follower interface {
	Follow(f *flight.Flight, at flight.Target, ended func(message.Result)) bool
}

// Observation is what one answered request gave to measure.
type Observation struct {
	// ID is empty where the request was refused before it had one.
	ID ident.RequestID
	// Refused: the edge refused it, and the core never got it.
	Refused      bool
	Organisation string
	Tier         string
	Model        string
	Status       outcome.Status
	// FirstByte is the time to the first chunk, zero if none came; Total the
	// time to the end of the answer.
	FirstByte, Total time.Duration
}

// Config is what the edge is started with. Zero fields get defaults.
type Config struct {
	Core Core
	// View returns the core's latest view; never nil.
	View    func() *entry.View
	Flights *flight.Registry
	// Rereads holds streams that other entries dispatched and that are read
	// here by token, apart from the flights that the core knows.
	Rereads  *flight.Registry
	Follower Follower
	// TokenKey signs stream tokens; the same at every entry.
	TokenKey []byte
	// AcceptedTokenKey is a second key of tokens that are read; nil: none.
	AcceptedTokenKey []byte
	// TokenLife is how long a stream token is good.
	TokenLife time.Duration
	// MaxHeaderBytes is the most that any document can allow.
	MaxHeaderBytes int
	// ReadTimeout bounds the reading of a request, WriteTimeout one write to a
	// caller, IdleTimeout a kept connection's silence.
	ReadTimeout, WriteTimeout, IdleTimeout time.Duration
	// LookEvery is how often a waiting caller's connection is looked at.
	LookEvery time.Duration
	// Grace is added to a deadline before the edge stops waiting for the core.
	Grace time.Duration
	// Metrics answers /metrics; nil: 404.
	Metrics fasthttp.RequestHandler
	// Observe is told of each request that was answered or refused, with what was
	// known of it; may be nil.
	Observe func(Observation)
	// Arrived is told of each request that is handed to the core, with its path
	// and the name of its tier, and must not wait; may be nil.
	Arrived func(req *request.Request, tier, method, path string)
	Log     *logrus.Logger
	// Now is the clock; time.Now when nil.
	Now func() time.Time

	// tokenKeys are the keys of tokens that are read.
	tokenKeys [][]byte
}

func (c *Config) setDefaults() {
	setDefault(&c.TokenLife, time.Hour)
	setDefault(&c.MaxHeaderBytes, 16<<10)
	setDefault(&c.ReadTimeout, 10*time.Second)
	setDefault(&c.WriteTimeout, 10*time.Second)
	setDefault(&c.IdleTimeout, time.Minute)
	setDefault(&c.LookEvery, 200*time.Millisecond)
	setDefault(&c.Grace, 5*time.Second)
	c.tokenKeys = [][]byte{c.TokenKey}
	if len(c.AcceptedTokenKey) > 0 {
		c.tokenKeys = append(c.tokenKeys, c.AcceptedTokenKey)
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	if c.Arrived == nil {
		c.Arrived = func(*request.Request, string, string, string) {}
	}
	if c.Observe == nil {
		c.Observe = func(Observation) {}
	}
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Server is the edge.
type Server struct {
	cfg   Config
	http  *fasthttp.Server
	index atomic.Pointer[index]
	// answers counts the answers to "which entry", to spread callers.
	answers atomic.Uint32
	// answering counts what a drain waits for.
	answering answering
}

// streamsPath is where answers are read again, by token.
const streamsPath = "/v1/streams/"

// New readies a server; Serve runs it.
func New(cfg Config) *Server {
	cfg.setDefaults()
	s := &Server{cfg: cfg, answering: answering{core: cfg.Core, view: cfg.View}}
	s.http = &fasthttp.Server{
		Handler:               s.routes(),
		ErrorHandler:          s.unreadable,
		HeaderReceived:        s.bounds,
		ConnState:             s.answering.left,
		ReadBufferSize:        cfg.MaxHeaderBytes,
		ReadTimeout:           cfg.ReadTimeout,
		WriteTimeout:          cfg.WriteTimeout,
		IdleTimeout:           cfg.IdleTimeout,
		TCPKeepalive:          true,
		NoDefaultServerHeader: true,
		NoDefaultContentType:  true,
		ReduceMemoryUsage:     true,
		CloseOnShutdown:       true,
		Concurrency:           maxConnections,
		Logger:                cfg.Log,

		DisablePreParseMultipartForm: true,
	}
	return s
}

// maxConnections is the most that any document can allow.
const maxConnections = 1 << 17

// Serve answers callers on a listener until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	done := make(chan struct{})
	defer close(done)
	go s.answering.report(done)
	return s.http.Serve(&limitedListener{Listener: ln, server: s})
}

// Shutdown stops listening and waits for the connections to end.
func (s *Server) Shutdown() error { return s.http.Shutdown() }

func (s *Server) routes() fasthttp.RequestHandler {
	r := router.New()
	r.HandleMethodNotAllowed = false
	r.RedirectTrailingSlash = false
	r.RedirectFixedPath = false
	r.GET("/healthz", func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusOK) })
	r.GET("/readyz", s.readyz)
	r.GET("/v1/entries", s.entries)
	r.POST("/v1/chat/completions", s.completion)
	r.POST("/v1/completions", s.completion)
	r.GET(streamsPath+"{token}", s.reread)
	r.ANY(streamsPath+"{token}", s.notReread)
	r.ANY("/v1/services/{service}", s.service)
	r.ANY("/v1/services/{service}/{path:*}", s.service)
	if s.cfg.Metrics != nil {
		r.GET("/metrics", s.cfg.Metrics)
	}
	r.NotFound = func(ctx *fasthttp.RequestCtx) {
		s.refuse(ctx, fasthttp.StatusNotFound, "", outcome.Refused(outcome.ReasonMalformed, 0, "no such call"))
	}
	return r.Handler
}

// bounds sets the limits of a request as soon as its header is read.
func (s *Server) bounds(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	return fasthttp.RequestConfig{MaxRequestBodySize: s.limits().BodyBytes}
}

// defaultLimits hold until there is a document.
var defaultLimits = document.Limits{BodyBytes: 1 << 20, HeaderBytes: 8 << 10, Connections: 1024, StreamBytes: 1 << 20}

// limits returns the limits in force.
func (s *Server) limits() *document.Limits {
	if doc := s.cfg.View().Document; doc != nil {
		return &doc.Limits
	}
	return &defaultLimits
}

// unreadable answers a request that could not be read.
func (s *Server) unreadable(ctx *fasthttp.RequestCtx, err error) {
	linger(ctx.Conn())
	code, status := unreadableStatus(err)
	s.refuse(ctx, code, "", status)
}

func (s *Server) readyz(ctx *fasthttp.RequestCtx) {
	view := s.cfg.View()
	if view.State != message.Ready {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
	ctx.SetContentType(jsonType)
	ctx.SetBodyString(`{"state":"` + view.State.String() + `"}`)
}
