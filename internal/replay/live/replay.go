package live

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/answerhead"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/replay/report"
	"sycamoretrail/internal/replay/trace"
)

// replay is the state of a live replay.
type replay struct {
	options Options
	http    *fasthttp.Client
	start   time.Time
	// tag makes the ids and keys of this replay distinct from those of others.
	tag     string
	callers []*directory
	calls   []report.Call
	// ids holds the id of each line once it is formed, for lines that repeat it.
	ids []atomic.Pointer[ident.RequestID]
	// sends counts how often the id of a line was sent.
	sends []atomic.Int32
}

// Run sends the complete trace and returns the input of the report. If the context
// is done it stops early and leaves the rest unsent.
func Run(ctx context.Context, options Options) (report.Input, error) {
	if err := options.check(); err != nil {
		return report.Input{}, err
	}
	r := newReplay(options)
	defer r.http.CloseIdleConnections()
	if _, err := r.callers[0].current(time.Now()); err != nil {
		return report.Input{}, err
	}
	if err := r.sendAll(ctx); err != nil {
		return report.Input{}, err
	}
	in := report.Input{
		Trace: options.Trace.Header.Name, Mode: "live", Seed: options.Trace.Header.Seed,
		Load: options.Trace.Header.Load, Calls: r.calls, Tolerance: options.Tolerance, Start: r.start,
	}
	for i := range options.Document.Tiers {
		in.Tiers = append(in.Tiers, options.Document.Tiers[i].Name)
	}
	if options.Ledgers {
		in.Runs, in.LostLedgers = readLedgers(r.http, options.Document, options.AdminOffset, r.start)
	}
	return in, nil
}

func newReplay(options Options) *replay {
	start := time.Now()
	r := &replay{
		options: options, start: start, tag: strconv.FormatInt(start.UnixMilli(), 36),
		calls: make([]report.Call, len(options.Trace.Lines)),
		ids:   make([]atomic.Pointer[ident.RequestID], len(options.Trace.Lines)),
		sends: make([]atomic.Int32, len(options.Trace.Lines)),
	}
	r.http = newHTTP(options.Concurrency)
	zones := options.zones()
	for i := range options.Callers {
		r.callers = append(r.callers, &directory{
			http: r.http, zone: zones[i%len(zones)], seeds: rotate(options.Entries, i),
		})
	}
	return r
}

func newHTTP(connections int) *fasthttp.Client {
	return &fasthttp.Client{
		Name:                "sycamore-replay",
		Dial:                func(addr string) (net.Conn, error) { return fasthttp.DialTimeout(addr, dialTimeout) },
		MaxConnsPerHost:     connections,
		MaxIdleConnDuration: 10 * time.Second,
		// A retry by the library would hide the failure of an entry from the caller.
		MaxIdemponentCallAttempts: 1,
		ConfigureClient:           answerhead.Configure,
	}
}

// sendAll sends each line at its time and waits for all answers.
func (r *replay) sendAll(ctx context.Context) error {
	pool := pond.NewPool(r.options.Concurrency)
	defer pool.StopAndWait()
	for i := range r.options.Trace.Lines {
		timer := time.NewTimer(time.Until(r.start.Add(r.options.Trace.Lines[i].At())))
		select {
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("replay stopped at line %d: %w", i, ctx.Err())
		case <-timer.C:
		}
		pool.Submit(func() { r.perform(i) })
	}
	return nil
}

// perform sends the request of one line and records what its caller receives.
func (r *replay) perform(index int) {
	line := &r.options.Trace.Lines[index]
	call := &r.calls[index]
	r.describe(call, index)
	call.Sent = time.Since(r.start)
	giveUp := r.start.Add(call.Sent + call.Deadline + r.options.GiveUp)
	defer func() {
		if call.Ended == 0 {
			call.Ended = time.Since(r.start)
		}
	}()

	caller := r.callers[r.source(index)%len(r.callers)]
	entries, err := caller.current(time.Now())
	if err != nil {
		return
	}
	id, turn := r.formID(index, entries.IDPrefix)
	call.ID = string(id)
	content, err := body(r.options.Trace, index)
	if err != nil {
		return
	}
	x := &exchange{
		http: r.http, line: line, id: call.ID, key: call.Key, token: r.options.Tokens[line.Organisation],
		body: content, answer: newAnswer(r.ownIDs(index)...), sent: r.start.Add(call.Sent),
	}
	r.tryEntries(x, call, caller, entries, turn, giveUp)
}

