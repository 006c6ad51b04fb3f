// Package quota keeps each organisation within its rate over all entries, with no
// shared counter: every entry tells the others how much it has admitted and sent in
// total, and adds up what it knows of a sliding window.
//
// What counts is when a request is sent to a target. Until then it counts as sent
// now, however long it waits: counted at its admission, requests that waited would be
// sent beside those admitted later, and together exceed the quota.
//
// What it does not know counts as used, so that the sum over all entries stays
// below the limit also when they lose each other or restart together:
//
//   - a silent entry counts with its even share, since it goes on admitting that much;
//   - the part of the window before this entry heard of another, or began to count
//     itself, counts as History says, with that entry's even share;
//   - another entry goes on, since its last word, as fast as just before it.
//
// Time is an argument. A Limiter is not safe for concurrent use.
package quota

import (
	"time"

	"sycamoretrail/internal/core/catalog"
)

// Config sets the bounds.
type Config struct {
	// Window is the length of the sliding window over which a rate is kept.
	Window time.Duration
	// Overshoot and Slack are what an organisation may use beyond rate x window +
	// burst before the limit counts as broken: a part of it, and units of cost besides.
	Overshoot, Slack float64
}

const (
	// slackUsed is the part of the slack that is used on purpose: what is refused
	// below the limit is lost to the organisation. The rest covers what entries have
	// admitted since their last word, some 20 ms at the rate of the largest
	// organisation.
	slackUsed = 0.6
	// cautiousSlack is the part that is used while a part of the window is not known.
	cautiousSlack = 0.25
	// usualUse is the part of its limit that an organisation is taken to have used
	// where nothing is recorded; more than that is recorded, see Record.
	usualUse = 0.7
	// smallCost is the part of a quota below which a request is let in whatever its
	// rank: it takes nothing from the others.
	smallCost = 0.001
)

// reserved is the part of a quota that is kept for requests above a rank.
var reserved = [...]float64{0, 0.1, 0.2}

// Limiter counts what organisations use.
type Limiter struct {
	config  Config
	started time.Time
	limits  map[string]limit
	own     map[string]*account
	peers   map[string]*peer
	history map[string]History
	views   map[string]view
	// isolated is when this entry last heard less than half of the others.
	isolated time.Time
}

type limit struct{ rate, burst float64 }

// History is what an organisation had used in the window before this entry began,
// over all entries.
type History struct {
	// Older and Recent are the halves of the window.
	Older, Recent float64
}

