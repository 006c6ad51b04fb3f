package quota_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/quota"
)

const (
	// downFor is how long no entry runs, startFor how long callers then wait for the
	// entries that have started.
	downFor  = 700 * time.Millisecond
	startFor = 900 * time.Millisecond
	// totalsDelay is the time that totals take from one entry to another.
	totalsDelay = 40 * time.Millisecond
)

// sentTotals are totals under way to the other entries.
type sentTotals struct {
	from   int
	totals map[string]quota.Total
	at     time.Time
}

// restartedFleet is a fleet whose entries have all started again.
type restartedFleet struct {
	*fleet
	// waiting contains the costs of the requests that wait for each entry; it serves
	// from servesAt on.
	waiting  [][]float64
	servesAt []time.Time
	underWay []sentTotals
	// connected: totals reach the other entries.
	connected bool
}

// startWaiting starts all entries, each of which begins to serve up to skew later than
// the first, and divides the demand of the time without them among them.
func (f *fleet) startWaiting(demand float64, skew time.Duration) *restartedFleet {
	r := &restartedFleet{fleet: f, connected: true, waiting: make([][]float64, len(f.entries))}
	for i, m := range f.entries {
		f.restart(m)
		m.limiter.SetPeersKnown(true)
		r.servesAt = append(r.servesAt, f.now.Add(startFor+skew*time.Duration(i)/time.Duration(len(f.entries))))
	}
	for sum := 0.0; sum < demand*downFor.Seconds(); {
		sum += r.arrive()
	}
	return r
}

// arrive adds a request to those that wait for an entry, and returns its cost.
func (r *restartedFleet) arrive() float64 {
	cost := 1500 + r.random.ExpFloat64()*2500
	i := r.random.IntN(len(r.entries))
	r.waiting[i] = append(r.waiting[i], cost)
	return cost
}

// serve simulates up to a time since the start of the fleet, with a demand in cost per
// second.
func (r *restartedFleet) serve(until time.Duration, demand float64) {
	debt := 0.0
	for r.now.Sub(r.start) < until {
		r.now = r.now.Add(tick)
		r.exchangeTotals()
		for debt += demand * tick.Seconds(); debt > 0; {
			debt -= r.arrive()
		}
		sum := 0.0
		for i := range r.entries {
			sum += r.admitWaiting(i)
		}
		r.admitted = append(r.admitted, sum)
	}
}

// admitWaiting decides on the requests that wait for an entry, and returns the cost of
// those that run.
func (r *restartedFleet) admitWaiting(i int) (ran float64) {
	if r.now.Before(r.servesAt[i]) {
		return 0
	}
	m := r.entries[i]
	ran = r.use(m, m.readmit)
	for _, cost := range r.waiting[i] {
		ran += r.use(m, func(now time.Time) (admitted, refused float64) { return m.admit(now, cost) })
	}
	r.waiting[i] = nil
	return ran
}

// exchangeTotals delivers the totals that have arrived, and sends those of now.
func (r *restartedFleet) exchangeTotals() {
	for i, m := range r.entries {
		var peers []quota.Peer
		for j, other := range r.entries {
			if j != i {
				peers = append(peers, quota.Peer{Name: other.name, Started: other.started, Unresponsive: !r.connected})
			}
		}
		m.limiter.SetPeers(r.now, peers)
		r.underWay = append(r.underWay, sentTotals{i, m.limiter.Totals(), r.now})
	}
	for len(r.underWay) > 0 && r.now.Sub(r.underWay[0].at) >= totalsDelay {
		arrived := r.underWay[0]
		r.underWay = r.underWay[1:]
		for i, m := range r.entries {
			if i != arrived.from && r.connected {
				from := r.entries[arrived.from]
				m.limiter.PeerTotals(r.now, from.name, from.started, arrived.totals, false)
				m.limiter.SetPeerStarting(r.now, from.name, arrived.at.Before(r.servesAt[arrived.from]))
			}
		}
	}
}

