package operators

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/fasthttp/router"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/ingress"
)

const (
	// maxBody is the size limit of one record in the log, in bytes.
	maxBody     = 1 << 20
	readTimeout = 10 * time.Second
	// inspectTimeout bounds one read of the core's state.
	inspectTimeout = 2 * time.Second
	// maxConnections bounds the connections, and with maxBody the memory that clients without a token can make an
	// entry hold.
	maxConnections = 64
	bearer         = "Bearer "
)

// Options configures a Server.
type Options struct {
	// TokenSHA256 is the hex SHA-256 of the operators' bearer token.
	TokenSHA256 string
	Inspector   Inspector
	Controls    Controls
	Check       Checker
	Log         Log
	// Metrics serves /metrics, which requires no token.
	Metrics fasthttp.RequestHandler
	Logger  logrus.FieldLogger
	// ResultTimeout bounds the wait for a publication's result. Zero means the
	// package's default.
	ResultTimeout time.Duration
}

// Server serves the operators' interface of one entry.
type Server struct {
	options   Options
	tokenHash []byte
	publisher publisher
	server    *fasthttp.Server
}

// New returns a Server. It returns an error if TokenSHA256 is not a hex SHA-256.
func New(options Options) (*Server, error) {
	hash, err := hex.DecodeString(options.TokenSHA256)
	if err != nil || len(hash) != sha256.Size {
		return nil, fmt.Errorf("operator token: not a hex SHA-256")
	}
	if options.ResultTimeout == 0 {
		options.ResultTimeout = resultTimeout
	}
	s := &Server{
		options:   options,
		tokenHash: hash,
		publisher: publisher{options.Check, options.Log, options.Inspector, options.ResultTimeout},
	}
	s.server = &fasthttp.Server{
		Name:               "sycamoretrail",
		Handler:            ingress.Handler(s.routes().Handler),
		Concurrency:        2 * maxConnections, // the gate bounds them
		ReadTimeout:        readTimeout,
		MaxRequestBodySize: maxBody,
		CloseOnShutdown:    true,
		Logger:             options.Logger,
	}
	return s, nil
}

// Serve serves the listener until Close is called. Connections whose clients do not go on make room for new ones.
func (s *Server) Serve(listener net.Listener) error {
	bounded := ingress.Listener{Listener: listener, Gate: ingress.NewGate(maxConnections)}
	if err := s.server.Serve(bounded); err != nil {
		return fmt.Errorf("%w: %w", ErrListen, err)
	}
	return nil
}

// Close shuts the server down after the calls in progress.
func (s *Server) Close() error { return s.server.Shutdown() }

func (s *Server) routes() *router.Router {
	r := router.New()
	r.GET(PathStatus, s.requireToken(read(s.options.Inspector.Status)))
	r.GET(PathTargets, s.requireToken(read(s.options.Inspector.Targets)))
	r.GET(PathFloors, s.requireToken(read(s.options.Inspector.Floors)))
	r.GET(PathDocument, s.requireToken(read(s.options.Inspector.Document)))
	r.GET(PathExplain, s.requireToken(s.explain))
	r.POST(PathDocument, s.requireToken(s.publish))
	r.POST(PathDrain, s.requireToken(s.drain))
	r.POST(PathLogLevel, s.requireToken(s.logLevel))
	if s.options.Metrics != nil {
		r.GET("/metrics", s.options.Metrics)
	}
	return r
}

// requireToken calls next only if the request has the operator token. Hashes are
// compared in constant time, so that response times reveal nothing about the token.
func (s *Server) requireToken(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		token, found := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), bearer)
		hash := sha256.Sum256([]byte(token))
		if !found || subtle.ConstantTimeCompare(hash[:], s.tokenHash) != 1 {
			ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
			answer(ctx, fasthttp.StatusUnauthorized, Failure{Error: "operator token is missing or wrong"})
			return
		}
		next(ctx)
	}
}

// read returns a handler that serves one read of the core's state.
func read[T any](inspect func(context.Context) (T, error)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		limited, cancel := context.WithTimeout(context.Background(), inspectTimeout)
		defer cancel()
		found, err := inspect(limited)
		if err != nil {
			answer(ctx, fasthttp.StatusServiceUnavailable, Failure{Error: fmt.Sprintf("the entry does not answer: %v", err)})
			return
		}
		answer(ctx, fasthttp.StatusOK, found)
	}
}

func (s *Server) explain(ctx *fasthttp.RequestCtx) {
	id := string(ctx.QueryArgs().Peek("id"))
	if id == "" {
		answer(ctx, fasthttp.StatusBadRequest, Failure{Error: "give the request id as ?id="})
		return
	}
	read(func(limited context.Context) (Explanation, error) {
		return s.options.Inspector.Explain(limited, id)
	})(ctx)
}

// publishStatus maps a result to an HTTP status. ResultUnknown is not an error
// status, so that scripts evaluate the result.
var publishStatus = map[Result]int{
	ResultAccepted:     fasthttp.StatusOK,
	ResultSuperseded:   fasthttp.StatusConflict,
	ResultUnknown:      fasthttp.StatusAccepted,
	ResultInvalid:      fasthttp.StatusUnprocessableEntity,
	ResultNotPublished: fasthttp.StatusServiceUnavailable,
}

func (s *Server) publish(ctx *fasthttp.RequestCtx) {
	// fasthttp reuses the body's memory after this call.
	data := append([]byte(nil), ctx.PostBody()...)
	published := s.publisher.publish(context.Background(), data)
	s.options.Logger.WithFields(logrus.Fields{
		"document": published.ID,
		"result":   string(published.Result),
		"version":  published.Version,
	}).Info("document was published by an operator")
	answer(ctx, publishStatus[published.Result], published)
}

func (s *Server) drain(ctx *fasthttp.RequestCtx) {
	s.options.Controls.Drain()
	answer(ctx, fasthttp.StatusAccepted, Drain{State: "draining"})
}

func (s *Server) logLevel(ctx *fasthttp.RequestCtx) {
	var body LogLevel
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		answer(ctx, fasthttp.StatusBadRequest, Failure{Error: `write {"level":"debug|info|warn|error"}`})
		return
	}
	if err := s.options.Controls.SetLogLevel(body.Level); err != nil {
		answer(ctx, fasthttp.StatusBadRequest, Failure{Error: err.Error()})
		return
	}
	answer(ctx, fasthttp.StatusOK, body)
}

func answer(ctx *fasthttp.RequestCtx, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		ctx.Error("encode answer", fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