// peer is another entry's usage, by the name that survives restarts.
type peer struct {
	// started is when its present incarnation began, since from when on its usage is
	// known, heard when its last totals came.
	started, since, heard time.Time
	// told: it has told its totals, so that one that is new among them began at zero.
	told, silent bool
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

// Verdict says whether a request is within the quota, and why.
type Verdict struct {
	Admitted bool
	// Used is the window's estimated usage before this request, Limit its bound.
	Used, Limit float64
	// Assumed is the part of Used that nobody has told: what silent entries may use,
	// and what others may have used before they were heard or since.
	Assumed float64
	// RetryAfter is when enough of the window has passed.
	RetryAfter time.Duration
}

// New makes a limiter; started is when this entry began to count.
func New(config Config, started time.Time) *Limiter {
	return &Limiter{
		config: config, started: started,
		limits: make(map[string]limit), own: make(map[string]*account), peers: make(map[string]*peer),
		history: make(map[string]History), views: make(map[string]view),
	}
}

// SetConfig replaces the bounds. What has been used stays counted.
func (l *Limiter) SetConfig(config Config) { l.config = config }

// SetOrganisations replaces the limits. What has been used stays counted.
func (l *Limiter) SetOrganisations(organisations []catalog.Organisation) {
	l.limits = make(map[string]limit, len(organisations))
	for _, o := range organisations {
		if o.Rate > 0 {
			l.limits[o.Name] = limit{rate: o.Rate, burst: o.Burst}
		}
	}
}

// Admit counts a request of an organisation, unless it exceeds the quota; Sent or
// Withdraw has to follow. rank is
// the importance of its route, 0 the highest: an organisation that asks for more
// than its quota gets its important requests served, not whatever comes first.
func (l *Limiter) Admit(now time.Time, organisation string, cost float64, rank int) Verdict {
	limited, found := l.limits[organisation]
	if !found {
		l.Reserve(now, organisation, cost)
		return Verdict{Admitted: true}
	}
	base := l.base(limited)
	bound := base + (base*l.config.Overshoot+l.config.Slack)*l.slackShare(now)
	if cost > bound*smallCost {
		bound -= base * reserved[min(rank, len(reserved)-1)]
	}
	told, assumed := l.used(now, organisation, base, bound)
	verdict := Verdict{Used: told + assumed, Limit: bound, Assumed: assumed}
	if verdict.Used+cost > bound {
		missing := verdict.Used + cost - bound
		verdict.RetryAfter = min(l.config.Window/2, time.Duration(missing/limited.rate*float64(time.Second)))
		return verdict
	}
	l.Reserve(now, organisation, cost)
	verdict.Admitted = true
	return verdict
}

// Usage returns what organisations with a quota have used, without its slack.
func (l *Limiter) Usage(now time.Time) map[string]Verdict {
	usage := make(map[string]Verdict, len(l.limits))
	for organisation, limited := range l.limits {
		base := l.base(limited)
		told, assumed := l.used(now, organisation, base, base)
		usage[organisation] = Verdict{Used: told + assumed, Limit: base, Assumed: assumed}
	}
	return usage
}

// base is what an organisation may use in a window without any slack.
func (l *Limiter) base(limited limit) float64 {
	return limited.rate*l.config.Window.Seconds() + limited.burst
}

// slackShare is the part of the slack that may be used now.
func (l *Limiter) slackShare(now time.Time) float64 {
	if now.Sub(l.started) < l.config.Window {
		return cautiousSlack
	}
	for _, p := range l.peers {
		if p.silent || now.Sub(p.since) < l.config.Window || now.Sub(p.returned) < l.config.Window {
			return cautiousSlack
		}
	}
	return slackUsed
}

// Reserve counts a request whether or not it exceeds the quota, as Admit does: one
// that may have run and is sent again.
func (l *Limiter) Reserve(now time.Time, organisation string, cost float64) {
	l.account(organisation).reserve(now, cost, l.config.Window)
}

// Withdraw takes back what was admitted and never ran.
func (l *Limiter) Withdraw(now time.Time, organisation string, cost float64) {
	l.account(organisation).reserve(now, -cost, l.config.Window)
}

// Sent counts an admitted request as sent to a target now.
func (l *Limiter) Sent(now time.Time, organisation string, cost float64) {
	l.account(organisation).send(now, cost, l.config.Window)
}

// Unsent makes a sent request one that waits again: its target did not run it.
func (l *Limiter) Unsent(now time.Time, organisation string, cost float64) {
	l.account(organisation).send(now, -cost, l.config.Window)
}

func (l *Limiter) account(organisation string) *account {
	a, found := l.own[organisation]
	if !found {
		a = &account{}
		l.own[organisation] = a
	}
	return a
}

// used estimates what all entries have sent within the window or are about to send:
// what has been told, and what has to be assumed.
func (l *Limiter) used(now time.Time, organisation string, base, bound float64) (told, assumed float64) {
	since := now.Add(-l.config.Window)
	share := 1 / float64(len(l.peers)+1)
	before := l.before(organisation, base)
	told = l.own[organisation].since(since)
	assumed = share * l.unknown(now, l.started, before)
	silent := 0.0
	for _, p := range l.peers {
		known := p.known(organisation, since)
		told += known
		if p.silent {
			silent += max(0, bound*share-known)
			continue
		}
		assumed += share*l.unknown(now, p.since, before) + l.untold(now, p, organisation)
	}
	assumed = max(assumed, l.viewed(now, organisation)-told)
	return told, assumed + silent
}

// known is what a peer has told of its usage since a moment.
func (p *peer) known(organisation string, moment time.Time) float64 {
	known := p.usage[organisation].since(moment)
	for _, f := range p.former {
		known += f.usage[organisation].since(moment)
	}
	return known
}

const (
	// rateOver is the time over which a peer's present rate is taken.
	rateOver = time.Second
	// freshFor is how old totals may be to show what happens now, freshGroup the least
	// number of entries whose mean speaks for the others: with fewer, a single large
	// request would count for all.
	freshFor   = 150 * time.Millisecond
	freshGroup = 6
)

// untold estimates what a peer has admitted since its last totals: what the entries
// whose totals are fresh have admitted since then in the mean, as callers pick entries
// at random. A peer's own rate alone would lag behind an organisation that suddenly
// sends many times its usual, and let it exceed its quota by what is sent in a second.
func (l *Limiter) untold(now time.Time, p *peer, organisation string) float64 {
	if now.Sub(p.heard) < freshFor {
		return 0
	}
	recent := p.usage[organisation].admittedSince(p.heard.Add(-rateOver))
	estimate := max(0, recent) * float64(now.Sub(p.heard)) / float64(rateOver)
	sum, n := l.own[organisation].admittedSince(p.heard), 1
	for _, other := range l.peers {
		if now.Sub(other.heard) < freshFor {
			sum += other.usage[organisation].admittedSince(p.heard)
			n++
		}
	}
	if n < freshGroup {
		return estimate
	}
	return max(estimate, sum/float64(n))
}

// Pressing reports whether an organisation is so close to its quota that the entries
// should tell each other their totals more often.
func (l *Limiter) Pressing(now time.Time) bool {
	for organisation, limited := range l.limits {
		base := l.base(limited)
		if told, assumed := l.used(now, organisation, base, base); told+assumed > base*usualUse {
			return true
		}
	}
	return false
}

// before is what the organisation had used in the window before this entry began.
func (l *Limiter) before(organisation string, base float64) History {
	if known, found := l.history[organisation]; found {
		return known
	}
	return History{Older: base * usualUse / 2, Recent: base * usualUse / 2}
}

// unknown is what of the history is still in the window, where usage is known since
// a moment.
func (l *Limiter) unknown(now, since time.Time, before History) float64 {
	half := l.config.Window / 2
	age := now.Sub(since)
	switch {
	case age >= l.config.Window:
		return 0
	case age >= half:
		return before.Recent * float64(l.config.Window-age) / float64(half)
	default:
		return before.Recent + before.Older*float64(half-age)/float64(half)
	}
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
			record.Older += l.unknown(now, l.started, restored)
		}
		base := l.base(limited)
		if record.Older+record.Recent < base*usualUse {
			continue
		}
		record.Recent += l.untoldBySilent(now, organisation, base)
		records[organisation] = record
	}
	return records
}