// afterLoss returns a fleet of which all entries have ended after hotFor of a demand of
// factor times the typical one, and have started again without the records of it.
func afterLoss(seed uint64, hotFor time.Duration, factor float64, skew time.Duration) *restartedFleet {
	f := newFleet(6, 250*time.Millisecond, 6, seed)
	f.run(10*time.Second, 0)
	f.run(10*time.Second+hotFor, typicalRate*factor)
	for _, m := range f.entries {
		m.down = true
	}
	f.run(10*time.Second+hotFor+downFor, typicalRate*factor)
	return f.startWaiting(typicalRate*factor, skew)
}

// Guards against entries that start together admitting what has waited for them before
// they know what the others admit.
func TestRequestsWaitingForTheStartStayWithinQuota(t *testing.T) {
	for _, c := range []struct {
		name   string
		factor float64
		// skew is the time between the first and the last entry that serves.
		skew      time.Duration
		connected bool
		// older is the share of the quota in the records of an older copy of the store.
		older float64
	}{
		{"all serve at once", 8, 0, true, 0},
		{"one after the other", 8, 200 * time.Millisecond, true, 0},
		{"one long after the other", 8, 700 * time.Millisecond, true, 0},
		{"five times the typical load", 5, 100 * time.Millisecond, true, 0},
		{"without links between entries", 8, 100 * time.Millisecond, false, 0},
		{"records of an older copy", 8, 100 * time.Millisecond, true, 0.75},
	} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				g := NewWithT(t)
				f := afterLoss(seed, 3*time.Second, c.factor, c.skew)
				f.connected = c.connected
				for _, m := range f.entries {
					if c.older > 0 {
						m.limiter.Restore(organisation, quota.History{Recent: c.older * baseQuota()})
					}
				}
				f.serve(30*time.Second, typicalRate*c.factor)
				g.Expect(f.maxInAnyWindow()).To(BeNumerically("<=", allowed()))
			})
		}
	}
}

// Guards against an organisation at its typical load being refused after a loss of all
// entries because its requests have waited for them.
func TestTypicalRequestsWaitingForTheStartAreServed(t *testing.T) {
	for _, skew := range []time.Duration{0, 200 * time.Millisecond, 700 * time.Millisecond} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%v, seed %d", skew, seed), func(t *testing.T) {
				g := NewWithT(t)
				f := afterLoss(seed, 6*time.Second, 1, skew)
				f.serve(30*time.Second, typicalRate)
				g.Expect(f.refused).To(BeZero())
			})
		}
	}
}

// Guards against requests that are held until their callers have left: others may be known to start
// and never serve.
func TestRequestsAreHeldForABoundedTime(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	l := newLimiter(now)
	l.SetPeersKnown(true)
	l.SetPeers(now, []quota.Peer{{Name: "another", Started: now}})
	l.PeerTotals(now, "another", now, nil, false)
	l.SetPeerStarting(now, "another", true)
	const cost = 0.1 * rate
	result := l.Admit(now, organisation, cost, 0)
	g.Expect(result.Admitted).To(BeTrue(), "within the share")
	for result.Admitted {
		result = l.Admit(now, organisation, cost, 0)
	}
	g.Expect(result.Held).To(BeTrue(), "beyond it")
	g.Expect(l.Readmit(now.Add(time.Second), organisation, cost, 0).Held).To(BeFalse())
}

// Guards against requests being held though other entries have counted all along.
func TestNothingIsHeldBesideRunningEntries(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	l := newLimiter(now)
	l.SetPeersKnown(true)
	started := now.Add(-time.Minute)
	l.SetPeers(now, []quota.Peer{{Name: "another", Started: started}})
	l.PeerTotals(now, "another", started, nil, false)
	for range 50 {
		g.Expect(l.Admit(now, organisation, 1000, 0).Held).To(BeFalse())
	}
}
