package callers

import (
	"errors"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/flight"
)

// notReread answers other methods than GET. A client that keeps POST when it
// follows 303 to a stream comes here; "no such call, not run" would tell it that
// its request did not run, when the answer is there to be read.
func (s *Server) notReread(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(fasthttp.HeaderAllow, fasthttp.MethodGet)
	s.refuse(ctx, fasthttp.StatusMethodNotAllowed, "",
		outcome.Undetermined(outcome.ReasonMalformed, "streams are read with GET; nothing was run by this call"))
}

// reread answers /v1/streams/{token}: the answer again from a chunk on, at any
// entry. Here "not run" is never said, since the request itself may have run.
func (s *Server) reread(ctx *fasthttp.RequestCtx) {
	c, err := s.identify(ctx)
	if err != nil {
		s.rereadRefused(ctx, err)
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

// rereadRefused turns a refusal of identify into one that claims nothing about
// the request.
func (s *Server) rereadRefused(ctx *fasthttp.RequestCtx, err error) {
	status := statusOf(err)
	code := statusCode(status)
	status.Outcome = outcome.Unknown
	s.refuse(ctx, code, "", status)
}

// attach follows the stream: its flight, when this entry has it, else at its
// target. A flight in doubt knows less than the target may.
func (s *Server) attach(c *call, token streamToken, from int) {
	f := s.cfg.Flights.Get(token.ID)
	remote := f == nil || f.Organisation != token.Organisation || f.InDoubt()
	if remote {
		if f = s.remote(c, token); f == nil {
			return
		}
	}
	s.answering.begin(c.ctx.Conn())
	f.Enter()
	now := s.cfg.Now()
	longest := document.Milliseconds(c.view.Document.Limits.DeadlineMS)
	w := &waiting{s: s, ctx: c.ctx, f: f, stream: true, began: now, from: from, reread: true, remote: remote,
		until: now.Add(longest).Add(s.cfg.Grace)}
	w.answer()
}

// remote readies the flight of a stream that another entry dispatched; nil when
// the caller has been refused.
func (s *Server) remote(c *call, token streamToken) *flight.Flight {
	target := c.ix.targets[token.Target]
	if target == nil {
		s.refuse(c.ctx, fasthttp.StatusNotFound, string(token.ID),
			outcome.Undetermined(outcome.ReasonAnswerNotHeld, "the stream's target is no longer configured"))
		return nil
	}
	limit := c.view.Document.Limits.StreamBytes
	if failed := s.cfg.Rereads.Get(token.ID); failed != nil && lost(failed.Answer.Ended()) {
		s.cfg.Rereads.Drop(failed)
	}
	f, added := s.cfg.Rereads.Put(flight.New(&flight.Flight{
		ID: token.ID, Organisation: token.Organisation, Kind: request.Engine, Stream: true, MaxAnswer: limit,
	}, nil, limit))
	if f == nil {
		s.refuse(c.ctx, fasthttp.StatusServiceUnavailable, string(token.ID),
			outcome.Undetermined(outcome.ReasonEntryFull, "this entry follows as many streams as it can"))
		return nil
	}
	if added {
		at := flight.Target{Name: token.Target, Address: target.Address, Stream: token.ID}
		s.cfg.Follower.Follow(f, at, func(message.Result) {})
	}
	return f
}

// lost reports whether a reading has ended without the whole answer; the next
// caller's reading starts anew, since the target may hold the stream still.
func lost(end *flight.End) bool {
	return end != nil && end.Status.Outcome != outcome.Answered
}
