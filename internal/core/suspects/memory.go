package suspects

import (
	"container/list"
	"slices"
	"time"

	"sycamoretrail/internal/core/request"
)

// find drops a suspicion that has lapsed: Judge moves suspects to the back, so
// expire may not have come to it yet.
func (s *Suspects) find(now time.Time, fingerprint request.Fingerprint) *entry {
	el := s.entries[fingerprint]
	if el == nil {
		return nil
	}
	e := el.Value.(*entry)
	if !e.convicted && !now.Before(e.until) {
		s.remove(s.suspected, el)
		return nil
	}
	return e
}

// enter finds or makes the entry of a fingerprint. Full: the suspect least
// recently seen gives way; nil if there are convictions only.
func (s *Suspects) enter(now time.Time, fingerprint request.Fingerprint) *entry {
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

// renew puts a suspicion's end off and marks it as seen.
func (s *Suspects) renew(now time.Time, e *entry) {
	e.until = now.Add(s.cfg.Suspicion)
	s.suspected.MoveToBack(s.entries[e.fingerprint])
}

// clear drops these deaths, and keeps their names so that a late report of one
// does not bring it back.
func (s *Suspects) clear(e *entry, deaths []string) {
	for _, d := range deaths {
		if !slices.Contains(e.cleared, d) {
			e.cleared = append(e.cleared, d)
		}
	}
	e.cleared = newest(e.cleared)
	e.deaths = slices.DeleteFunc(slices.Clone(e.deaths), func(d string) bool {
		return slices.Contains(e.cleared, d)
	})
}

// convict makes a conviction, or lengthens one.
func (s *Suspects) convict(e *entry, deaths []string, until time.Time) {
	if e == nil {
		return
	}
	e.add(deaths)
	if e.convicted && !until.After(e.until) {
		return
	}
	from := s.suspected
	if e.convicted {
		from = s.convicted
	}
	from.Remove(s.entries[e.fingerprint])
	e.convicted, e.until = true, until
	s.entries[e.fingerprint] = s.insert(e)
}

// insert keeps the convictions in the order in which they lapse.
func (s *Suspects) insert(e *entry) *list.Element {
	for el := s.convicted.Back(); el != nil; el = el.Prev() {
		if !el.Value.(*entry).until.After(e.until) {
			return s.convicted.InsertAfter(e, el)
		}
	}
	return s.convicted.PushFront(e)
}

// expire drops what has lapsed, from the front of both lists.
func (s *Suspects) expire(now time.Time) {
	for _, l := range []*list.List{s.suspected, s.convicted} {
		for el := l.Front(); el != nil && !now.Before(el.Value.(*entry).until); el = l.Front() {
			s.remove(l, el)
		}
	}
}

// note records a target's death and reports a burst.
func (s *Suspects) note(now time.Time, target string) bool {
	s.burst(now)
	s.deaths = slices.DeleteFunc(s.deaths, func(d death) bool { return d.target == target })
	s.deaths = append(s.deaths, death{target: target, at: now})
	s.deaths = s.deaths[max(0, len(s.deaths)-s.cfg.Burst):]
	return len(s.deaths) >= s.cfg.Burst
}

// burst forgets deaths older than the window and reports whether enough remain.
func (s *Suspects) burst(now time.Time) bool {
	s.deaths = slices.DeleteFunc(s.deaths, func(d death) bool {
		return now.Sub(d.at) > s.cfg.Window
	})
	return len(s.deaths) >= s.cfg.Burst
}
