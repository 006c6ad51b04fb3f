package enginemodel

import (
	"slices"
	"time"
)

// sequence is a job in the engine.
type sequence struct {
	job       Job
	submitted time.Time
	cached    int  // prompt tokens that needed no computing
	computed  int  // prompt tokens computed
	chunk     int  // prompt tokens computed in the step under way
	yields    bool // the step under way gives a token
	blocks    int  // prefixes that the cache has or was offered
	tokens    int  // tokens that exist
}

func newSequence(now time.Time, job Job) *sequence {
	job.PromptTokens = max(job.PromptTokens, 1)
	job.MaxTokens = max(job.MaxTokens, 1)
	job.FirstIndex = min(max(job.FirstIndex, 0), job.MaxTokens-1)
	seq := &sequence{job: job, submitted: now, tokens: job.FirstIndex}
	seq.reuse(job.HeldPrompt)
	return seq
}

// reuse takes over prompt tokens that are there already. At least one token
// must be computed to yield the first token of an answer.
func (s *sequence) reuse(tokens int) {
	limit := s.job.PromptTokens
	if s.job.FirstIndex == 0 {
		limit--
	}
	s.cached = max(s.cached, min(tokens, limit))
}

// reservation is what the sequence may come to hold, in KV tokens.
func (s *sequence) reservation() int { return s.job.PromptTokens + s.job.MaxTokens }

// missing are the prompt tokens still to compute.
func (s *sequence) missing() int { return s.job.PromptTokens - s.cached - s.computed }

func (s *sequence) usage() Usage {
	return Usage{
		Prompt:         s.job.PromptTokens,
		Cached:         s.cached,
		ComputedPrompt: s.computed + s.chunk,
		Tokens:         s.tokens,
	}
}

func find(sequences []*sequence, id string) int {
	return slices.IndexFunc(sequences, func(s *sequence) bool { return s.job.ID == id })
}
