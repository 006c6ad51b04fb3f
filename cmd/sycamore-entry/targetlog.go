package main

import (
	"sync"

	"github.com/sirupsen/logrus"

	"sycamoretrail/internal/core/entry"
)

// willingness is what a probe found of a target's readiness.
type willingness struct{ reachable, leaving bool }

// targetLog tells operators when a target that this entry probes stops to take
// work or takes it again, with one line for each change.
type targetLog struct {
	log logrus.FieldLogger

	mutex sync.Mutex
	last  map[string]willingness
}

func newTargetLog(log logrus.FieldLogger) *targetLog {
	return &targetLog{log: log, last: make(map[string]willingness)}
}

// note takes the finding of a probe. A target not probed before counts as one
// that took work.
func (t *targetLog) note(found entry.TargetState) {
	now := willingness{reachable: found.Reachable, leaving: found.Leaving}
	t.mutex.Lock()
	before, known := t.last[found.Target]
	t.last[found.Target] = now
	t.mutex.Unlock()
	if !known {
		before = willingness{reachable: true}
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
