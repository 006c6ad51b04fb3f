package virtual

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/replay/report"
	"sycamoretrail/internal/replay/trace"
)

// caller caches the list of entries to use, as a client library does.
type caller struct {
	world   *world
	first   int
	entries []message.Member
	prefix  ident.Prefix
	until   time.Time
}

// ask updates the list of entries if it has expired. It returns the time that this
// took, and false if no entry answers.
func (c *caller) ask() (time.Duration, bool) {
	w := c.world
	if w.now.Before(c.until) && len(c.entries) > 0 {
		return 0, true
	}
	var spent time.Duration
	for i := range w.hosts {
		h := w.hosts[(c.first+i)%len(w.hosts)]
		if h.paused {
			spent += askTimeout
			continue
		}
		spent += 2 * callerDelay
		v := h.view
		if !h.up || v == nil || v.Prefix == "" || len(v.Entries) == 0 {
			continue
		}
		c.entries, c.prefix, c.until = v.OwnerFirst(), v.Prefix, w.now.Add(spent+v.GoodFor)
		return spent, true
	}
	return spent, false
}

// call is one request of a caller, over one or more entries.
type call struct {
	world         *world
	line          *trace.Line
	caller        *caller
	seen          report.Call
	crashesTarget bool
	// source is the line whose content this call has.
	source  int
	entries []message.Member
	prefix  ident.Prefix
	turn    int
	giveUp  time.Time
	open    *attempt
	// sent reports whether an entry may have received the request under its id.
	sent bool
	// target is the one in the stream token, empty until an entry returns a token.
	target string
	next   int
	last   time.Duration
}

func newCall(w *world, index int, line *trace.Line) *call {
	c := &call{world: w, line: line, source: index, crashesTarget: line.CrashesTarget, caller: w.callers[index%len(w.callers)]}
	if line.Resend != nil {
		c.source = line.Resend.Of
	}
	c.seen = report.Call{
		Line: index, Organisation: line.Organisation, Idempotent: line.Idempotent, Pool: trace.PoolOf(w.options.Document, line),
		Deadline: line.Deadline(), FirstTokenBy: line.FirstToken(), Key: line.Key,
	}
	if line.Kind == trace.Service {
		c.seen.Kind = request.Service
	}
	if rank, found := w.options.Document.TierRank(line.Tier); found {
		tier := &w.options.Document.Tiers[rank]
		c.seen.Tier = rank
		if c.seen.Deadline == 0 {
			c.seen.Deadline = time.Duration(tier.DeadlineMS) * time.Millisecond
		}
		if c.seen.FirstTokenBy == 0 && c.seen.Kind == request.Engine {
			c.seen.FirstTokenBy = time.Duration(tier.FirstTokenMS) * time.Millisecond
		}
	}
	return c
}

// begin sends the request for the first time.
func (c *call) begin() {
	w := c.world
	c.seen.Sent = w.sinceStart()
	c.giveUp = w.now.Add(c.seen.Deadline + giveUp)
	w.at(c.giveUp, c.close)
	c.find()
}

// find determines the entries to use, and retries after a pause if none answers.
func (c *call) find() {
	w := c.world
	if c.closed() {
		return
	}
	spent, found := c.caller.ask()
	if !found {
		w.after(spent+pauseAfterRound, c.find)
		return
	}
	c.entries, c.prefix = c.caller.entries, c.caller.prefix
	c.formID()
	w.after(spent, c.send)
}

// formID forms the id of the request unless it has one. A caller that sends an
// earlier request again under its id begins with another entry of its list.
func (c *call) formID() {
	if c.seen.ID != "" {
		return
	}
	if again := c.line.Resend; again != nil && again.SameID {
		if earlier := c.world.calls[again.Of]; earlier.seen.ID != "" {
			c.seen.ID = earlier.seen.ID
			c.turn = 1
			return
		}
	}
	c.seen.ID = string(c.prefix.ID("v" + strconv.Itoa(len(c.world.calls)) + "-" + strconv.Itoa(c.seen.Line)))
}

