// Package engine implements the stand-in for a model engine. It serves the HTTP
// interface of docs/PLATFORM.md, "Model engine", on top of package enginemodel.
package engine

import (
	"bufio"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/prompt"
	"sycamoretrail/internal/standin/base"
	"sycamoretrail/internal/standin/enginemodel"
)

const (
	headerRequestID = "X-Request-Id"
	paramStream     = "stream"
	pathChat        = "/v1/chat/completions"
	pathText        = "/v1/completions"
	// defaultMaxTokens applies to requests without max_tokens.
	defaultMaxTokens = 16
)

var errModel = errors.New("model is not loaded")

// Server is a running engine.
type Server struct {
	*base.Host
	params  Params
	client  fasthttp.Client
	fetches pond.Pool
	wake    chan struct{}

	mu         sync.Mutex // guards the fields below
	faults     base.Faults
	model      *enginemodel.Model
	jobCount   int
	jobs       map[string]*stream // running, by job id
	streams    map[string]*stream // readable, by request id
	ended      []*stream          // oldest first
	imports    map[string]kvState
	cache      *cacheLog
	loads      base.Lagged[enginemodel.Load]
	loaded     assignment
	fencing    int64
	orderCount int // number of orders and resets; a fetch for an earlier one is discarded
}

// Start starts an engine that serves on an address.
func Start(address string, params Params) (*Server, error) {
	if err := params.Validate(); err != nil {
		return nil, err
	}
	s := &Server{
		params:  params,
		model:   enginemodel.New(params.model()),
		client:  fasthttp.Client{MaxResponseBodySize: maxWeightBytes},
		fetches: pond.NewPool(1),
		wake:    make(chan struct{}, 1),
	}
	s.reset()
	s.Host = base.New(params.Common, base.Behaviour{
		Handle:  s.routes(),
		Applied: s.applied,
		Crashed: s.crashed,
	})
	if err := s.Host.Start(address); err != nil {
		return nil, err
	}
	go s.driveSteps()
	return s, nil
}

// Close stops the engine and discards its streams.
func (s *Server) Close() error {
	err := s.Host.Close()
	s.fetches.Stop()
	return err
}

func (s *Server) routes() fasthttp.RequestHandler {
	r := router.New()
	r.POST(pathChat, s.handleCompletion)
	r.POST(pathText, s.handleCompletion)
	r.GET("/streams/{stream}", s.handleResume)
	r.DELETE("/streams/{stream}", s.handleCancel)
	r.GET("/ready", func(ctx *fasthttp.RequestCtx) { base.AnswerReady(ctx, s.Faults()) })
	r.GET("/load", s.handleLoad)
	r.GET("/cache/events", s.handleCacheEvents)
	r.POST("/orders", s.handleOrder)
	r.GET("/kv/{stream}", s.handleExport)
	r.PUT("/kv/{stream}", s.handleImport)
	return r.Handler
}

