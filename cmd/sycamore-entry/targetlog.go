package main

import (
	"sync"

	"github.com/sirupsen/logrus"

	"sycamoretrail/internal/core/entry"
)

// targetReadiness is the result of a probe.
type targetReadiness struct{ reachable, leaving bool }

// targetLog writes a log line whenever a target that this entry probes stops accepting
// work or accepts it again.
type targetLog struct {
	log logrus.FieldLogger

	mutex sync.Mutex
	last  map[string]targetReadiness
}

func newTargetLog(log logrus.FieldLogger) *targetLog {
	return &targetLog{log: log, last: make(map[string]targetReadiness)}
}

// note processes the result of a probe. A target not probed before counts as one that
// accepted work.
func (t *targetLog) note(found entry.TargetState) {
	now := targetReadiness{reachable: found.Reachable, leaving: found.Leaving}
	t.mutex.Lock()
	before, known := t.last[found.Target]
	t.last[found.Target] = now
	t.mutex.Unlock()
	if !known {
		before = targetReadiness{reachable: true}
	}
	if now == before {
		return
	}
	line := t.log.WithField("target", found.Target)
	switch {
	case !now.reachable:
		line.Warn("target does not answer its probe; it gets no new work")
	case now.leaving:
		line.Info("target is leaving; it gets no new work")
	default:
		line.Info("target takes work again")
	}
}
