// Package owner remembers what became of the request ids that this incarnation
// owns, so that each is dispatched at most once.
//
// Invariants:
//
//   - An id is New at most once in the whole system: only the incarnation that
//     it names admits it, or the one delegate to which that owner gave it up.
//   - Nothing is forgotten while its id could still be admitted: ids are kept by
//     epoch, and an epoch is dropped as a whole once its ids are Expired.
//   - An id that was refused for want of memory stays refused: see filter.
//   - Dispatched returns true once for an id, unless Undispatched proved that
//     the target did not take it.
//
// The table is not safe for concurrent use.
package owner

import (
	"fmt"
	"strings"
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
)

// Config sets the table's times and its size.
type Config struct {
	Self ident.Incarnation
	// Period is how long one prefix is handed out, and how long each answer
	// that carries it is good.
	Period time.Duration
	// Longest is the longest deadline that a request may have.
	Longest time.Duration
	// Max bounds the remembered ids.
	Max int
	// Validity bounds how long an input may wait for the core; see Overdue.
	Validity time.Duration
}

// Kind says what Admit found.
type Kind uint8

const (
	// KindNew: first seen now, remembered as waiting; this entry may run it.
	KindNew Kind = iota
	// KindKnown: seen before; Standing, Status and Target tell what became of it.
	KindKnown
	// KindForeign: Owner must be asked.
	KindForeign
	// KindExpired: too old to be remembered; the outcome is unknown.
	KindExpired
	// KindLate: never seen, and its prefix is no longer good. It did not run and
	// never will: refused "not run".
	KindLate
	// KindFull: no memory for it. It did not run and never will: refused "not run".
	KindFull
	// KindMalformed: not an id that an entry can have handed out; see Err.
	KindMalformed
	// KindVoided: given up to Delegate earlier, which must be asked.
	KindVoided
)

// Admission is the answer of Admit.
type Admission struct {
	Kind     Kind
	Standing message.Standing
	Status   outcome.Status
	// Target at which it runs or ran.
	Target string
	// Owner to ask if Foreign, Delegate to ask if Voided.
	Owner    ident.Incarnation
	Delegate ident.Incarnation
	Err      error
}

// Table holds the ids. Own ids are kept by epoch and suffix, adopted ones whole.
type Table struct {
	cfg    Config
	epochs []*epoch // oldest first; the last is the one being handed out
	count  int
	// lastStatus is the last final status, shared by the records that have it.
	lastStatus *outcome.Status
}

// New starts a table at the beginning of epoch 0.
func New(cfg Config, now time.Time) *Table {
	t := &Table{cfg: cfg}
	t.open(now, 0)
	return t
}

// Configure puts new settings in force. A new period starts a new epoch. What
// is remembered already is never forgotten earlier than was promised for it.
func (t *Table) Configure(now time.Time, period, longest time.Duration, limit int) {
	t.advance(now)
	renewed := period != t.cfg.Period
	t.cfg.Period, t.cfg.Longest, t.cfg.Max = period, longest, limit
	for _, e := range t.epochs {
		if e.empty() {
			// An entry that starts knows no longest deadline yet. Kept for that of
			// the start, its first epoch would keep all later ones in memory.
			e.forget = e.usable
		}
		e.extend(longest)
	}
	if renewed {
		t.open(now, t.current().number+1)
	}
}

// Prefix returns the prefix for new ids and how long an answer that carries it
// is good, counted by its receiver.
func (t *Table) Prefix(now time.Time) (ident.Prefix, time.Duration) {
	t.advance(now)
	return ident.PrefixFor(t.cfg.Self, t.current().number), t.cfg.Period
}

// Overdue reports whether an input that arrived at an edge at arrived waited so
// long that its process must have been paused. Its caller may have given up
// long ago, so the request is finished as refused with process_was_paused.
func (t *Table) Overdue(now, arrived time.Time) bool {
	return t.cfg.Validity > 0 && now.Sub(arrived) > t.cfg.Validity
}

// Admit decides about a request that a caller brought. If the answer is New the
// id is remembered as waiting.
func (t *Table) Admit(now time.Time, id ident.RequestID) Admission {
	t.advance(now)
	parts, err := ident.Parse(id)
	if err != nil {
		return Admission{Kind: KindMalformed, Err: fmt.Errorf("admit: %w", err)}
	}
	if r := t.find(id, parts); r != nil {
		return r.admission()
	}
	if parts.Owner != t.cfg.Self {
		if t.adoptionRefused(id) {
			return Admission{Kind: KindFull}
		}
		return Admission{Kind: KindForeign, Owner: parts.Owner}
	}
	e, kind, err := t.place(now, id, parts)
	if kind != KindNew {
		return Admission{Kind: kind, Err: err}
	}
	e.own[strings.Clone(parts.Suffix)] = &record{standing: message.StandingWaiting}
	t.count++
	return Admission{Kind: KindNew, Standing: message.StandingWaiting}
}

