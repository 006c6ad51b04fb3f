package quota

import "time"

// Entries that start together begin to serve within a short time, each with requests that
// have waited for it, and cannot know yet what the others admit. Until they do, each
// admits only its even share and holds the rest. A held request counts as waiting, so
// that the others learn of it from this entry's totals.

const (
	// startupSettleTime is how long an entry admits no more than its share: the time
	// within which entries that start together usually begin to serve and exchange totals.
	startupSettleTime = 300 * time.Millisecond
	// maxStartupSettleTime is the same where others are known not to serve yet, or the
	// list of the others is missing. Some requests have to be answered within a second.
	maxStartupSettleTime = 700 * time.Millisecond
	// firstTotalsTime is how long the totals of an entry take to show what has waited for
	// it, once it serves.
	firstTotalsTime = 150 * time.Millisecond
	// startupSlackShare is the share of the slack that all entries together may use
	// before they know the usage of each other: less than what normalSlackShare leaves,
	// since the quota may have been used up before the start.
	startupSlackShare = 0.25
)

// startup is the state of an entry that has just started.
type startup struct {
	// servingSince is when it decided on its first request; zero: it has not yet.
	servingSince time.Time
	// granted is what it has admitted since, by organisation, until it has settled.
	granted map[string]float64
	settled bool
}

// SetPeerStarting sets whether a peer does not serve yet. What is requested there is not
// known until it does.
func (l *Limiter) SetPeerStarting(now time.Time, name string, starting bool) {
	p, found := l.peers[name]
	if !found {
		return
	}
	if p.starting && !starting {
		p.servingSince = now
	}
	p.starting = starting
}

// isStarting reports whether the peer's totals do not show yet what has waited for it.
func (p *peer) isStarting(now time.Time) bool {
	return p.starting || now.Sub(p.servingSince) < firstTotalsTime
}

// settling reports whether this entry, which has started together with all others, has to
// assume that they admit as much as it does itself.
func (l *Limiter) settling(now time.Time) bool {
	s := &l.startup
	if s.settled {
		return false
	}
	if s.servingSince.IsZero() {
		s.servingSince = now
		s.granted = make(map[string]float64)
	}
	elapsed := now.Sub(s.servingSince)
	if elapsed < startupSettleTime && len(l.peers) > 0 || elapsed < maxStartupSettleTime && l.awaitsPeers(now) {
		return true
	}
	s.settled, s.granted = true, nil
	return false
}

// awaitsPeers reports whether other entries are about to serve.
func (l *Limiter) awaitsPeers(now time.Time) bool {
	if l.peersUnknown {
		return true
	}
	for _, p := range l.peers {
		if p.isStarting(now) && !p.unresponsive {
			return true
		}
	}
	return false
}

// startupSlack is what all entries together may use while they settle and the usage before
// their start is not known.
func (l *Limiter) startupSlack(base float64) float64 {
	return (base*l.config.Overshoot + l.config.Slack) * startupSlackShare
}

// exceedsStartupShare reports whether a request is beyond this entry's share of what all
// may admit while they settle.
func (l *Limiter) exceedsStartupShare(organisation string, cost, all float64) bool {
	return (l.startup.granted[organisation]+cost)*float64(l.entries()) > all
}

// hold counts a request as waiting.
func (l *Limiter) hold(now time.Time, organisation string, cost, bound float64) Result {
	l.Reserve(now, organisation, cost)
	return Result{Held: true, Limit: bound}
}

// Readmit decides again on a request that Admit has held.
func (l *Limiter) Readmit(now time.Time, organisation string, cost float64, rank int) Result {
	l.Withdraw(now, organisation, cost)
	return l.Admit(now, organisation, cost, rank)
}

// demandSinceStart returns what has been requested of an organisation's quota since all
// entries started, and the number of entries of which that is known. Held requests count
// even when they have been refused, as an entry may begin to serve after the others have
// refused theirs.
func (l *Limiter) demandSinceStart(now time.Time, organisation string) (demand float64, heard int) {
	demand, heard = l.own[organisation].peakAdmitted(), 1
	for _, p := range l.peers {
		for _, f := range p.previous {
			demand += f.usage[organisation].usedSince(l.started)
		}
		if p.reported && !p.unresponsive && !p.isStarting(now) {
			demand += p.usage[organisation].peakAdmitted()
			heard++
		}
	}
	return demand, heard
}
