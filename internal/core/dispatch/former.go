package dispatch

import (
	"slices"
	"time"
)

// maxFormer bounds what is kept of targets that are gone.
const maxFormer = 1024

// former keeps what targets that have left the register had said of themselves: the entry of
// one that lives may lapse, while the store is away, and come back.
type former struct {
	words map[string]ownWord
	// order is that in which they were kept.
	order []string
}

// ownWord is what a target has said of itself in answers and still holds.
type ownWord struct {
	limited     declaredLimit
	pausedUntil time.Time
}

func (f *former) keep(now time.Time, t *target) {
	if !t.limited.Declared && !t.paused(now) {
		return
	}
	if f.words == nil {
		f.words = make(map[string]ownWord)
	}
	f.order = slices.DeleteFunc(f.order, func(id string) bool { return id == t.incarnation })
	f.order = append(f.order, t.incarnation)
	f.words[t.incarnation] = ownWord{limited: t.limited, pausedUntil: t.pausedUntil}
	if len(f.order) > maxFormer {
		delete(f.words, f.order[0])
		f.order = f.order[1:]
	}
}

func (f *former) restore(t *target) {
	word := f.words[t.incarnation]
	t.limited, t.pausedUntil = word.limited, word.pausedUntil
}
