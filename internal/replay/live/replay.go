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

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/replay/report"
	"sycamoretrail/internal/replay/trace"
)

// replay is a live replay under way.
type replay struct {
	options Options
	http    *fasthttp.Client
	start   time.Time
	// tag keeps the ids and keys of one replay apart from any other's.
	tag     string
	callers []*directory
	calls   []report.Call
	// ids holds the id of each line once it is sent, for lines that repeat it.
	ids []atomic.Pointer[ident.RequestID]
	// sends counts how often the id of a line was sent.
	sends []atomic.Int32
}

// Run sends the whole trace and returns what the report is made of. It ends
// early, leaving the rest unsent, when the context is done.
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
		// A retry by the library would hide an entry's death from the caller.
		MaxIdemponentCallAttempts: 1,
	}
}

// sendAll sends each line at its time and waits for the last answer.
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

// perform does what the caller of one line does.
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
	r.askEntries(x, call, caller, entries, turn, giveUp)
}

// askEntries asks one entry after another until one gives the final word.
func (r *replay) askEntries(x *exchange, call *report.Call, caller *directory, entries entriesAnswer, turn int, giveUp time.Time) {
	for time.Now().Before(giveUp) {
		call.Attempts++
		address := entries.Entries[turn%len(entries.Entries)].Address
		call.Asked = append(call.Asked, address)
		if x.stream != "" {
			call.Attached++
		}
		until := time.Now().Add(r.patience(call))
		if until.After(giveUp) {
			until = giveUp
		}
		status, err := x.ask(address, until)
		if err == nil {
			r.settle(x, call, status)
			return
		}
		call.EntryFaults = append(call.EntryFaults, entryFault(err))
		caller.forget(entries.IDPrefix)
		turn++
		if turn%len(entries.Entries) != 0 {
			continue
		}
		time.Sleep(restAfterRound)
		if fresh, err := caller.current(time.Now()); err == nil {
			entries = fresh
		}
	}
}

// patience is how long one entry is waited for: to the deadline and a little
// more, or just the little when the deadline has passed.
func (r *replay) patience(call *report.Call) time.Duration {
	left := call.Sent + call.Deadline - time.Since(r.start)
	return max(left, 0) + r.options.Patience
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

// describe fills in what the trace says of a line.
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

// applyTier takes the tier's bounds where the line brings none.
func (r *replay) applyTier(call *report.Call, rank request.Tier) {
	tier := &r.options.Document.Tiers[rank]
	if call.Deadline == 0 {
		call.Deadline = time.Duration(tier.DeadlineMS) * time.Millisecond
	}
	if call.FirstTokenBy == 0 && call.Kind == request.Engine {
		call.FirstTokenBy = time.Duration(tier.FirstTokenMS) * time.Millisecond
	}
}

// source is the line whose id a line sends: its own, unless its caller sends an
// earlier one's id again.
func (r *replay) source(index int) int {
	if again := r.options.Trace.Lines[index].Resend; again != nil && again.SameID {
		return again.Of
	}
	return index
}

// idWait bounds the wait of a line for the id of the line that it repeats, which
// may be sent at the same moment.
const (
	idWait = time.Second
	idLook = time.Millisecond
)

// formID forms the line's id and says with which entry of the list to begin. A
// caller that sends an id again asks the next entry of its list each time.
func (r *replay) formID(index int, prefix ident.Prefix) (ident.RequestID, int) {
	source := r.source(index)
	if source == index {
		id := prefix.ID(fmt.Sprintf("%s-%d", r.tag, index))
		r.ids[index].Store(&id)
		return id, 0
	}
	for waited := time.Duration(0); waited < idWait; waited += idLook {
		if id := r.ids[source].Load(); id != nil {
			return *id, int(r.sends[source].Add(1))
		}
		time.Sleep(idLook)
	}
	// The earlier line never got an id, so this one is the first to ask.
	return prefix.ID(fmt.Sprintf("%s-%d", r.tag, source)), 0
}

// ownIDs are the ids whose answer a line may get: its own, and where it repeats
// an earlier line's key, that line's.
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
