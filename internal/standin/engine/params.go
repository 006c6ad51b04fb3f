package engine

import (
	"errors"
	"fmt"
	"time"

	"sycamoretrail/internal/standin/base"
	"sycamoretrail/internal/standin/enginemodel"
)

// Values of Params.Generation.
const (
	GenerationNewer = "newer"
	GenerationOlder = "older"
)

// Roles that an order can assign.
const (
	RolePrefill = "prefill"
	RoleDecode  = "decode"
	RoleBoth    = "both"
)

const defaultRetention = 30 * time.Second

// Params configures an engine. A zero field takes the value of the generation.
type Params struct {
	base.Common
	Generation        string  `json:"generation"`
	PrefillRate       float64 `json:"prefill_tokens_per_s"`
	StepBaseMS        float64 `json:"step_base_ms"`
	StepPerSequenceMS float64 `json:"step_per_sequence_ms"`
	MaxBatch          int     `json:"max_batch"`
	MaxWaiting        int     `json:"max_waiting"`
	KVTokens          int     `json:"kv_tokens"`
	CacheTokens       int     `json:"cache_tokens"`
	PrefillChunk      int     `json:"prefill_chunk"`
	// HoldMS is how long a stream remains readable after its end; 0 means 30 s.
	HoldMS int `json:"hold_ms"`
	// Model, Version, Adapters and Role are in force after each start. An engine
	// without a model serves any model.
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	// WeightsAddress is the address of the weight store. If it is empty, weights
	// are available immediately.
	WeightsAddress string `json:"weights_address"`
}

// Validate returns all errors in the parameters, joined.
func (p Params) Validate() error {
	errs := []error{p.model().Validate(), p.Faults.Validate()}
	if p.Generation != "" && p.Generation != GenerationNewer && p.Generation != GenerationOlder {
		errs = append(errs, fmt.Errorf("generation must be %q or %q, not %q", GenerationNewer, GenerationOlder, p.Generation))
	}
	if !validRole(p.Role) {
		errs = append(errs, fmt.Errorf("unknown role %q", p.Role))
	}
	if p.HoldMS < 0 {
		errs = append(errs, errors.New("hold_ms must not be negative"))
	}
	return errors.Join(errs...)
}

func validRole(role string) bool {
	return role == "" || role == RolePrefill || role == RoleDecode || role == RoleBoth
}

func (p Params) model() enginemodel.Params {
	m := enginemodel.Newer()
	if p.Generation == GenerationOlder {
		m = enginemodel.Older()
	}
	override(&m.PrefillRate, p.PrefillRate)
	override(&m.StepBase, milliseconds(p.StepBaseMS))
	override(&m.StepPerSequence, milliseconds(p.StepPerSequenceMS))
	override(&m.MaxBatch, p.MaxBatch)
	override(&m.MaxWaiting, p.MaxWaiting)
	override(&m.KVTokens, p.KVTokens)
	override(&m.CacheTokens, p.CacheTokens)
	override(&m.PrefillChunk, p.PrefillChunk)
	return m
}

func (p Params) retention() time.Duration {
	if p.HoldMS == 0 {
		return defaultRetention
	}
	return time.Duration(p.HoldMS) * time.Millisecond
}

func override[T comparable](target *T, value T) {
	var zero T
	if value != zero {
		*target = value
	}
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
