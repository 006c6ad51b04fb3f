package trace

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/request"
)

// Errors of Generate.
var (
	ErrDeployment = errors.New("unknown deployment")
	ErrScenario   = errors.New("unknown scenario")
	ErrDocument   = errors.New("document cannot carry the workload")
)

// Options are the parameters of a generated trace, in addition to the document.
type Options struct {
	Deployment Deployment
	Seed       uint64
	// Load is the mean engine demand as a multiple of the pool's capacity.
	Load float64
	// Seconds is the time over which requests arrive.
	Seconds  float64
	Scenario Scenario
}

// generator is the state of one Generate call.
type generator struct {
	options  Options
	document *document.Document
	workload workload
	random   *rand.Rand
	model    document.Model
	service  document.Service
	// rate is the engine requests per second at the requested load.
	rate  float64
	lines []Line
}

// Generate generates a trace. It is deterministic: the same options and document
// give the same trace.
func Generate(doc *document.Document, options Options) (*Trace, error) {
	g, err := newGenerator(doc, options)
	if err != nil {
		return nil, err
	}
	capacity := Capacity(doc, g.model.Pool, g.mix())
	if capacity <= 0 {
		return nil, fmt.Errorf("%w: pool %q has no engine with a prefill rate", ErrDocument, g.model.Pool)
	}
	g.rate = capacity * options.Load
	for i := range g.workload.streams {
		if err := g.addStream(&g.workload.streams[i]); err != nil {
			return nil, err
		}
	}
	if err := g.addScenario(capacity); err != nil {
		return nil, err
	}
	g.sort()
	g.addResends()
	header := Header{
		Format: FormatVersion, Name: fmt.Sprintf("%s-%s-%d", options.Deployment, options.Scenario, options.Seed),
		Deployment: string(options.Deployment), Seed: options.Seed, Load: options.Load,
		Scenario: string(options.Scenario), DurationMS: int64(options.Seconds * 1000),
		Capacity: CapacityNote(g.model.Pool, g.mix(), capacity),
	}
	return &Trace{Header: header, Lines: g.lines}, nil
}

func newGenerator(doc *document.Document, options Options) (*generator, error) {
	g := &generator{options: options, document: doc, random: rand.New(rand.NewPCG(options.Seed, 0))}
	switch options.Deployment {
	case Tanglaw:
		g.workload = tanglaw()
	case Quebracho:
		g.workload = quebracho()
	default:
		return nil, fmt.Errorf("%w: %q", ErrDeployment, options.Deployment)
	}
	if len(doc.Models) == 0 || len(doc.Services) == 0 || len(doc.Tiers) == 0 || len(doc.Organisations) == 0 {
		return nil, fmt.Errorf("%w: it needs a model, a service, tiers and organisations", ErrDocument)
	}
	g.model = doc.Models[0]
	g.service = doc.Services[0]
	return g, nil
}

// mix returns the mean engine request of the workload. The complete blocks of a
// shared prefix count as cached, which holds once each engine has computed them.
func (g *generator) mix() Mix {
	var mix Mix
	for i := range g.workload.streams {
		s := &g.workload.streams[i]
		if s.kind != Engine {
			continue
		}
		mix.PromptTokens += s.weight * s.prompt.mean()
		mix.CachedTokens += s.weight * float64(s.shared/request.PrefixBlockTokens*request.PrefixBlockTokens)
		mix.AnswerTokens += s.weight * s.answer.mean()
	}
	return mix
}

// addStream adds the arrivals of a stream: a Poisson process whose rate follows
// the bursts while its mean over time stays weight × rate.
func (g *generator) addStream(s *stream) error {
	mean := g.rate * s.weight
	base := mean / g.meanFactor(s)
	peak := base * g.peakFactor(s)
	if peak <= 0 {
		return nil
	}
	for at := g.random.ExpFloat64() / peak; at < g.options.Seconds; at += g.random.ExpFloat64() / peak {
		if g.random.Float64()*peak >= base*g.factorAt(s, at) {
			continue
		}
		organisation, err := g.organisation(s)
		if err != nil {
			return err
		}
		g.lines = append(g.lines, g.line(s, organisation, at))
	}
	return nil
}

// meanFactor returns the mean burst factor over time. The extra load of a shift
// burst is not included.
func (g *generator) meanFactor(s *stream) float64 {
	if !s.bursty {
		return 1
	}
	return 1 + (g.workload.burstFactor-1)*g.workload.burstSeconds/g.workload.burstEvery
}

func (g *generator) peakFactor(s *stream) float64 {
	factor := 1.0
	if s.bursty {
		factor = g.workload.burstFactor
	}
	if s.shift && g.options.Scenario == ShiftBurst {
		factor *= ShiftFactor
	}
	return factor
}

func (g *generator) factorAt(s *stream, at float64) float64 {
	factor := 1.0
	phase := at - g.workload.burstEvery*float64(int(at/g.workload.burstEvery))
	// The burst is at the end of its period, so that a short trace begins at the
	// base rate.
	if s.bursty && phase >= g.workload.burstEvery-g.workload.burstSeconds {
		factor = g.workload.burstFactor
	}
	half := g.options.Seconds / 2
	if s.shift && g.options.Scenario == ShiftBurst && at >= half && at < half+shiftSeconds {
		factor *= ShiftFactor
	}
	return factor
}

