// Package owner keeps the state of the request ids that this incarnation owns,
// so that each request is dispatched at most once.
//
// Invariants:
//
//   - An id is New at most once in the whole system: only the incarnation that
//     it names admits it, or the one delegate to which that owner transferred it.
//   - No record is dropped while its id could still be admitted: ids are kept by
//     epoch, and an epoch is dropped as a whole once its ids are Expired.
//   - An id that was refused for lack of memory stays refused: see filter.
//   - RecordDispatch returns true once for an id, unless RevertDispatch recorded
//     that the target provably did not accept it.
package owner

import (
	"fmt"
	"strings"
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
)

// Config configures a Table.
type Config struct {
	Self ident.Incarnation
	// Period is how long one prefix is handed out, and how long it is valid in
	// each answer that contains it.
	Period time.Duration
	// MaxDeadline is the longest deadline that a request may have.
	MaxDeadline time.Duration
	// MaxIDs bounds the remembered ids.
	MaxIDs int
	// Validity is how long an input may wait for the core; see Overdue.
	Validity time.Duration
}

// Kind is the kind of an Admission.
type Kind uint8

const (
	// KindNew means first received now and recorded as waiting. This entry may
	// run the request.
	KindNew Kind = iota
	// KindKnown means received before. State, Status and Target describe it.
	KindKnown
	// KindRemote means that another entry owns the id. Owner must be queried.
	KindRemote
	// KindExpired means too old to be remembered. The outcome is unknown.
	KindExpired
	// KindPrefixExpired means never received, with a prefix that is no longer
	// valid. The request did not run and never will, so it is refused as "not run".
	KindPrefixExpired
	// KindFull means that there is no memory for the id. The request did not run
	// and never will, so it is refused as "not run".
	KindFull
	// KindMalformed means that no entry can have handed out the id; see Err.
	KindMalformed
	// KindVoided means transferred earlier to Delegate, which must be queried.
	KindVoided
)

// Admission is the result of Admit and State.
type Admission struct {
	Kind   Kind
	State  message.IDState
	Status outcome.Status
	// Target is where the request runs or ran.
	Target string
	// Owner is set for KindRemote, Delegate for KindVoided.
	Owner    ident.Incarnation
	Delegate ident.Incarnation
	Err      error
}

// Table holds the state of ids. Own ids are kept by epoch and suffix, adopted ones
// by the full id. It is not safe for concurrent use.
type Table struct {
	cfg    Config
	epochs []*epoch // oldest first; the last is the one being handed out
	count  int
	// lastStatus is the last final status; see shareStatus.
	lastStatus *outcome.Status
}

// New returns a table at the beginning of epoch 0.
func New(cfg Config, now time.Time) *Table {
	t := &Table{cfg: cfg}
	t.open(now, 0)
	return t
}

// Configure applies new settings. A new period starts a new epoch. Ids that are
// remembered already never expire earlier than before.
func (t *Table) Configure(now time.Time, period, maxDeadline time.Duration, limit int) {
	t.advance(now)
	renewed := period != t.cfg.Period
	t.cfg.Period, t.cfg.MaxDeadline, t.cfg.MaxIDs = period, maxDeadline, limit
	for _, e := range t.epochs {
		if e.empty() {
			// A starting entry does not have the longest deadline of the document
			// yet. If its first epoch were kept for the initial value, it would keep
			// all later epochs in memory.
			e.expiresAt = e.admitUntil
		}
		e.extend(maxDeadline)
	}
	if renewed {
		t.open(now, t.current().number+1)
	}
}

// Prefix returns the prefix for new ids and its validity, which begins when the
// answer that contains it is received.
func (t *Table) Prefix(now time.Time) (ident.Prefix, time.Duration) {
	t.advance(now)
	return ident.PrefixFor(t.cfg.Self, t.current().number), t.cfg.Period
}

// Overdue reports whether an input that reached an edge at arrived has waited so
// long that the process must have been paused. Its caller may have given up long
// ago, so the request is finished as refused with process_was_paused.
func (t *Table) Overdue(now, arrived time.Time) bool {
	return t.cfg.Validity > 0 && now.Sub(arrived) > t.cfg.Validity
}

// Admit decides whether a request received from a caller is admitted. If the
// result is KindNew, the id is recorded as waiting.
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
		return Admission{Kind: KindRemote, Owner: parts.Owner}
	}
	e, kind, err := t.checkAndRecord(now, id, parts)
	if kind != KindNew {
		return Admission{Kind: kind, Err: err}
	}
	e.own[strings.Clone(parts.Suffix)] = &record{state: message.IDWaiting}
	t.count++
	return Admission{Kind: KindNew, State: message.IDWaiting}
}

