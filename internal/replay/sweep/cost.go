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

// targetClass is the set of a pool's targets of one class.
type targetClass struct {
	class *document.Class
	// engine holds the parameters of engines; it is nil for a plain service.
	engine *enginemodel.Params
	count  int
	// price of a second of one target, as a share of a second of the entire pool.
	price float64
}

// stations groups the targets of a pool by class.
func stations(doc *document.Document, pool string) []targetClass {
	var all []targetClass
	for i := range doc.Targets {
		target := &doc.Targets[i]
		class := trace.ClassOf(doc, target.Class)
		if target.Pool != pool || target.Leaving || class == nil {
			continue
		}
		index := slices.IndexFunc(all, func(s targetClass) bool { return s.class == class })
		if index >= 0 {
			all[index].count++
			continue
		}
		s := targetClass{class: class, count: 1}
		if class.Kind == document.KindEngine {
			params := virtual.EngineParams(class)
			s.engine = &params
		}
		all = append(all, s)
	}
	return all
}

// seconds returns the minimum time of one target of the class that a request uses,
// or infinity if it cannot be in time there even without other requests.
func (s *targetClass) seconds(line *trace.Line, firstToken, deadline time.Duration) float64 {
	if s.engine == nil {
		return trace.ServiceMS(s.class) / 1000 / float64(max(s.class.MaxInFlight, 1))
	}
	e := s.engine
	missing := float64(max(line.PromptTokens-sharedTokens(line), 1))
	chunks := math.Ceil(missing / float64(e.PrefillChunk))
	later := float64(line.MaxTokens - 1)
	// Without other requests on the engine, the request bears each step in full.
	first := missing/e.PrefillRate + chunks*e.StepBase.Seconds()
	whole := first + later*(e.StepBase+e.StepPerSequence).Seconds()
	if firstToken > 0 && first > firstToken.Seconds() || deadline > 0 && whole > deadline.Seconds() {
		return math.Inf(1)
	}
	// In a full batch, the fixed part of a step is shared by all its requests.
	share := e.StepBase.Seconds() / float64(e.MaxBatch)
	return missing/e.PrefillRate + (chunks+later)*share + later*e.StepPerSequence.Seconds()
}

// sharedTokens returns the prompt tokens that a prefix cache can have: the complete
// blocks of the shared prefix.
func sharedTokens(line *trace.Line) int {
	if line.SharedPrefix == nil {
		return 0
	}
	return min(line.SharedPrefix.Tokens, line.PromptTokens) / request.PrefixBlockTokens * request.PrefixBlockTokens
}

// drainSeconds returns the maximum time in which one engine of the class completes a
// full batch after its first tokens, for answers of the given length.
func (s *targetClass) drainSeconds(tokens int) float64 {
	if s.engine == nil || tokens < 2 {
		return 0
	}
	step := s.engine.StepBase + time.Duration(s.engine.MaxBatch)*s.engine.StepPerSequence
	return float64(tokens-1) * step.Seconds()
}

// work returns the cost of a request in priced seconds at the class where it is
// cheapest, or 0 for a request without times.
func work(all []targetClass, seconds []float64) float64 {
	if len(seconds) == 0 {
		return 0
	}
	least := math.Inf(1)
	for i := range all {
		least = min(least, seconds[i]*all[i].price)
	}
	return least
}

// setPrices sets prices in proportion to weights, so that a second of the entire
// pool costs 1.
func setPrices(all []targetClass, weights []float64) {
	total := 0.0
	for i := range all {
		total += weights[i] * float64(all[i].count)
	}
	for i := range all {
		all[i].price = weights[i] / total
	}
}

// priceSteps and priceRange define the price ratios tried for a class, around the
// ratio of its speed to that of the first class.
const (
	priceSteps = 24
	priceRange = 2.0
)

// findPrices searches for the prices under which the requests cost the most, as
// these give the tightest bound. Any prices give a valid bound: a schedule that
// uses t seconds of the classes pays Σ price × t, which is at least the work of the
// request and in total at most 1 per second.
func findPrices(all []targetClass, seconds [][]float64) {
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

func totalWork(all []targetClass, seconds [][]float64) float64 {
	sum := 0.0
	for _, row := range seconds {
		if w := work(all, row); !math.IsInf(w, 1) {
			sum += w
		}
	}
	return sum
}
