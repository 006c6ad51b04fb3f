package enginemodel

import (
	"errors"
	"time"
)

// Params configures an engine.
type Params struct {
	// PrefillRate is the prefill throughput in prompt tokens per second.
	PrefillRate float64
	// StepBase and StepPerSequence determine the duration of a step without
	// prefill.
	StepBase        time.Duration
	StepPerSequence time.Duration
	// MaxBatch bounds the number of sequences in a step.
	MaxBatch int
	// MaxWaiting bounds the number of jobs accepted beyond MaxBatch.
	MaxWaiting int
	// KVTokens bounds the tokens reserved in the KV cache by admitted sequences.
	KVTokens int
	// CacheTokens bounds the prefix cache, in tokens.
	CacheTokens int
	// PrefillChunk bounds the prompt tokens computed in one step.
	PrefillChunk int
}

// Newer returns the parameters of the faster engine generation.
func Newer() Params {
	return Params{
		PrefillRate:     8000,
		StepBase:        12 * time.Millisecond,
		StepPerSequence: 250 * time.Microsecond,
		MaxBatch:        32,
		MaxWaiting:      64,
		KVTokens:        256 << 10,
		CacheTokens:     64 << 10,
		PrefillChunk:    512,
	}
}

// Older returns the parameters of the slower engine generation.
func Older() Params {
	p := Newer()
	p.PrefillRate = 4000
	p.StepBase = 20 * time.Millisecond
	p.StepPerSequence = 400 * time.Microsecond
	p.MaxBatch = 24
	p.KVTokens = 128 << 10
	p.CacheTokens = 32 << 10
	return p
}

// Validate returns all errors in the parameters, joined, or nil if there are none.
func (p Params) Validate() error {
	var errs []error
	check := func(ok bool, message string) {
		if !ok {
			errs = append(errs, errors.New(message))
		}
	}
	check(p.PrefillRate > 0, "prefill rate must be positive")
	check(p.StepBase > 0, "step base must be positive")
	check(p.StepPerSequence >= 0, "step time per sequence must not be negative")
	check(p.MaxBatch > 0, "max batch must be positive")
	check(p.MaxWaiting >= 0, "max waiting must not be negative")
	check(p.KVTokens > 0, "KV tokens must be positive")
	check(p.CacheTokens >= 0, "cache tokens must not be negative")
	check(p.PrefillChunk > 0, "prefill chunk must be positive")
	return errors.Join(errs...)
}
