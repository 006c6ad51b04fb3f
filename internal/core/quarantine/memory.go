package quarantine

import (
	"container/list"
	"slices"
	"time"

	"sycamoretrail/internal/core/request"
)

// find returns the entry of a fingerprint, or nil. It removes an expired suspicion,
// because expire may not have reached it yet: Check moves suspects to the back of the
// list.
func (s *Suspects) find(now time.Time, fingerprint request.Fingerprint) *entry {
	el := s.entries[fingerprint]
	if el == nil {
		return nil
	}
	e := el.Value.(*entry)
	if !e.quarantined && !now.Before(e.until) {
		s.remove(s.suspected, el)
		return nil
	}
	return e
}

// findOrAdd returns the entry of a fingerprint, adding it if there is none. If the
// memory is full, the least recently seen suspect is evicted; findOrAdd returns nil if
// all entries are quarantined.
func (s *Suspects) findOrAdd(now time.Time, fingerprint request.Fingerprint) *entry {
	if e := s.find(now, fingerprint); e != nil {
		return e
	}
	if len(s.entries) >= s.cfg.Max {
		oldest := s.suspected.Front()
		if oldest == nil {
			s.dropped++
			return nil
		}
		s.remove(s.suspected, oldest)
	}
	e := &entry{fingerprint: fingerprint, until: now.Add(s.cfg.Suspicion)}
	s.entries[fingerprint] = s.suspected.PushBack(e)
	return e
}

func (s *Suspects) remove(from *list.List, el *list.Element) {
	delete(s.entries, el.Value.(*entry).fingerprint)
	from.Remove(el)
}

// extend renews a suspicion for the full period and marks it as seen.
func (s *Suspects) extend(now time.Time, e *entry) {
	e.until = now.Add(s.cfg.Suspicion)
	s.suspected.MoveToBack(s.entries[e.fingerprint])
}

// clearCrashes removes these crashes from the entry and remembers their names, so that
// a delayed report does not add them again.
func (s *Suspects) clearCrashes(e *entry, crashes []string) {
	for _, d := range crashes {
		if !slices.Contains(e.cleared, d) {
			e.cleared = append(e.cleared, d)
		}
	}
	e.cleared = newest(e.cleared)
	e.crashes = slices.DeleteFunc(slices.Clone(e.crashes), func(d string) bool {
		return slices.Contains(e.cleared, d)
	})
}

// quarantine puts an entry into quarantine, or extends its quarantine.
func (s *Suspects) quarantine(e *entry, crashes []string, until time.Time) {
	if e == nil {
		return
	}
	e.mergeCrashes(crashes)
	if e.quarantined && !until.After(e.until) {
		return
	}
	from := s.suspected
	if e.quarantined {
		from = s.quarantined
	}
	from.Remove(s.entries[e.fingerprint])
	e.quarantined, e.until = true, until
	s.entries[e.fingerprint] = s.insertQuarantined(e)
}

// insertQuarantined adds an entry to the quarantined ones, which are ordered by expiry.
func (s *Suspects) insertQuarantined(e *entry) *list.Element {
	for el := s.quarantined.Back(); el != nil; el = el.Prev() {
		if !el.Value.(*entry).until.After(e.until) {
			return s.quarantined.InsertAfter(e, el)
		}
	}
	return s.quarantined.PushFront(e)
}

// expire removes expired entries from the front of both lists.
func (s *Suspects) expire(now time.Time) {
	for _, l := range []*list.List{s.suspected, s.quarantined} {
		for el := l.Front(); el != nil && !now.Before(el.Value.(*entry).until); el = l.Front() {
			s.remove(l, el)
		}
	}
}

// burst recognises crashes of several targets at once, as of a rack or zone that fails.
type burst struct {
	// size is the number of different targets that make a burst within the window.
	size   int
	window time.Duration
	recent []crash
}

type crash struct {
	target string
	at     time.Time
}

// record records the crash of a target and reports whether it is part of a burst.
func (b *burst) record(now time.Time, target string) bool {
	b.ongoing(now)
	b.recent = slices.DeleteFunc(b.recent, func(d crash) bool { return d.target == target })
	b.recent = append(b.recent, crash{target: target, at: now})
	b.recent = b.recent[max(0, len(b.recent)-b.size):]
	return len(b.recent) >= b.size
}

// ongoing removes crashes older than the window and reports whether the rest amount to a burst.
func (b *burst) ongoing(now time.Time) bool {
	b.recent = slices.DeleteFunc(b.recent, func(d crash) bool { return now.Sub(d.at) > b.window })
	return len(b.recent) >= b.size
}