// addScenario adds the requests of the scenario that are not part of the streams.
func (g *generator) addScenario(capacity float64) error {
	switch g.options.Scenario {
	case Typical, ShiftBurst:
		return nil
	case Flood:
		return g.addFlood(capacity * FloodFactor)
	case BriefsDuringCall:
		return g.addBriefs()
	}
	return fmt.Errorf("%w: %q", ErrScenario, g.options.Scenario)
}

func (g *generator) addFlood(rate float64) error {
	s := &g.workload.streams[0]
	allowed := g.allowed(s)
	if len(allowed) == 0 {
		return g.noOrganisation(s)
	}
	end := g.options.Seconds * 2 / 3
	for at := g.options.Seconds / 3; at < end; at += g.random.ExpFloat64() / rate {
		g.lines = append(g.lines, g.line(s, allowed[0], at))
	}
	return nil
}

// addBriefs adds packs of requests of the stream with the longest prompts, which
// are the briefs where the workload has them.
func (g *generator) addBriefs() error {
	longest := &g.workload.streams[0]
	for i := range g.workload.streams {
		if g.workload.streams[i].prompt.high > longest.prompt.high {
			longest = &g.workload.streams[i]
		}
	}
	for range callPacks {
		at := g.options.Seconds/2 + g.random.Float64()
		organisation, err := g.organisation(longest)
		if err != nil {
			return err
		}
		for range briefsPerPack {
			g.lines = append(g.lines, g.line(longest, organisation, at))
		}
	}
	return nil
}

// line draws one random request of a stream.
func (g *generator) line(s *stream, organisation string, at float64) Line {
	l := Line{
		AtMS: int64(at * 1000), Organisation: organisation, Tier: g.tier(s), Kind: s.kind,
		DeadlineMS: s.deadlineMS, FirstTokenMS: s.firstTokenMS, Idempotent: !s.keyed,
	}
	if s.keyed {
		l.Key = fmt.Sprintf("%s-%08x", s.name, g.random.Uint32())
	}
	if s.kind == Service {
		l.Service, l.Method, l.Path = g.service.Name, s.method, s.path
		return l
	}
	l.Model = g.model.Name
	l.PromptTokens = g.draw(s.prompt)
	l.MaxTokens = g.draw(s.answer)
	if s.shared > 0 {
		l.SharedPrefix = &Prefix{ID: organisation + "/" + s.name, Tokens: s.shared}
	}
	return l
}

func (g *generator) draw(s span) int { return s.low + g.random.IntN(s.high-s.low+1) }

func (g *generator) tier(s *stream) string {
	return g.document.Tiers[min(s.rank, len(g.document.Tiers)-1)].Name
}

// organisationShares are the relative shares of traffic by position among the
// allowed organisations: a few organisations send most of it.
var organisationShares = []float64{0.42, 0.3, 0.14, 0.09, 0.05}

// organisation draws an organisation that may use the stream's tier. The first
// ones of the document get the largest shares.
func (g *generator) organisation(s *stream) (string, error) {
	allowed := g.allowed(s)
	if len(allowed) == 0 {
		return "", g.noOrganisation(s)
	}
	total := 0.0
	for i := range allowed {
		total += organisationShares[min(i, len(organisationShares)-1)]
	}
	point := g.random.Float64() * total
	for i, name := range allowed {
		point -= organisationShares[min(i, len(organisationShares)-1)]
		if point < 0 {
			return name, nil
		}
	}
	return allowed[len(allowed)-1], nil
}

func (g *generator) allowed(s *stream) []string {
	var names []string
	for i := range g.document.Organisations {
		o := &g.document.Organisations[i]
		permitted := slices.Contains(o.Models, g.model.Name)
		if s.kind == Service {
			permitted = slices.Contains(o.Services, g.service.Name)
		}
		if permitted && slices.Contains(o.Tiers, g.tier(s)) {
			names = append(names, o.Name)
		}
	}
	return names
}

func (g *generator) noOrganisation(s *stream) error {
	return fmt.Errorf("%w: no organisation may use tier %q for %q", ErrDocument, g.tier(s), s.name)
}

func (g *generator) sort() {
	slices.SortStableFunc(g.lines, func(a, b Line) int { return cmp.Compare(a.AtMS, b.AtMS) })
}

// resendAfterMS is the delay after which a caller resends a request.
var resendAfterMS = span{50, 1500}

// addResends repeats some keyed calls, half under the same id and half under a
// new id with the same key. It sorts the lines again and adjusts Resend.Of.
func (g *generator) addResends() {
	originals := len(g.lines)
	for i := range originals {
		l := g.lines[i]
		if l.Key == "" || g.random.Float64() >= g.workload.resendShare {
			continue
		}
		after := int64(g.draw(resendAfterMS))
		l.AtMS += after
		l.Resend = &Resend{Of: i, AfterMS: after, SameID: g.random.IntN(2) == 0}
		g.lines = append(g.lines, l)
	}
	order := make([]int, len(g.lines))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(g.lines[a].AtMS, g.lines[b].AtMS) })
	sorted := make([]Line, len(order))
	position := make([]int, len(order))
	for to, from := range order {
		sorted[to] = g.lines[from]
		position[from] = to
	}
	for i := range sorted {
		if r := sorted[i].Resend; r != nil {
			r.Of = position[r.Of]
		}
	}
	g.lines = sorted
}
