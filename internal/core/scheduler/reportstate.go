package scheduler

import (
	"time"

	"sycamoretrail/internal/core/ident"
)

// maxFullReports bounds the full reports stored for targets that are not assigned
// to this scheduler yet.
const maxFullReports = 4096

// fullReportBuffer holds the times of full reports that arrived before their
// targets were assigned to this scheduler. Members see a change at different
// times and report once each. If an early report were dropped, the takeover
// would last for its full wait.
type fullReportBuffer map[fullReportKey]time.Time

type fullReportKey struct {
	from   ident.Incarnation
	target string
}

func (e fullReportBuffer) add(s *Scheduler, from ident.Incarnation, moved []string) {
	for _, name := range moved {
		if s.targets[name] == nil && len(e) < maxFullReports {
			e[fullReportKey{from, name}] = s.now
		}
	}
}

// apply removes from a target's awaited members those that reported on it before
// it was assigned to this scheduler.
func (e fullReportBuffer) apply(s *Scheduler, t *target) {
	for key, at := range e {
		if s.now.Sub(at) > s.settings.FailureTimeout {
			delete(e, key)
			continue
		}
		if key.target == t.desc.Name {
			delete(t.awaited, key.from)
			delete(e, key)
		}
	}
}

// endedRuns records for a while which runs have ended. Without it, an owner's
// report on a run that arrives after the run's Done would count the run again,
// and it would occupy a slot until its deadline. The failure-detection timeout
// is long enough: a link that delays a message for longer counts as broken.
type endedRuns struct {
	ended map[ident.RequestID]time.Time
	order []ident.RequestID
}

func (l *endedRuns) end(now time.Time, id ident.RequestID, keep time.Duration) {
	if l.ended == nil {
		l.ended = make(map[ident.RequestID]time.Time)
	}
	for len(l.order) > 0 && now.Sub(l.ended[l.order[0]]) > keep {
		delete(l.ended, l.order[0])
		l.order = l.order[1:]
	}
	if _, known := l.ended[id]; !known {
		l.order = append(l.order, id)
	}
	l.ended[id] = now
}

// begin records that an id may run again, since the target did not admit it.
func (l *endedRuns) begin(id ident.RequestID) {
	if _, known := l.ended[id]; known {
		l.ended[id] = time.Time{}
	}
}

// contains reports whether a run is known to have ended.
func (l *endedRuns) contains(now time.Time, id ident.RequestID, keep time.Duration) bool {
	at, known := l.ended[id]
	return known && now.Sub(at) <= keep
}