// Adopt makes this incarnation the owner of an id that its owner voided in our
// favour. False: it is known already (see Standing), or there is no memory for
// it and it must be refused "not run".
func (t *Table) Adopt(now time.Time, id ident.RequestID) bool {
	t.advance(now)
	e := t.current()
	parts, err := ident.Parse(id)
	if err != nil || parts.Owner == t.cfg.Self || t.find(id, parts) != nil || t.adoptionRefused(id) {
		return false
	}
	if t.count >= t.cfg.Max {
		e.refused.add(string(id))
		return false
	}
	e.adopted[ident.RequestID(strings.Clone(string(id)))] = &record{standing: message.StandingWaiting}
	t.count++
	return true
}

// Ask answers a peer that got a request with this id. An id never seen here is
// voided in favour of the asker, for good.
func (t *Table) Ask(now time.Time, asker ident.Incarnation, id ident.RequestID) message.OwnerReply {
	t.advance(now)
	reply := message.OwnerReply{ID: id, Standing: message.StandingExpired}
	parts, err := ident.Parse(id)
	if err != nil {
		return reply
	}
	if r := t.find(id, parts); r != nil {
		return t.replyOf(r, asker, reply)
	}
	if parts.Owner != t.cfg.Self {
		return reply
	}
	e, kind, _ := t.place(now, id, parts)
	switch kind {
	case KindFull:
		reply.Standing = message.StandingFinished
		reply.Status = outcome.Refused(outcome.ReasonEntryFull, 0, "its owner remembers as many ids as it may")
	case KindLate:
		reply.Standing = message.StandingFinished
		reply.Status = outcome.Refused(outcome.ReasonIDExpired, 0, "the id prefix is no longer good")
	case KindNew:
		e.own[strings.Clone(parts.Suffix)] = &record{
			standing: message.StandingVoided,
			where:    string(asker),
			voidedIn: t.current().number,
		}
		t.count++
		reply.Standing = message.StandingVoided
	}
	return reply
}

// replyOf tells a peer the standing of a known id. The delegate that asks again,
// because the first reply was lost, is told again that it is the delegate, but
// only within the epoch of the voiding: a delegate remembers an adopted id for
// longer than that, so it can't adopt the id a second time after forgetting it.
func (t *Table) replyOf(r *record, asker ident.Incarnation, reply message.OwnerReply) message.OwnerReply {
	if r.standing != message.StandingVoided {
		reply.Standing, reply.Target = r.standing, r.where
		reply.Status = r.final()
		return reply
	}
	if ident.Incarnation(r.where) == asker && r.voidedIn == t.current().number {
		reply.Standing = message.StandingVoided
		return reply
	}
	reply.Standing = message.StandingElsewhere
	reply.Delegate = ident.Incarnation(r.where)
	return reply
}

// Dispatched records that a dispatch to target is about to leave and reports
// whether it may. It is the one guard of "dispatched at most once": no code may
// put a dispatch out without asking it. An id that is voided, running, finished,
// expired or unknown here is not waiting, so all of these say no.
func (t *Table) Dispatched(now time.Time, id ident.RequestID, target string) bool {
	r := t.lookup(now, id)
	if r == nil || r.standing != message.StandingWaiting {
		return false
	}
	r.standing, r.where = message.StandingRunning, target
	return true
}

// Undispatched takes a dispatch back that the target provably did not take.
func (t *Table) Undispatched(now time.Time, id ident.RequestID) bool {
	r := t.lookup(now, id)
	if r == nil || r.standing != message.StandingRunning {
		return false
	}
	r.standing, r.where = message.StandingWaiting, ""
	return true
}

// Finish records the final status. The first one stands; false says that there
// was one already, or that the id is not owned here.
func (t *Table) Finish(now time.Time, id ident.RequestID, status outcome.Status) bool {
	r := t.lookup(now, id)
	if r == nil || (r.standing != message.StandingWaiting && r.standing != message.StandingRunning) {
		return false
	}
	r.standing = message.StandingFinished
	r.status = t.share(status)
	return true
}

// Standing tells what is remembered of an id. Nothing remembered of an own id:
// Late, Full or Expired as Admit would say, and nothing is recorded.
func (t *Table) Standing(now time.Time, id ident.RequestID) Admission {
	t.advance(now)
	parts, err := ident.Parse(id)
	if err != nil {
		return Admission{Kind: KindMalformed, Err: fmt.Errorf("standing: %w", err)}
	}
	if r := t.find(id, parts); r != nil {
		return r.admission()
	}
	if parts.Owner != t.cfg.Self {
		return Admission{Kind: KindForeign, Owner: parts.Owner}
	}
	_, kind, err := t.check(now, id, parts)
	return Admission{Kind: kind, Err: err}
}

// Expire drops the epochs whose ids are expired; its cost is their number.
func (t *Table) Expire(now time.Time) { t.advance(now) }

// Len is the number of remembered ids.
func (t *Table) Len() int { return t.count }

func (t *Table) lookup(now time.Time, id ident.RequestID) *record {
	t.advance(now)
	parts, err := ident.Parse(id)
	if err != nil {
		return nil
	}
	return t.find(id, parts)
}
