package sweep

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/replay/trace"
	"sycamoretrail/internal/replay/virtual"
)

// Bounds are the best goodputs that a trace allows, by tier and for AllTiers.
type Bounds struct {
	// Priority is the best goodput of each tier while the tiers above it are at
	// their best, which is the aim of strict priority.
	Priority map[string]float64 `json:"priority"`
	// Ceiling is the goodput that no policy exceeds, even if it sacrifices other
	// tiers.
	Ceiling map[string]float64 `json:"ceiling"`
	// Demand is the minimum work of the tiers per second of sending, as a share of
	// what their busiest pool does in a second.
	Demand map[string]float64 `json:"demand"`
}

// Bound computes the bounds analytically, for an oracle that has all requests,
// sizes and failures in advance and wastes nothing; docs/design/13-replay.md has
// the argument. A pool is modelled as one machine that may divide its time
// arbitrarily. The minimum work of each request must fit between its arrival and
// its deadline, and its first token must be in time.
func Bound(doc *document.Document, t *trace.Trace, faults []virtual.Fault) Bounds {
	sent := make([]float64, len(doc.Tiers))
	priority := make([]float64, len(doc.Tiers))
	ceiling := make([]float64, len(doc.Tiers))
	b := Bounds{Priority: map[string]float64{}, Ceiling: map[string]float64{}, Demand: map[string]float64{}}
	all := 0.0
	for _, pool := range doc.Pools {
		p := newPoolBound(doc, t, faults, pool.Name)
		if len(p.jobs) == 0 {
			continue
		}
		p.addDemand(b.Demand, doc, float64(t.Header.DurationMS)/1000)
		best := p.inPriority()
		for tier := range doc.Tiers {
			sent[tier] += float64(p.sent[tier])
			priority[tier] += best[tier]
			ceiling[tier] += p.most(func(j int) bool { return j == tier })
		}
		all += p.most(func(int) bool { return true })
	}
	total, served := 0.0, 0.0
	for tier := range doc.Tiers {
		if sent[tier] == 0 {
			continue
		}
		b.Priority[doc.Tiers[tier].Name] = priority[tier] / sent[tier]
		b.Ceiling[doc.Tiers[tier].Name] = ceiling[tier] / sent[tier]
		total += sent[tier]
		served += priority[tier]
	}
	if total > 0 {
		b.Priority[AllTiers] = served / total
		b.Ceiling[AllTiers] = min(all, sum(ceiling)) / total
	}
	return b
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// addDemand raises the demand of each tier, and of AllTiers, to that of this pool.
func (p *poolBound) addDemand(demand map[string]float64, doc *document.Document, seconds float64) {
	if seconds <= 0 {
		return
	}
	mine := map[string]float64{}
	for i := range p.jobs {
		if work := p.jobs[i].work; !math.IsInf(work, 1) {
			mine[doc.Tiers[p.jobs[i].tier].Name] += work / seconds
			mine[AllTiers] += work / seconds
		}
	}
	for tier, work := range mine {
		demand[tier] = max(demand[tier], work)
	}
}

// poolBound is the part of a trace that one pool serves.
type poolBound struct {
	stations []targetClass
	tiers    int
	sent     []int
	jobs     []poolJob
	// families is the number of distinct windows of jobs.
	families int
	end      time.Duration
	speed    func(time.Duration) float64
}

// poolJob is a request. Its bounds count from its arrival.
type poolJob struct {
	tier, family      int
	work              float64
	arrives           time.Duration
	firstToken, whole time.Duration
	answer            int
}

func newPoolBound(doc *document.Document, t *trace.Trace, faults []virtual.Fault, pool string) *poolBound {
	p := &poolBound{stations: stations(doc, pool), tiers: len(doc.Tiers), sent: make([]int, len(doc.Tiers))}
	var seconds [][]float64
	for i := range t.Lines {
		line := &t.Lines[i]
		rank, known := doc.TierRank(line.Tier)
		if !known || trace.PoolOf(doc, line) != pool {
			continue
		}
		j := poolJob{tier: int(rank), arrives: line.At(), answer: line.MaxTokens}
		j.firstToken, j.whole = bounds(doc, line, int(rank))
		p.sent[j.tier]++
		p.jobs = append(p.jobs, j)
		seconds = append(seconds, p.seconds(line, &j))
		p.end = max(p.end, j.arrives+j.whole)
	}
	findPrices(p.stations, seconds)
	for i := range p.jobs {
		p.jobs[i].work = work(p.stations, seconds[i])
	}
	p.findFamilies()
	p.speed = speedUnder(doc, pool, p.stations, faults)
	return p
}

// seconds returns the minimum times of the request by class, or none for a repeated
// request, since the run of the first one answers both.
func (p *poolBound) seconds(line *trace.Line, j *poolJob) []float64 {
	if line.Resend != nil {
		return nil
	}
	row := make([]float64, len(p.stations))
	for i := range p.stations {
		row[i] = p.stations[i].seconds(line, j.firstToken, j.whole)
	}
	return row
}

// bounds returns the bounds of the request, or of its tier where it has none. first
// is 0 if there is no bound for the first token.
func bounds(doc *document.Document, line *trace.Line, rank int) (first, whole time.Duration) {
	whole = line.Deadline()
	if whole == 0 {
		whole = time.Duration(doc.Tiers[rank].DeadlineMS) * time.Millisecond
	}
	first = line.FirstToken()
	if first == 0 && line.Kind == trace.Engine {
		first = time.Duration(doc.Tiers[rank].FirstTokenMS) * time.Millisecond
	}
	return min(first, whole), whole
}

// window is the pair of bounds that the jobs of a family share.
type window struct{ firstToken, whole time.Duration }

// maxFamilies limits the number of families, as all their subsets are stored. If a
// trace has more distinct windows they are widened, which keeps the bound valid.
const maxFamilies = 5

// findFamilies groups jobs with equal bounds into families, and widens windows if
// there are too many.
func (p *poolBound) findFamilies() {
	kinds := map[window]int{}
	for i := range p.jobs {
		kinds[window{p.jobs[i].firstToken, p.jobs[i].whole}] = 0
	}
	ordered := slices.SortedFunc(maps.Keys(kinds), func(a, b window) int {
		return cmp.Or(cmp.Compare(a.whole, b.whole), cmp.Compare(a.firstToken, b.firstToken))
	})
	p.families = min(len(ordered), maxFamilies)
	for i, kind := range ordered {
		kinds[kind] = i * p.families / len(ordered)
	}
	widest := make([]window, p.families)
	for _, kind := range ordered {
		w := &widest[kinds[kind]]
		w.whole = max(w.whole, kind.whole)
		// If one window has no bound for the first token, the family has none.
		if kind.firstToken == 0 || w.firstToken < 0 {
			w.firstToken = -1
		} else {
			w.firstToken = max(w.firstToken, kind.firstToken)
		}
	}
	for i := range p.jobs {
		j := &p.jobs[i]
		j.family = kinds[window{j.firstToken, j.whole}]
		j.firstToken, j.whole = max(widest[j.family].firstToken, 0), widest[j.family].whole
	}
}

// drain returns the maximum work that requests of the tiers can have left after
// their first tokens: a full batch at each engine.
func (p *poolBound) drain(which func(tier int) bool) float64 {
	longest := 0
	for i := range p.jobs {
		if which(p.jobs[i].tier) {
			longest = max(longest, p.jobs[i].answer)
		}
	}
	total := 0.0
	for i := range p.stations {
		s := &p.stations[i]
		total += s.price * float64(s.count) * s.drainSeconds(longest)
	}
	return total
}

// most returns the maximum number of requests of the tiers that can be in time if no
// others are served. It is the lower of two bounds: one by the deadlines alone, and
// one by the first tokens, after which a full batch may be left.
func (p *poolBound) most(which func(tier int) bool) float64 {
	drain := p.drain(which)
	byDeadline, byFirst := newFluid(p.end, p.speed, p.families), newFluid(p.end, p.speed, p.families)
	var whole, first []job
	for i := range p.jobs {
		j := &p.jobs[i]
		if !which(j.tier) {
			continue
		}
		w := job{family: j.family, work: j.work, begin: j.arrives, end: j.arrives + j.whole}
		whole = append(whole, w)
		w.end = byFirst.after(min(j.arrives+j.firstTokenOrWhole(), w.end), drain)
		first = append(first, w)
	}
	return min(byDeadline.serve(whole, 1)[0], byFirst.serve(first, 1)[0])
}

func (j *poolJob) firstTokenOrWhole() time.Duration {
	if j.firstToken > 0 {
		return j.firstToken
	}
	return j.whole
}

// inPriority returns the number of requests of each tier that can be in time while
// the tiers above are at their best.
func (p *poolBound) inPriority() []float64 {
	f := newFluid(p.end, p.speed, p.families)
	drain := make([]float64, p.tiers)
	for tier := range drain {
		drain[tier] = p.drain(func(other int) bool { return other == tier })
	}
	var jobs []job
	for i := range p.jobs {
		j := &p.jobs[i]
		w := job{tier: j.tier, family: j.family, work: j.work, begin: j.arrives, end: j.arrives + j.whole}
		if j.firstToken > 0 {
			w.end = min(w.end, f.after(j.arrives+j.firstToken, drain[j.tier]))
		}
		jobs = append(jobs, w)
	}
	return f.serve(jobs, p.tiers)
}
