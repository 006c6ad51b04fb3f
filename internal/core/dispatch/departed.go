package dispatch

import "time"

// minDeparted bounds the departed targets whose declarations are kept. It rises to the number of
// targets, since all registrations may expire in one outage of the store.
const minDeparted = 1024

// declarations are what a target has declared in answers and is still in force. They are
// kept when the target leaves the registry: the registration of a running target may
// expire during an outage of the store and be renewed later.
type declarations struct {
	limited     declaredLimit
	pausedUntil time.Time
}

// saveDeclarations saves the declarations of a target that leaves the registry.
func (s *Scheduler) saveDeclarations(now time.Time, t *target) {
	if t.limited.Declared || t.paused(now) {
		s.departed.Put(t.incarnation, declarations{limited: t.limited, pausedUntil: t.pausedUntil})
	}
}

// restoreDeclarations restores the declarations saved for a target.
func (s *Scheduler) restoreDeclarations(t *target) {
	saved := s.departed.Get(t.incarnation)
	t.limited, t.pausedUntil = saved.limited, saved.pausedUntil
}
