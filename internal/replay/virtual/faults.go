package virtual

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/replay/trace"
)

// FaultKind names a kind of fault in a schedule.
type FaultKind string

const (
	// TargetCrash makes a target lose its state and refuse connections for ForMS.
	TargetCrash FaultKind = "target_crash"
	// TargetStraggle slows a target down by Factor.
	TargetStraggle FaultKind = "target_straggle"
	// TargetLeave makes a target announce its departure and reject new requests.
	TargetLeave FaultKind = "target_leave"
	// LogDown makes the log unavailable, LogSlow delays its answers by SlowMS, and
	// LogLose drops the answers of appends.
	LogDown FaultKind = "log_down"
	LogSlow FaultKind = "log_slow"
	LogLose FaultKind = "log_lose"
	// ListLag makes the instance list show its state of SlowMS ago.
	ListLag FaultKind = "list_lag"
	// EntryKill ends an entry process and starts a new one after ForMS.
	EntryKill FaultKind = "entry_kill"
	// EntryPause suspends an entry process for ForMS.
	EntryPause FaultKind = "entry_pause"
	// PeerCut drops all messages between Entry and Other, PeerCutOneWay those from
	// Entry to Other.
	PeerCut       FaultKind = "peer_cut"
	PeerCutOneWay FaultKind = "peer_cut_one_way"
	// CrashingRequest makes a caller send a request that crashes each engine that runs it,
	// and send it again after each failure.
	CrashingRequest FaultKind = "poison"
)

// Fault is one fault of a schedule. Targets and entries are given by index, so
// that a schedule fits both deployments: Engine and Service are indices among the
// engines and services of the document.
type Fault struct {
	AtMS    int64     `json:"at_ms"`
	ForMS   int64     `json:"for_ms"`
	Kind    FaultKind `json:"kind"`
	Engine  *int      `json:"engine,omitempty"`
	Service *int      `json:"service,omitempty"`
	Entry   int       `json:"entry,omitempty"`
	Other   int       `json:"other,omitempty"`
	Factor  float64   `json:"factor,omitempty"`
	SlowMS  int64     `json:"slow_ms,omitempty"`
}

// ErrFault is wrapped by the errors of an invalid schedule.
var ErrFault = errors.New("fault cannot be caused")

const (
	// crashDelay is how long a target runs a crashing request before it crashes,
	// crashOutage how long it is unavailable afterwards.
	crashDelay  = 30 * time.Millisecond
	crashOutage = time.Second
)

// ReadFaults reads a schedule: a JSON list of faults.
func ReadFaults(path string) ([]Fault, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read faults: %w", err)
	}
	var faults []Fault
	if err := json.Unmarshal(data, &faults); err != nil {
		return nil, fmt.Errorf("read faults %s: %w", path, err)
	}
	return faults, nil
}

func (w *world) planFaults() error {
	for i := range w.options.Faults {
		f := &w.options.Faults[i]
		begin, end, err := w.fault(f)
		if err != nil {
			return fmt.Errorf("fault %d: %w", i, err)
		}
		at := w.start.Add(time.Duration(f.AtMS) * time.Millisecond)
		w.at(at, begin)
		if end != nil {
			w.at(at.Add(f.duration()), end)
		}
	}
	return nil
}

func (f *Fault) duration() time.Duration { return time.Duration(f.ForMS) * time.Millisecond }

// fault returns the functions that begin and end a fault; end may be nil.
func (w *world) fault(f *Fault) (begin, end func(), err error) {
	switch f.Kind {
	case TargetCrash, TargetStraggle, TargetLeave:
		return w.targetFault(f)
	case EntryKill, EntryPause, PeerCut, PeerCutOneWay:
		return w.entryFault(f)
	case LogDown:
		return func() { w.log.setDown(true) }, func() { w.log.setDown(false) }, nil
	case LogSlow:
		slow := time.Duration(f.SlowMS) * time.Millisecond
		return func() { w.log.slow = slow }, func() { w.log.slow = 0 }, nil
	case LogLose:
		return func() { w.log.loseAnswers = true }, func() { w.log.loseAnswers = false }, nil
	case ListLag:
		lag := time.Duration(f.SlowMS) * time.Millisecond
		return func() { w.listLag = lag }, func() { w.listLag = 0 }, nil
	case CrashingRequest:
		return w.crashingRequestFault()
	}
	return nil, nil, fmt.Errorf("%w: unknown kind %q", ErrFault, f.Kind)
}

