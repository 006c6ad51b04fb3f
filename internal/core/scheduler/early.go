package scheduler

import (
	"time"

	"sycamoretrail/internal/core/ident"
)

// maxEarly bounds the full reports remembered for targets not placed here yet.
const maxEarly = 4096

// earlyFull are the full reports that came before their targets were placed
// here. Members see a change at different instants, and each reports once; were
// a report forgotten that came first, the takeover would wait its whole time.
type earlyFull map[fullKey]time.Time

type fullKey struct {
	from   ident.Incarnation
	target string
}

func (e earlyFull) add(s *Scheduler, from ident.Incarnation, moved []string) {
	for _, name := range moved {
		if s.targets[name] == nil && len(e) < maxEarly {
			e[fullKey{from, name}] = s.now
		}
	}
}

// apply takes the members off that reported on a target before it was placed.
func (e earlyFull) apply(s *Scheduler, t *target) {
	for key, at := range e {
		if s.now.Sub(at) > s.set.Silence {
			delete(e, key)
			continue
		}
		if key.target == t.desc.Name {
			delete(t.awaited, key.from)
			delete(e, key)
		}
	}
}

// lateReports remembers for a while which runs have ended. Failure: an owner's
// report on a run is overtaken by the word on its end. Symptom: the run counts
// again and holds its place until its deadline. The silence limit suffices: a
// link that holds a message for longer counts as broken.
type lateReports struct {
	ended map[ident.RequestID]time.Time
	order []ident.RequestID
}

func (l *lateReports) end(now time.Time, id ident.RequestID, keep time.Duration) {
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

// begin says that an id may run again: the target had not taken it.
func (l *lateReports) begin(id ident.RequestID) {
	if _, known := l.ended[id]; known {
		l.ended[id] = time.Time{}
	}
}

// over reports whether a run is known to have ended.
func (l *lateReports) over(now time.Time, id ident.RequestID, keep time.Duration) bool {
	at, known := l.ended[id]
	return known && now.Sub(at) <= keep
}
