package virtual

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/record"
	"sycamoretrail/internal/replay/report"
)

// world is the state of a virtual replay.
type world struct {
	clock
	options Options
	random  *rand.Rand
	start   time.Time
	zones   []string
	// hosts are the current entry processes by index.
	hosts   []*host
	targets []*target
	byName  map[string]*target
	log     *logService
	callers []*caller
	calls   []*call
	open    int
	// cut marks the directions between entries in which messages are dropped.
	cut map[direction]bool
	// listHistory holds the past states of the instance list, oldest first.
	listHistory []listState
	listLag     time.Duration
}

type direction struct{ from, to int }

type listState struct {
	at   time.Time
	rows []entry.Instance
}

// Run replays the trace and returns the input of the report.
func Run(options Options) (report.Input, error) {
	w := &world{
		options: options, random: rand.New(rand.NewPCG(options.Seed, 0)), byName: map[string]*target{},
		cut: map[direction]bool{}, clock: clock{now: epoch}, start: epoch.Add(warmUp),
	}
	w.log = newLogService(w)
	if err := w.publish(); err != nil {
		return report.Input{}, err
	}
	if err := w.build(); err != nil {
		return report.Input{}, err
	}
	if err := w.planFaults(); err != nil {
		return report.Input{}, err
	}
	end := w.planCalls()
	w.run(end, func() bool { return w.open == 0 })
	return w.result(), nil
}

// publish writes the document to the log as its first record.
func (w *world) publish() error {
	data, err := json.Marshal(w.options.Document)
	if err != nil {
		return fmt.Errorf("encode document: %w", err)
	}
	encoded, err := record.Encode(record.Record{Document: &record.Document{Data: data}})
	if err != nil {
		return err
	}
	w.log.write(record.StreamDocuments, encoded)
	return nil
}

// build creates the targets, entries and callers.
func (w *world) build() error {
	for i := range w.options.Document.Targets {
		t, err := newTarget(w, &w.options.Document.Targets[i])
		if err != nil {
			return err
		}
		w.targets = append(w.targets, t)
		w.byName[t.name] = t
		if !slices.Contains(w.zones, t.zone) {
			w.zones = append(w.zones, t.zone)
		}
	}
	w.hosts = make([]*host, w.options.Entries)
	for i := range w.hosts {
		w.startEntry(i)
	}
	w.recordList()
	for i := range w.options.Entries * callersPerEntry {
		w.callers = append(w.callers, &caller{world: w, first: i})
	}
	return nil
}

// startEntry starts a new process at an index, without the state of a previous one.
func (w *world) startEntry(index int) {
	incarnation := ident.NewIncarnation(w.random.Uint64(), w.now.Unix())
	h := newHost(w, index, message.Member{
		Name: fmt.Sprintf("entry-%d", index), Incarnation: incarnation, Zone: w.zones[index%len(w.zones)],
		PeerAddress: fmt.Sprintf("10.0.0.%d:7000", index+1), CallerAddress: fmt.Sprintf("10.0.0.%d:8000", index+1),
	})
	w.hosts[index] = h
	h.begin()
	for _, peer := range w.hosts {
		if peer != nil && peer != h && peer.up {
			w.connect(h, peer)
			w.connect(peer, h)
		}
	}
}

// connect reports to an entry that its link to a peer is up.
func (w *world) connect(at, peer *host) {
	member := peer.member
	w.after(peerDelay, func() { at.input(entry.PeerUp{Member: member}) })
}

// recordList records the state of the instance list from now on.
func (w *world) recordList() {
	var rows []entry.Instance
	for _, h := range w.hosts {
		if h.up {
			rows = append(rows, entry.Instance{Name: h.member.Name, Address: h.member.PeerAddress, Zone: h.member.Zone, Role: "entry"})
		}
	}
	for _, t := range w.targets {
		if t.up {
			rows = append(rows, entry.Instance{Name: t.name, Address: t.address, Zone: t.zone, Role: "target", Leaving: t.leaving})
		}
	}
	w.listHistory = append(w.listHistory, listState{at: w.now, rows: rows})
}

// list returns the instance list as readers see it, with the lag of listLag.
func (w *world) list() []entry.Instance {
	seen := w.listHistory[0]
	for _, state := range w.listHistory {
		if !state.at.After(w.now.Add(-w.listLag)) {
			seen = state
		}
	}
	return slices.Clone(seen.rows)
}

// planCalls schedules each line of the trace and returns the latest time at which
// all calls have ended.
func (w *world) planCalls() time.Time {
	lines := w.options.Trace.Lines
	end := w.start
	for i := range lines {
		c := newCall(w, i, &lines[i])
		w.calls = append(w.calls, c)
		w.at(w.start.Add(lines[i].At()), c.begin)
		end = later(end, w.start.Add(lines[i].At()+c.seen.Deadline+giveUp))
	}
	w.open += len(lines)
	// Callers of crashing requests continue after the end of the trace.
	return end.Add(giveUp + time.Minute)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// result returns the calls of the callers and the runs in the ledgers of targets.
func (w *world) result() report.Input {
	in := report.Input{
		Trace: w.options.Trace.Header.Name, Mode: "virtual", Policy: string(w.options.Policy),
		Seed: w.options.Seed, Load: w.options.Trace.Header.Load, Tolerance: w.options.Tolerance,
	}
	for i := range w.options.Document.Tiers {
		in.Tiers = append(in.Tiers, w.options.Document.Tiers[i].Name)
	}
	for _, c := range w.calls {
		if c.seen.Ended == 0 {
			c.seen.Ended = w.now.Sub(w.start)
		}
		in.Calls = append(in.Calls, c.seen)
	}
	for _, t := range w.targets {
		for _, run := range t.ledger {
			in.Runs = append(in.Runs, *run)
		}
	}
	return in
}

// sinceStart returns the current time as used in the report.
func (w *world) sinceStart() time.Duration { return w.now.Sub(w.start) }

// hostAt returns the current process with a caller address, or nil.
func (w *world) hostAt(address string) *host {
	for _, h := range w.hosts {
		if h.member.CallerAddress == address {
			return h
		}
	}
	return nil
}

// hostOf returns the current process with an incarnation, or nil.
func (w *world) hostOf(incarnation ident.Incarnation) *host {
	for _, h := range w.hosts {
		if h.member.Incarnation == incarnation {
			return h
		}
	}
	return nil
}