// tryEntries tries one entry after another until one returns the final outcome.
func (r *replay) tryEntries(x *exchange, call *report.Call, caller *directory, entries entriesAnswer, turn int, giveUp time.Time) {
	for time.Now().Before(giveUp) {
		call.Attempts++
		address := entries.Entries[turn%len(entries.Entries)].Address
		call.Asked = append(call.Asked, address)
		if x.stream != "" {
			call.Attached++
		}
		until := time.Now().Add(r.waitLimit(call))
		if until.After(giveUp) {
			until = giveUp
		}
		status, err := x.send(address, until)
		if err == nil {
			r.settle(x, call, status)
			return
		}
		call.EntryFaults = append(call.EntryFaults, entryFault(err))
		caller.invalidate(entries.IDPrefix)
		turn++
		if turn%len(entries.Entries) != 0 {
			continue
		}
		time.Sleep(pauseAfterRound)
		if fresh, err := caller.current(time.Now()); err == nil {
			entries = fresh
		}
	}
}

// waitLimit returns the wait limit for one entry: the time left to the deadline
// plus options.WaitLimit.
func (r *replay) waitLimit(call *report.Call) time.Duration {
	left := call.Sent + call.Deadline - time.Since(r.start)
	return max(left, 0) + r.options.WaitLimit
}

func (r *replay) settle(x *exchange, call *report.Call, status outcome.Status) {
	call.Settled = true
	call.Status = status
	call.Ended = x.ended.Sub(r.start)
	call.Fault = x.answer.fault
	call.Gaps = x.answer.gaps
	if !x.answer.first.IsZero() {
		call.First = x.answer.first.Sub(r.start)
	}
}

// describe fills in the call from the line of the trace.
func (r *replay) describe(call *report.Call, index int) {
	line := &r.options.Trace.Lines[index]
	*call = report.Call{
		Line: index, Organisation: line.Organisation, Idempotent: line.Idempotent,
		Pool: trace.PoolOf(r.options.Document, line), Deadline: line.Deadline(), FirstTokenBy: line.FirstToken(),
	}
	if line.Kind == trace.Service {
		call.Kind = request.Service
	}
	if line.Key != "" {
		call.Key = line.Key + "-" + r.tag
	}
	if rank, found := r.options.Document.TierRank(line.Tier); found {
		call.Tier = rank
		r.applyTier(call, rank)
	}
}

// applyTier applies the bounds of the tier where the line sets none.
func (r *replay) applyTier(call *report.Call, rank request.Tier) {
	tier := &r.options.Document.Tiers[rank]
	if call.Deadline == 0 {
		call.Deadline = time.Duration(tier.DeadlineMS) * time.Millisecond
	}
	if call.FirstTokenBy == 0 && call.Kind == request.Engine {
		call.FirstTokenBy = time.Duration(tier.FirstTokenMS) * time.Millisecond
	}
}

// source returns the line whose id the given line sends: itself, or the earlier
// line that it repeats under the same id.
func (r *replay) source(index int) int {
	if again := r.options.Trace.Lines[index].Resend; again != nil && again.SameID {
		return again.Of
	}
	return index
}

// idWait limits how long a line waits for the id of the line that it repeats, as
// both may be sent at the same time. idPollInterval is the interval of the checks.
const (
	idWait         = time.Second
	idPollInterval = time.Millisecond
)

// formID forms the line's id and returns the index of the entry to try first. A
// caller that sends an id again tries the next entry of its list each time.
func (r *replay) formID(index int, prefix ident.Prefix) (ident.RequestID, int) {
	source := r.source(index)
	if source == index {
		id := prefix.ID(fmt.Sprintf("%s-%d", r.tag, index))
		r.ids[index].Store(&id)
		return id, 0
	}
	for waited := time.Duration(0); waited < idWait; waited += idPollInterval {
		if id := r.ids[source].Load(); id != nil {
			return *id, int(r.sends[source].Add(1))
		}
		time.Sleep(idPollInterval)
	}
	// The earlier line never formed an id, so this one is the first to be sent.
	return prefix.ID(fmt.Sprintf("%s-%d", r.tag, source)), 0
}

// ownIDs returns the ids whose answers are valid for a line: its own and, if it
// repeats an earlier line, that line's.
func (r *replay) ownIDs(index int) []string {
	ids := []string{r.calls[index].ID}
	if again := r.options.Trace.Lines[index].Resend; again != nil {
		if id := r.ids[again.Of].Load(); id != nil {
			ids = append(ids, string(*id))
		}
	}
	return ids
}

func rotate(addresses []string, by int) []string {
	by %= len(addresses)
	return append(append([]string(nil), addresses[by:]...), addresses[:by]...)
}
