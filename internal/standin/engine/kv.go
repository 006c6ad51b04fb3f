package engine

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/standin/base"
	"sycamoretrail/internal/standin/enginemodel"
)

// maxImports bounds the number of imported KV caches without a request.
const maxImports = 256

// kvState is the content of an exported KV cache. It is opaque to clients.
type kvState struct {
	PromptTokens int `json:"prompt_tokens"`
	Tokens       int `json:"tokens"`
}

func (s *Server) handleExport(ctx *fasthttp.RequestCtx) {
	state, found := s.export(base.PathValue(ctx, paramStream))
	if !found {
		base.Fail(ctx, fasthttp.StatusNotFound, "no such stream")
		return
	}
	base.JSON(ctx, fasthttp.StatusOK, state)
	ctx.SetContentType("application/octet-stream")
}

func (s *Server) export(id string) (kvState, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streams[id]
	if st == nil {
		return kvState{}, false
	}
	usage, running := s.model.Progress(st.job)
	if !running {
		usage = st.usage
	}
	return kvState{PromptTokens: usage.Cached + usage.ComputedPrompt, Tokens: st.tokens}, true
}

// handleImport keeps a KV cache until a request with the same id arrives. That
// request continues from the position of the exported stream.
func (s *Server) handleImport(ctx *fasthttp.RequestCtx) {
	var state kvState
	if err := json.Unmarshal(ctx.PostBody(), &state); err != nil {
		base.Fail(ctx, fasthttp.StatusBadRequest, "not a KV cache: "+err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.imports) >= maxImports {
		base.NotAdmitted(ctx, base.NotAdmittedFull)
		return
	}
	s.imports[base.PathValue(ctx, paramStream)] = state
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// useImport applies the KV cache imported for a request to its job, if any.
func (s *Server) useImport(id string, job *enginemodel.Job) {
	state, ok := s.imports[id]
	if !ok {
		return
	}
	job.ImportedPromptTokens = state.PromptTokens
	job.FirstIndex = max(0, min(state.Tokens, job.MaxTokens-1))
}
