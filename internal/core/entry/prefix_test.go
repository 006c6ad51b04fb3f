package entry

import (
	"fmt"
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

// prefixHash is a beginning of prompts, promptOf gives a request a prompt that begins so.
const prefixHash = 7

func promptOf(r *request.Request) {
	r.Prefixes = []uint64{3, prefixHash, 5}
	r.Deadline = r.Arrived.Add(time.Minute)
}

// learnCrashes delivers a peer's word that three engines crashed under prompts with the beginning.
func (l *singleEntry) learnCrashes() (names []string) {
	for i := range 3 {
		target := fmt.Sprint("t", i)
		names = append(names, target+"/inc-2/1")
		l.step(FromPeer{From: "inc-2", Message: message.Suspicion{Prefixes: []request.Fingerprint{prefixHash}, Target: target, Crashes: names[i:]}})
		l.pass(2 * time.Second)
	}
	return names
}

// Guards against the quarantine of a prompt's beginning, learned from a peer or read from the log, being taken for
// one of a whole request, and against it having no end.
func TestQuarantineOfPrefixComesFromPeersAndTheLog(t *testing.T) {
	for name, learn := range map[string]func(l *singleEntry){
		"peer": func(l *singleEntry) { l.learnCrashes() },
		"log": func(l *singleEntry) {
			data, err := record.Encode(record.Record{Quarantines: []record.Quarantine{{Fingerprint: prefixHash, Prefix: true}}})
			if err != nil {
				t.Fatal(err)
			}
			l.step(LogRecord{Stream: record.StreamQuarantines, Offset: 1, Data: data})
		},
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			l := newSingleEntry(testDocument("first", 0))
			learn(l)
			Expect(settledReasons(l.submit(1, promptOf))).To(Equal([]string{string(outcome.ReasonQuarantined)}))
			Expect(l.Status().RefusedPrefixes).To(Equal(1))
			Expect(settledReasons(l.submit(1, func(r *request.Request) { r.ID += "x"; r.Fingerprint = prefixHash }))).To(BeEmpty())
			l.pass(10 * time.Minute)
			Expect(settledReasons(l.submit(1, promptOf))).To(BeEmpty())
		})
	}
}

// Guards against prompts being refused though a peer has answered one that begins alike.
func TestAnswerAtPeerEndsQuarantineOfPrefix(t *testing.T) {
	RegisterTestingT(t)
	l := newSingleEntry(testDocument("first", 0))
	names := l.learnCrashes()
	l.step(FromPeer{From: "inc-2", Message: message.Suspicion{Prefixes: []request.Fingerprint{prefixHash}, Crashes: names, Cleared: true}})
	Expect(settledReasons(l.submit(1, promptOf))).To(BeEmpty())
}

// Guards against requests that wait for a slot when their prompts' beginning is quarantined being dispatched all the same.
func TestWaitingPromptsAreRefusedWhenTheirPrefixIsQuarantined(t *testing.T) {
	RegisterTestingT(t)
	l := newSingleEntry(testDocument("first", 0))
	runs := dispatched(l.submit(26, promptOf))
	Expect(len(runs)).To(BeNumerically("<", 26))
	l.learnCrashes()
	l.outs = nil
	for _, run := range runs {
		l.step(RunEnded{ID: run.ID, Result: message.ResultCancelled, Wrote: true})
	}
	l.pass(time.Second)
	Expect(dispatched(l.outs)).To(BeEmpty())
	Expect(settledReasons(l.outs)).To(ContainElement(string(outcome.ReasonQuarantined)))
}
