// Package quota keeps each organisation within its rate over all entries, without a
// shared counter: every entry reports to the others how much it has admitted and sent
// in total, and adds up the usage in a sliding window.
//
// Usage counts from the time at which a request is sent to a target. Until then the
// request counts as sent now, however long it waits. If it were counted at its
// admission, requests that waited would be sent together with those admitted later, and
// exceed the quota.
//
// Usage that has not been reported is assumed, so that the sum over all entries stays
// below the limit even if they lose contact or restart together:
//
//   - an unresponsive entry counts with its even share, since it continues to admit
//     that much;
//   - the part of the window before this entry received totals of another, or began to
//     count itself, counts as in History, with that entry's even share;
//   - another entry is assumed to continue after its last totals at its rate just before;
//   - a process that ended without a report is assumed to have admitted as much as the
//     others in the mean;
//   - entries that start together admit no more than their even share of a part of the
//     slack, and hold what exceeds it, until they know what is requested at the others;
//   - when two entries regain contact, what the other reports of the window is a lower
//     bound of the usage.
//
// Time is passed as an argument. A Limiter is not safe for concurrent use.
package quota

import (
	"time"

	"sycamoretrail/internal/core/catalog"
)

// Config contains the window and the tolerance.
type Config struct {
	// Window is the length of the sliding window over which a rate is kept.
	Window time.Duration
	// Overshoot and Slack are the tolerated usage beyond rate x window + burst: a share
	// of it, and a fixed cost in addition.
	Overshoot, Slack float64
}

const (
	// normalSlackShare is the share of the slack that is used deliberately, because
	// what is refused below the limit is lost to the organisation. The rest covers what
	// entries have admitted since their last report: some 20 ms at the rate of the
	// largest organisation.
	normalSlackShare = 0.6
	// cautiousSlackShare is used while the usage in part of the window is not known.
	cautiousSlackShare = 0.25
	// typicalUse is the share of its limit that an organisation is assumed to have used
	// if nothing is recorded. Usage above it is recorded, see Records.
	typicalUse = 0.7
	// smallCostShare is the share of a quota up to which a request is admitted whatever
	// its rank, since it takes a negligible part of the quota.
	smallCostShare = 0.001
	// assumedEntries is twice the smallest number of entries in use. With it, an
	// organisation at its typical use of half its quota is still served completely.
	assumedEntries = 12
)

// reservedShare is, by rank, the share of a quota that is kept for requests of higher
// ranks.
var reservedShare = [...]float64{0, 0.1, 0.2}

// Limiter counts the usage of organisations.
type Limiter struct {
	config        Config
	started       time.Time
	limits        map[string]limit
	own           map[string]*account
	peers         map[string]*peer
	history       map[string]History
	peerHistories map[string]peerHistory
	// surging contains organisations that requested more than their typical use right
	// after all entries had started; see detectSurge.
	surging map[string]bool
	// recordsCurrent: records were written until just before this entry started.
	recordsCurrent bool
	// isolatedAt is when this entry last received heartbeats of less than half of the
	// others.
	isolatedAt time.Time
	// recentBuf is reused by each estimate.
	recentBuf recentAdmissions
	// peersUnknown: the list of the other entries has not been received yet.
	peersUnknown bool
	startup      startup
}

type limit struct{ rate, burst float64 }

// Result is the result of checking a request against the quota.
type Result struct {
	Admitted bool
	// Held: the request counts as waiting, and has to be passed to Readmit a little later, or
	// to Withdraw.
	Held bool
	// Used is the estimated usage in the window before this request, Limit its bound.
	Used, Limit float64
	// Assumed is the part of Used that has not been reported: the possible usage of
	// unresponsive entries, and the usage of others before their first report or since
	// their last one.
	Assumed float64
	// RetryAfter is when enough of the usage has left the window.
	RetryAfter time.Duration
}

// New returns a limiter; started is when this entry began to count.
func New(config Config, started time.Time) *Limiter {
	return &Limiter{
		config: config, started: started,
		limits: make(map[string]limit), own: make(map[string]*account), peers: make(map[string]*peer),
		history: make(map[string]History), peerHistories: make(map[string]peerHistory), surging: make(map[string]bool),
	}
}

