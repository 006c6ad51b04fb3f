package fairshare_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/core/fairshare"
	"sycamoretrail/internal/core/quota"
)

// Simulated load of one cell: streams of three ranks and many organisations, over engines of
// which a third are more than four times as slow as the rest, and several entries that report
// their loads to each other. Callers that are refused return once, when they are told to.

const (
	service     = "assistant"
	worldWindow = 8 * time.Second
	// reportDelay is the age of reports when they reach the other entries.
	reportDelay = 8 * time.Millisecond
	engineSlots = 4
	// readPerMS is the number of prompt tokens that an engine of factor 1 reads in a
	// millisecond, eventTime its time from one event of a stream to the next, eventTokens the
	// number of tokens in an event.
	readPerMS   = 48.0
	eventTime   = 14500 * time.Microsecond
	eventTokens = 5
	promptSigma = 1.1
)

var start = time.Unix(1_000_000, 0)

// kind is a kind of stream; its rank is its index.
type kind struct {
	// part is its part of the requests.
	part                float64
	prompt              float64
	fewest, most        int
	objective, deadline time.Duration
}

var kinds = []kind{
	{part: 0.30, prompt: 3720, fewest: 20, most: 30, objective: 800 * time.Millisecond, deadline: 8 * time.Second},
	{part: 0.35, prompt: 2890, fewest: 9, most: 13, objective: 500 * time.Millisecond, deadline: 5 * time.Second},
	{part: 0.35, prompt: 1110, fewest: 29, most: 43, objective: time.Second, deadline: 12 * time.Second},
}

// organisation is an organisation of the simulation.
type organisation struct {
	name     string
	priority int
	// usual is its usual number of requests a second, surge the factor during the burst.
	usual, surge float64
}

// job is one request of a caller, over both of its attempts.
type job struct {
	organisation *organisation
	rank         int
	prompt       int
	events       int
	arrived      time.Time
	attempts     int
	// admitted and excess are set if that is so for any attempt.
	admitted, excess bool
	first, ended     time.Time
}

func (j *job) cost() float64 { return float64(j.prompt + j.events*eventTokens) }

func (j *job) answered() bool {
	return !j.ended.IsZero() && j.ended.Sub(j.arrived) <= kinds[j.rank].deadline
}

func (j *job) inTime() bool {
	return j.answered() && j.first.Sub(j.arrived) <= kinds[j.rank].objective
}

func (j *job) isExcess() bool { return j.excess }

type simEngine struct {
	factor  float64
	running int
	queue   []func()
}

type simEntry struct {
	name    string
	sched   *dispatch.Scheduler
	policer *fairshare.Policer
	jobs    map[*dispatch.Ticket]*job
}

