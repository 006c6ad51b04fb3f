package callers

import (
	"bytes"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/inflight"
	"sycamoretrail/internal/netconn"
)

// run submits a checked request and answers its caller.
func (s *Server) run(c *call, req request.Request, f *inflight.Flight) {
	existing, added := s.cfg.Flights.Put(f)
	if existing == nil {
		s.refuseError(c.ctx, c, refusedBeforeSubmit(c.ctx, outcome.ReasonEntryFull, "this entry holds as many requests as it can"))
		return
	}
	if !added && (existing.Organisation != f.Organisation || existing.Fingerprint != f.Fingerprint) {
		s.refuseError(c.ctx, c, refused(outcome.ReasonMalformed, "X-Request-Id names another request"))
		return
	}
	s.cfg.Arrived(&req, c.tier, f.Method, f.Path)
	f = existing
	s.pending.begin(c.ctx.Conn())
	f.Enter()
	f.AddSubmission()
	if !s.cfg.Core.Submit(entry.Submit{Request: req}) && f.SubmitFailed() {
		s.cfg.Flights.Remove(f)
		f.Finish(statusOf(refusedBeforeSubmit(c.ctx, outcome.ReasonEntryFull, "this entry takes no more requests for a moment")))
	}
	w := &waiter{s: s, ctx: c.ctx, f: f, stream: f.Stream, tier: c.tier, model: req.Model,
		began: req.Arrived, until: req.Deadline.Add(s.cfg.Grace)}
	w.answer()
}

// waiter is one caller that waits for an answer.
type waiter struct {
	s      *Server
	ctx    *fasthttp.RequestCtx
	f      *inflight.Flight
	stream bool
	tier   string
	model  string
	began  time.Time
	// until bounds the wait for a core that reports no final outcome.
	until time.Time

	// from is the number of the next chunk for this caller.
	from      int
	firstByte time.Duration
	left      bool
	// reread reports that the caller attached by token, not by a request of its
	// own; remote, that the stream is read from its target for such callers only.
	reread, remote bool
}

// answer waits for the beginning of the answer and chooses the response form.
func (w *waiter) answer() {
	chunks, p, gone := w.wait(nil)
	if gone {
		w.abandon()
		w.ctx.SetConnectionClose()
		return
	}
	w.ctx.Response.Header.Set(headerRequestID, string(w.f.ID))
	switch {
	case p.End != nil && p.End.Referral != nil:
		w.refer(p.End.Referral)
	case p.Trimmed:
		w.refuse(outcome.Undetermined(outcome.ReasonAnswerNotHeld, "the answer's beginning is no longer held"))
	case p.End != nil && p.Head == nil:
		w.refuse(p.End.Status)
	case p.Head != nil && p.Head.Events && w.stream:
		w.answerStream(chunks)
	default:
		w.answerComplete(chunks, p)
	}
}

// abandon ends the wait of a caller that closed its connection. The caller does
// not receive the outcome of the request, so it is observed as unknown.
func (w *waiter) abandon() {
	w.leave()
	w.observe(outcome.Undetermined(outcome.ReasonCallerGone, ""))
}

// refuse ends the wait with a refusal.
func (w *waiter) refuse(status outcome.Status) {
	w.leave()
	w.observe(status)
	w.s.refuse(w.ctx, statusCode(status), string(w.f.ID), status)
}

// wait reads the next chunks; while it waits, it polls the caller's connection.
func (w *waiter) wait(dst [][]byte) (chunks [][]byte, p inflight.Progress, gone bool) {
	for {
		chunks, p = w.f.Answer.Read(dst, w.from, w.s.cfg.PollInterval)
		if len(chunks) > len(dst) || p.End != nil || p.Trimmed {
			if w.firstByte == 0 && len(chunks) > 0 {
				w.firstByte = w.s.cfg.Now().Sub(w.began)
			}
			w.from = p.Next
			return chunks, p, false
		}
		if callerClosed(w.ctx.Conn()) {
			return dst, p, true
		}
		if w.s.cfg.Now().After(w.until) {
			end := &inflight.End{Status: outcome.Undetermined(outcome.ReasonDeadlinePassed, "no final word came by the deadline"), Chunks: p.Next}
			return dst, inflight.Progress{Next: p.Next, Head: p.Head, End: end}, false
		}
	}
}