// Adopt makes this incarnation the owner of an id that its owner voided in its
// favour. It returns false if the id is known already (see State), or if there
// is no memory for it and the request must be refused as "not run".
func (t *Table) Adopt(now time.Time, id ident.RequestID) bool {
	t.advance(now)
	e := t.current()
	parts, err := ident.Parse(id)
	if err != nil || parts.Owner == t.cfg.Self || t.find(id, parts) != nil || t.adoptionRefused(id) {
		return false
	}
	if t.count >= t.cfg.MaxIDs {
		e.refused.add(string(id))
		return false
	}
	e.adopted[ident.RequestID(strings.Clone(string(id)))] = &record{state: message.IDWaiting}
	t.count++
	return true
}

// Query answers a peer that received a request with this id. An id that was never
// received here is voided permanently in favour of the requester.
func (t *Table) Query(now time.Time, asker ident.Incarnation, id ident.RequestID) message.OwnerReply {
	t.advance(now)
	reply := message.OwnerReply{ID: id, State: message.IDExpired}
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
	e, kind, _ := t.checkAndRecord(now, id, parts)
	switch kind {
	case KindFull:
		reply.State = message.IDFinished
		reply.Status = outcome.Refused(outcome.ReasonEntryFull, 0, "its owner remembers as many ids as it may")
	case KindPrefixExpired:
		reply.State = message.IDFinished
		reply.Status = outcome.Refused(outcome.ReasonIDExpired, 0, "the id prefix is no longer good")
	case KindNew:
		e.own[strings.Clone(parts.Suffix)] = &record{
			state:    message.IDVoided,
			location: string(asker),
			voidedIn: t.current().number,
		}
		t.count++
		reply.State = message.IDVoided
	}
	return reply
}

// replyOf reports the state of a known id to a peer. If the delegate repeats its
// request, because the first reply was lost, it gets the same reply, but only
// within the epoch of the voiding. A delegate remembers an adopted id for longer
// than that, so it cannot adopt the id a second time after dropping it.
func (t *Table) replyOf(r *record, asker ident.Incarnation, reply message.OwnerReply) message.OwnerReply {
	if r.state != message.IDVoided {
		reply.State, reply.Target = r.state, r.location
		reply.Status = r.finalStatus()
		return reply
	}
	if ident.Incarnation(r.location) == asker && r.voidedIn == t.current().number {
		reply.State = message.IDVoided
		return reply
	}
	reply.State = message.IDTransferred
	reply.Delegate = ident.Incarnation(r.location)
	return reply
}

// RecordDispatch records a dispatch to target before it is sent, and reports whether
// it is allowed. It is the only guard of "dispatched at most once": it must be
// called before every dispatch. It returns false for an id that is not waiting:
// voided, running, finished, expired or unknown here.
func (t *Table) RecordDispatch(now time.Time, id ident.RequestID, target string) bool {
	r := t.lookup(now, id)
	if r == nil || r.state != message.IDWaiting {
		return false
	}
	r.state, r.location = message.IDRunning, target
	return true
}

// RevertDispatch reverts a dispatch that the target provably did not accept.
func (t *Table) RevertDispatch(now time.Time, id ident.RequestID) bool {
	r := t.lookup(now, id)
	if r == nil || r.state != message.IDRunning {
		return false
	}
	r.state, r.location = message.IDWaiting, ""
	return true
}

// Finish records the final status. Only the first one is kept: Finish returns
// false if there was one already, or if the id is not owned here.
func (t *Table) Finish(now time.Time, id ident.RequestID, status outcome.Status) bool {
	r := t.lookup(now, id)
	if r == nil || (r.state != message.IDWaiting && r.state != message.IDRunning) {
		return false
	}
	r.state = message.IDFinished
	r.status = t.shareStatus(status)
	return true
}

// State returns the state of an id. For an own id that is not remembered, the
// result is the one that Admit would return, but nothing is recorded.
func (t *Table) State(now time.Time, id ident.RequestID) Admission {
	t.advance(now)
	parts, err := ident.Parse(id)
	if err != nil {
		return Admission{Kind: KindMalformed, Err: fmt.Errorf("standing: %w", err)}
	}
	if r := t.find(id, parts); r != nil {
		return r.admission()
	}
	if parts.Owner != t.cfg.Self {
		return Admission{Kind: KindRemote, Owner: parts.Owner}
	}
	_, kind, err := t.check(now, id, parts)
	return Admission{Kind: kind, Err: err}
}

// Expire drops the epochs whose ids have expired. Its cost grows with their
// number.
func (t *Table) Expire(now time.Time) { t.advance(now) }

// Len returns the number of remembered ids.
func (t *Table) Len() int { return t.count }

func (t *Table) lookup(now time.Time, id ident.RequestID) *record {
	t.advance(now)
	parts, err := ident.Parse(id)
	if err != nil {
		return nil
	}
	return t.find(id, parts)
}
