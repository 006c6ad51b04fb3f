// Package quarantine detects requests, and beginnings of prompts (Prefixes), that crash the targets that run them, based on what
// was in flight when targets crashed, and recognises them when they are sent again
// under other ids.
//
// All requests in flight at a crashing target become suspects. A suspect runs only
// where no other suspect runs, so a second crash in which it takes part puts it into
// quarantine. A complete answer clears a suspect.
//
// Invariants: a crash counts once for a fingerprint, whoever reports it and however
// often; a quarantine is not ended before its time, not even for lack of memory; memory
// is bounded.
package quarantine

import (
	"container/list"
	"slices"
	"sort"
	"time"

	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/record"
	"sycamoretrail/internal/core/request"
)

// Config contains periods and limits.
type Config struct {
	// Suspicion is how long a crash counts against a request, Quarantine how long a
	// quarantine lasts.
	Suspicion  time.Duration
	Quarantine time.Duration
	// Max bounds the number of fingerprints that are remembered.
	Max int
	// Burst and Window: if that many different targets have crashed within the window,
	// the cause is assumed not to be a request. The failure of a rack or zone takes
	// many targets down, and a popular request that ran on several of them would be
	// quarantined. Such crashes count as one.
	Burst  int
	Window time.Duration
}

const (
	// DefaultSuspicion exceeds the time in which callers repeat a request.
	DefaultSuspicion = 10 * time.Minute
	// DefaultQuarantine leaves an operator enough time to act.
	DefaultQuarantine = time.Hour
	// DefaultMax is sufficient for about 100 crashes of targets with 100 requests each.
	DefaultMax = 10_000
	// DefaultBurst is one more than the number of crashes that lead to quarantine.
	DefaultBurst = 3
	// DefaultWindow is the maximum interval between reports of crashes that have a
	// common cause.
	DefaultWindow = time.Second
	// quarantineThreshold is the number of crashes that lead to quarantine, maxCrashIDs
	// the number kept for a fingerprint.
	quarantineThreshold = 2
	maxCrashIDs         = 4
)

// Result is the result of checking a request.
type Result uint8

const (
	// Clean: no crash counts against the request.
	Clean Result = iota
	// Suspect: the request may run only where no other suspect runs.
	Suspect
	// Quarantined: the request is refused as "not run".
	Quarantined
)

// Effect is an action for the caller: a message to all peers, a record for the log, or
// both.
type Effect struct {
	Share  *message.Suspicion
	Append *record.Quarantine
}

// Suspects holds suspected and quarantined requests. It is not safe for concurrent use.
type Suspects struct {
	cfg     Config
	entries map[request.Fingerprint]*list.Element
	// suspected contains the entries not in quarantine, the least recently seen first;
	// quarantined contains the others, the first to expire first.
	suspected   *list.List
	quarantined *list.List
	crashesNow  burst
	dropped     int
}

type entry struct {
	fingerprint request.Fingerprint
	crashes     []string
	// cleared are crashes that a complete answer has ruled out as evidence.
	cleared []string
	// until is when the suspicion or the quarantine expires.
	until       time.Time
	quarantined bool
}

// New returns an empty Suspects. Zero fields of cfg take their defaults.
func New(cfg Config) *Suspects {
	s := &Suspects{
		entries:     make(map[request.Fingerprint]*list.Element),
		suspected:   list.New(),
		quarantined: list.New(),
	}
	s.Configure(cfg)
	return s
}

// Configure applies new settings; existing entries keep their expiry.
func (s *Suspects) Configure(cfg Config) {
	if cfg.Suspicion <= 0 {
		cfg.Suspicion = DefaultSuspicion
	}
	if cfg.Quarantine <= 0 {
		cfg.Quarantine = DefaultQuarantine
	}
	if cfg.Max <= 0 {
		cfg.Max = DefaultMax
	}
	if cfg.Burst <= 0 {
		cfg.Burst = DefaultBurst
	}
	if cfg.Window <= 0 {
		cfg.Window = DefaultWindow
	}
	s.cfg = cfg
	s.crashesNow.size, s.crashesNow.window = cfg.Burst, cfg.Window
}

// Crash records that a target crashed while it ran these requests. The crashID must be
// the same at all entries that observe this crash of the target, and differ from that
// of its next crash.
func (s *Suspects) Crash(now time.Time, target, crashID string, running []request.Fingerprint) []Effect {
	s.expire(now)
	inBurst := s.crashesNow.record(now, target)
	name := target + "/" + crashID
	unique := slices.Clone(running)
	slices.Sort(unique)
	var effects []Effect
	for _, fingerprint := range slices.Compact(unique) {
		if fingerprint == 0 {
			continue
		}
		effects = append(effects, s.addCrashes(now, fingerprint, []string{name}, inBurst)...)
	}
	return effects
}

