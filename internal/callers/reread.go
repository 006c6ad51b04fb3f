package callers

import (
	"errors"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/inflight"
)

// rereadMethodNotAllowed answers methods other than GET. Some clients keep POST when
// they follow a 303 to a stream. The refusal of an unknown path says "not run", which
// would be false for them: the request ran, and its answer can be read.
func (s *Server) rereadMethodNotAllowed(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(fasthttp.HeaderAllow, fasthttp.MethodGet)
	s.refuse(ctx, fasthttp.StatusMethodNotAllowed, "",
		outcome.Undetermined(outcome.ReasonMalformed, "streams are read with GET; nothing was run by this call"))
}

// reread handles /v1/streams/{token}: at any entry, it sends an answer again from a
// given chunk on. It never answers "not run", since the request may have run.
func (s *Server) reread(ctx *fasthttp.RequestCtx) {
	c, err := s.identify(ctx)
	if err != nil {
		s.refuseReread(ctx, err)
		return
	}
	text, _ := ctx.UserValue("token").(string)
	token, err := readToken(text, s.cfg.tokenKeys, s.cfg.Now())
	if err != nil {
		code := fasthttp.StatusBadRequest
		reason := outcome.ReasonMalformed
		if errors.Is(err, errTokenExpired) {
			code, reason = fasthttp.StatusNotFound, outcome.ReasonAnswerNotHeld
		}
		s.refuse(ctx, code, "", outcome.Undetermined(reason, err.Error()))
		return
	}
	if token.Organisation != c.org.name {
		s.refuse(ctx, fasthttp.StatusUnauthorized, string(token.ID),
			outcome.Undetermined(outcome.ReasonUnauthorised, "the stream belongs to another organisation"))
		return
	}
	from, err := numberFrom(ctx.QueryArgs().Peek("from"))
	if err != nil {
		s.refuse(ctx, fasthttp.StatusBadRequest, string(token.ID), outcome.Undetermined(outcome.ReasonMalformed, err.Error()))
		return
	}
	s.attach(c, token, from)
}

// refuseReread refuses with an error of identify, with the outcome set to unknown.
func (s *Server) refuseReread(ctx *fasthttp.RequestCtx, err error) {
	status := statusOf(err)
	code := statusCode(status)
	status.Outcome = outcome.Unknown
	s.refuse(ctx, code, "", status)
}

// attach sends the stream from its flight, if this entry has one, else from its
// target. The target may hold more than a flight in doubt.
func (s *Server) attach(c *call, token streamToken, from int) {
	f := s.cfg.Flights.Get(token.ID)
	remote := f == nil || f.Organisation != token.Organisation || f.InDoubt()
	if remote {
		if f = s.remote(c, token); f == nil {
			return
		}
	}
	s.pending.begin(c.ctx.Conn())
	f.Enter()
	now := s.cfg.Now()
	longest := document.Milliseconds(c.view.Document.Limits.DeadlineMS)
	w := &waiter{s: s, ctx: c.ctx, f: f, stream: true, began: now, from: from, reread: true, remote: remote,
		until: now.Add(longest).Add(s.cfg.Grace)}
	w.answer()
}

// remote returns the flight of a stream that another entry dispatched, or nil if it
// has refused the caller.
func (s *Server) remote(c *call, token streamToken) *inflight.Flight {
	target := c.ix.targets[token.Target]
	if target == nil {
		s.refuse(c.ctx, fasthttp.StatusNotFound, string(token.ID),
			outcome.Undetermined(outcome.ReasonAnswerNotHeld, "the stream's target is no longer configured"))
		return nil
	}
	limit := c.view.Document.Limits.StreamBytes
	if failed := s.cfg.Rereads.Get(token.ID); failed != nil && incomplete(failed.Answer.Ended()) {
		s.cfg.Rereads.Drop(failed)
	}
	f, added := s.cfg.Rereads.Put(inflight.New(&inflight.Flight{
		ID: token.ID, Organisation: token.Organisation, Kind: request.Engine, Stream: true, MaxAnswer: limit,
	}, nil, limit))
	if f == nil {
		s.refuse(c.ctx, fasthttp.StatusServiceUnavailable, string(token.ID),
			outcome.Undetermined(outcome.ReasonEntryFull, "this entry follows as many streams as it can"))
		return nil
	}
	if added {
		at := inflight.Target{Name: token.Target, Address: target.Address, Stream: token.ID}
		s.cfg.Follower.Follow(f, at, func(message.Result) {})
	}
	return f
}

// incomplete reports whether reading a stream ended without the complete answer. The
// next caller's read starts over, since the target may still hold the stream.
func incomplete(end *inflight.End) bool {
	return end != nil && end.Status.Outcome != outcome.Answered
}
