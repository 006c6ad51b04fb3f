package entry

import "testing"

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
	// of that: the caller was told twice how its request ended. The same when
	// the request is sent again between the cancelling and the run's end.
	"cancelled, then sent again": {0, []step{
		{0, burst, 0, 3, 1, 0}, {0, burst, 3, 3, 3, 9}, {1, burst, 0, 0, 0, 0}, {1, engineCall, 0, 3, 1, 2},
		{3, engineCall, 0, 0, 5, 7}, {11, threeAtOnce, 4, 0, 1, 4},
	}},
	// The report that a run began comes after the word on its end. The place
	// counted as taken until the deadline, and a request waited for nothing.
	"report after the end": {32874, []step{
		{795, engineCall, 0, 1, 5, 4}, {34, engineCall, 4, 5, 2, 2}, {26, engineCall, 1, 2, 1, 0}, {3, engineCall, 5, 4, 1, 0},
		{3, threeAtOnce, 0, 0, 4, 7}, {0, poisonCall, 0, 3, 2, 9}, {7, serviceCall, 2, 4, 0, 1}, {9, poisonCall, 4, 4, 1, 9},
		{2, serviceCall, 0, 0, 1, 6}, {14, engineCall, 2, 1, 0, 1}, {8, engineCall, 3, 1, 3, 3},
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
