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

// FaultKind names a failure that a schedule brings about.
type FaultKind string

const (
	// TargetCrash: the target loses all and refuses connections for the time.
	TargetCrash FaultKind = "target_crash"
	// TargetStraggle: the target takes Factor times as long.
	TargetStraggle FaultKind = "target_straggle"
	// TargetLeave: the target says that it leaves, and takes nothing new.
	TargetLeave FaultKind = "target_leave"
	// LogDown, LogSlow (by SlowMS) and LogLose (answers of appends).
	LogDown FaultKind = "log_down"
	LogSlow FaultKind = "log_slow"
	LogLose FaultKind = "log_lose"
	// ListLag: the instance list shows the state of SlowMS ago.
	ListLag FaultKind = "list_lag"
	// EntryKill: the process dies, and another starts in its place after the time.
	EntryKill FaultKind = "entry_kill"
	// EntryPause: the process stands still for the time and goes on.
	EntryPause FaultKind = "entry_pause"
	// PeerCut: nothing passes between Entry and Other; PeerCutOneWay: nothing
	// passes from Entry to Other.
	PeerCut       FaultKind = "peer_cut"
	PeerCutOneWay FaultKind = "peer_cut_one_way"
	// Poison: a caller sends a request that crashes every engine that runs it,
	// and sends it again after each failure.
	Poison FaultKind = "poison"
)

// Fault is one failure of a schedule. Targets and entries are named by their
// place, so that a schedule fits both deployments: Engine and Service count the
// document's engines and services.
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

// ErrFault is wrapped by every error about a schedule.
var ErrFault = errors.New("fault cannot be caused")

const (
	// poisonDelay is how long a target runs a poisonous request before it dies,
	// poisonOutage how long it is away then.
	poisonDelay  = 30 * time.Millisecond
	poisonOutage = time.Second
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
			w.at(at.Add(f.lasts()), end)
		}
	}
	return nil
}

func (f *Fault) lasts() time.Duration { return time.Duration(f.ForMS) * time.Millisecond }

// fault says what a fault's beginning and end do.
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
	case Poison:
		return w.poisonFault()
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
		return func() { t.crash(f.lasts()) }, nil, nil
	case TargetStraggle:
		return func() { t.setStraggle(f.Factor) }, func() { t.setStraggle(1) }, nil
	}
	leave := func(leaving bool) func() {
		return func() {
			t.leaving = leaving
			if t.engine != nil {
				t.engine.SetLeaving(leaving)
			}
			w.noteList()
		}
	}
	return leave(true), leave(false), nil
}

// faultTarget finds the fault's engine or service.
func (w *world) faultTarget(f *Fault) (*target, error) {
	if f.Engine == nil && f.Service == nil {
		return nil, fmt.Errorf("%w: neither engine nor service is named", ErrFault)
	}
	declared := FaultTarget(w.options.Document, f)
	if declared == nil {
		return nil, fmt.Errorf("%w: the document has no target of that kind at that place", ErrFault)
	}
	return w.byName[declared.Name], nil
}

// FaultTarget is the document's target that a fault is about: the n-th engine or
// service. nil: there is none.
func FaultTarget(doc *document.Document, f *Fault) *document.Target {
	place, kind := f.Engine, document.KindEngine
	if place == nil {
		place, kind = f.Service, document.KindService
	}
	if place == nil {
		return nil
	}
	left := *place
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
		return func() { w.hosts[f.Entry].paused = true }, func() { w.hosts[f.Entry].wake() }, nil
	}
	directions := []direction{{f.Entry, f.Other}}
	if f.Kind == PeerCut {
		directions = append(directions, direction{f.Other, f.Entry})
	}
	return func() { w.cutLinks(directions) }, func() { w.healLinks(directions) }, nil
}

func (w *world) replaceEntry(place int) {
	w.startEntry(place)
	w.noteList()
}

// cutLinks stops what passes. The receiving end counts its link as broken when
// nothing has come for a while.
func (w *world) cutLinks(directions []direction) {
	for _, d := range directions {
		w.cut[d] = true
		w.after(cutNoticed, func() {
			if w.cut[d] {
				w.hosts[d.to].input(entry.PeerDown{Incarnation: w.hosts[d.from].member.Incarnation})
			}
		})
	}
}

func (w *world) healLinks(directions []direction) {
	for _, d := range directions {
		delete(w.cut, d)
		w.connect(w.hosts[d.to], w.hosts[d.from])
	}
}

// poisonFault sends a copy of the trace's first engine request, poisoned.
func (w *world) poisonFault() (begin, end func(), err error) {
	lines := w.options.Trace.Lines
	first := slices.IndexFunc(lines, func(l trace.Line) bool { return l.Kind == trace.Engine })
	if first < 0 {
		return nil, nil, fmt.Errorf("%w: no engine request to poison", ErrFault)
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