// untoldBySilent is what entries that have fallen silent may have used of a quota, at
// most their share, beyond what they have told.
func (l *Limiter) untoldBySilent(now time.Time, organisation string, base float64) float64 {
	share := base / float64(len(l.peers)+1)
	total := 0.0
	for _, p := range l.peers {
		if p.silent && p.told {
			total += max(0, share-p.known(organisation, now.Add(-l.config.Window)))
		}
	}
	return total
}

// known is what all entries have told of their usage since a moment.
func (l *Limiter) known(since time.Time, organisation string) float64 {
	total := l.own[organisation].since(since)
	for _, p := range l.peers {
		total += p.known(organisation, since)
	}
	return total
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

// PeerTotals takes a peer's totals. A later start than the one known means
// another incarnation, whose totals begin at zero.
func (l *Limiter) PeerTotals(now time.Time, name string, started time.Time, totals map[string]Total) {
	p, found := l.peers[name]
	if !found {
		return
	}
	if started.Sub(p.started) > restartSlack {
		l.replaced(now, p, started)
	}
	p.started = started
	fromZero := p.told || now.Sub(p.started) < l.config.Window
	if !p.told {
		p.told, p.since = true, now
		if fromZero {
			p.since = started
		}
	}
	quiet := now.Sub(p.heard)
	p.heard = now
	for organisation, total := range totals {
		a, found := p.usage[organisation]
		if !found {
			a = &account{}
			p.usage[organisation] = a
			if !fromZero {
				// When this was used is not known; History stands for it.
				a.begin(now, total)
			}
		}
		if quiet > spreadFrom {
			a.spread(now, quiet, total, l.config.Window)
		}
		a.set(now, total, l.config.Window)
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
}

// meanBetween is what this entry and those whose totals are fresh admitted in the mean.
func (l *Limiter) meanBetween(now time.Time, organisation string, from, until time.Time) float64 {
	if !from.Before(until) {
		return 0
	}
	between := func(a *account) float64 { return a.admittedSince(from) - a.admittedSince(until) }
	sum, n := between(l.own[organisation]), 1
	for _, other := range l.peers {
		if now.Sub(other.heard) < freshFor {
			sum += between(other.usage[organisation])
			n++
		}
	}
	return max(0, sum/float64(n))
}

// restartSlack is the error in a peer's start, which it gives as its age in each
// message: the message's delay.
const restartSlack = time.Second
