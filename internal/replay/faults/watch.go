package faults

import (
	"fmt"
	"time"

	"github.com/alitto/pond/v2"

	"sycamoretrail/internal/operators/api"
)

// pollInterval is the interval between polls of the entries, and so the resolution of
// the times that are found by polling.
const pollInterval = 50 * time.Millisecond

// entriesExcept returns all entries except the given ones.
func (s *Stage) entriesExcept(left ...*instance) []*instance {
	var rest []*instance
	for i := range s.entries {
		skip := false
		for _, one := range left {
			skip = skip || one == &s.entries[i]
		}
		if !skip {
			rest = append(rest, &s.entries[i])
		}
	}
	return rest
}

// queryAll sends a request to all entries concurrently. The element of an entry that
// does not answer is nil.
func queryAll[T any](entries []*instance, question func(*instance) (T, error)) []*T {
	answers := make([]*T, len(entries))
	pool := pond.NewPool(len(entries))
	defer pool.StopAndWait()
	for i, e := range entries {
		pool.Submit(func() {
			if answer, err := question(e); err == nil {
				answers[i] = &answer
			}
		})
	}
	return answers
}

func (s *Stage) status(e *instance) (api.Status, error) { return s.watcher.At(e.operators).Status() }

func (s *Stage) targets(e *instance) (api.Targets, error) { return s.watcher.At(e.operators).Targets() }

// everyStatus reports whether all entries answer and satisfy a condition.
func (s *Stage) everyStatus(entries []*instance, holds func(*api.Status) bool) bool {
	return every(queryAll(entries, s.status), holds)
}

// everyView reports whether all entries answer and their view of the targets
// satisfies a condition.
func (s *Stage) everyView(entries []*instance, holds func(*api.Targets) bool) bool {
	return every(queryAll(entries, s.targets), holds)
}

func every[T any](answers []*T, holds func(*T) bool) bool {
	for _, a := range answers {
		if a == nil || !holds(a) {
			return false
		}
	}
	return true
}

// schedules counts the targets that the named entry schedules according to a view.
func schedules(view *api.Targets, name string) int {
	count := 0
	for i := range view.Targets {
		if view.Targets[i].Scheduler == name {
			count++
		}
	}
	return count
}

// seen returns a target in a view, or nil.
func seen(view *api.Targets, name string) *api.Target {
	for i := range view.Targets {
		if view.Targets[i].Name == name {
			return &view.Targets[i]
		}
	}
	return nil
}

// busiest returns the entry with the most requests in flight among those that
// schedule targets, since its loss affects the most requests.
func (s *Stage) busiest() (*instance, error) {
	view, err := s.targets(&s.entries[0])
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrStage, err)
	}
	var best *instance
	most := -1
	for i, status := range queryAll(s.entriesExcept(), s.status) {
		e := &s.entries[i]
		if status != nil && status.InFlight > most && schedules(&view, e.name) > 0 {
			best, most = e, status.InFlight
		}
	}
	if best == nil {
		return nil, fmt.Errorf("%w: no entry schedules targets", ErrStage)
	}
	return best, nil
}

// versions tracks the document version at each entry to detect a decrease.
type versions struct {
	// highest is by the incarnation of the entry; reverted describes the decreases.
	highest  map[string]int64
	reverted []string
}

func (v *versions) note(status *api.Status) {
	who := status.Entry.Incarnation
	if status.Version < v.highest[who] {
		v.reverted = append(v.reverted, fmt.Sprintf("%s went back from version %d to %d", status.Entry.Name, v.highest[who], status.Version))
	}
	v.highest[who] = max(v.highest[who], status.Version)
}

// watchVersions polls all entries until stop is closed.
func (s *Stage) watchVersions(stop <-chan struct{}) *versions {
	v := &versions{highest: map[string]int64{}}
	ticker := time.NewTicker(2 * pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return v
		case <-ticker.C:
		}
		for _, status := range queryAll(s.entriesExcept(), s.status) {
			if status != nil {
				v.note(status)
			}
		}
	}
}
