package trace

import (
	"fmt"

	"sycamoretrail/internal/core/document"
)

// Mix is the mean request for which capacity is computed.
type Mix struct {
	PromptTokens float64
	// CachedTokens is the part of the prompt served from the engine's prefix cache.
	CachedTokens float64
	AnswerTokens float64
}

// EngineRate returns the requests per second of the mix that one target of the
// class completes when its batch is full. An engine spends its time on prefill
// and on steps that serve the whole batch, so a request costs
// (prompt − cached) / prefill_rate + answer × step / max_in_flight seconds.
func EngineRate(class *document.Class, mix Mix) float64 {
	if class.PrefillRate <= 0 || class.MaxInFlight <= 0 {
		return 0
	}
	prefill := (mix.PromptTokens - mix.CachedTokens) / class.PrefillRate
	steps := mix.AnswerTokens * class.StepMS / 1000 / float64(class.MaxInFlight)
	return 1 / (prefill + steps)
}

// DefaultServiceMS is the duration of a service call whose class has no step_ms.
const DefaultServiceMS = 5

// ServiceMS returns the duration of one call to a plain service, in ms.
func ServiceMS(class *document.Class) float64 {
	if class.StepMS > 0 {
		return class.StepMS
	}
	return DefaultServiceMS
}

// ServiceRate returns the calls per second that one plain service target serves.
func ServiceRate(class *document.Class) float64 {
	return float64(max(class.MaxInFlight, 1)) * 1000 / ServiceMS(class)
}

// Capacity returns the sum of EngineRate over the engines of a pool, in requests
// per second. Targets marked as leaving are excluded.
func Capacity(doc *document.Document, pool string, mix Mix) float64 {
	total := 0.0
	for i := range doc.Targets {
		target := &doc.Targets[i]
		class := ClassOf(doc, target.Class)
		if target.Pool != pool || target.Leaving || class == nil || class.Kind != document.KindEngine {
			continue
		}
		total += EngineRate(class, mix)
	}
	return total
}

// CapacityNote describes how the capacity at load factor 1 was computed.
func CapacityNote(pool string, mix Mix, rate float64) string {
	return fmt.Sprintf("pool %s: %.1f requests/s at load 1, for a mean prompt of %.0f tokens (%.0f cached) and answer of %.0f; "+
		"per engine 1/((prompt-cached)/prefill_rate + answer*step/max_in_flight)",
		pool, rate, mix.PromptTokens, mix.CachedTokens, mix.AnswerTokens)
}

// ClassOf returns the class with the given name, or nil if there is none.
func ClassOf(doc *document.Document, name string) *document.Class {
	for i := range doc.Classes {
		if doc.Classes[i].Name == name {
			return &doc.Classes[i]
		}
	}
	return nil
}

func modelOf(doc *document.Document, name string) *document.Model {
	for i := range doc.Models {
		if doc.Models[i].Name == name {
			return &doc.Models[i]
		}
	}
	return nil
}

func serviceOf(doc *document.Document, name string) *document.Service {
	for i := range doc.Services {
		if doc.Services[i].Name == name {
			return &doc.Services[i]
		}
	}
	return nil
}

// PoolOf returns the pool that serves the line's model or service, or "" if there
// is none.
func PoolOf(doc *document.Document, line *Line) string {
	if line.Kind == Engine {
		if model := modelOf(doc, line.Model); model != nil {
			return model.Pool
		}
		return ""
	}
	if service := serviceOf(doc, line.Service); service != nil {
		return service.Pool
	}
	return ""
}
