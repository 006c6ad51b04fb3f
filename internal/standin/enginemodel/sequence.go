package enginemodel

import (
	"slices"
	"time"
)

// sequence is the state of a job in the engine.
type sequence struct {
	job       Job
	submitted time.Time
	cached    int  // prompt tokens taken from the prefix cache or an import
	computed  int  // prompt tokens computed
	chunk     int  // prompt tokens computed in the current step
	generates bool // the current step generates a token
	blocks    int  // leading prefix blocks already cached or passed to the cache
	tokens    int  // tokens generated, including those before an import
}

func newSequence(now time.Time, job Job) *sequence {
	job.PromptTokens = max(job.PromptTokens, 1)
	job.MaxTokens = max(job.MaxTokens, 1)
	job.FirstIndex = min(max(job.FirstIndex, 0), job.MaxTokens-1)
	seq := &sequence{job: job, submitted: now, tokens: job.FirstIndex}
	seq.countCached(job.ImportedPromptTokens)
	return seq
}

// countCached counts prompt tokens as cached. Generating the first token of an answer
// requires that at least one prompt token is computed.
func (s *sequence) countCached(tokens int) {
	limit := s.job.PromptTokens
	if s.job.FirstIndex == 0 {
		limit--
	}
	s.cached = max(s.cached, min(tokens, limit))
}

// reservation returns the maximum number of KV tokens the sequence can occupy.
func (s *sequence) reservation() int { return s.job.PromptTokens + s.job.MaxTokens }

// missing returns the number of prompt tokens still to be computed.
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
