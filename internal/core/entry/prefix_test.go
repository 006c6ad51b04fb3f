package entry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/record"
	"sycamoretrail/internal/core/request"
)

// Guards against requests of different bodies, whose prompts begin alike and crash engines, taking down one engine
// after the other.
func TestPromptPrefixThatCrashesEnginesIsRefused(t *testing.T) {
	RegisterTestingT(t)
	const calls, maxRuns = 10, 5
	var steps []step
	for i := range calls {
		steps = append(steps, step{1500 * i, crashingCall, i, i, 0, sharedPrefix})
	}
	w := runScript(steps...)
	Expect(w.runs()).To(BeNumerically("<=", maxRuns))
}

// Guards against prompts that share their beginning with some that crash engines being refused although others
// with it are answered.
func TestSoundPromptsWithTheSamePrefixAreServed(t *testing.T) {
	RegisterTestingT(t)
	const calls = 8
	var steps []step
	for i := range calls {
		steps = append(steps, step{3000 * i, crashingCall, i, i, 0, sharedPrefix}, step{3000*i + 1800, engineCall, i, i + 1, 1, sharedPrefix})
	}
	w := runScript(steps...)
	Expect(w.reasons()).NotTo(HaveKey(outcome.ReasonQuarantined))
	answered := 0
	for _, c := range w.calls {
		if !c.crashing && c.seen.Status.Outcome == outcome.Answered {
			answered++
		}
	}
	Expect(answered).To(Equal(calls))
}

// Guards against the quarantine of a prompt's beginning, told by a peer or read from the log, being taken for one of
// a whole request, and against it having no end.
func TestQuarantineOfPrefixComesFromPeersAndTheLog(t *testing.T) {
	const hash, logOffset = 7, 1
	for name, learn := range map[string]func(l *singleEntry){
		"peer": func(l *singleEntry) {
			l.step(FromPeer{From: "inc-2", Message: message.Suspicion{Fingerprint: hash, Crashes: []string{"t/1"}, Quarantined: true, Prefix: true}})
		},
		"log": func(l *singleEntry) {
			data, err := record.Encode(record.Record{Quarantines: []record.Quarantine{{Fingerprint: hash, Prefix: true}}})
			if err != nil {
				t.Fatal(err)
			}
			l.step(LogRecord{Stream: record.StreamQuarantines, Offset: logOffset, Data: data})
		},
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			l := newSingleEntry(testDocument("first", 0))
			learn(l)
			begins := func(r *request.Request) { r.Prefixes = []uint64{3, hash, 5} }
			Expect(settledReasons(l.submit(1, begins))).To(Equal([]string{string(outcome.ReasonQuarantined)}))
			Expect(settledReasons(l.submit(1, func(r *request.Request) { r.ID += "x"; r.Fingerprint = hash }))).To(BeEmpty())
			l.pass(10 * time.Minute)
			Expect(settledReasons(l.submit(1, begins))).To(BeEmpty())
		})
	}
}
