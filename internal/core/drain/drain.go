// Package drain runs the stages of a planned stop. It aborts nothing: after
// the bound it reports what is still held and continues to wait.
//
// Invariants: the stage never goes back; new requests are accepted until the last
// answer to a "which entry" lookup that may name this entry has expired; Drained
// is reached only when nothing is in flight.
package drain

import "time"

// Stage is a stage of a planned stop.
type Stage uint8

const (
	// Serving means that no stop was requested.
	Serving Stage = iota
	// Leaving means that this entry no longer names itself in answers to "which entry"
	// and reports Draining in its heartbeats; its targets move to other schedulers.
	// Peers that have not received the report may still name it.
	Leaving
	// Taking means that no entry names it any more; callers that hold an answer may
	// still send requests.
	Taking
	// Finishing means that the last such answer has expired; new requests are refused
	// as "not run", requests in flight are finished.
	Finishing
	// Drained means that nothing is held and the process may exit.
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

// Config holds the periods of a stop.
type Config struct {
	// PeerTimeout is how long a peer may continue to name this entry: the failure-detection
	// timeout, after which a peer that did not receive the report does not name it either.
	PeerTimeout time.Duration
	// AnswerTTL is how long an answer to "which entry" is valid.
	AnswerTTL time.Duration
	// Bound is the time after which what is still held is reported as overdue.
	Bound time.Duration
}

// Held counts what an entry still holds.
type Held struct {
	// InFlight counts requests accepted and not settled.
	InFlight int
	// Answers counts answers whose end has not been sent to the caller yet.
	Answers int
	// Targets counts targets scheduled here whose handover is not complete.
	Targets int
	// Appends counts log appends whose outcome is not known yet.
	Appends int
}

func (h Held) empty() bool { return h == Held{} }

// Report describes the progress of a stop.
type Report struct {
	Stage Stage
	// Since is the time since the stop was requested, zero if it was not.
	Since time.Duration
	// Overdue means that the bound has passed and something is still held.
	Overdue bool
	Held    Held
}

// Drain is the state of a planned stop. The zero value is not usable; see New.
type Drain struct {
	cfg             Config
	stage           Stage
	started         time.Time
	unnamedAt       time.Time
	answersExpireAt time.Time
	held            Held
}

// New returns a drain whose stop has not been requested.
func New(cfg Config) *Drain { return &Drain{cfg: cfg} }

// Configure applies new periods. During a stop they only extend its stages: an
// answer given under the previous settings is still valid.
func (d *Drain) Configure(cfg Config) {
	d.cfg = cfg
	if d.stage != Serving {
		d.schedule()
	}
}

// Start begins the stop; further calls change nothing.
func (d *Drain) Start(now time.Time) {
	if d.stage != Serving {
		return
	}
	d.stage, d.started = Leaving, now
	d.schedule()
}

func (d *Drain) schedule() {
	d.unnamedAt = later(d.unnamedAt, d.started.Add(d.cfg.PeerTimeout))
	d.answersExpireAt = later(d.answersExpireAt, d.started.Add(d.cfg.PeerTimeout+d.cfg.AnswerTTL))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Tick advances the stage as far as time and held allow, and returns it.
func (d *Drain) Tick(now time.Time, held Held) Stage {
	d.held = held
	if d.stage == Leaving && !now.Before(d.unnamedAt) {
		d.stage = Taking
	}
	if d.stage == Taking && !now.Before(d.answersExpireAt) {
		d.stage = Finishing
	}
	if d.stage == Finishing && held.empty() {
		d.stage = Drained
	}
	return d.stage
}

// Stage returns the stage as of the last Tick.
func (d *Drain) Stage() Stage { return d.stage }

// NamesSelf reports whether answers to "which entry" may name this entry.
func (d *Drain) NamesSelf() bool { return d.stage == Serving }

// Schedules reports whether this entry may schedule targets.
func (d *Drain) Schedules() bool { return d.stage == Serving }

// AcceptsRequests reports whether new requests are accepted.
func (d *Drain) AcceptsRequests() bool { return d.stage <= Taking }

// Report returns the progress of the stop.
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
