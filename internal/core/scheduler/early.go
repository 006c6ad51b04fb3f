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