// Check reports how a request may run.
func (s *Suspects) Check(now time.Time, fingerprint request.Fingerprint) Result {
	s.expire(now)
	e := s.find(now, fingerprint)
	switch {
	case e == nil || len(e.crashes) == 0 && !e.quarantined:
		return Clean
	case e.quarantined:
		return Quarantined
	}
	s.suspected.MoveToBack(s.entries[fingerprint])
	return Suspect
}

// QuarantineLeft returns the remaining time of a quarantine; 0 if the request is not in
// quarantine.
func (s *Suspects) QuarantineLeft(now time.Time, fingerprint request.Fingerprint) time.Duration {
	e := s.find(now, fingerprint)
	if e == nil || !e.quarantined {
		return 0
	}
	return max(0, e.until.Sub(now))
}

// Completed records that a request was answered completely, so that the crashes counted
// against it had another cause. A quarantine remains in force.
func (s *Suspects) Completed(now time.Time, fingerprint request.Fingerprint) []Effect {
	s.expire(now)
	e := s.find(now, fingerprint)
	if e == nil || e.quarantined || len(e.crashes) == 0 {
		return nil
	}
	share := message.Suspicion{Fingerprint: fingerprint, Crashes: e.crashes, Cleared: true}
	s.clearCrashes(e, e.crashes)
	return []Effect{{Share: &share}}
}

// Merge applies a peer's state of a fingerprint. If the crashes of both together lead
// to quarantine, this entry shares and logs the quarantine too; duplicates are
// harmless.
func (s *Suspects) Merge(now time.Time, m message.Suspicion) []Effect {
	s.expire(now)
	switch {
	case m.Fingerprint == 0:
		return nil
	case m.Quarantined:
		s.quarantine(s.findOrAdd(now, m.Fingerprint), m.Crashes, now.Add(s.cfg.Quarantine))
		return nil
	case m.Cleared:
		if e := s.findOrAdd(now, m.Fingerprint); e != nil && !e.quarantined {
			s.clearCrashes(e, m.Crashes)
			s.extend(now, e)
		}
		return nil
	}
	effects := s.addCrashes(now, m.Fingerprint, m.Crashes, s.crashesNow.ongoing(now))
	return slices.DeleteFunc(effects, func(e Effect) bool { return e.Append == nil })
}

// FromLog applies a quarantine record of the given age that was read from the log.
func (s *Suspects) FromLog(now time.Time, age time.Duration, v record.Quarantine) {
	s.expire(now)
	until := now.Add(s.cfg.Quarantine - age)
	if v.Fingerprint != 0 && until.After(now) {
		s.quarantine(s.findOrAdd(now, v.Fingerprint), v.Crashes, until)
	}
}

// Len returns the number of remembered fingerprints.
func (s *Suspects) Len() int { return len(s.entries) }

// Dropped returns the number of fingerprints that were not stored because all entries
// are quarantined.
func (s *Suspects) Dropped() int { return s.dropped }

// QuarantinedFingerprints lists the quarantined fingerprints in ascending order.
func (s *Suspects) QuarantinedFingerprints(now time.Time) []request.Fingerprint {
	s.expire(now)
	var out []request.Fingerprint
	for el := s.quarantined.Front(); el != nil; el = el.Next() {
		out = append(out, el.Value.(*entry).fingerprint)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// addCrashes counts crashes against a fingerprint and quarantines it if there are
// enough.
func (s *Suspects) addCrashes(now time.Time, fingerprint request.Fingerprint, crashes []string, burst bool) []Effect {
	e := s.findOrAdd(now, fingerprint)
	if e == nil || e.quarantined {
		return nil
	}
	// Crashes of a burst count as one: the failure of a rack or zone takes many targets
	// down, and a popular request that ran on several would be quarantined.
	if burst && len(e.crashes) > 0 {
		s.extend(now, e)
		return nil
	}
	if burst {
		crashes = crashes[:min(1, len(crashes))]
	}
	if !e.mergeCrashes(crashes) {
		return nil
	}
	s.extend(now, e)
	if len(e.crashes) < quarantineThreshold {
		return []Effect{{Share: &message.Suspicion{
			Fingerprint: fingerprint,
			Crashes:     slices.Clone(e.crashes),
		}}}
	}
	s.quarantine(e, nil, now.Add(s.cfg.Quarantine))
	return []Effect{{
		Share:  &message.Suspicion{Fingerprint: fingerprint, Crashes: slices.Clone(e.crashes), Quarantined: true},
		Append: &record.Quarantine{Fingerprint: fingerprint, Crashes: slices.Clone(e.crashes)},
	}}
}

// mergeCrashes adds new crashes and reports whether there were any; the oldest are
// dropped.
func (e *entry) mergeCrashes(crashes []string) bool {
	added := false
	for _, d := range crashes {
		if slices.Contains(e.crashes, d) || slices.Contains(e.cleared, d) {
			continue
		}
		e.crashes = append(e.crashes, d)
		added = true
	}
	e.crashes = newest(e.crashes)
	return added
}

func newest(crashes []string) []string {
	return crashes[max(0, len(crashes)-maxCrashIDs):]
}
