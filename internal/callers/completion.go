package callers

import (
	"encoding/json"
	"strings"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/inflight"
	"sycamoretrail/internal/prompt"
)

// defaultMaxTokens bounds an answer whose caller set no bound.
const defaultMaxTokens = 512

// completionBody holds the fields of a completion that scheduling needs; the
// body itself is forwarded unchanged.
type completionBody struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Messages            []chatMessage   `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
}

type chatMessage struct {
	Content json.RawMessage `json:"content"`
}

// completion answers /v1/chat/completions and /v1/completions.
func (s *Server) completion(ctx *fasthttp.RequestCtx) {
	c, err := s.identify(ctx)
	if err != nil {
		s.refuseError(ctx, nil, err)
		return
	}
	req, f, err := s.readCompletion(c)
	if err != nil {
		s.refuseError(ctx, c, err)
		return
	}
	s.run(c, req, f)
}

// refuseError answers with a refusal by the edge; c is nil if the caller could not
// be identified.
func (s *Server) refuseError(ctx *fasthttp.RequestCtx, c *call, err error) {
	status := statusOf(err)
	seen := Observation{Status: status, Refused: true}
	if c != nil {
		seen.ID, seen.Organisation, seen.Tier = c.id, c.org.name, c.tier
	}
	s.cfg.Observe(seen)
	s.refuse(ctx, statusCode(status), string(seen.ID), status)
}

// readCompletion validates a completion and returns its request and its flight.
func (s *Server) readCompletion(c *call) (request.Request, *inflight.Flight, error) {
	// The connection reuses its buffer after the handler returns; the flight is used longer.
	body := append([]byte(nil), c.ctx.PostBody()...)
	var in completionBody
	if err := json.Unmarshal(body, &in); err != nil {
		return request.Request{}, nil, refused(outcome.ReasonMalformed, "the body is not a completion request: %v", err)
	}
	model := c.ix.models[in.Model]
	if model == nil || !c.org.models[in.Model] {
		return request.Request{}, nil, refused(outcome.ReasonUnknownModel, "the organisation has no model %q", in.Model)
	}
	text, err := promptText(&in)
	if err != nil {
		return request.Request{}, nil, err
	}
	req, err := c.describe(s.cfg.Now(), in.Model)
	if err != nil {
		return req, nil, err
	}
	req.Fingerprint = fingerprint(c.org.name, in.Model, body)
	if req.Idempotent, err = c.idempotentHeader(true); err != nil {
		return req, nil, err
	}
	req.Kind = request.Engine
	req.Pool = model.Pool
	req.PromptTokens, req.Prefixes = prompt.Describe(text)
	if req.MaxTokens, err = maxTokens(&in, req.PromptTokens, model.ContextTokens); err != nil {
		return req, nil, err
	}
	return req, s.newFlight(c, &req, string(c.ctx.Path()), in.Stream, body), nil
}

// maxTokens returns the bound of the answer, which together with the prompt must fit
// the context.
func maxTokens(in *completionBody, promptTokens, context int) (int, error) {
	if promptTokens >= context {
		return 0, refused(outcome.ReasonTooLarge, "the prompt has about %d tokens; the model's context is %d", promptTokens, context)
	}
	asked := in.MaxCompletionTokens
	if asked == nil {
		asked = in.MaxTokens
	}
	if asked == nil {
		return min(defaultMaxTokens, context-promptTokens), nil
	}
	if *asked <= 0 {
		return 0, refused(outcome.ReasonMalformed, "max_tokens is not positive")
	}
	if promptTokens+*asked > context {
		return 0, refused(outcome.ReasonTooLarge, "prompt (about %d tokens) and max_tokens (%d) exceed the model's context, %d", promptTokens, *asked, context)
	}
	return *asked, nil
}

// promptText concatenates the text of all messages, or of the prompt.
func promptText(in *completionBody) (string, error) {
	if len(in.Messages) == 0 && len(in.Prompt) == 0 {
		return "", refused(outcome.ReasonMalformed, "neither messages nor prompt is given")
	}
	var text strings.Builder
	for i := range in.Messages {
		if err := addText(&text, in.Messages[i].Content); err != nil {
			return "", refused(outcome.ReasonMalformed, "messages[%d].content is neither text nor a list of parts", i)
		}
	}
	if len(in.Messages) == 0 {
		if err := addText(&text, in.Prompt); err != nil {
			return "", refused(outcome.ReasonMalformed, "prompt is neither text nor a list of texts")
		}
	}
	return text.String(), nil
}

// addText appends a text, or a list of texts and parts with text.
func addText(text *strings.Builder, raw json.RawMessage) error {
	if len(raw) == 0 || string(raw) == "null" {
		return nil
	}
	if raw[0] == '[' {
		var parts []json.RawMessage
		if err := json.Unmarshal(raw, &parts); err != nil {
			return err
		}
		for _, part := range parts {
			if err := addPart(text, part); err != nil {
				return err
			}
		}
		return nil
	}
	var plain string
	if err := json.Unmarshal(raw, &plain); err != nil {
		return err
	}
	text.WriteString(plain)
	return nil
}

func addPart(text *strings.Builder, raw json.RawMessage) error {
	if len(raw) > 0 && raw[0] == '{' {
		var part struct {
			Text string `json:"text"`
		}
		if err := json.Unmarshal(raw, &part); err != nil {
			return err
		}
		text.WriteString(part.Text)
		return nil
	}
	var plain string
	if err := json.Unmarshal(raw, &plain); err != nil {
		return err
	}
	text.WriteString(plain)
	return nil
}

// newFlight returns the flight of a validated request.
func (s *Server) newFlight(c *call, req *request.Request, path string, stream bool, body []byte) *inflight.Flight {
	limit := c.view.Document.Limits.StreamBytes
	return inflight.New(&inflight.Flight{
		ID: req.ID, Organisation: req.Organisation, Fingerprint: req.Fingerprint, Kind: req.Kind,
		Method: string(c.ctx.Method()), Path: path, Header: forwardedFields(&c.ctx.Request.Header),
		Stream: stream, PromptTokens: req.PromptTokens, MaxAnswer: limit,
	}, body, limit)
}