// SetConfig replaces the configuration. Usage remains counted.
func (l *Limiter) SetConfig(config Config) { l.config = config }

// SetPeersKnown sets whether SetPeers has named all other entries. Until then at least
// assumedEntries are assumed to share the quotas.
func (l *Limiter) SetPeersKnown(listed bool) { l.peersUnknown = !listed }

// SetOrganisations replaces the limits. Usage remains counted.
func (l *Limiter) SetOrganisations(organisations []catalog.Organisation) {
	l.limits = make(map[string]limit, len(organisations))
	for _, o := range organisations {
		if o.Rate > 0 {
			l.limits[o.Name] = limit{rate: o.Rate, burst: o.Burst}
		}
	}
}

// Admit counts a request of an organisation unless it exceeds the quota. For an
// admitted request the caller must call Sent or Withdraw afterwards, for a held one
// Readmit or Withdraw. rank is the importance of the request's route, 0 being the
// highest: an organisation that exceeds its quota gets its important requests served
// instead of those that come first.
func (l *Limiter) Admit(now time.Time, organisation string, cost float64, rank int) Result {
	limited, found := l.limits[organisation]
	if !found {
		l.Reserve(now, organisation, cost)
		return Result{Admitted: true}
	}
	base := l.base(limited)
	bound := base + (base*l.config.Overshoot+l.config.Slack)*l.slackShare(now)
	if cost > bound*smallCostShare {
		bound -= base * reservedShare[min(rank, len(reservedShare)-1)]
	}
	startedTogether := l.allStartedRecently(now)
	settling := startedTogether && l.settling(now)
	if settling && !l.recordsCurrent && l.exceedsStartupShare(organisation, cost, l.startupSlack(base)) {
		return l.hold(now, organisation, cost, bound)
	}
	if startedTogether && !settling {
		l.detectSurge(now, organisation, base, cost)
	}
	reported, assumed := l.used(now, organisation, base, bound)
	result := Result{Used: reported + assumed, Limit: bound, Assumed: assumed}
	if settling && l.exceedsStartupShare(organisation, cost, bound-result.Used) {
		return l.hold(now, organisation, cost, bound)
	}
	if missing := result.Used + cost - bound; missing > 0 {
		result.RetryAfter = min(l.config.Window/2, time.Duration(missing/limited.rate*float64(time.Second)))
		return result
	}
	l.Reserve(now, organisation, cost)
	if settling {
		l.startup.granted[organisation] += cost
	}
	result.Admitted = true
	return result
}

// Usage returns the usage of organisations with a quota, against their limits without
// slack.
func (l *Limiter) Usage(now time.Time) map[string]Result {
	usage := make(map[string]Result, len(l.limits))
	for organisation, limited := range l.limits {
		base := l.base(limited)
		reported, assumed := l.used(now, organisation, base, base)
		usage[organisation] = Result{Used: reported + assumed, Limit: base, Assumed: assumed}
	}
	return usage
}

// base returns what an organisation may use in a window without any slack.
func (l *Limiter) base(limited limit) float64 {
	return limited.rate*l.config.Window.Seconds() + limited.burst
}

// slackShare returns the share of the slack that may be used now.
func (l *Limiter) slackShare(now time.Time) float64 {
	if now.Sub(l.started) < l.config.Window {
		return cautiousSlackShare
	}
	for _, p := range l.peers {
		if p.unresponsive || now.Sub(p.knownSince) < l.config.Window || now.Sub(p.recoveredAt) < l.config.Window {
			return cautiousSlackShare
		}
	}
	return normalSlackShare
}

// Reserve counts a request as Admit does, but whether or not it exceeds the quota. It
// is used for requests that may have run and are sent again.
func (l *Limiter) Reserve(now time.Time, organisation string, cost float64) {
	l.account(organisation).reserve(now, cost, l.config.Window)
}

// Withdraw subtracts a request that was admitted and never ran.
func (l *Limiter) Withdraw(now time.Time, organisation string, cost float64) {
	l.account(organisation).reserve(now, -cost, l.config.Window)
}

// Sent counts an admitted request as sent to a target now.
func (l *Limiter) Sent(now time.Time, organisation string, cost float64) {
	l.account(organisation).send(now, cost, l.config.Window)
}

// Unsent counts a sent request as waiting again, because its target did not run it.
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