func (s *Server) handleCompletion(ctx *fasthttp.RequestCtx) {
	if !s.Admits(ctx) {
		return
	}
	body, err := prompt.Parse(ctx.PostBody())
	if err != nil {
		base.Fail(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	a := s.admission(ctx, body)
	begun, err := s.submit(ctx, a)
	if err != nil {
		refuse(ctx, err)
		return
	}
	if !begun {
		base.DropConnection(ctx)
		return
	}
	ctx.Response.Header.Set(headerRequestID, a.id)
	if body.Stream {
		s.answerStream(ctx, a.stream, 0)
		return
	}
	s.answerFull(ctx, a.stream)
}

func (s *Server) admission(ctx *fasthttp.RequestCtx, body prompt.Body) admission {
	id := string(ctx.Request.Header.Peek(headerRequestID))
	if id == "" {
		id = "anonymous-" + strconv.FormatUint(ctx.ID(), 10)
	}
	if body.MaxTokens == 0 {
		body.MaxTokens = defaultMaxTokens
	}
	tokens, prefixes := prompt.Describe(body.Text())
	return admission{
		id:  id,
		job: enginemodel.Job{PromptTokens: tokens, MaxTokens: body.MaxTokens, Prefixes: prefixes},
		stream: &stream{
			id:       id,
			seed:     seedOf(id, ctx.PostBody()),
			chat:     string(ctx.Path()) == pathChat,
			model:    body.Model,
			created:  time.Now().Unix(),
			max:      body.MaxTokens,
			crashing: s.Faults().CrashesOn(ctx.PostBody()),
			changed:  make(chan struct{}),
		},
	}
}

func refuse(ctx *fasthttp.RequestCtx, err error) {
	switch {
	case errors.Is(err, enginemodel.ErrTooLarge):
		base.Fail(ctx, fasthttp.StatusBadRequest, err.Error())
	case errors.Is(err, errModel):
		base.Fail(ctx, fasthttp.StatusNotFound, err.Error())
	default:
		base.NotAdmitted(ctx, base.NotAdmittedFull)
	}
}

func (s *Server) answerFull(ctx *fasthttp.RequestCtx, st *stream) {
	for {
		v := s.snapshot(st)
		switch {
		case v.done:
			base.JSON(ctx, fasthttp.StatusOK, st.fullAnswer(v.usage))
			return
		case v.aborted:
			base.Fail(ctx, fasthttp.StatusInternalServerError, "stream was cancelled")
			return
		}
		select {
		case <-v.changed:
		case <-s.Done():
			return
		}
	}
}

func (s *Server) answerStream(ctx *fasthttp.RequestCtx, st *stream, from int) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { s.writeStream(w, st, from) })
}

// writeStream writes tokens as they are generated, until the stream ends or the
// reader disconnects. The stream continues without a reader.
func (s *Server) writeStream(w *bufio.Writer, st *stream, next int) {
	for {
		v := s.snapshot(st)
		for ; next < v.tokens; next++ {
			if st.writeToken(w, next) != nil {
				return
			}
		}
		if v.done {
			_ = st.writeEnd(w, v.usage)
		}
		if w.Flush() != nil || v.done || v.aborted {
			return
		}
		select {
		case <-v.changed:
		case <-s.Done():
			return
		}
	}
}

func (s *Server) handleResume(ctx *fasthttp.RequestCtx) {
	from, ok := base.UintArgument(ctx, "from", 0)
	if !ok {
		return
	}
	st := s.find(base.PathValue(ctx, paramStream))
	if st == nil {
		base.Fail(ctx, fasthttp.StatusNotFound, "no such stream")
		return
	}
	ctx.Response.Header.Set(headerRequestID, st.id)
	s.answerStream(ctx, st, from)
}

type cancelled struct {
	ComputedPromptTokens int `json:"computed_prompt_tokens"`
	Tokens               int `json:"tokens"`
}

func (s *Server) handleCancel(ctx *fasthttp.RequestCtx) {
	usage, found := s.cancel(base.PathValue(ctx, paramStream))
	if !found {
		base.Fail(ctx, fasthttp.StatusNotFound, "no such stream")
		return
	}
	base.JSON(ctx, fasthttp.StatusOK, cancelled{ComputedPromptTokens: usage.ComputedPrompt, Tokens: usage.Tokens})
}

type loadReport struct {
	Running  int      `json:"running"`
	Waiting  int      `json:"waiting"`
	KVTokens int      `json:"kv_tokens"`
	AgeMS    int      `json:"age_ms"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Fencing  int64    `json:"fencing"`
}

// handleLoad reports the load with the configured lag, but the loaded model
// without lag: clients read orders back with this call, and on the platform only
// the load lags.
func (s *Server) handleLoad(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := s.loads.At(time.Now().Add(-s.faults.Lag()))
	base.JSON(ctx, fasthttp.StatusOK, loadReport{
		Running:  load.Running,
		Waiting:  load.Waiting,
		KVTokens: load.KVTokens,
		AgeMS:    s.faults.LagMS,
		Model:    s.loaded.Model,
		Version:  s.loaded.Version,
		Adapters: append([]string{}, s.loaded.Adapters...),
		Fencing:  s.fencing,
	})
}

func (s *Server) handleCacheEvents(ctx *fasthttp.RequestCtx) {
	from, ok := base.UintArgument(ctx, "from", 0)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	base.JSON(ctx, fasthttp.StatusOK, s.cache.read(uint64(from), time.Now(), s.faults))
}
