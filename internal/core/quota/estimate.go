package quota

import "time"

// used estimates what all entries have sent within the window or are about to send: the
// reported part and the part that has to be assumed.
func (l *Limiter) used(now time.Time, organisation string, base, bound float64) (reported, assumed float64) {
	since := now.Add(-l.config.Window)
	share := 1 / float64(l.entries())
	if l.surging[organisation] && now.Sub(l.started) < l.config.Window {
		return l.reportedSince(since, organisation), bound
	}
	before := l.usageBeforeStart(organisation, base)
	reported = l.own[organisation].usedSince(since)
	assumed = share * l.historyInWindow(now, l.started, before)
	unresponsive := float64(l.entries()-len(l.peers)-1) * share * bound
	recent := l.recentAdmissions(now, organisation)
	for _, p := range l.peers {
		known := p.reportedSince(organisation, since)
		reported += known
		if p.unresponsive {
			unresponsive += max(0, bound*share-known)
			continue
		}
		assumed += share*l.historyInWindow(now, p.knownSince, before) + recent.unreported(now, p, organisation)
	}
	assumed = max(assumed, l.usageFromPeers(now, organisation)-reported)
	return reported, assumed + unresponsive
}

// entries returns the number of entries that share quotas, including this one.
func (l *Limiter) entries() int {
	if l.peersUnknown {
		return max(assumedEntries, len(l.peers)+1)
	}
	return len(l.peers) + 1
}

// reportedSince returns the usage that a peer has reported since a moment.
func (p *peer) reportedSince(organisation string, moment time.Time) float64 {
	known := p.usage[organisation].usedSince(moment)
	for _, f := range p.previous {
		known += f.usage[organisation].usedSince(moment)
	}
	return known
}

const (
	// rateInterval is the interval over which a peer's current rate is measured.
	rateInterval = time.Second
	// maxFreshAge is the age up to which totals represent the current usage.
	// minFreshEntries is the least number of entries whose mean is used for the others:
	// with fewer, a single large request would distort it.
	maxFreshAge     = 150 * time.Millisecond
	minFreshEntries = 6
	// ageStep is the resolution in time of that mean, half that of a series.
	ageStep = resolution / 2
)

// recentAdmissions is what this entry and those with fresh totals have admitted of an
// organisation's requests. Means are cached by the age from which they count: computed
// for each peer separately, one request cost 1.5 ms of a core at 195 entries, against
// 41 µs with the cache.
type recentAdmissions struct {
	accounts []*account
	means    map[time.Duration]float64
}

// recentAdmissions returns the current accounts. The result is valid until the next
// call.
func (l *Limiter) recentAdmissions(now time.Time, organisation string) *recentAdmissions {
	f := &l.recentBuf
	f.accounts = append(f.accounts[:0], l.own[organisation])
	for _, other := range l.peers {
		if now.Sub(other.totalsAt) < maxFreshAge {
			f.accounts = append(f.accounts, other.usage[organisation])
		}
	}
	if f.means == nil {
		f.means = make(map[time.Duration]float64)
	}
	clear(f.means)
	return f
}

// unreported estimates what a peer has admitted since its last totals: the mean of what
// the entries with fresh totals have admitted since then, as callers choose entries at
// random. A peer's own rate alone would lag behind an organisation that suddenly sends
// many times its typical load, and let it exceed its quota by what it sends in a
// second.
func (f *recentAdmissions) unreported(now time.Time, p *peer, organisation string) float64 {
	age := now.Sub(p.totalsAt)
	if age < maxFreshAge {
		return 0
	}
	recent := p.usage[organisation].admittedSince(p.totalsAt.Add(-rateInterval))
	estimate := max(0, recent) * float64(age) / float64(rateInterval)
	if len(f.accounts) < minFreshEntries {
		return estimate
	}
	return max(estimate, f.meanSince(now, age))
}

// meanSince returns the mean of what was admitted since an age, rounded up to a whole
// step.
func (f *recentAdmissions) meanSince(now time.Time, age time.Duration) float64 {
	rounded := (age + ageStep - 1) / ageStep * ageStep
	mean, known := f.means[rounded]
	if !known {
		mean = meanOf(f.accounts, func(a *account) float64 { return a.admittedSince(now.Add(-rounded)) })
		f.means[rounded] = mean
	}
	return mean
}

// meanOf returns the mean of a measure over accounts.
func meanOf(accounts []*account, measure func(*account) float64) float64 {
	sum := 0.0
	for _, a := range accounts {
		sum += measure(a)
	}
	return sum / float64(len(accounts))
}

// NearLimit reports whether an organisation is so close to its quota that the entries
// should exchange totals more often.
func (l *Limiter) NearLimit(now time.Time) bool {
	for organisation, limited := range l.limits {
		base := l.base(limited)
		if reported, assumed := l.used(now, organisation, base, base); reported+assumed > base*typicalUse {
			return true
		}
	}
	return false
}

// usageBeforeStart returns the usage of an organisation in the window before this entry
// started.
func (l *Limiter) usageBeforeStart(organisation string, base float64) History {
	if known, found := l.history[organisation]; found {
		return known
	}
	return History{Older: base * typicalUse / 2, Recent: base * typicalUse / 2}
}

// historyInWindow returns the part of a history that is still in the window, if the
// usage is known since a moment.
func (l *Limiter) historyInWindow(now, since time.Time, history History) float64 {
	aged := l.ageHistory(now.Sub(since), history)
	return aged.Older + aged.Recent
}

// ageHistory returns the remainder of a history after a time, by the halves of the
// window in which it is then. The usage of each half is assumed to have been even.
func (l *Limiter) ageHistory(age time.Duration, history History) History {
	half := l.config.Window / 2
	part := func(left time.Duration) float64 { return float64(max(0, min(left, half))) / float64(half) }
	recent := history.Recent * part(half-age)
	return History{Older: history.Older*part(half-age) + history.Recent*part(2*half-age) - recent, Recent: recent}
}

// unreportedByUnresponsive returns what unresponsive entries may have used of a quota
// beyond what they have reported, at most their share.
func (l *Limiter) unreportedByUnresponsive(now time.Time, organisation string, base float64) float64 {
	share := base / float64(len(l.peers)+1)
	total := 0.0
	for _, p := range l.peers {
		if p.unresponsive && p.reported {
			total += max(0, share-p.reportedSince(organisation, now.Add(-l.config.Window)))
		}
	}
	return total
}

// reportedSince returns the usage that all entries have reported since a moment.
func (l *Limiter) reportedSince(since time.Time, organisation string) float64 {
	total := l.own[organisation].usedSince(since)
	for _, p := range l.peers {
		total += p.reportedSince(organisation, since)
	}
	return total
}
