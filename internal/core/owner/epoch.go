package owner

import (
	"fmt"
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
)

// graceParts: ids are taken for Period/graceParts beyond the time for which
// their prefix was said to be good, since the receiver counts from when the
// answer reached it, and the edges hand out a view that lags the core.
const graceParts = 4

// record is what is remembered of one id. Kept small: one for each request.
type record struct {
	standing message.Standing
	// voidedIn is the epoch in which the id was given up.
	voidedIn uint32
	// tag tells the organisation that brought the id; 0: not known.
	tag uint32
	// where is the target; for StandingVoided the delegate.
	where string
	// status is set once finished.
	status *outcome.Status
}

func (r *record) final() outcome.Status {
	if r.status == nil {
		return outcome.Status{}
	}
	return *r.status
}

func (r *record) admission() Admission {
	if r.standing == message.StandingVoided {
		return Admission{
			Kind:     KindVoided,
			Standing: message.StandingElsewhere,
			Delegate: ident.Incarnation(r.where),
		}
	}
	return Admission{Kind: KindKnown, Standing: r.standing, Status: r.final(), Target: r.where}
}

// epoch holds the ids formed with one prefix, and the ids adopted while that
// prefix was handed out.
type epoch struct {
	number uint32
	// closes: from then on the next prefix is handed out.
	closes time.Time
	// usable: from then on an id that was never seen is not admitted.
	usable time.Time
	// forget: from then on all its ids are expired.
	forget  time.Time
	own     map[string]*record
	adopted map[ident.RequestID]*record
	refused filter
}

func (e *epoch) extend(longest time.Duration) {
	if until := e.usable.Add(longest); until.After(e.forget) {
		e.forget = until
	}
}

// empty: nothing is remembered of the epoch's ids, nor was one refused.
func (e *epoch) empty() bool { return len(e.own)+len(e.adopted) == 0 && e.refused.bits == nil }

func (t *Table) current() *epoch { return t.epochs[len(t.epochs)-1] }

// open begins an epoch. A prefix handed out at its very end is good for one
// more period, hence two, and the grace.
func (t *Table) open(begins time.Time, number uint32) {
	if len(t.epochs) > 0 && t.current().closes.After(begins) {
		t.current().closes = begins
	}
	e := &epoch{
		number:  number,
		closes:  begins.Add(t.cfg.Period),
		usable:  begins.Add(2*t.cfg.Period + t.cfg.Period/graceParts),
		own:     make(map[string]*record),
		adopted: make(map[ident.RequestID]*record),
	}
	e.extend(t.cfg.Longest)
	t.epochs = append(t.epochs, e)
}

// advance opens the epoch of now and drops those that are past. A process that
// was paused skips the epochs in which it handed out nothing.
func (t *Table) advance(now time.Time) {
	if last := t.current(); !now.Before(last.closes) && t.cfg.Period > 0 {
		passed := now.Sub(last.closes) / t.cfg.Period
		t.open(last.closes.Add(passed*t.cfg.Period), last.number+1+uint32(passed))
	}
	for len(t.epochs) > 1 && !now.Before(t.epochs[0].forget) {
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

// check tells whether an own id that is not remembered may be remembered now.
func (t *Table) check(now time.Time, id ident.RequestID, parts ident.Parts) (*epoch, Kind, error) {
	if parts.Epoch > t.current().number {
		return nil, KindMalformed, fmt.Errorf("%w: epoch %d was not handed out yet", ident.ErrMalformed, parts.Epoch)
	}
	e := t.epoch(parts.Epoch)
	switch {
	case e == nil || !now.Before(e.forget):
		return nil, KindExpired, nil
	case !now.Before(e.usable):
		return nil, KindLate, nil
	case e.refused.has(string(id)) || t.count >= t.cfg.Max:
		return e, KindFull, nil
	}
	return e, KindNew, nil
}

// place is check, and notes a refusal for want of memory for good.
func (t *Table) place(now time.Time, id ident.RequestID, parts ident.Parts) (*epoch, Kind, error) {
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

// share lets all finished requests of the usual status point to one copy.
func (t *Table) share(status outcome.Status) *outcome.Status {
	if t.lastStatus != nil && *t.lastStatus == status {
		return t.lastStatus
	}
	copied := status
	t.lastStatus = &copied
	return t.lastStatus
}
