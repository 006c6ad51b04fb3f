package quota

import "time"

// peer is another entry's usage, by the entry's name, which stays the same across
// restarts.
type peer struct {
	// started is when its present incarnation started, knownSince the time from which
	// its usage is known, and totalsAt the time of its last totals.
	started, knownSince, totalsAt time.Time
	// reported: it has reported its totals, so that an organisation that is new in them
	// began at zero.
	reported, unresponsive bool
	// starting: it does not serve yet; servingSince is when it began to.
	starting     bool
	servingSince time.Time
	// countedFromZero: its present incarnation had started within the window when its
	// first totals arrived.
	countedFromZero bool
	// recoveredAt is when it was last responsive again after being unresponsive.
	recoveredAt time.Time
	usage       map[string]*account
	// previous is the usage of earlier incarnations, the latest last.
	previous []previousUsage
}

// previousUsage is the usage of an incarnation that was replaced.
type previousUsage struct {
	usage map[string]*account
	at    time.Time
}

// Total is what an entry has counted for an organisation since it started.
type Total struct {
	// Admitted includes requests that are still waiting, Sent does not.
	Admitted, Sent float64
}

// Totals returns what this entry has counted since it started, by organisation.
func (l *Limiter) Totals() map[string]Total {
	totals := make(map[string]Total, len(l.own))
	for organisation, a := range l.own {
		totals[organisation] = a.total()
	}
	return totals
}

// TotalsSince returns Totals without the organisations for which this entry has counted
// nothing since a moment.
func (l *Limiter) TotalsSince(moment time.Time) map[string]Total {
	totals := make(map[string]Total)
	for organisation, a := range l.own {
		if a.changedSince(moment) {
			totals[organisation] = a.total()
		}
	}
	return totals
}

// TotalsOf returns the last totals of a peer.
func (l *Limiter) TotalsOf(name string) map[string]Total {
	p, found := l.peers[name]
	if !found {
		return nil
	}
	totals := make(map[string]Total, len(p.usage))
	for organisation, a := range p.usage {
		totals[organisation] = a.total()
	}
	return totals
}

// Peer is another entry according to membership.
type Peer struct {
	Name string
	// Started is when its present incarnation started, on this entry's clock.
	Started time.Time
	// Unresponsive: nothing has been received from it within the failure-detection
	// timeout.
	Unresponsive bool
}

// SetPeers replaces the other entries that may be admitting requests.
func (l *Limiter) SetPeers(now time.Time, peers []Peer) {
	kept := make(map[string]*peer, len(peers))
	for _, each := range peers {
		p := l.peers[each.Name]
		if p == nil {
			p = &peer{started: each.Started, knownSince: now, totalsAt: now, usage: make(map[string]*account)}
		}
		if p.unresponsive && !each.Unresponsive {
			p.recoveredAt = now
		}
		p.unresponsive = each.Unresponsive
		kept[each.Name] = p
	}
	l.peers = kept
	if l.Isolated() {
		l.isolatedAt = now
	}
}

// PeerTotals applies a peer's totals; now is the time for which they are valid, which
// lies in the past if they came through a relay. A start later than the one known means
// another incarnation, whose totals begin at zero. partial means that only some of the
// totals are given, so that an organisation that was not in previous totals need not
// have begun at zero since.
func (l *Limiter) PeerTotals(now time.Time, name string, started time.Time, totals map[string]Total, partial bool) {
	p, found := l.peers[name]
	if !found || p.reported && now.Before(p.totalsAt) {
		return
	}
	if started.Sub(p.started) > startTolerance {
		l.replaceIncarnation(now, p, started)
	}
	p.started = started
	fromZero := p.reported || now.Sub(started) < l.config.Window
	if !p.reported {
		p.recordFirstTotals(now, fromZero)
	}
	if partial {
		fromZero = p.countedFromZero
	}
	sinceLast := now.Sub(p.totalsAt)
	p.totalsAt = now
	for organisation, total := range totals {
		a, found := p.usage[organisation]
		if !found {
			a = &account{}
			p.usage[organisation] = a
		} else if a.total() == total {
			continue
		}
		if !found && !fromZero {
			// The time of this usage is not known; History covers it.
			a.startAt(now, total)
		}
		if sinceLast > spreadThreshold {
			a.spread(now, sinceLast, total, l.config.Window)
		}
		a.set(now, total, l.config.Window)
	}
}

// recordFirstTotals sets the time since which the peer's usage is known: its start if
// its totals began within the window, otherwise now.
func (p *peer) recordFirstTotals(now time.Time, fromZero bool) {
	p.reported, p.knownSince, p.countedFromZero = true, now, fromZero
	if fromZero {
		p.knownSince = p.started
	}
}

// spreadThreshold is the interval since a peer's last totals from which their growth is
// spread over the interval. If all of it counted as used at the end, an entry that was
// paused or partitioned would count the usage of the others for too long, and refuse
// organisations that are within their quotas.
const spreadThreshold = time.Second

// replaceIncarnation keeps the usage of a peer's previous incarnation. Requests that
// waited there may have been sent since its last report. If it was partitioned before
// it ended, its admissions in that time have not been reported: they are assumed to be
// the mean of what others admitted between its last report and the start of the next
// incarnation.
func (l *Limiter) replaceIncarnation(now time.Time, p *peer, started time.Time) {
	var kept []previousUsage
	for _, f := range p.previous {
		if now.Sub(f.at) < l.config.Window {
			kept = append(kept, f)
		}
	}
	for organisation, a := range p.usage {
		a.admitted.set(now, a.admitted.last()+l.meanAdmittedBetween(now, organisation, p.totalsAt, started), l.config.Window)
		a.sent.set(now, a.admitted.last(), l.config.Window)
	}
	p.previous = append(kept, previousUsage{p.usage, now})
	p.usage = make(map[string]*account)
	p.countedFromZero = now.Sub(started) < l.config.Window
}

// meanAdmittedBetween returns the mean of what this entry and those with fresh totals
// admitted.
func (l *Limiter) meanAdmittedBetween(now time.Time, organisation string, from, until time.Time) float64 {
	if !from.Before(until) {
		return 0
	}
	accounts := l.recentAdmissions(now, organisation).accounts
	return max(0, meanOf(accounts, func(a *account) float64 { return a.admittedSince(from) - a.admittedSince(until) }))
}

// startTolerance is the error in a peer's start time, which is derived from the age in
// each of its messages: the delay of the message.
const startTolerance = time.Second
