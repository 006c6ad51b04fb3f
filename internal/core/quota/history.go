package quota

import "time"

// History is what an organisation had used, over all entries, in the window before this
// entry started.
type History struct {
	// Older and Recent are the usage in the two halves of the window.
	Older, Recent float64
}

// Restore applies a history that was recorded before this entry started.
func (l *Limiter) Restore(organisation string, history History) { l.history[organisation] = history }

// peerHistory is another entry's History of an organisation, and when it was received.
type peerHistory struct {
	history History
	at      time.Time
}

// History returns what organisations have used over all entries, for an entry that
// returns. Without it, an entry that was killed would assume the typical use for an
// organisation that has just used its whole quota, and an entry that was partitioned
// would never receive the usage of entries that were killed meanwhile. An entry that
// has itself started or been isolated within the window returns nil.
func (l *Limiter) History(now time.Time) map[string]History {
	if now.Sub(l.started) < l.config.Window || now.Sub(l.isolatedAt) < l.config.Window {
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

// PeerHistory applies another entry's History. Of several, the one with the higher
// usage counts.
func (l *Limiter) PeerHistory(now time.Time, histories map[string]History) {
	for organisation, history := range histories {
		if history.Older+history.Recent > l.usageFromPeers(now, organisation) {
			l.peerHistories[organisation] = peerHistory{history, now}
		}
	}
}

// usageFromPeers returns the usage according to another entry's history and to what has
// been reported since.
func (l *Limiter) usageFromPeers(now time.Time, organisation string) float64 {
	v, found := l.peerHistories[organisation]
	if !found || now.Sub(v.at) >= l.config.Window {
		return 0
	}
	return l.historyInWindow(now, v.at, v.history) + l.reportedSince(v.at, organisation)
}

// historyOf returns the reported usage by halves of the window.
func (l *Limiter) historyOf(now time.Time, organisation string) History {
	recent := l.reportedSince(now.Add(-l.config.Window/2), organisation)
	return History{Older: max(0, l.reportedSince(now.Add(-l.config.Window), organisation)-recent), Recent: recent}
}

// Isolated reports whether this entry receives heartbeats of less than half of the
// others. Its view of the usage must then not be recorded for all.
func (l *Limiter) Isolated() bool {
	unresponsive := 0
	for _, p := range l.peers {
		if p.unresponsive {
			unresponsive++
		}
	}
	return unresponsive*2 > len(l.peers)
}

// RecordEvery is the interval between two records. An organisation that uses its whole
// quota within a second or two is recorded a few times in that period. Each record
// counts the usage of the last interval twice, since entries may be killed together
// before the next record.
const RecordEvery = 400 * time.Millisecond

// Records returns the usage to be recorded, so that entries that restart together do
// not let an organisation use its quota twice. It contains the organisations whose
// usage exceeds what is assumed without a record. Only reported usage counts. If
// estimates for entries that are unresponsive or have just started were recorded, those
// that start next would restore them as usage and refuse all requests.
func (l *Limiter) Records(now time.Time) map[string]History {
	records := make(map[string]History)
	for organisation, limited := range l.limits {
		record := l.historyOf(now, organisation)
		if restored, found := l.history[organisation]; found {
			aged := l.ageHistory(now.Sub(l.started), restored)
			record.Older += aged.Older
			record.Recent += aged.Recent
		}
		base := l.base(limited)
		if record.Older+record.Recent < base*typicalUse {
			continue
		}
		record.Recent += l.unreportedByUnresponsive(now, organisation, base)
		record.Recent += l.reportedSince(now.Add(-RecordEvery), organisation)
		records[organisation] = record
	}
	return records
}