// send sends the request to the entry whose turn it is.
func (c *call) send() {
	if c.closed() {
		return
	}
	c.sendTo(c.world.hostAt(c.entries[c.turn%len(c.entries)].CallerAddress), ident.RequestID(c.seen.ID))
}

// sendTo sends the request to an entry, or attaches there to the stream of an id
// if the call has a stream token.
func (c *call) sendTo(h *host, id ident.RequestID) {
	w := c.world
	c.seen.Attempts++
	a := &attempt{call: c, host: h}
	c.open = a
	w.after(c.timeLeft().whole+waitLimit, a.timedOut)
	if h == nil || !h.up {
		w.after(2*callerDelay, a.connectionLost)
		return
	}
	h.attempts = append(h.attempts, a)
	c.sent = true
	// The headers contain the time left when the request is sent; the entry counts
	// from when it reads them, as the live one does.
	target, left := c.target, c.timeLeft()
	w.after(callerDelay, func() {
		h.deliver(func() {
			if c.open != a {
				return
			}
			if target != "" {
				h.resume(a, id, target)
				return
			}
			h.submit(a, c.request(left))
		})
	})
}

// tryNext continues with the next entry.
func (c *call) tryNext() {
	c.caller.until = time.Time{}
	if !c.sent && c.line.Resend == nil {
		// The connection was refused, so no entry received the id. It is discarded
		// with its prefix, whose owner has probably ended.
		c.seen.ID = ""
		c.find()
		return
	}
	c.turn++
	if c.turn%len(c.entries) == 0 {
		c.world.after(pauseAfterRound, c.find)
		return
	}
	c.send()
}

func (c *call) closed() bool { return c.seen.Ended != 0 }

// close ends the call without a final outcome, unless it has one.
func (c *call) close() {
	if c.closed() {
		return
	}
	c.end(c.world.sinceStart())
	if a := c.open; a != nil {
		c.open = nil
		a.hangUp()
	}
}

func (c *call) end(at time.Duration) {
	c.seen.Ended = at
	c.world.open--
}

// timeLeft is the time left of a call's bounds; firstToken is 0 if there is no bound.
type timeLeft struct{ whole, firstToken time.Duration }

func (c *call) timeLeft() timeLeft {
	spent := c.world.sinceStart() - c.seen.Sent
	left := timeLeft{whole: max(c.seen.Deadline-spent, time.Millisecond)}
	if c.seen.FirstTokenBy > 0 {
		left.firstToken = max(c.seen.FirstTokenBy-spent, time.Millisecond)
	}
	return left
}

// request returns the core's request for the call, as the gateway would form it.
func (c *call) request(left timeLeft) request.Request {
	now := c.world.now
	line := c.line
	r := request.Request{
		ID: ident.RequestID(c.seen.ID), Organisation: line.Organisation, Tier: c.seen.Tier, Kind: c.seen.Kind,
		Pool: c.seen.Pool, Model: line.Model, PromptTokens: line.PromptTokens, MaxTokens: line.MaxTokens,
		Prefixes: prefixes(line, c.source), Idempotent: line.Idempotent, Arrived: now, Deadline: now.Add(left.whole),
		Fingerprint: request.Fingerprint(xxhash.Sum64String(fmt.Sprint(line.Organisation, line.Model, c.source))),
	}
	if line.Kind == trace.Service {
		r.Model = line.Service
	}
	if left.firstToken > 0 {
		r.FirstTokenBy = now.Add(left.firstToken)
	}
	if c.seen.Key != "" {
		sum := sha256.Sum256([]byte(line.Organisation + "\x00" + c.seen.Key))
		r.Key = request.KeyHash(hex.EncodeToString(sum[:]))
	}
	return r
}

