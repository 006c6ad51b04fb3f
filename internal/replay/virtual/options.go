// Package virtual replays a trace on a virtual clock: an event heap, the real
// core of several entries, and one small fake for each interface (engine, plain
// service, log, instance list, caller). Messages take a fixed time for each kind
// of link; hosts, networks and zones are not modelled beyond that. Equal options
// give equal reports. It does not replace the live mode.
package virtual

import (
	"time"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/replay/trace"
)

// Core is the state machine of one entry, implemented by *entry.Entry.
type Core interface {
	Step(now time.Time, in entry.Input) []entry.Output
}

// Options are the parameters of a virtual replay.
type Options struct {
	Trace    *trace.Trace
	Document *document.Document
	Policy   entry.Policy
	Entries  int
	Seed     uint64
	Faults   []Fault
	// ReportAge is the age of the engines' load reports.
	ReportAge time.Duration
	// Tolerance applies to tier inversions; the virtual clock requires none.
	Tolerance time.Duration
	// NewCore creates the core of an entry; nil means entry.New.
	NewCore func(cfg entry.Config, now time.Time) Core
}

// Fixed delays, one way.
const (
	callerDelay = 2 * time.Millisecond
	peerDelay   = 500 * time.Microsecond
	targetDelay = 500 * time.Microsecond
	logDelay    = 5 * time.Millisecond
)

// Intervals and limits of the adapters round the core, as in the live system.
const (
	tickEvery     = 20 * time.Millisecond
	probeEvery    = 500 * time.Millisecond
	listEvery     = time.Second
	progressEvery = 100 * time.Millisecond
	pollWait      = time.Second
	logRetry      = 500 * time.Millisecond
	// streamHeld is how long an engine retains a stream after its end.
	streamHeld = 30 * time.Second
	// linkTimeout is the time without traffic after which a link counts as broken.
	linkTimeout = time.Second
	// logRate is the number of appends per second that the log accepts.
	logRate = 400
)

// Parameters of callers, as in the live mode.
const (
	callersPerEntry = 4
	askTimeout      = 2 * time.Second
	pauseAfterRound = 100 * time.Millisecond
	waitLimit       = 2 * time.Second
	giveUp          = 12 * time.Second
)

// warmUp is the time before the trace begins, in which entries become ready.
const warmUp = 5 * time.Second

// epoch is the beginning of virtual time.
var epoch = time.Unix(1_700_000_000, 0).UTC()

func (o *Options) core(cfg entry.Config, now time.Time) Core {
	if o.NewCore != nil {
		return o.NewCore(cfg, now)
	}
	return entry.New(cfg, now)
}
