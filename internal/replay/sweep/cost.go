package sweep

import (
	"math"
	"slices"
	"time"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/replay/trace"
	"sycamoretrail/internal/replay/virtual"
	"sycamoretrail/internal/standin/enginemodel"
)

// station is one class of a pool's targets.
type station struct {
	class *document.Class
	// engine's parameters; for a plain service nothing.
	engine *enginemodel.Params
	count  int
	// price of a second of one target, in parts of a second of the whole pool.
	price float64
}

// stations gathers a pool's targets by class.
func stations(doc *document.Document, pool string) []station {
	var all []station
	for i := range doc.Targets {
		target := &doc.Targets[i]
		class := trace.ClassOf(doc, target.Class)
		if target.Pool != pool || target.Leaving || class == nil {
			continue
		}
		place := slices.IndexFunc(all, func(s station) bool { return s.class == class })
		if place >= 0 {
			all[place].count++
			continue
		}
		s := station{class: class, count: 1}
		if class.Kind == document.KindEngine {
			params := virtual.EngineParams(class)
			s.engine = &params
		}
		all = append(all, s)
	}
	return all
}

// seconds is the least time that a request takes of one target of the class;
// infinite if it can't be in time there even alone.
func (s *station) seconds(line *trace.Line, firstToken, deadline time.Duration) float64 {
	if s.engine == nil {
		return trace.ServiceMS(s.class) / 1000 / float64(max(s.class.MaxInFlight, 1))
	}
	e := s.engine
	missing := float64(max(line.PromptTokens-sharedTokens(line), 1))
	chunks := math.Ceil(missing / float64(e.PrefillChunk))
	later := float64(line.MaxTokens - 1)
	// Alone on the engine: every step is the request's.
	first := missing/e.PrefillRate + chunks*e.StepBase.Seconds()
	whole := first + later*(e.StepBase+e.StepPerSequence).Seconds()
	if firstToken > 0 && first > firstToken.Seconds() || deadline > 0 && whole > deadline.Seconds() {
		return math.Inf(1)
	}
	// In a full batch: a step's fixed part is shared by all that run in it.
	share := e.StepBase.Seconds() / float64(e.MaxBatch)
	return missing/e.PrefillRate + (chunks+later)*share + later*e.StepPerSequence.Seconds()
}

// sharedTokens are the prompt tokens that a prefix cache can hold: whole blocks.
func sharedTokens(line *trace.Line) int {
	if line.SharedPrefix == nil {
		return 0
	}
	return min(line.SharedPrefix.Tokens, line.PromptTokens) / request.PrefixBlockTokens * request.PrefixBlockTokens
}

// drainSeconds is the greatest time that one engine of the class needs to finish
// a full batch whose first tokens are out, for answers of so many tokens.
func (s *station) drainSeconds(tokens int) float64 {
	if s.engine == nil || tokens < 2 {
		return 0
	}
	step := s.engine.StepBase + time.Duration(s.engine.MaxBatch)*s.engine.StepPerSequence
	return float64(tokens-1) * step.Seconds()
}

// work is a request's cost in priced seconds: at the class where it is cheapest;
// nothing for a request without times.
func work(all []station, seconds []float64) float64 {
	if len(seconds) == 0 {
		return 0
	}
	least := math.Inf(1)
	for i := range all {
		least = min(least, seconds[i]*all[i].price)
	}
	return least
}

// setPrices sets prices in proportion to weights, so that a second of the whole
// pool costs 1.
func setPrices(all []station, weights []float64) {
	total := 0.0
	for i := range all {
		total += weights[i] * float64(all[i].count)
	}
	for i := range all {
		all[i].price = weights[i] / total
	}
}

// priceSteps and priceRange: which ratios of prices are tried for a class, around
// the ratio of its speed to the first one's.
const (
	priceSteps = 24
	priceRange = 2.0
)

// findPrices looks for prices under which the requests cost the most: that makes
// the bound tightest. Any prices give a bound, since a schedule that takes t
// seconds of the classes pays Σ price × t, which is at least the request's work
// and in all at most 1 a second.
func findPrices(all []station, seconds [][]float64) {
	weights := make([]float64, len(all))
	for i := range all {
		weights[i] = 1 / max(meanSeconds(seconds, i), 1e-9)
	}
	for i := 1; i < len(all); i++ {
		speed, best, most := weights[i], weights[i], -1.0
		for step := -priceSteps; step <= priceSteps; step++ {
			weights[i] = speed * math.Pow(priceRange, float64(step)/priceSteps)
			setPrices(all, weights)
			if cost := totalWork(all, seconds); cost > most {
				best, most = weights[i], cost
			}
		}
		weights[i] = best
	}
	setPrices(all, weights)
}

func meanSeconds(seconds [][]float64, class int) float64 {
	sum, n := 0.0, 0
	for _, row := range seconds {
		if len(row) > 0 && !math.IsInf(row[class], 1) {
			sum += row[class]
			n++
		}
	}
	return sum / float64(max(n, 1))
}

func totalWork(all []station, seconds [][]float64) float64 {
	sum := 0.0
	for _, row := range seconds {
		if w := work(all, row); !math.IsInf(w, 1) {
			sum += w
		}
	}
	return sum
}
