// Package logservice is the stand-in for the platform's append-only log:
// docs/PLATFORM.md, "Log".
package logservice

import (
	"bytes"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/standin/base"
)

const (
	maxRecordBytes = 1 << 20
	maxPageBytes   = 8 << 20
	maxPageRecords = 1000
	maxWait        = 60 * time.Second
	// defaultRate is in appends a second, over all streams.
	defaultRate = 500
	paramStream = "stream"
)

// Params configure a log. Rate and retention are faults.rate and
// faults.retain_ms; a rate of 0 at the start means 500 appends a second.
type Params struct {
	base.Common
}

// Validate lists every fault of the parameters, joined.
func (p Params) Validate() error { return p.Faults.Validate() }

type appended struct {
	Offset uint64 `json:"offset"`
}

type record struct {
	Offset uint64 `json:"offset"`
	AgeMS  int64  `json:"age_ms"`
	Data   []byte `json:"data"` // base64 in JSON
}

// page is the answer to a read. Next is where to read on, First the oldest
// offset kept, End the offset of the next append.
type page struct {
	Next    uint64   `json:"next"`
	First   uint64   `json:"first"`
	End     uint64   `json:"end"`
	Records []record `json:"records"`
}

// Server is a running log.
type Server struct {
	*base.Host

	mu      sync.Mutex // guards what follows
	streams map[string]*stream
}

// Start serves a log on an address.
func Start(address string, params Params) (*Server, error) {
	if err := params.Validate(); err != nil {
		return nil, err
	}
	if params.Faults.Rate == 0 {
		params.Faults.Rate = defaultRate
	}
	s := &Server{streams: make(map[string]*stream)}
	r := router.New()
	r.POST("/logs/{stream}/records", s.handleAppend)
	r.GET("/logs/{stream}/records", s.handleRead)
	s.Host = base.New(params.Common, base.Behaviour{Handle: r.Handler, Crashed: s.crashed})
	return s, s.Host.Start(address)
}

func (s *Server) crashed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams = make(map[string]*stream)
}

func (s *Server) handleAppend(ctx *fasthttp.RequestCtx) {
	if len(ctx.PostBody()) > maxRecordBytes {
		base.Fail(ctx, fasthttp.StatusRequestEntityTooLarge, "record above 1 MiB")
		return
	}
	if !s.TakeRate(ctx) {
		return
	}
	offset, err := s.append(ctx, base.PathValue(ctx, paramStream))
	if err != nil {
		base.DropConnection(ctx)
		return
	}
	base.JSON(ctx, fasthttp.StatusOK, appended{Offset: offset})
}

var errCrashed = errors.New("crashed since the call came in")

func (s *Server) append(ctx *fasthttp.RequestCtx, name string) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streams[name]
	if st == nil {
		st = newStream()
	}
	id := name + "/" + strconv.FormatUint(st.end(), 10)
	ticket, begun := s.Ledger().Begin(ctx, id)
	if !begun {
		return 0, errCrashed
	}
	s.streams[name] = st
	offset := st.append(time.Now(), bytes.Clone(ctx.PostBody()))
	s.Ledger().End(ticket, func(run *base.Run) { run.Complete = true })
	return offset, nil
}

// query is what a read asks for.
type query struct {
	stream string
	from   uint64
	limit  int
	wait   time.Duration
}

func (s *Server) handleRead(ctx *fasthttp.RequestCtx) {
	from, ok := base.UintArgument(ctx, "from", 1)
	if !ok {
		return
	}
	limit, ok := base.UintArgument(ctx, "max", maxPageRecords)
	if !ok {
		return
	}
	waitMS, ok := base.UintArgument(ctx, "wait_ms", 0)
	if !ok {
		return
	}
	q := query{
		stream: base.PathValue(ctx, paramStream),
		from:   uint64(from),
		limit:  min(limit, maxPageRecords),
		wait:   min(time.Duration(waitMS)*time.Millisecond, maxWait),
	}
	answer := s.poll(q)
	// An outage that began during the wait ends it without an answer.
	if s.Faults().Outage {
		base.Fail(ctx, fasthttp.StatusServiceUnavailable, "outage")
		return
	}
	base.JSON(ctx, fasthttp.StatusOK, answer)
}

// poll reads; when there is nothing, it waits for an append. A stream that does
// not exist yet reads as empty, so that one can wait for its first record.
func (s *Server) poll(q query) page {
	timeout := time.NewTimer(q.wait)
	defer timeout.Stop()
	for {
		answer, changed := s.read(q)
		if len(answer.Records) > 0 || q.wait == 0 {
			return answer
		}
		select {
		case <-changed:
		case <-timeout.C:
			return answer
		case <-s.Done():
			return answer
		}
	}
}

func (s *Server) read(q query) (page, <-chan struct{}) {
	retention := time.Duration(s.Faults().RetainMS) * time.Millisecond
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streams[q.stream]
	if st == nil {
		st = newStream()
		s.streams[q.stream] = st
	}
	st.expire(now, retention)
	return st.read(now, q.from, q.limit), st.changed
}