// callerClosed reports whether the caller closed its connection. A write would
// detect that too, but while a request waits there is nothing to write; and a read
// would end at the read deadline that the server has set.
func callerClosed(conn net.Conn) bool {
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapped.NetConn()
	}
	return netconn.Closed(conn)
}

const (
	// callerGoneAttempts bounds the attempts to submit CallerLeft to the core.
	callerGoneAttempts   = 100
	callerGoneRetryPause = 20 * time.Millisecond
)

// leave removes the caller from the flight's readers; when it was the last one, the
// core receives CallerLeft.
func (w *waiter) leave() {
	if w.left {
		return
	}
	w.left = true
	if !w.f.Leave() {
		return
	}
	if w.remote {
		w.f.Finish(outcome.Undetermined(outcome.ReasonCallerGone, "nobody reads the stream at this entry any more"))
	}
	if w.reread {
		return
	}
	for range callerGoneAttempts {
		if w.s.cfg.Core.Submit(entry.CallerLeft{ID: w.f.ID}) {
			return
		}
		time.Sleep(callerGoneRetryPause)
	}
}

func (w *waiter) observe(status outcome.Status) {
	if w.reread {
		return
	}
	w.s.cfg.Observe(Observation{
		ID: w.f.ID, Organisation: w.f.Organisation, Tier: w.tier, Model: w.model, Status: status,
		FirstByte: w.firstByte, Total: w.s.cfg.Now().Sub(w.began),
	})
}

// setToken sets the header field with which the caller can read the stream at any
// entry.
func (w *waiter) setToken() {
	target, known := w.f.Target()
	if !known || w.f.Kind != request.Engine {
		return
	}
	w.ctx.Response.Header.Set(headerStreamToken, w.token(target.Name, target.Stream))
}

func (w *waiter) token(target string, id ident.RequestID) string {
	t := streamToken{
		Target: target, ID: id, Organisation: w.f.Organisation,
		Expires: w.s.cfg.Now().Add(w.s.cfg.TokenLife).Unix(),
	}
	return t.sign(w.s.cfg.TokenKey)
}

// refer gives the caller the answer of another request: directly if this entry
// holds it, else by a redirect to the entry that does.
func (w *waiter) refer(to *inflight.Referral) {
	w.leave()
	if to.Flight != nil {
		other := *w
		other.f = to.Flight
		other.left, other.from = false, 0
		other.f.Enter()
		other.answer()
		return
	}
	w.ctx.Response.Header.Set(fasthttp.HeaderLocation, "http://"+to.Address+streamsPath+w.token(to.Target, to.ID))
	w.s.refuse(w.ctx, fasthttp.StatusSeeOther, string(to.ID),
		outcome.Undetermined(outcome.ReasonDuplicateKey, "another entry holds the answer; read it there"))
}

// answerComplete waits for the complete answer and sends it as one body.
func (w *waiter) answerComplete(chunks [][]byte, p inflight.Progress) {
	for p.End == nil {
		var gone bool
		if chunks, p, gone = w.wait(chunks); gone {
			w.abandon()
			w.ctx.SetConnectionClose()
			return
		}
		if p.Trimmed {
			w.refuse(outcome.Undetermined(outcome.ReasonAnswerNotHeld, "the answer is longer than limits.stream_bytes"))
			return
		}
	}
	if p.End.Status.Outcome != outcome.Answered {
		w.refuse(p.End.Status)
		return
	}
	w.leave()
	w.observe(p.End.Status)
	w.writeComplete(chunks, p)
}

