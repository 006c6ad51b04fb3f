package dispatch

import "time"

// maxFormer bounds what is kept of targets that are gone.
const maxFormer = 1024

// ownWord is what a target has said of itself in answers and still holds. It is kept when the
// target leaves the register: the entry of one that lives may lapse, while the store is
// away, and come back.
type ownWord struct {
	limited     declaredLimit
	pausedUntil time.Time
}

// keepWord keeps the word of a target that leaves the register.
func (s *Scheduler) keepWord(now time.Time, t *target) {
	if t.limited.Declared || t.paused(now) {
		s.former.Put(t.incarnation, ownWord{limited: t.limited, pausedUntil: t.pausedUntil})
	}
}

// restoreWord gives a target the word that it had before.
func (s *Scheduler) restoreWord(t *target) {
	word := s.former.Get(t.incarnation)
	t.limited, t.pausedUntil = word.limited, word.pausedUntil
}
