// Package logservice implements the stand-in for the platform's append-only log,
// described in docs/PLATFORM.md, "Log".
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
	// defaultRate is in appends per second over all streams.
	defaultRate = 500
	paramStream = "stream"
)

// Params configures a log. Rate and retention are set by faults.rate and
// faults.retain_ms. An initial rate of 0 means 500 appends per second.
type Params struct {
	base.Common
}

// Validate returns an error if a parameter is out of range.
func (p Params) Validate() error { return p.Faults.Validate() }

type appended struct {
	Offset uint64 `json:"offset"`
}

type record struct {
	Offset uint64 `json:"offset"`
	AgeMS  int64  `json:"age_ms"`
	Data   []byte `json:"data"` // base64 in JSON
}

// page is the answer to a read. Next is the offset of the next read, First the
// oldest retained offset, and End the offset of the next append.
type page struct {
	Next    uint64   `json:"next"`
	First   uint64   `json:"first"`
	End     uint64   `json:"end"`
	Records []record `json:"records"`
}

// Server is a running log.
type Server struct {
	*base.Host

	mu      sync.Mutex // guards streams
	streams map[string]*stream
}

// Start starts a log that serves on an address.
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

// query holds the parameters of a read.
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
	// The outage may have begun during the wait.
	if s.Faults().Outage {
		base.Fail(ctx, fasthttp.StatusServiceUnavailable, "outage")
		return
	}
	base.JSON(ctx, fasthttp.StatusOK, answer)
}

// poll returns a page, after waiting for an append if there are no records. A
// stream that does not exist yet is treated as empty, so that readers can wait
// for its first record.
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
