// Package callers is the HTTP interface towards callers. It validates each
// request against the document in force, submits it to the core, and forwards
// the answer as it arrives. Requests that are never submitted to the core are
// refused as "not run" here; every other outcome comes from the core or the
// target.
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
	"sycamoretrail/internal/inflight"
	"sycamoretrail/internal/ingress"
)

// Core accepts the inputs of the entry's state machine.
type Core interface {
	// Submit queues an input; it returns false when the ring is full.
	Submit(entry.Input) bool
}

// Follower reads streams that a target holds; see targets.Targets.Follow.
type Follower interface {
	Follow(f *inflight.Flight, at inflight.Target, ended func(message.Result)) bool
}

// Observation holds the measurements of one answered or refused request.
type Observation struct {
	// ID is empty if the request was refused before it had one.
	ID ident.RequestID
	// Refused reports that the edge refused the request without submitting it
	// to the core.
	Refused      bool
	Organisation string
	Tier         string
	Model        string
	Status       outcome.Status
	// FirstByte is the time to the first chunk, zero if there was none. Total is
	// the time to the end of the answer.
	FirstByte, Total time.Duration
}

// Config configures a Server. Zero fields get defaults.
type Config struct {
	Core Core
	// View returns the core's latest view; never nil.
	View    func() *entry.View
	Flights *inflight.Registry
	// Rereads holds streams that other entries dispatched and that are read
	// here by token. They are separate from the flights of the core's requests.
	Rereads  *inflight.Registry
	Follower Follower
	// TokenKey signs stream tokens. It is the same at every entry.
	TokenKey []byte
	// AcceptedTokenKey is a second key whose tokens are accepted; nil means none.
	AcceptedTokenKey []byte
	// TokenLife is how long a stream token is valid.
	TokenLife time.Duration
	// MaxHeaderBytes is the largest header limit that a document can set.
	MaxHeaderBytes int
	// ReadTimeout bounds reading one request, WriteTimeout one write to a
	// caller, and IdleTimeout the idle time of a keep-alive connection.
	ReadTimeout, WriteTimeout, IdleTimeout time.Duration
	// PollInterval is how often a waiting caller's connection is checked.
	PollInterval time.Duration
	// Grace is added to a deadline before the edge stops waiting for the core.
	Grace time.Duration
	// Metrics handles /metrics; nil means 404.
	Metrics fasthttp.RequestHandler
	// Observe is called for each request that was answered or refused; may be nil.
	Observe func(Observation)
	// Arrived is called for each request that is submitted to the core, with the
	// name of its tier, its method and its path. It must not block; may be nil.
	Arrived func(req *request.Request, tier, method, path string)
	Log     *logrus.Logger
	// Now is the clock; time.Now when nil.
	Now func() time.Time

	// tokenKeys are the keys whose tokens are accepted.
	tokenKeys [][]byte
}

func (c *Config) setDefaults() {
	setDefault(&c.TokenLife, time.Hour)
	setDefault(&c.MaxHeaderBytes, 16<<10)
	setDefault(&c.ReadTimeout, 10*time.Second)
	setDefault(&c.WriteTimeout, 10*time.Second)
	setDefault(&c.IdleTimeout, time.Minute)
	setDefault(&c.PollInterval, 200*time.Millisecond)
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

// Server is the caller-facing HTTP server of an entry, the edge.
type Server struct {
	cfg   Config
	http  *fasthttp.Server
	index atomic.Pointer[index]
	// answers counts the answers of /v1/entries, to spread callers over entries.
	answers atomic.Uint32
	// pending counts the unsent answers that a drain waits for.
	pending pendingAnswers
}

// streamsPath is the path prefix under which answers are read again by token.
const streamsPath = "/v1/streams/"

// New returns a server; Serve runs it.
func New(cfg Config) *Server {
	cfg.setDefaults()
	s := &Server{cfg: cfg, pending: pendingAnswers{core: cfg.Core, view: cfg.View}}
	s.http = &fasthttp.Server{
		Handler:               ingress.Handler(s.routes()),
		ErrorHandler:          s.unreadable,
		HeaderReceived:        s.bounds,
		ConnState:             s.pending.connState,
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

// maxConnections is the largest connection limit that a document can set.
const maxConnections = 1 << 17

// Serve answers callers on a listener until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	done := make(chan struct{})
	defer close(done)
	go s.pending.run(done)
	return s.http.Serve(s.newLimitedListener(ln))
}

// Shutdown stops listening and waits for the connections to close.
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
	r.ANY(streamsPath+"{token}", s.rereadMethodNotAllowed)
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

// defaultLimits apply until a document is in force.
var defaultLimits = document.Limits{BodyBytes: 1 << 20, HeaderBytes: 8 << 10, Connections: 1024, StreamBytes: 1 << 20}

// limits returns the limits in force.
func (s *Server) limits() *document.Limits {
	if doc := s.cfg.View().Document; doc != nil {
		return &doc.Limits
	}
	return &defaultLimits
}

// unreadable refuses a request that could not be read.
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
