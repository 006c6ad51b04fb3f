// Package drain carries a planned stop through its stages. It cuts nothing: past
// the bound it reports what is still held and goes on waiting.
//
// Invariants: the stage never goes back; new requests are taken until the last
// answer to "which entry" that may name this one has lapsed; Drained is reached
// only when nothing is in flight.
package drain

import "time"

// Stage is a stage of a planned stop.
type Stage uint8

const (
	// Serving: no stop was asked for.
	Serving Stage = iota
	// Leaving: this entry no longer names itself in answers to "which entry" and
	// says Draining in its heartbeats; its targets go to other schedulers. Peers
	// that have not heard it yet may still name it.
	Leaving
	// Taking: nobody names it any more; callers that hold an answer may still come.
	Taking
	// Finishing: the last such answer has lapsed; new requests are refused
	// "not run", what is in flight is finished.
	Finishing
	// Drained: nothing is held and the process may exit.
	Drained
)

// String returns the stage's name for status pages and logs.
func (s Stage) String() string {
	switch s {
	case Serving:
		return "serving"
	case Leaving:
		return "leaving"
	case Taking:
		return "taking"
	case Finishing:
		return "finishing"
	}
	return "drained"
}

// Config holds the times of a stop.
type Config struct {
	// Settle is how long a peer may go on naming this entry: the silence limit,
	// after which a peer that did not hear of the stop does not name it either.
	Settle time.Duration
	// AnswerTTL is how long an answer to "which entry" is good.
	AnswerTTL time.Duration
	// Bound is when what is still held is reported.
	Bound time.Duration
}

// Held is what an entry still holds.
type Held struct {
	// InFlight counts requests accepted and not settled.
	InFlight int
	// Answers counts answers whose end has not left to its caller yet.
	Answers int
	// Targets counts targets scheduled here whose handover is not done.
	Targets int
	// Appends counts log appends whose fate is not known yet.
	Appends int
}

func (h Held) empty() bool { return h == Held{} }

// Report tells how a stop goes.
type Report struct {
	Stage Stage
	// Since is how long ago the stop was asked for, zero if it was not.
	Since time.Duration
	// Overdue: the bound has passed and something is still held.
	Overdue bool
	Held    Held
}

// Drain is the state of a planned stop. The zero value is not usable; see New.
type Drain struct {
	cfg     Config
	stage   Stage
	started time.Time
	settled time.Time
	lapsed  time.Time
	held    Held
}

// New returns a drain that was not asked for yet.
func New(cfg Config) *Drain { return &Drain{cfg: cfg} }

// Configure puts new times in force. During a stop the waits only grow: an
// answer given out under the former settings is still good.
func (d *Drain) Configure(cfg Config) {
	d.cfg = cfg
	if d.stage != Serving {
		d.schedule()
	}
}

// Start asks for the stop; asking again changes nothing.
func (d *Drain) Start(now time.Time) {
	if d.stage != Serving {
		return
	}
	d.stage, d.started = Leaving, now
	d.schedule()
}

func (d *Drain) schedule() {
	d.settled = later(d.settled, d.started.Add(d.cfg.Settle))
	d.lapsed = later(d.lapsed, d.started.Add(d.cfg.Settle+d.cfg.AnswerTTL))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Tick moves on as far as time and what is held allow, and returns the stage.
func (d *Drain) Tick(now time.Time, held Held) Stage {
	d.held = held
	if d.stage == Leaving && !now.Before(d.settled) {
		d.stage = Taking
	}
	if d.stage == Taking && !now.Before(d.lapsed) {
		d.stage = Finishing
	}
	if d.stage == Finishing && held.empty() {
		d.stage = Drained
	}
	return d.stage
}

// Stage is the stage as of the last Tick.
func (d *Drain) Stage() Stage { return d.stage }

// NamesSelf reports whether answers to "which entry" may name this entry.
func (d *Drain) NamesSelf() bool { return d.stage == Serving }

// Schedules reports whether this entry may schedule targets.
func (d *Drain) Schedules() bool { return d.stage == Serving }

// Takes reports whether new requests are taken.
func (d *Drain) Takes() bool { return d.stage <= Taking }

// Report tells how the stop goes.
func (d *Drain) Report(now time.Time) Report {
	if d.stage == Serving {
		return Report{Held: d.held}
	}
	since := now.Sub(d.started)
	return Report{
		Stage:   d.stage,
		Since:   since,
		Overdue: since > d.cfg.Bound && d.stage != Drained,
		Held:    d.held,
	}
}
