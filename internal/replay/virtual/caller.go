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

// caller keeps an answer to "which entry", as a client library does.
type caller struct {
	world   *world
	first   int
	entries []message.Member
	prefix  ident.Prefix
	until   time.Time
}

// ask finds the entries to use and how long finding them took; false: none answers.
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

// call is one request of a caller, over as many entries as it takes.
type call struct {
	world  *world
	line   *trace.Line
	caller *caller
	seen   report.Call
	poison bool
	// source is the line whose content this one has.
	source  int
	entries []message.Member
	prefix  ident.Prefix
	turn    int
	giveUp  time.Time
	open    *attempt
	// sent: some entry may have got the request under its id.
	sent bool
	// target is named by the stream's token, once an entry gave it.
	target string
	next   int
	last   time.Duration
}

func newCall(w *world, index int, line *trace.Line) *call {
	c := &call{world: w, line: line, source: index, poison: line.CrashesTarget, caller: w.callers[index%len(w.callers)]}
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

// find asks which entry to use, again after a rest when none answers.
func (c *call) find() {
	w := c.world
	if c.closed() {
		return
	}
	spent, found := c.caller.ask()
	if !found {
		w.after(spent+restAfterRound, c.find)
		return
	}
	c.entries, c.prefix = c.caller.entries, c.caller.prefix
	c.formID()
	w.after(spent, c.send)
}

// formID keeps an id once formed. A caller that sends an earlier request again
// under its id begins with another entry of its list.
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

// send asks the entry whose turn it is.
func (c *call) send() {
	if c.closed() {
		return
	}
	c.sendTo(c.world.hostAt(c.entries[c.turn%len(c.entries)].CallerAddress), ident.RequestID(c.seen.ID))
}

// sendTo sends the request to an entry, or attaches there to the stream of an
// id if a token for one is held.
func (c *call) sendTo(h *host, id ident.RequestID) {
	w := c.world
	c.seen.Attempts++
	a := &attempt{call: c, host: h}
	c.open = a
	w.after(c.timeLeft().whole+patience, a.impatient)
	if h == nil || !h.up {
		w.after(2*callerDelay, a.broke)
		return
	}
	h.attempts = append(h.attempts, a)
	c.sent = true
	// The headers tell what is left at the sending; the entry counts from when
	// it reads them, as the live one does.
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

// elsewhere turns to the next entry.
func (c *call) elsewhere() {
	c.caller.until = time.Time{}
	if !c.sent && c.line.Resend == nil {
		// The connection was refused, so the id never left: it is dropped with its
		// prefix, whose owner is likely gone.
		c.seen.ID = ""
		c.find()
		return
	}
	c.turn++
	if c.turn%len(c.entries) == 0 {
		c.world.after(restAfterRound, c.find)
		return
	}
	c.send()
}

func (c *call) closed() bool { return c.seen.Ended != 0 }

// close ends the call without a final word, if there was none.
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

// timeLeft is what is left of a call's bounds; firstToken 0: no bound.
type timeLeft struct{ whole, firstToken time.Duration }

func (c *call) timeLeft() timeLeft {
	spent := c.world.sinceStart() - c.seen.Sent
	left := timeLeft{whole: max(c.seen.Deadline-spent, time.Millisecond)}
	if c.seen.FirstTokenBy > 0 {
		left.firstToken = max(c.seen.FirstTokenBy-spent, time.Millisecond)
	}
	return left
}

// request is what the callers' edge makes of the call.
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

// prefixes are the hashes of the prompt's blocks: equal for what is shared.
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

// started: the entry's first header came, with the stream's token.
func (a *attempt) started(f *flight) {
	a.flight = f
	if f.stream != nil && f.request.Kind == request.Engine {
		a.call.target = f.stream.target.name
	}
}

// token takes one chunk, which reaches the caller a little later.
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

// settle gives the caller the final word.
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
	c.again()
}

// sentOn follows a redirect to the answer of the request, or of the first of
// its key, at another entry.
func (a *attempt) sentOn(o entry.SeeOther) {
	c := a.call
	if c.open != a || c.closed() {
		return
	}
	a.leave()
	c.target = o.Target
	c.sendTo(c.world.hostAt(o.Address), o.Of)
}

// broke: the connection is gone, since the entry is.
func (a *attempt) broke() {
	if c := a.call; c.open == a && !c.closed() {
		c.open = nil
		c.elsewhere()
	}
}

// impatient: the deadline is long past and the entry says nothing.
func (a *attempt) impatient() {
	if c := a.call; c.open == a && !c.closed() {
		c.open = nil
		a.hangUp()
		c.elsewhere()
	}
}

// hangUp closes the connection, which the entry notices.
func (a *attempt) hangUp() {
	if a.host == nil {
		return
	}
	a.leave()
	id := ident.RequestID(a.call.seen.ID)
	a.host.world.after(callerDelay, func() {
		a.host.deliver(func() {
			if f := a.host.flights[id]; f != nil {
				f.left(a)
			}
		})
	})
}

func (a *attempt) leave() {
	if a.host != nil {
		a.host.attempts = slices.DeleteFunc(a.host.attempts, func(other *attempt) bool { return other == a })
	}
}

// Callers of a poisonous request send it again, under a new id.
const (
	poisonRetries = 4
	poisonRest    = 300 * time.Millisecond
)

func (c *call) again() {
	w := c.world
	if !c.poison || c.seen.Status.Outcome == outcome.Answered || c.seen.Line <= -poisonRetries {
		return
	}
	next := newCall(w, 0, c.line)
	next.source = c.source
	next.seen.Line = min(c.seen.Line, 0) - 1
	w.calls = append(w.calls, next)
	w.open++
	w.after(callerDelay+poisonRest, next.begin)
}
