package quota

import "time"

// History is what an organisation had used in the window before this entry began,
// over all entries.
type History struct {
	// Older and Recent are the halves of the window.
	Older, Recent float64
}

// Restore takes what was recorded before this entry began.
func (l *Limiter) Restore(organisation string, history History) { l.history[organisation] = history }

// view is another entry's History of an organisation, and when it came.
type view struct {
	history History
	at      time.Time
}

// History returns what organisations have used over all entries, for one that comes
// back. Without it, an entry that was killed would take an organisation that has just
// used its whole quota for one with its usual use; and one that was cut off would
// never learn what others, killed meanwhile, had used. An entry that has itself begun
// or been isolated within the window does not know.
func (l *Limiter) History(now time.Time) map[string]History {
	if now.Sub(l.started) < l.config.Window || now.Sub(l.isolated) < l.config.Window {
		return nil
	}
	histories := make(map[string]History, len(l.limits))
	for organisation := range l.limits {
		if history := l.historyOf(now, organisation); history.Older+history.Recent > 0 {
			histories[organisation] = history
		}
	}
	return histories
}

// PeerHistory takes another entry's History. Of several the one that knows more counts.
func (l *Limiter) PeerHistory(now time.Time, histories map[string]History) {
	for organisation, history := range histories {
		if history.Older+history.Recent > l.viewed(now, organisation) {
			l.views[organisation] = view{history, now}
		}
	}
}

// viewed is what another entry's view and what has been told since then come to.
func (l *Limiter) viewed(now time.Time, organisation string) float64 {
	v, found := l.views[organisation]
	if !found || now.Sub(v.at) >= l.config.Window {
		return 0
	}
	return l.unknown(now, v.at, v.history) + l.known(v.at, organisation)
}

// historyOf is the usage that has been told, by halves of the window.
func (l *Limiter) historyOf(now time.Time, organisation string) History {
	recent := l.known(now.Add(-l.config.Window/2), organisation)
	return History{Older: max(0, l.known(now.Add(-l.config.Window), organisation)-recent), Recent: recent}
}

// Isolated reports whether this entry hears less than half of the others: what it
// knows of usage is then no record for all.
func (l *Limiter) Isolated() bool {
	silent := 0
	for _, p := range l.peers {
		if p.silent {
			silent++
		}
	}
	return silent*2 > len(l.peers)
}

// RecordEvery is the pause between two records: an organisation that uses its whole
// quota within a second or two is recorded a few times on the way. What was used in as
// long a time just before is recorded once more, since entries may be killed together
// before the next.
const RecordEvery = 400 * time.Millisecond

// Records returns what has to be recorded, so that entries which restart together
// do not let an organisation use its quota twice: the usage of those that have used
// more than is taken for granted. Only what is known counts. Estimates for entries
// that are silent or have just begun, once recorded, would be restored as usage by
// those that start next, and refuse everybody.
func (l *Limiter) Records(now time.Time) map[string]History {
	records := make(map[string]History)
	for organisation, limited := range l.limits {
		record := l.historyOf(now, organisation)
		if restored, found := l.history[organisation]; found {
			aged := l.aged(now.Sub(l.started), restored)
			record.Older += aged.Older
			record.Recent += aged.Recent
		}
		base := l.base(limited)
		if record.Older+record.Recent < base*usualUse {
			continue
		}
		record.Recent += l.untoldBySilent(now, organisation, base)
		record.Recent += l.known(now.Add(-RecordEvery), organisation)
		records[organisation] = record
	}
	return records
}
