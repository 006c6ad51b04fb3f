package owner

import (
	"fmt"
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
)

// graceDivisor divides Period into a grace time, for which ids are admitted after
// the announced validity of their prefix. It covers receivers, which count the
// validity from when the answer arrived, and edges, whose view lags the core.
const graceDivisor = 4

// record is the state of one id. It is kept small since there is one for each
// request.
type record struct {
	state message.IDState
	// voidedIn is the epoch in which the id was voided.
	voidedIn uint32
	// tag identifies the organisation that sent the id; 0 if unknown.
	tag uint32
	// location is the target, or for IDVoided the delegate.
	location string
	// status is set when the request has finished.
	status *outcome.Status
}

func (r *record) finalStatus() outcome.Status {
	if r.status == nil {
		return outcome.Status{}
	}
	return *r.status
}

func (r *record) admission() Admission {
	if r.state == message.IDVoided {
		return Admission{
			Kind:     KindVoided,
			State:    message.IDTransferred,
			Delegate: ident.Incarnation(r.location),
		}
	}
	return Admission{Kind: KindKnown, State: r.state, Status: r.finalStatus(), Target: r.location}
}

// epoch holds the ids with one prefix, and the ids adopted while that prefix was
// handed out.
type epoch struct {
	number uint32
	// closesAt is when the next prefix begins to be handed out.
	closesAt time.Time
	// admitUntil is when ids that are not known stop being admitted.
	admitUntil time.Time
	// expiresAt is when all ids of the epoch expire and it is dropped.
	expiresAt time.Time
	own       map[string]*record
	adopted   map[ident.RequestID]*record
	refused   filter
}

func (e *epoch) extend(maxDeadline time.Duration) {
	if until := e.admitUntil.Add(maxDeadline); until.After(e.expiresAt) {
		e.expiresAt = until
	}
}

// empty reports whether the epoch has no ids and none was refused.
func (e *epoch) empty() bool { return len(e.own)+len(e.adopted) == 0 && e.refused.bits == nil }

func (t *Table) current() *epoch { return t.epochs[len(t.epochs)-1] }

// open begins an epoch. A prefix handed out at its very end is valid for one more
// period, so ids are admitted for two periods and the grace time.
func (t *Table) open(begins time.Time, number uint32) {
	if len(t.epochs) > 0 && t.current().closesAt.After(begins) {
		t.current().closesAt = begins
	}
	e := &epoch{
		number:     number,
		closesAt:   begins.Add(t.cfg.Period),
		admitUntil: begins.Add(2*t.cfg.Period + t.cfg.Period/graceDivisor),
		own:        make(map[string]*record),
		adopted:    make(map[ident.RequestID]*record),
	}
	e.extend(t.cfg.MaxDeadline)
	t.epochs = append(t.epochs, e)
}

// advance opens the epoch of now and drops the expired ones. A process that was
// paused skips the epochs in which it handed out no prefix.
func (t *Table) advance(now time.Time) {
	if last := t.current(); !now.Before(last.closesAt) && t.cfg.Period > 0 {
		passed := now.Sub(last.closesAt) / t.cfg.Period
		t.open(last.closesAt.Add(passed*t.cfg.Period), last.number+1+uint32(passed))
	}
	for len(t.epochs) > 1 && !now.Before(t.epochs[0].expiresAt) {
		t.count -= len(t.epochs[0].own) + len(t.epochs[0].adopted)
		t.epochs[0] = nil
		t.epochs = t.epochs[1:]
	}
}

func (t *Table) find(id ident.RequestID, parts ident.Parts) *record {
	if parts.Owner == t.cfg.Self {
		if e := t.epoch(parts.Epoch); e != nil {
			return e.own[parts.Suffix]
		}
		return nil
	}
	for _, e := range t.epochs {
		if r := e.adopted[id]; r != nil {
			return r
		}
	}
	return nil
}

func (t *Table) epoch(number uint32) *epoch {
	for i := len(t.epochs) - 1; i >= 0; i-- {
		if t.epochs[i].number == number {
			return t.epochs[i]
		}
	}
	return nil
}

// check reports whether an own id that is not remembered may be added now.
func (t *Table) check(now time.Time, id ident.RequestID, parts ident.Parts) (*epoch, Kind, error) {
	if parts.Epoch > t.current().number {
		return nil, KindMalformed, fmt.Errorf("%w: epoch %d was not handed out yet", ident.ErrMalformed, parts.Epoch)
	}
	e := t.epoch(parts.Epoch)
	switch {
	case e == nil || !now.Before(e.expiresAt):
		return nil, KindExpired, nil
	case !now.Before(e.admitUntil):
		return nil, KindPrefixExpired, nil
	case e.refused.has(string(id)) || t.count >= t.cfg.MaxIDs:
		return e, KindFull, nil
	}
	return e, KindNew, nil
}

// checkAndRecord does the same as check, and records a refusal for lack of memory
// permanently.
func (t *Table) checkAndRecord(now time.Time, id ident.RequestID, parts ident.Parts) (*epoch, Kind, error) {
	e, kind, err := t.check(now, id, parts)
	if kind == KindFull {
		e.refused.add(string(id))
	}
	return e, kind, err
}

func (t *Table) adoptionRefused(id ident.RequestID) bool {
	for _, e := range t.epochs {
		if e.refused.has(string(id)) {
			return true
		}
	}
	return false
}

// shareStatus returns a copy of status that consecutive finished requests with
// the same status share, to save memory.
func (t *Table) shareStatus(status outcome.Status) *outcome.Status {
	if t.lastStatus != nil && *t.lastStatus == status {
		return t.lastStatus
	}
	copied := status
	t.lastStatus = &copied
	return t.lastStatus
}
