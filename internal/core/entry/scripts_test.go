package entry

import (
	"testing"

	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
)

// scripts are schedules that once broke a promise, as shrunk when found. Each
// holds now; the comment tells what the caller saw then.
var scripts = map[string]schedule{
	// A caller sends its key again, under a new id, while the log is out. It was
	// refused "not run", although the key's first request had run: the home
	// answered from the log's state and not from what it had read.
	"key again in an outage": {0, []step{
		{0, engineCall, 0, 0, 0, 0}, {0, keyedCall, 0, 0, 0, 2}, {29, logDown, 0, 0, 0, 1}, {200, keyedCall, 0, 1, 0, 2},
	}},
	// Two requests of one key; the winner's id belongs to entry 0, which had
	// given it up to entry 1. The loser joined a run that entry 0 never had, and
	// its caller waited for ever.
	"winner at a delegate": {0, []step{
		{0, drainEntry, 0, 0, 0, 0}, {0, keyedCall, 0, 1, 0, 0}, {0, keyedCall, 1, 0, 0, 0}, {0, engineCall, 0, 0, 0, 0},
	}},
	// A target leaves by the list's word alone; then the list shows an older
	// state. The entries took that for news and sent it requests again.
	"older list": {0, []step{
		{0, leaveInList, 4, 1, 3, 3}, {523, listLag, 1, 5, 1, 9}, {2000, engineCall, 0, 0, 0, 0},
	}},
	// A run is cancelled for a higher tier, and its target dies before it hears
	// of that: the caller was told twice how its request ended.
	"cancelled, then broken": {0, []step{
		{0, burst, 0, 3, 1, 0}, {0, burst, 3, 3, 3, 9}, {1, burst, 0, 0, 0, 0}, {1, engineCall, 0, 3, 1, 2},
		{3, engineCall, 0, 0, 5, 7}, {11, threeAtOnce, 4, 0, 1, 4},
	}},
	// An entry drains while a caller follows, through it, the stream of a run
	// that another dispatched. The run goes on; the entry must not owe a word.
	"drain with a follower": {1, []step{
		{0, pauseEntry, 0, 0, 0, 1}, {0, engineCall, 0, 1, 0, 0}, {0, engineCall, 0, 0, 3, 0}, {0, drainEntry, 1, 0, 0, 0},
		{298, threeAtOnce, 5, 0, 3, 6}, {51, engineCall, 4, 2, 4, 7}, {1, serviceCall, 0, 1, 1, 5},
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

// A run is cancelled for a higher tier, and its request is sent again before the
// run has ended. The word was given at the cancelling; the second caller gets
// the same one at once, and does not wait for an answer that is not to come.
func TestSentAgainWhileTheRunEnds(t *testing.T) {
	l := newLone(testDocument("first", 0))
	run := dispatched(l.submit(1, patient))[0]
	l.step(FromPeer{From: "inc-9", Message: message.Preempt{ID: run.ID, Target: run.Target}})
	outs := l.submit(1, patient)
	if got := told(outs); len(got) != 1 || got[0] != string(outcome.ReasonPreempted) {
		t.Errorf("told %v", got)
	}
}

// The owner's report on a run is overtaken by its word on the run's end. The
// place is free again; counted as taken until the deadline, it would make
// others wait for nothing.
func TestReportAfterTheEnd(t *testing.T) {
	l := newLone(testDocument("first", 0))
	run := dispatched(l.submit(1, patient))[0]
	f := l.flights[run.ID]
	report := message.Running{Runs: []message.RunningOne{l.running(f)}}
	l.step(RunEnded{ID: run.ID, Result: message.ResultComplete, Wrote: true})
	l.deliver(l.cfg.Self.Incarnation, report, fromPlaces)
	for _, v := range l.Entry.places.Inspect(l.now) {
		if v.InFlight != 0 {
			t.Errorf("%s holds %d", v.Name, v.InFlight)
		}
	}
}

// Another organisation sends an id that is known here. It is refused and hears
// nothing of the request that has the id: no outcome, no answer, no place to
// ask. The same through a peer, which asks with that organisation's tag.
func TestIDOfAnotherOrganisation(t *testing.T) {
	l := newLone(testDocument("first", 0))
	run := dispatched(l.submit(1, patient))[0]
	l.step(RunEnded{ID: run.ID, Result: message.ResultComplete, Wrote: true})
	outs := l.submit(1, func(r *request.Request) { r.Organisation = "b" })
	if got := told(outs); len(got) != 1 || got[0] != string(outcome.ReasonMalformed) {
		t.Errorf("told %v", got)
	}
	reply := l.standingFor("inc-9", message.OwnerAsk{ID: run.ID, Tag: 1})
	if reply.Status.Outcome != outcome.NotRun || reply.Target != "" {
		t.Errorf("a peer was told %+v", reply)
	}
}
