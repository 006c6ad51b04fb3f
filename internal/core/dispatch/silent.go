package dispatch

import "time"

// A target may take requests, pass its health check and answer nothing. Each entry
// would lose a request or two to find out, and again after each pause: at 78 entries
// one such server cost 150 requests in seven seconds. So entries of a cell tell each
// other. A single entry is not believed, since its own link may be at fault.

// believed is the number of entries that must hold a target to be silent.
const believed = 2

// hearSilent takes what a peer holds to be silent. All of its words count before any
// target is doubted, since so many may be named that something else must be wrong.
func (s *Scheduler) hearSilent(now time.Time, peer string, silent map[string]time.Duration) {
	for id, left := range silent {
		if t, found := s.targets[id]; found {
			t.hearWord(now, peer, min(left, shunMax))
		}
	}
	for id := range silent {
		if t, found := s.targets[id]; found && t.toldSilent(now) {
			t.doubtful = true
		}
	}
}

// hearWord notes that a peer holds the target to be silent, and drops old words.
func (t *target) hearWord(now time.Time, peer string, left time.Duration) {
	if t.told == nil {
		t.told = make(map[string]time.Time)
	}
	for other, until := range t.told {
		if !now.Before(until) {
			delete(t.told, other)
		}
	}
	t.told[peer] = now.Add(left)
}

// toldSilent reports whether enough entries, this one included, hold the target to be
// silent, and not so many of the pool's targets are that something else must be wrong.
func (t *target) toldSilent(now time.Time) bool {
	return t.silentWords(now) >= believed && t.pool.fewSilent(now)
}

func (t *target) silentWords(now time.Time) int {
	n := 0
	if now.Before(t.silentUntil) {
		n++
	}
	for _, until := range t.told {
		if now.Before(until) {
			n++
		}
	}
	return n
}

// fewSilent reports whether less than half of the cell's targets are held to be silent.
func (p *pool) fewSilent(now time.Time) bool {
	silent, home := 0, 0
	for _, t := range p.targets {
		if !t.serves() {
			continue
		}
		home++
		if t.silentWords(now) >= believed {
			silent++
		}
	}
	return silent*2 < home
}