func (w *world) targetFault(f *Fault) (begin, end func(), err error) {
	t, err := w.faultTarget(f)
	if err != nil {
		return nil, nil, err
	}
	switch f.Kind {
	case TargetCrash:
		return func() { t.crash(f.duration()) }, nil, nil
	case TargetStraggle:
		return func() { t.setStraggle(f.Factor) }, func() { t.setStraggle(1) }, nil
	}
	leave := func(leaving bool) func() {
		return func() {
			t.leaving = leaving
			if t.engine != nil {
				t.engine.SetLeaving(leaving)
			}
			w.recordList()
		}
	}
	return leave(true), leave(false), nil
}

// faultTarget returns the engine or service of a fault.
func (w *world) faultTarget(f *Fault) (*target, error) {
	if f.Engine == nil && f.Service == nil {
		return nil, fmt.Errorf("%w: neither engine nor service is given", ErrFault)
	}
	declared := FaultTarget(w.options.Document, f)
	if declared == nil {
		return nil, fmt.Errorf("%w: the document has no target of that kind at that index", ErrFault)
	}
	return w.byName[declared.Name], nil
}

// FaultTarget returns the document's target of a fault, the n-th engine or service,
// or nil if there is none.
func FaultTarget(doc *document.Document, f *Fault) *document.Target {
	index, kind := f.Engine, document.KindEngine
	if index == nil {
		index, kind = f.Service, document.KindService
	}
	if index == nil {
		return nil
	}
	left := *index
	for i := range doc.Targets {
		class := trace.ClassOf(doc, doc.Targets[i].Class)
		if class == nil || class.Kind != kind {
			continue
		}
		if left == 0 {
			return &doc.Targets[i]
		}
		left--
	}
	return nil
}

func (w *world) entryFault(f *Fault) (begin, end func(), err error) {
	if f.Entry >= len(w.hosts) || f.Other >= len(w.hosts) {
		return nil, nil, fmt.Errorf("%w: no entry %d or %d", ErrFault, f.Entry, f.Other)
	}
	switch f.Kind {
	case EntryKill:
		return func() { w.hosts[f.Entry].kill() }, func() { w.replaceEntry(f.Entry) }, nil
	case EntryPause:
		return func() { w.hosts[f.Entry].paused = true }, func() { w.hosts[f.Entry].unpause() }, nil
	}
	directions := []direction{{f.Entry, f.Other}}
	if f.Kind == PeerCut {
		directions = append(directions, direction{f.Other, f.Entry})
	}
	return func() { w.cutLinks(directions) }, func() { w.restoreLinks(directions) }, nil
}

func (w *world) replaceEntry(place int) {
	w.startEntry(place)
	w.recordList()
}

// cutLinks drops the messages in the given directions. The receiving end reports
// its link as down after linkTimeout.
func (w *world) cutLinks(directions []direction) {
	for _, d := range directions {
		w.cut[d] = true
		w.after(linkTimeout, func() {
			if w.cut[d] {
				w.hosts[d.to].input(entry.PeerDown{Incarnation: w.hosts[d.from].member.Incarnation})
			}
		})
	}
}

func (w *world) restoreLinks(directions []direction) {
	for _, d := range directions {
		delete(w.cut, d)
		w.connect(w.hosts[d.to], w.hosts[d.from])
	}
}

// crashingRequestFault sends a copy of the trace's first engine request as a crashing
// request.
func (w *world) crashingRequestFault() (begin, end func(), err error) {
	lines := w.options.Trace.Lines
	first := slices.IndexFunc(lines, func(l trace.Line) bool { return l.Kind == trace.Engine })
	if first < 0 {
		return nil, nil, fmt.Errorf("%w: no engine request in the trace to copy", ErrFault)
	}
	line := lines[first]
	line.CrashesTarget, line.Resend = true, nil
	w.open++
	return func() {
		c := newCall(w, first, &line)
		c.source = -1
		c.seen.Line = 0
		w.calls = append(w.calls, c)
		c.begin()
	}, nil, nil
}