// writeComplete fills the response with a complete answer.
func (w *waiter) writeComplete(chunks [][]byte, p inflight.Progress) {
	w.setToken()
	header := &w.ctx.Response.Header
	header.Set(headerOutcome, string(p.End.Status.Outcome))
	header.Set(headerReason, string(p.End.Status.Reason))
	header.Set(headerChecksum, checksumText(p.End.Checksum))
	if p.Head == nil {
		return
	}
	w.ctx.SetStatusCode(p.Head.Status)
	for _, field := range p.Head.Fields {
		header.Add(field.Name, field.Value)
	}
	if p.Head.Events {
		body := assemble(chunks)
		header.Set(headerChecksum, checksumText(checksum(body)))
		w.ctx.SetContentType(jsonType)
		w.ctx.SetBody(body)
		return
	}
	w.ctx.SetContentType(p.Head.ContentType)
	if len(chunks) == 1 {
		w.ctx.Response.SetBodyRaw(chunks[0])
		return
	}
	for _, chunk := range chunks {
		w.ctx.Response.AppendBody(chunk)
	}
}

// answerStream forwards the chunks as server-sent events while they arrive.
func (w *waiter) answerStream(first [][]byte) {
	w.setToken()
	w.ctx.SetStatusCode(fasthttp.StatusOK)
	w.ctx.SetContentType(eventStreamType)
	w.ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	events := &eventWriter{w: w, conn: w.ctx.Conn()}
	events.frame(w.from-len(first), first)
	w.ctx.SetBodyStream(events, -1)
}

// eventWriter is the body of a streamed answer. fasthttp reads it and flushes
// after each Read, so all chunks that are available are sent together.
type eventWriter struct {
	w      *waiter
	conn   net.Conn
	chunks [][]byte // reused by fill
	buf    []byte
	sent   int // bytes of buf that Read has returned
	ended  bool
}

// Read waits for chunks and returns them as events.
func (e *eventWriter) Read(p []byte) (int, error) {
	for e.sent == len(e.buf) {
		if e.ended {
			return 0, io.EOF
		}
		e.buf, e.sent = e.buf[:0], 0
		if err := e.fill(); err != nil {
			return 0, err
		}
	}
	// The deadline bounds how long a caller that stopped reading occupies memory.
	_ = e.conn.SetWriteDeadline(time.Now().Add(e.w.s.cfg.WriteTimeout))
	n := copy(p, e.buf[e.sent:])
	e.sent += n
	return n, nil
}

// fill waits for chunks or the end of the answer and appends their events to buf.
func (e *eventWriter) fill() error {
	from := e.w.from
	chunks, p, gone := e.w.wait(e.chunks[:0])
	if gone {
		return io.ErrClosedPipe
	}
	e.frame(from, chunks)
	clear(chunks)
	e.chunks = chunks[:0]
	if p.Trimmed {
		lost := outcome.Undetermined(outcome.ReasonAnswerNotHeld, "the caller fell behind by more than limits.stream_bytes")
		p.End = &inflight.End{Status: lost, Chunks: from}
	}
	if p.End != nil {
		e.end(p.End)
	}
	return nil
}

var newline = []byte{'\n'}

func (e *eventWriter) frame(from int, chunks [][]byte) {
	for i, chunk := range chunks {
		e.buf = append(e.buf, "id: "...)
		e.buf = strconv.AppendInt(e.buf, int64(from+i), 10)
		for rest := chunk; ; {
			line, more, several := bytes.Cut(rest, newline)
			e.buf = append(e.buf, "\ndata: "...)
			e.buf = append(e.buf, line...)
			if !several {
				break
			}
			rest = more
		}
		e.buf = append(e.buf, "\n\n"...)
	}
}

func (e *eventWriter) end(end *inflight.End) {
	e.ended = true
	e.buf = append(e.buf, "event: outcome\ndata: "...)
	e.buf = append(e.buf, endEventData(end)...)
	e.buf = append(e.buf, "\n\ndata: [DONE]\n\n"...)
	e.w.observe(end.Status)
}

// Close is called by fasthttp after the last byte, or when a write failed.
func (e *eventWriter) Close() error {
	if !e.ended {
		e.w.abandon()
		return nil
	}
	e.w.leave()
	return nil
}
