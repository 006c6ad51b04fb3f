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
//   - another entry goes on, since its last word, as fast as just before it;
//   - a process that ended unheard had admitted as much as the others in the mean;
//   - what another entry knows of the window is the least that counts, when the two
//     meet again.
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
	// where nothing is recorded; more than that is recorded, see Records.
	usualUse = 0.7
	// smallCost is the part of a quota below which a request is let in whatever its
	// rank: it takes nothing from the others.
	smallCost = 0.001
	// unlistedEntries is twice the least number of entries in use: an organisation with
	// its usual use of half its quota is still served in full.
	unlistedEntries = 12
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
	// surging are the organisations that asked for more than usual right after all
	// entries had begun; see noteSurge.
	surging map[string]bool
	// recordsCurrent: records were written until this entry began.
	recordsCurrent bool
	// isolated is when this entry last heard less than half of the others.
	isolated time.Time
	// fresh is reused by each estimate.
	fresh freshUse
	// unlisted: it has not been told yet who the other entries are.
	unlisted bool
}

type limit struct{ rate, burst float64 }

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
		history: make(map[string]History), views: make(map[string]view), surging: make(map[string]bool),
	}
}

// SetConfig replaces the bounds. What has been used stays counted.
func (l *Limiter) SetConfig(config Config) { l.config = config }

// SetListed says whether SetPeers has named all other entries. Until then at least
// unlistedEntries are taken to share the quotas.
func (l *Limiter) SetListed(listed bool) { l.unlisted = !listed }

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
// Withdraw has to follow. rank is the importance of its route, 0 the highest: an
// organisation that asks for more than its quota gets its important requests served,
// not whatever comes first.
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
	l.noteSurge(now, organisation, base, cost)
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
