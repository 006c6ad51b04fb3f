package entry

import (
	"testing"

	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
)

// scripts are schedules that once broke a promise, as shrunk when found. The
// comments describe what the caller saw.
var scripts = map[string]schedule{
	// A caller resends its key under a new id while the log is unavailable. It
	// got "not run" although the key's first request had run: the coordinator
	// answered from the state of the log and not from what it had read.
	"key resent in an outage": {0, []step{
		{0, engineCall, 0, 0, 0, 0}, {0, keyedCall, 0, 0, 0, 2}, {29, logDown, 0, 0, 0, 1}, {200, keyedCall, 0, 1, 0, 2},
	}},
	// Two requests have one key. The winner's id belongs to entry 0, which had
	// handed it over to entry 1. The loser joined a run that entry 0 never had,
	// and its caller waited forever.
	"winner at a delegate": {0, []step{
		{0, drainEntry, 0, 0, 0, 0}, {0, keyedCall, 0, 1, 0, 0}, {0, keyedCall, 1, 0, 0, 0}, {0, engineCall, 0, 0, 0, 0},
	}},
	// Only the list shows that a target leaves; then the list shows an older
	// state. The entries took that for a change and sent requests to the target
	// again.
	"older list": {0, []step{
		{0, leaveInList, 4, 1, 3, 3}, {523, listLag, 1, 5, 1, 9}, {2000, engineCall, 0, 0, 0, 0},
	}},
	// A run is cancelled for a higher tier, and its target crashes before it
	// receives the cancellation. The caller got two final statuses.
	"cancelled, then broken": {0, []step{
		{0, burst, 0, 3, 1, 0}, {0, burst, 3, 3, 3, 9}, {1, burst, 0, 0, 0, 0}, {1, engineCall, 0, 3, 1, 2},
		{3, engineCall, 0, 0, 5, 7}, {11, threeAtOnce, 4, 0, 1, 4},
	}},
	// An entry drains while a caller follows, through it, the stream of a run
	// that another entry dispatched. The run continues; the entry must not wait
	// to settle it.
	"drain with a follower": {1, []step{
		{0, pauseEntry, 0, 0, 0, 1}, {0, engineCall, 0, 1, 0, 0}, {0, engineCall, 0, 0, 3, 0}, {0, drainEntry, 1, 0, 0, 0},
		{298, threeAtOnce, 5, 0, 3, 6}, {51, engineCall, 4, 2, 4, 7}, {1, serviceCall, 0, 1, 1, 5},
	}},
	// Two of four entries are killed. A request is resent to the others and to
	// its owner. One submission got two final statuses.
	"resent while entries are down": {7, []step{
		{41, killEntry, 4, 3, 1, 9}, {0, killEntry, 5, 1, 2, 3}, {0, engineCall, 2, 1, 0, 8}, {154, threeAtOnce, 5, 5, 3, 0}, {0, resend, 4, 4, 4, 1},
	}},
}

func TestScripts(t *testing.T) {
	for name, script := range scripts {
		t.Run(name, func(t *testing.T) {
			if broken := script.run(nil); len(broken) > 0 {
				t.Errorf("%v", broken)
			}
		})
	}
}

// TestResendWhileTheRunEnds: a run is cancelled for a higher tier, and its
// request is resent before the run has ended. The status was settled at the
// cancellation. The second caller gets the same one at once and does not wait
// for an answer that never comes.
func TestResendWhileTheRunEnds(t *testing.T) {
	l := newSingleEntry(testDocument("first", 0))
	run := dispatched(l.submit(1, longDeadline))[0]
	l.step(FromPeer{From: "inc-9", Message: message.Preempt{ID: run.ID, Target: run.Target}})
	outputs := l.submit(1, longDeadline)
	if got := settledReasons(outputs); len(got) != 1 || got[0] != string(outcome.ReasonPreempted) {
		t.Errorf("settled with %v", got)
	}
}

// TestRunReportAfterItsEnd: the owner's report on a run arrives after the end
// of the run. The slot is free again; if it counted as taken until the
// deadline, other requests would wait for nothing.
func TestRunReportAfterItsEnd(t *testing.T) {
	l := newSingleEntry(testDocument("first", 0))
	run := dispatched(l.submit(1, longDeadline))[0]
	f := l.flights[run.ID]
	report := message.Running{Runs: []message.Run{l.running(f)}}
	l.step(RunEnded{ID: run.ID, Result: message.ResultComplete, Wrote: true})
	l.deliver(l.cfg.Self.Incarnation, report, fromScheduler)
	for _, v := range l.Entry.scheduler.Inspect(l.now) {
		if v.InFlight != 0 {
			t.Errorf("%s holds %d", v.Name, v.InFlight)
		}
	}
}

// TestIDOfAnotherOrganisation: another organisation sends an id that is known
// here. It is refused and learns nothing about the request with that id: no
// outcome, no answer, no address. The same holds for a peer that queries with
// that organisation's tag.
func TestIDOfAnotherOrganisation(t *testing.T) {
	l := newSingleEntry(testDocument("first", 0))
	run := dispatched(l.submit(1, longDeadline))[0]
	l.step(RunEnded{ID: run.ID, Result: message.ResultComplete, Wrote: true})
	outs := l.submit(1, func(r *request.Request) { r.Organisation = "b" })
	if got := settledReasons(outs); len(got) != 1 || got[0] != string(outcome.ReasonMalformed) {
		t.Errorf("settled with %v", got)
	}
	reply := l.stateFor("inc-9", message.OwnerRequest{ID: run.ID, Tag: 1})
	if reply.Status.Outcome != outcome.NotRun || reply.Target != "" {
		t.Errorf("a peer got %+v", reply)
	}
}