type simEvent struct {
	at time.Time
	do func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// sent is a cost that was sent to a target.
type sent struct {
	at   time.Time
	cost float64
}

// world is the simulation. fair turns fair sharing on. The entries share one limiter, as if
// reports of usage took no time.
type world struct {
	now           time.Time
	pending       simEvents
	random        *rand.Rand
	fair          bool
	organisations []*organisation
	// paceFactor is the rate of a quota as a multiple of the organisation's usual use.
	paceFactor float64
	lowest     int
	limiter    *quota.Limiter
	rates      map[string]float64
	engines    map[string]*simEngine
	entries    []*simEntry
	jobs       []*job
	sent       map[string][]sent
	// from and until bound the burst.
	from, until time.Duration
}

func newWorld(seed uint64, fair bool, entries, engines int, organisations []*organisation) *world {
	w := &world{
		now: start, random: rand.New(rand.NewPCG(seed, 7)), fair: fair, organisations: organisations, paceFactor: 1.8,
		limiter: quota.New(quota.Config{Window: worldWindow}, start.Add(-time.Minute)),
		rates:   make(map[string]float64), engines: make(map[string]*simEngine), sent: make(map[string][]sent),
	}
	var list []catalog.Target
	for i := range engines {
		id := fmt.Sprintf("t-%02d", i)
		w.engines[id] = &simEngine{factor: []float64{0.68, 0.68, 3}[i%3]}
		list = append(list, catalog.Target{ID: id, Service: service, Zone: "a", Slots: engineSlots})
	}
	for i := range entries {
		e := &simEntry{name: fmt.Sprintf("e-%d", i), policer: fairshare.NewPolicer(worldWindow), jobs: make(map[*dispatch.Ticket]*job)}
		e.sched = dispatch.New(dispatch.Config{Name: e.name, Zone: "a"})
		e.sched.SetTargets(start, list)
		e.sched.SetEntries(entries)
		w.entries = append(w.entries, e)
	}
	return w
}

// setQuotas sets the quotas as multiples of the organisations' usual use.
func (w *world) setQuotas() {
	var organisations []catalog.Organisation
	for _, t := range w.organisations {
		w.lowest = max(w.lowest, t.priority)
		w.rates[t.name] = t.usual * meanCost() * w.paceFactor
		organisations = append(organisations, catalog.Organisation{Name: t.name, Rate: w.rates[t.name], CountsTokens: true})
	}
	w.limiter.SetOrganisations(organisations)
}

// meanCost is the mean cost of a request in tokens.
func meanCost() float64 {
	sum := 0.0
	for _, k := range kinds {
		sum += k.part * (k.prompt + float64(k.fewest+k.most)/2*eventTokens)
	}
	return sum
}

// capacity returns the number of requests a second that the engines can run.
func (w *world) capacity() float64 {
	slots := 0.0
	for _, e := range w.engines {
		slots += engineSlots / e.factor
	}
	work := 0.0
	for _, k := range kinds {
		work += k.part * (k.prompt/readPerMS/1000 + float64(k.fewest+k.most)/2*eventTime.Seconds())
	}
	return slots / work
}

func (w *world) after(pause time.Duration, do func()) {
	heap.Push(&w.pending, simEvent{w.now.Add(pause), do})
}

// run simulates a burst within a time.
func (w *world) run(from, until, length time.Duration) {
	w.from, w.until = from, until
	for _, t := range w.organisations {
		w.offer(t, length)
	}
	w.tick(length + 13*time.Second)
	for w.pending.Len() > 0 {
		next := heap.Pop(&w.pending).(simEvent)
		w.now = next.at
		next.do()
	}
}

func (w *world) offer(t *organisation, length time.Duration) {
	at := w.now.Sub(start)
	if at >= length {
		return
	}
	rate := t.usual
	if at >= w.from && at < w.until {
		rate *= t.surge
	}
	// Long pauses are cut so that a change of the rate takes effect.
	pause := w.random.ExpFloat64() / rate
	if pause > 0.1 {
		w.after(100*time.Millisecond, func() { w.offer(t, length) })
		return
	}
	w.after(time.Duration(pause*float64(time.Second)), func() {
		w.arrive(t)
		w.offer(t, length)
	})
}

func (w *world) arrive(t *organisation) {
	j := &job{organisation: t, arrived: w.now}
	draw := w.random.Float64()
	for draw -= kinds[0].part; draw > 0 && j.rank < len(kinds)-1; draw -= kinds[j.rank].part {
		j.rank++
	}
	k := kinds[j.rank]
	j.prompt = 1 + int(min(12*k.prompt, k.prompt*math.Exp(promptSigma*w.random.NormFloat64()-promptSigma*promptSigma/2)))
	j.events = k.fewest + w.random.IntN(k.most-k.fewest+1)
	w.jobs = append(w.jobs, j)
	w.attempt(j)
}

// attempt sends a request to an entry.
func (w *world) attempt(j *job) {
	j.attempts++
	k := kinds[j.rank]
	expires := j.arrived.Add(k.deadline)
	if !w.now.Before(expires) {
		return
	}
	e := w.entries[w.random.IntN(len(w.entries))]
	result := w.limiter.Admit(w.now, j.organisation.name, j.cost(), j.rank)
	if !result.Admitted {
		w.retry(j, max(dispatch.MinRetryAfter, result.RetryAfter))
		return
	}
	j.admitted = true
	request := dispatch.Request{
		ID: fmt.Sprint(len(w.jobs), j.attempts), Service: service, Class: fmt.Sprint(j.rank), Priority: j.organisation.priority, Rank: j.rank,
		Organisation: j.organisation.name, Arrived: w.now, Objective: w.now.Add(k.objective), Expires: expires,
		BeginBy: w.now.Add(max(2*time.Second, 4*k.objective)), Waited: w.now.Sub(j.arrived),
		Work: dispatch.Work{Prompt: j.prompt, Output: j.events * eventTokens},
	}
	if w.fair {
		request.Weight = w.rates[j.organisation.name]
		profile := e.policer.Classify(w.now, fairshare.Demand{
			Organisation: j.organisation.name, Rank: j.rank, Cost: j.cost(), Entries: len(w.entries), Used: result.Used, Limit: result.Limit,
		})
		if profile.Excess {
			j.excess, request.Excess, request.Priority = true, true, w.lowest
		}
	}
	ticket, effects := e.sched.Submit(w.now, request)
	e.jobs[ticket] = j
	w.apply(e, effects)
	w.report(e)
}

func (w *world) retry(j *job, pause time.Duration) {
	if j.attempts < 2 {
		w.after(time.Duration(float64(pause)*(0.5+w.random.Float64())), func() { w.attempt(j) })
	}
}

func (w *world) apply(e *simEntry, effects dispatch.Effects) {
	for _, r := range effects.Refusals {
		j := e.jobs[r.Ticket]
		delete(e.jobs, r.Ticket)
		w.limiter.Withdraw(w.now, j.organisation.name, j.cost())
		w.retry(j, r.RetryAfter)
	}
	for _, grant := range effects.Grants {
		j := e.jobs[grant.Ticket]
		w.limiter.Sent(w.now, j.organisation.name, j.cost())
		w.sent[j.organisation.name] = append(w.sent[j.organisation.name], sent{w.now, j.cost()})
		at := w.engines[grant.Target.ID]
		at.queue = append(at.queue, func() { w.start(e, at, grant.Ticket) })
		w.next(at)
	}
}

func (w *world) next(at *simEngine) {
	for at.running < engineSlots && len(at.queue) > 0 {
		begin := at.queue[0]
		at.queue = at.queue[1:]
		at.running++
		begin()
	}
}

func (w *world) start(e *simEntry, at *simEngine, ticket *dispatch.Ticket) {
	j := e.jobs[ticket]
	each := time.Duration(at.factor * float64(eventTime))
	first := time.Duration(at.factor*float64(j.prompt)/readPerMS*float64(time.Millisecond)) + each
	rest := each * time.Duration(j.events-1)
	w.after(first, func() {
		j.first = w.now
		e.sched.ObserveFirstEvent(w.now, ticket)
	})
	w.after(first+rest, func() {
		j.ended = w.now
		at.running--
		w.next(at)
		w.apply(e, e.sched.Done(w.now, ticket, dispatch.Report{Outcome: dispatch.Answered, First: first, Rest: rest, Latency: each, LongestPause: each}))
		w.report(e)
	})
}

func (w *world) report(e *simEntry) {
	load := e.sched.OwnLoad(w.now)
	w.after(reportDelay, func() {
		for _, other := range w.entries {
			if other != e {
				w.apply(other, other.sched.SetPeerLoad(w.now, e.name, load))
			}
		}
	})
}

func (w *world) tick(until time.Duration) {
	for _, e := range w.entries {
		w.apply(e, e.sched.Tick(w.now))
	}
	if w.now.Sub(start) < until {
		w.after(10*time.Millisecond, func() { w.tick(until) })
	}
}

// during returns the requests that arrived within a time.
func (w *world) during(from, until time.Duration) []*job {
	return keep(w.jobs, func(j *job) bool {
		at := j.arrived.Sub(start)
		return at >= from && at < until
	})
}

// keep returns the requests that match.
func keep(jobs []*job, match func(*job) bool) []*job {
	var found []*job
	for _, j := range jobs {
		if match(j) {
			found = append(found, j)
		}
	}
	return found
}

// part returns the part of requests that have a property.
func part(jobs []*job, has func(*job) bool) float64 {
	n := 0
	for _, j := range jobs {
		if has(j) {
			n++
		}
	}
	return float64(n) / float64(max(1, len(jobs)))
}

// largestDecile returns the largest tenth of the requests by size.
func largestDecile(jobs []*job) []*job {
	sorted := slices.SortedFunc(slices.Values(jobs), func(a, b *job) int { return b.prompt - a.prompt })
	return sorted[:len(sorted)/10]
}

// mostUsed returns the largest cost that a organisation has sent within a window.
func (w *world) mostUsed(name string) float64 {
	most, sum, from := 0.0, 0.0, 0
	all := w.sent[name]
	for _, s := range all {
		sum += s.cost
		for s.at.Sub(all[from].at) >= worldWindow {
			sum -= all[from].cost
			from++
		}
		most = max(most, sum)
	}
	return most
}