// prefixes returns the hashes of the prompt's blocks, which are equal for a shared
// prefix.
func prefixes(line *trace.Line, source int) []uint64 {
	var hashes []uint64
	for end := request.PrefixBlockTokens; end <= line.PromptTokens; end += request.PrefixBlockTokens {
		name := "own " + strconv.Itoa(source)
		if p := line.SharedPrefix; p != nil && end <= p.Tokens {
			name = p.ID
		}
		hashes = append(hashes, xxhash.Sum64String(name+" "+strconv.Itoa(end)))
	}
	return hashes
}

// attempt is a caller's connection to one entry.
type attempt struct {
	call   *call
	host   *host
	flight *flight
}

// started handles the first header of the entry, which has the stream token.
func (a *attempt) started(f *flight) {
	a.flight = f
	if f.stream != nil && f.request.Kind == request.Engine {
		a.call.target = f.stream.target.name
	}
}

// token records one chunk, which reaches the caller after callerDelay.
func (a *attempt) token(index int) {
	c := a.call
	if c.open != a || index < c.next {
		return
	}
	at := c.world.sinceStart() + callerDelay
	switch {
	case index > c.next:
		c.seen.Fault = "chunks not numbered one by one"
	case index == 0:
		c.seen.First = at
	default:
		c.seen.Gaps = append(c.seen.Gaps, at-c.last)
	}
	c.last = at
	c.next = index + 1
}

// settle delivers the final outcome to the caller.
func (a *attempt) settle(status outcome.Status, tokens int) {
	c := a.call
	if c.open != a || c.closed() {
		return
	}
	c.open = nil
	a.leave()
	c.seen.Settled, c.seen.Status = true, status
	if status.Outcome == outcome.Answered && c.seen.Kind == request.Engine && (c.next != tokens || tokens != c.line.MaxTokens) {
		c.seen.Fault = "count differs from the end mark"
	}
	c.end(c.world.sinceStart() + callerDelay)
	c.resendCrashing()
}

// redirected follows a redirect to another entry, which has the answer of the request
// or of the first request with its key.
func (a *attempt) redirected(o entry.SeeOther) {
	c := a.call
	if c.open != a || c.closed() {
		return
	}
	a.leave()
	c.target = o.Target
	c.sendTo(c.world.hostAt(o.Address), o.Of)
}

// connectionLost handles the loss of the connection when the entry ends.
func (a *attempt) connectionLost() {
	if c := a.call; c.open == a && !c.closed() {
		c.open = nil
		c.tryNext()
	}
}

// timedOut handles the wait limit: the deadline has passed without an answer.
func (a *attempt) timedOut() {
	if c := a.call; c.open == a && !c.closed() {
		c.open = nil
		a.hangUp()
		c.tryNext()
	}
}

// hangUp closes the connection, which the entry detects.
func (a *attempt) hangUp() {
	if a.host == nil {
		return
	}
	a.leave()
	id := ident.RequestID(a.call.seen.ID)
	a.host.world.after(callerDelay, func() {
		a.host.deliver(func() {
			if f := a.host.flights[id]; f != nil {
				f.removeWaiter(a)
			}
		})
	})
}

func (a *attempt) leave() {
	if a.host != nil {
		a.host.attempts = slices.DeleteFunc(a.host.attempts, func(other *attempt) bool { return other == a })
	}
}

// Callers of a crashing request send it again under a new id.
const (
	crashRetries    = 4
	crashRetryDelay = 300 * time.Millisecond
)

func (c *call) resendCrashing() {
	w := c.world
	if !c.crashesTarget || c.seen.Status.Outcome == outcome.Answered || c.seen.Line <= -crashRetries {
		return
	}
	next := newCall(w, 0, c.line)
	next.source = c.source
	next.seen.Line = min(c.seen.Line, 0) - 1
	w.calls = append(w.calls, next)
	w.open++
	w.after(callerDelay+crashRetryDelay, next.begin)
}
