package entry

import (
	"fmt"
	"strings"
	"time"

	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/quarantine"
	"sycamoretrail/internal/core/record"
	"sycamoretrail/internal/core/request"
)

// Beginnings of prompts that crash engines; see quarantine.Prefixes. Each crash is named by the scheduler of
// its target, which tells the peers and records quarantines in the log; all count for themselves.

// answerToldWithin is the time in which the peers are told that a beginning was answered.
const answerToldWithin = time.Second

// recordPrefixCrash counts a crash of an engine against the beginnings of a prompt that ran there.
func (e *Entry) recordPrefixCrash(d message.Done, crash string) {
	name := d.Target + "/" + crash
	counted, quarantined := e.countPrefixCrash(d.Target, name, d.Prefixes)
	if len(counted) > 0 {
		e.broadcast(message.Suspicion{Prefixes: counted, Target: d.Target, Crashes: []string{name}})
	}
	if len(quarantined) == 0 {
		return
	}
	var records []record.Quarantine
	for _, fingerprint := range quarantined {
		records = append(records, record.Quarantine{Fingerprint: fingerprint, Prefix: true, Crashes: e.prefixes.CrashesOf(e.now, fingerprint)})
	}
	e.append(record.StreamQuarantines, record.Record{Quarantines: records}, appendVerdict, 0)
}

func (e *Entry) countPrefixCrash(target, name string, prefixes []request.Fingerprint) (counted, quarantined []request.Fingerprint) {
	counted, quarantined = e.prefixes.Crash(e.now, target, name, prefixes)
	if len(quarantined) > 0 {
		crashes := e.prefixes.CrashesOf(e.now, quarantined[0])
		e.recordDecision(Decision{Event: EventQuarantined, Target: target, Detail: fmt.Sprintf(
			"no prompt that begins with %s was answered between the crashes %s", hashes(quarantined), strings.Join(crashes, ", "))})
	}
	return counted, quarantined
}

// hashes lists fingerprints for a log line.
func hashes(fingerprints []request.Fingerprint) string {
	texts := make([]string, len(fingerprints))
	for i, fingerprint := range fingerprints {
		texts[i] = fmt.Sprintf("%016x", uint64(fingerprint))
	}
	return strings.Join(texts, " or ")
}

// mergeSuspicion applies a peer's evidence on a request or on beginnings of prompts.
func (e *Entry) mergeSuspicion(m message.Suspicion) {
	switch {
	case len(m.Prefixes) == 0:
		e.performSuspects(e.suspects.Merge(e.now, m))
	case m.Cleared:
		e.recordReleased(e.prefixes.MergeAnswer(e.now, quarantine.Answer{Prefixes: m.Prefixes, Crashes: m.Crashes}))
	case len(m.Crashes) == 1:
		e.countPrefixCrash(m.Target, m.Crashes[0], m.Prefixes)
	}
}

func (e *Entry) quarantineFromLog(age time.Duration, v record.Quarantine) {
	if v.Prefix {
		e.prefixes.Restore(e.now, age, v.Fingerprint, v.Crashes)
		return
	}
	e.suspects.FromLog(e.now, age, v)
}

// refusedForPrefix returns how long a request is still refused for the beginning of its prompt; 0: it is not.
func (e *Entry) refusedForPrefix(req *request.Request) time.Duration {
	if e.prefixes.Empty() {
		return 0
	}
	return e.prefixes.Left(e.now, quarantine.FingerprintsOf(req.Prefixes))
}

// prefixesAnswered records that a prompt was answered completely, so that none of its beginnings crashes engines.
func (e *Entry) prefixesAnswered(req *request.Request) {
	if e.prefixes.Empty() {
		return
	}
	delay := time.Duration(e.rng.Int64N(int64(answerToldWithin)))
	e.recordReleased(e.prefixes.Answered(e.now, quarantine.FingerprintsOf(req.Prefixes), delay))
}

func (e *Entry) recordReleased(released []request.Fingerprint) {
	if len(released) > 0 {
		e.recordDecision(Decision{Event: EventReleased, Detail: "a prompt that begins with " + hashes(released) + " was answered"})
	}
}

func (e *Entry) tellAnsweredPrefixes() {
	for _, answer := range e.prefixes.ToTell(e.now) {
		e.broadcast(message.Suspicion{Prefixes: answer.Prefixes, Crashes: answer.Crashes, Cleared: true})
	}
}
