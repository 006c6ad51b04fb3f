package quota

import "time"

// peer is another entry's usage, by the name that survives restarts.
type peer struct {
	// started is when its present incarnation began, since from when on its usage is
	// known, heard when its last totals came.
	started, since, heard time.Time
	// told: it has told its totals, so that one that is new among them began at zero.
	told, silent bool
	// fromZero: it was met when its totals began.
	fromZero bool
	// returned is when it was last heard again after a silence.
	returned time.Time
	usage    map[string]*account
	// former is what earlier incarnations used, the latest last.
	former []former
}

// former is the usage of an incarnation that was replaced.
type former struct {
	usage map[string]*account
	at    time.Time
}

// Total is what an entry has counted for an organisation since it started.
type Total struct {
	// Admitted includes what still waits, Sent does not.
	Admitted, Sent float64
}

// Totals is what this entry has counted since it started, by organisation.
func (l *Limiter) Totals() map[string]Total {
	totals := make(map[string]Total, len(l.own))
	for organisation, a := range l.own {
		totals[organisation] = a.total()
	}
	return totals
}

// TotalsSince is Totals without the organisations of which this entry has counted nothing
// since a moment.
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

// Peer is another entry as membership knows it.
type Peer struct {
	Name string
	// Started is when its present incarnation began, on this entry's clock.
	Started time.Time
	// Silent: nothing has been heard of it for longer than the silence limit.
	Silent bool
}

// SetPeers replaces the other entries that may be admitting requests.
func (l *Limiter) SetPeers(now time.Time, peers []Peer) {
	kept := make(map[string]*peer, len(peers))
	for _, each := range peers {
		p := l.peers[each.Name]
		if p == nil {
			p = &peer{started: each.Started, since: now, heard: now, usage: make(map[string]*account)}
		}
		if p.silent && !each.Silent {
			p.returned = now
		}
		p.silent = each.Silent
		kept[each.Name] = p
	}
	l.peers = kept
	if l.Isolated() {
		l.isolated = now
	}
}

// PeerTotals takes a peer's totals; now is when they were so, which lies in the past where
// they came through a relay. A later start than the one known means another incarnation,
// whose totals begin at zero. partial: these are some of the totals, so that one that was not
// among those before need not have begun at zero since.
func (l *Limiter) PeerTotals(now time.Time, name string, started time.Time, totals map[string]Total, partial bool) {
	p, found := l.peers[name]
	if !found || p.told && now.Before(p.heard) {
		return
	}
	if started.Sub(p.started) > restartSlack {
		l.replaced(now, p, started)
	}
	p.started = started
	fromZero := p.told || now.Sub(started) < l.config.Window
	if !p.told {
		p.firstWord(now, fromZero)
	}
	if partial {
		fromZero = p.fromZero
	}
	quiet := now.Sub(p.heard)
	p.heard = now
	for organisation, total := range totals {
		a, found := p.usage[organisation]
		if !found {
			a = &account{}
			p.usage[organisation] = a
		} else if a.total() == total {
			continue
		}
		if !found && !fromZero {
			// When this was used is not known; History stands for it.
			a.begin(now, total)
		}
		if quiet > spreadFrom {
			a.spread(now, quiet, total, l.config.Window)
		}
		a.set(now, total, l.config.Window)
	}
}

// firstWord notes from when on the peer's usage is known: since it began, if its
// totals began within the window, and otherwise from now on.
func (p *peer) firstWord(now time.Time, fromZero bool) {
	p.told, p.since, p.fromZero = true, now, fromZero
	if fromZero {
		p.since = p.started
	}
}

// spreadFrom is the pause since a peer's last totals from which on their growth is
// spread over the pause. Taken as used at its end, the use of all others would count
// for too long at an entry that has stood still or was cut off, and organisations
// within their quotas be refused there.
const spreadFrom = time.Second

// replaced keeps what a peer's former incarnation had used. What waited there may have
// been sent since its last word. If it was cut off before it ended, what it admitted
// meanwhile has been told to nobody: it is taken for as much as others admitted in the
// mean between its last word and the start of the next incarnation.
func (l *Limiter) replaced(now time.Time, p *peer, started time.Time) {
	var kept []former
	for _, f := range p.former {
		if now.Sub(f.at) < l.config.Window {
			kept = append(kept, f)
		}
	}
	for organisation, a := range p.usage {
		a.admitted.set(now, a.admitted.last()+l.meanBetween(now, organisation, p.heard, started), l.config.Window)
		a.sent.set(now, a.admitted.last(), l.config.Window)
	}
	p.former = append(kept, former{p.usage, now})
	p.usage = make(map[string]*account)
	p.fromZero = now.Sub(started) < l.config.Window
}

// meanBetween is what this entry and those whose totals are fresh admitted in the mean.
func (l *Limiter) meanBetween(now time.Time, organisation string, from, until time.Time) float64 {
	if !from.Before(until) {
		return 0
	}
	accounts := l.freshUse(now, organisation).accounts
	return max(0, meanOf(accounts, func(a *account) float64 { return a.admittedSince(from) - a.admittedSince(until) }))
}

// restartSlack is the error in a peer's start, which it gives as its age in each
// message: the message's delay.
const restartSlack = time.Second
