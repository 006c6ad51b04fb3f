package crashes

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is the kind of thing that requests have in common.
type Kind uint8

const (
	// Part is a part of a prompt that several requests may share.
	Part Kind = iota + 1
	// Request is a request as a whole, however often it is sent.
	Request
)

// String returns the kind as it is written to logs.
func (k Kind) String() string {
	switch k {
	case Part:
		return "part"
	case Request:
		return "request"
	default:
		return "unknown"
	}
}

// Known reports whether this release knows the kind.
func (k Kind) Known() bool {
	_, found := policies[k]
	return found
}

// Fingerprint identifies organisation, path and body of a request.
type Fingerprint uint64

// String returns the fingerprint as it is written to logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Cause returns the request as a cause of crashes.
func (f Fingerprint) Cause() Cause { return Cause{Kind: Request, ID: f.String()} }

// Fingerprint returns the fingerprint of a Request; 0 for causes of other kinds.
func (c Cause) Fingerprint() Fingerprint {
	value, err := strconv.ParseUint(c.ID, 16, 64)
	if c.Kind != Request || err != nil {
		return 0
	}
	return Fingerprint(value)
}

// Cause is something that requests to a service have in common and that may crash its targets.
type Cause struct {
	Kind Kind
	// Service is the service of the targets; empty for a Request, whose path leads to one.
	Service string
	// ID names the cause among those of its kind.
	ID string
}

// key returns a hash for sets that are too large to hold the names.
func (c Cause) key() uint64 {
	digest := xxhash.New()
	_, _ = digest.Write([]byte{byte(c.Kind)})
	_, _ = digest.WriteString(c.Service)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(c.ID)
	return digest.Sum64()
}

// policy holds the bounds for causes of one kind.
type policy struct {
	// threshold is the number of crashes since its last answer from which a cause is quarantined,
	// answeredThreshold that of a cause of which an answer is remembered: many sound requests may
	// share it, so it takes more.
	threshold, answeredThreshold int
	// settle is how long after a crash its evidence is judged: until then other entries report
	// what else was in flight at the target.
	settle time.Duration
	// remembered: that a cause was answered is remembered after the answer, so that the thresholds
	// for answered causes hold.
	remembered bool
	// explains: the crashes with such a cause in flight, once it is quarantined, do not count against
	// others. A request does not explain them: it may crash targets because of a part of its prompt.
	explains bool
	// simultaneous is the time within which crashes of several targets count as one if the runs at
	// them had begun before: they have something else in common, such as the links of an entry.
	simultaneous time.Duration
	// repeatThreshold is the number of crashes from which a request is not sent to a further
	// target after its run broke; answeredRepeatThreshold as above.
	repeatThreshold, answeredRepeatThreshold int
}

var policies = map[Kind]policy{
	Part: {
		threshold: 3, answeredThreshold: 6, repeatThreshold: 2, answeredRepeatThreshold: 4,
		settle: maxSettle, simultaneous: simultaneousCrashes, remembered: true, explains: true,
	},
	Request: {threshold: 3, answeredThreshold: 3, repeatThreshold: 3, answeredRepeatThreshold: 3, simultaneous: simultaneousCrashes},
}

// simultaneousCrashes is the time within which the connections of one entry to several targets break
// if it loses its links. With more, delays of reports could make a request that is repeated at once
// pass for one that was in flight at both targets.
const simultaneousCrashes = 5 * time.Millisecond

// maxSettle is the longest time after which a crash is judged.
const maxSettle = 50 * time.Millisecond

const (
	// restartTime is how soon a target that crashed may be back under its name: answers after
	// that don't show that it lived on.
	restartTime = time.Second
	// evidenceLife is how long a crash counts against a cause that is not quarantined. Answers end
	// it before; requests that crash targets may come at long intervals.
	evidenceLife = 6 * time.Hour
	// quarantineLife is how long a quarantine outlasts the last request with the cause.
	quarantineLife = 6 * time.Hour
	// maxSuspects and maxQuarantined bound the causes held, maxCrashes the crashes; those seen
	// longest ago are dropped first.
	maxSuspects    = 4096
	maxQuarantined = 512
	maxCrashes     = 1024
	// maxCrashesOfCause bounds the crashes held for a cause; it exceeds each threshold.
	maxCrashesOfCause = 8
)

// probePauses are the pauses before the probes of a quarantined cause; the last one repeats. A probe
// may cost a target.
var probePauses = []time.Duration{30 * time.Second, 10 * time.Minute, time.Hour, 6 * time.Hour}

// coSuspectProbePause is the first pause of a cause that was quarantined with others on the same
// crashes; it grows fourfold with each probe. All but one of them are probably sound.
const coSuspectProbePause = time.Second

// probePause returns the pause before a probe.
func probePause(stage int, coSuspects bool) time.Duration {
	pause := probePauses[min(stage, len(probePauses)-1)]
	if !coSuspects {
		return pause
	}
	return min(pause, coSuspectProbePause<<(2*min(stage, len(probePauses))))
}
