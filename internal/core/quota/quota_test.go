package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/quota"
)

const (
	organisation = "riders"
	window       = 8 * time.Second
	rate         = 60_000.0
	burst        = 20_000.0
	overshoot    = 0.1
	slack        = 190_000.0
	tick         = 10 * time.Millisecond
)

func baseQuota() float64 { return rate*window.Seconds() + burst }

// allowed is the maximum that may run in any window.
func allowed() float64 { return baseQuota()*(1+overshoot) + slack }

// newLimiter returns a limiter with the organisation's quota that starts at a time.
func newLimiter(now time.Time) *quota.Limiter {
	l := quota.New(quota.Config{Window: window, Overshoot: overshoot, Slack: slack}, now)
	l.SetOrganisations([]catalog.Organisation{{Name: organisation, Rate: rate, Burst: burst}})
	return l
}

// fleet simulates entries that share a quota: callers choose an entry at random, totals
// reach the others after a delay, and entries are partitioned or killed.
type fleet struct {
	random  *rand.Rand
	now     time.Time
	start   time.Time
	entries []*fleetEntry
	// reportInterval is the interval between reports to all others; cell is the number
	// of entries that receive each change from each other at once.
	reportInterval time.Duration
	cell           int
	// admitted is the cost that ran, by tick.
	admitted  []float64
	refused   float64
	records   map[string]quota.History
	recording bool
	// queueing: admitted cost is added to waiting of each entry instead of running at
	// once.
	queueing bool
}

type fleetEntry struct {
	name        string
	limiter     *quota.Limiter
	started     time.Time
	lastReport  time.Time
	partitioned bool
	down        bool
	waiting     float64
	// held contains the costs of the requests that the limiter holds.
	held []float64
}

// admit decides on a request, which waits if the limiter holds it. It returns what is
// admitted and what is refused.
func (m *fleetEntry) admit(now time.Time, cost float64) (admitted, refused float64) {
	return m.handle(m.limiter.Admit(now, organisation, cost, 0), cost)
}

// readmit decides again on the requests that are held.
func (m *fleetEntry) readmit(now time.Time) (admitted, refused float64) {
	held := m.held
	m.held = nil
	for _, cost := range held {
		a, r := m.handle(m.limiter.Readmit(now, organisation, cost, 0), cost)
		admitted, refused = admitted+a, refused+r
	}
	return admitted, refused
}

func (m *fleetEntry) handle(result quota.Result, cost float64) (admitted, refused float64) {
	switch {
	case result.Held:
		m.held = append(m.held, cost)
		return 0, 0
	case result.Admitted:
		return cost, 0
	default:
		return 0, cost
	}
}

func newFleet(n int, reportInterval time.Duration, cell int, seed uint64) *fleet {
	start := time.Unix(1_000_000, 0)
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), now: start, start: start, reportInterval: reportInterval, cell: cell, records: map[string]quota.History{}}
	for i := range n {
		m := &fleetEntry{name: fmt.Sprintf("entry-%d", i)}
		f.entries = append(f.entries, m)
		f.restart(m)
	}
	return f
}

func (f *fleet) restart(m *fleetEntry) {
	m.down = false
	m.started = f.now
	m.limiter = newLimiter(f.now)
	m.held = nil
	for name, history := range f.records {
		m.limiter.Restore(name, history)
	}
}

// run simulates up to a time since the start, with a demand in cost per second.
func (f *fleet) run(until time.Duration, demand float64) {
	for f.now.Sub(f.start) < until {
		f.now = f.now.Add(tick)
		f.exchangeTotals()
		sum := 0.0
		for _, m := range f.entries {
			if !m.down {
				sum += f.use(m, m.readmit)
			}
		}
		for want := demand * tick.Seconds(); want > 0; {
			cost := 1500 + f.random.ExpFloat64()*2500
			if f.random.Float64() > want/cost && want < cost {
				break
			}
			want -= cost
			m := f.entries[f.random.IntN(len(f.entries))]
			if m.down {
				continue
			}
			sum += f.use(m, func(now time.Time) (admitted, refused float64) { return m.admit(now, cost) })
		}
		f.admitted = append(f.admitted, sum)
	}
}

// use counts what an entry decides, and returns what runs at once.
func (f *fleet) use(m *fleetEntry, decide func(time.Time) (admitted, refused float64)) float64 {
	admitted, refused := decide(f.now)
	f.refused += refused
	if f.queueing {
		m.waiting += admitted
		return 0
	}
	if admitted > 0 {
		m.limiter.Sent(f.now, organisation, admitted)
	}
	return admitted
}

// release runs everything that waited.
func (f *fleet) release() {
	f.queueing = false
	sum := 0.0
	for _, m := range f.entries {
		m.limiter.Sent(f.now, organisation, m.waiting)
		sum += m.waiting
		m.waiting = 0
	}
	f.admitted = append(f.admitted, sum)
}

// exchangeTotals passes totals between entries that are not partitioned.
func (f *fleet) exchangeTotals() {
	for i, m := range f.entries {
		if m.down {
			continue
		}
		var peers []quota.Peer
		for _, other := range f.entries {
			if other != m {
				unresponsive := m.partitioned || other.partitioned || other.down
				peers = append(peers, quota.Peer{Name: other.name, Started: other.started, Unresponsive: unresponsive})
			}
		}
		due := f.now.Sub(m.lastReport) >= f.reportInterval
		if due {
			m.limiter.SetPeers(f.now, peers)
			m.lastReport = f.now
		}
		for j, other := range f.entries {
			near := i/f.cell == j/f.cell
			if other == m || m.partitioned || other.partitioned || other.down || !due && !near {
				continue
			}
			other.limiter.PeerTotals(f.now, m.name, m.started, m.limiter.Totals(), false)
		}
	}
	if f.recording && int(f.now.Sub(f.start)/tick)%40 == 0 && !f.entries[0].down {
		f.records = f.entries[0].limiter.Records(f.now)
	}
}

// maxInAnyWindow returns the highest cost that ran in any window.
func (f *fleet) maxInAnyWindow() float64 { return maxInWindow(f.admitted) }

// maxInWindow returns the highest cost that ran in any window, given the cost by tick.
func maxInWindow(ran []float64) float64 {
	n := int(window / tick)
	sum, most := 0.0, 0.0
	for i, cost := range ran {
		sum += cost
		if i >= n {
			sum -= ran[i-n]
		}
		most = max(most, sum)
	}
	return most
}

const typicalRate = rate / 1.8

// An organisation sends its typical load, a little over half of its rate, with an
// occasional burst. None of it may be refused, not even right after all entries
// started.
func TestWithinQuotaNothingIsRefused(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(6, 250*time.Millisecond, 6, 1)
	f.run(12*time.Second, typicalRate)
	f.run(17*time.Second, typicalRate*1.6)
	f.run(30*time.Second, typicalRate)
	g.Expect(f.refused).To(BeZero())
}

// An organisation suddenly sends many times its typical load to random entries. Each
// entry receives what the others admitted only after a delay. Together they must not
// run more in any window than is allowed, and must use most of it.
func TestHotOrganisationStaysWithinQuota(t *testing.T) {
	for _, size := range []struct {
		entries, cell int
		every         time.Duration
		factor        float64
	}{{6, 6, 250 * time.Millisecond, 6}, {6, 6, 250 * time.Millisecond, 14}, {78, 12, 300 * time.Millisecond, 6}} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%d entries, %v times, seed %d", size.entries, size.factor, seed), func(t *testing.T) {
				g := NewWithT(t)
				f := newFleet(size.entries, size.every, size.cell, seed)
				f.run(12*time.Second, typicalRate)
				f.run(25*time.Second, typicalRate*size.factor)
				g.Expect(f.maxInAnyWindow()).To(BeNumerically("<=", allowed()))
				g.Expect(f.maxInAnyWindow()).To(BeNumerically(">=", baseQuota()))
			})
		}
	}
}

// Two of six entries are partitioned while an organisation sends many times its typical
// load to all of them. Neither side receives what the other admits, and both together
// must stay within the quota.
func TestPartitionedEntriesStayWithinQuota(t *testing.T) {
	for seed := range uint64(3) {
		g := NewWithT(t)
		f := newFleet(6, 250*time.Millisecond, 6, seed)
		f.run(12*time.Second, typicalRate)
		f.entries[1].partitioned, f.entries[4].partitioned = true, true
		f.run(15*time.Second, typicalRate)
		f.run(25*time.Second, typicalRate*6)
		f.entries[1].partitioned, f.entries[4].partitioned = false, false
		f.run(35*time.Second, typicalRate*6)
		g.Expect(f.maxInAnyWindow()).To(BeNumerically("<=", allowed()))
	}
}

// An organisation has just used its whole quota when all entries are killed. They
// restart a second later without any state. With the usage in the store they must
// refuse what exceeds the quota; without it the organisation would use most of its
// quota a second time within the same window.
func TestSimultaneousRestartDoesNotGrantQuotaTwice(t *testing.T) {
	for seed := range uint64(3) {
		g := NewWithT(t)
		f := newFleet(6, 250*time.Millisecond, 6, seed)
		f.recording = true
		f.run(12*time.Second, typicalRate)
		f.run(14*time.Second, typicalRate*8)
		for _, m := range f.entries {
			m.down = true
		}
		f.run(14700*time.Millisecond, typicalRate*8)
		for _, m := range f.entries {
			f.restart(m)
		}
		f.run(30*time.Second, typicalRate*8)
		g.Expect(f.maxInAnyWindow()).To(BeNumerically("<=", allowed()))
	}
}

// One entry restarts. The others have its admitted usage, so organisations within their
// quota must be served as before, by it and by the others.
func TestSingleRestartRefusesNothing(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(6, 250*time.Millisecond, 6, 3)
	f.run(12*time.Second, typicalRate)
	f.entries[2].down = true
	f.run(13*time.Second, typicalRate)
	f.restart(f.entries[2])
	f.run(25*time.Second, typicalRate)
	g.Expect(f.refused).To(BeZero())
}

// An organisation is over its quota. The rest goes to requests of the most important
// route, and small requests are admitted on any route.
func TestQuotaIsKeptForImportantRoutes(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	l := newLimiter(now)
	now = now.Add(2 * window)
	for l.Admit(now, organisation, 4000, 2).Admitted {
	}
	g.Expect(l.Admit(now, organisation, 100, 2).Admitted).To(BeTrue(), "a small request of the lowest route")
	g.Expect(l.Admit(now, organisation, 4000, 1).Admitted).To(BeTrue(), "a route above")
	for l.Admit(now, organisation, 4000, 0).Admitted {
	}
	refused := l.Admit(now, organisation, 4000, 0)
	g.Expect(refused.Admitted).To(BeFalse())
	g.Expect(refused.RetryAfter).To(BeNumerically(">", 0))
}

// A request that is refused before it ran gives back its cost. A refusal because of the
// quota itself counted nothing and must not give anything back.
func TestWithdrawReturnsAdmittedCost(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	l := quota.New(quota.Config{Window: window}, now)
	l.SetOrganisations([]catalog.Organisation{{Name: organisation, Rate: 100}})
	now = now.Add(2 * window)
	g.Expect(l.Admit(now, organisation, 800, 0).Admitted).To(BeTrue())
	g.Expect(l.Admit(now, organisation, 1, 0).Admitted).To(BeFalse())
	l.Withdraw(now, organisation, 800)
	g.Expect(l.Admit(now, organisation, 800, 0).Admitted).To(BeTrue())
}

// otherEntries returns the other entries of a fleet of 69.
func otherEntries(started time.Time, unresponsive bool) []quota.Peer {
	var peers []quota.Peer
	for i := range 68 {
		peers = append(peers, quota.Peer{Name: fmt.Sprint(i), Started: started, Unresponsive: unresponsive})
	}
	return peers
}

// All entries of a fleet have just started and none has received totals from another.
// What each assumes for the others must not be recorded: entries that start a moment
// later would restore it as usage, and refuse nearly all requests for seconds.
func TestAssumptionsAreNotRecorded(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	l := newLimiter(now)
	peers := otherEntries(now, true)
	l.SetPeers(now, peers)
	g.Expect(l.Records(now.Add(time.Second))).To(BeEmpty())
}

// An entry starts while others have been running for a minute, and receives their first
// totals two heartbeats later. These count since the start of the others and are not
// usage of this window: if they were counted as such, every organisation would be
// refused for a whole window.
func TestTotalsReceivedLateAreNotUsage(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	l := newLimiter(now)
	started := now.Add(-time.Minute)
	peers := otherEntries(now, true)
	l.SetPeers(now, peers)
	now = now.Add(1500 * time.Millisecond)
	for i := range peers {
		peers[i].Unresponsive = false
		l.PeerTotals(now, peers[i].Name, started, map[string]quota.Total{organisation: {Admitted: typicalRate * 60 / 69, Sent: typicalRate * 60 / 69}}, false)
	}
	l.SetPeers(now, peers)
	g.Expect(l.Admit(now, organisation, 4000, 0).Admitted).To(BeTrue())
	g.Expect(l.Records(now)).To(BeEmpty(), "nor may they be recorded as usage")
}

// With many organisations each heartbeat reports only some of the totals. An
// organisation that is first reported seconds after the first contact has not used all
// of its total at that moment: if it were counted so, it would be refused for a whole
// window.
func TestPartialTotalsAreNotUsage(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	l := newLimiter(now)
	started := now.Add(-time.Minute)
	peers := otherEntries(started, false)
	l.SetPeers(now, peers)
	first := map[string]quota.Total{"another": {Admitted: 1, Sent: 1}}
	second := map[string]quota.Total{organisation: {Admitted: typicalRate * 60 / 69, Sent: typicalRate * 60 / 69}}
	for _, totals := range []map[string]quota.Total{first, second} {
		now = now.Add(1500 * time.Millisecond)
		for i := range peers {
			l.PeerTotals(now, peers[i].Name, started, totals, true)
		}
	}
	g.Expect(l.Admit(now, organisation, 4000, 0).Admitted).To(BeTrue())
}

// An organisation sends many times its typical load while its requests wait in a queue,
// and then all of them are sent at once. Usage counts when requests are sent to
// targets: together with those admitted afterwards they must not exceed the quota.
func TestQueuedRequestsCountWhenSent(t *testing.T) {
	for seed := range uint64(2) {
		g := NewWithT(t)
		f := newFleet(6, 250*time.Millisecond, 6, seed)
		f.run(12*time.Second, typicalRate)
		f.queueing = true
		f.run(15*time.Second, typicalRate*3)
		f.release()
		f.run(30*time.Second, typicalRate*3)
		g.Expect(f.maxInAnyWindow()).To(BeNumerically("<=", allowed()))
		g.Expect(f.maxInAnyWindow()).To(BeNumerically(">=", baseQuota()))
	}
}

// Half of the admitted cost waits for a second and is then refused for lack of a slot.
// Withdrawing it must not allow more than the quota later, when the admission has left
// the window and the withdrawal has not.
func TestWithdrawnRequestsDoNotFreeQuotaLater(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	l := quota.New(quota.Config{Window: window}, now)
	l.SetOrganisations([]catalog.Organisation{{Name: organisation, Rate: 100}})
	now = now.Add(2 * window)
	g.Expect(l.Admit(now, organisation, 400, 0).Admitted).To(BeTrue())
	now = now.Add(time.Second)
	l.Withdraw(now, organisation, 400)
	now = now.Add(time.Second)
	g.Expect(l.Admit(now, organisation, 800, 0).Admitted).To(BeTrue())
	now = now.Add(window - 1500*time.Millisecond)
	g.Expect(l.Admit(now, organisation, 100, 0).Admitted).To(BeFalse())
}

// All entries are killed and restart while the registry of entries cannot be read, and an
// organisation sends many times its typical load. No entry has peers; if each assumed
// that it was the only one, it would admit the whole quota.
func TestEntriesWithoutPeerListShareTheQuota(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	admitted := 0.0
	for range 6 {
		l := newLimiter(now)
		l.SetPeersKnown(false)
		later := now.Add(3 * time.Second)
		for l.Admit(later, organisation, 2000, 0).Admitted {
			admitted += 2000
		}
	}
	g.Expect(admitted).To(BeNumerically("<=", allowed()/2))
	g.Expect(admitted).To(BeNumerically(">", 0))
}

// One entry is paused for some seconds and then continues. It receives at once what the
// others have used meanwhile, and they receive nothing new from it. Organisations
// within their quotas must be served by it and by the others as before.
func TestPausedEntryRefusesNothing(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(6, 250*time.Millisecond, 6, 4)
	f.run(12*time.Second, typicalRate*1.75)
	f.entries[2].down = true
	f.run(15800*time.Millisecond, typicalRate*1.75)
	f.entries[2].down = false
	f.run(30*time.Second, typicalRate*1.75)
	g.Expect(f.refused).To(BeZero())
}

// All entries are killed three times within a window while an organisation sends many
// times its typical load. After each restart they have only the usage in the records,
// which may be as old as the recording interval.
func TestRepeatedRestartsDoNotExceedTheQuota(t *testing.T) {
	for seed := range uint64(6) {
		g := NewWithT(t)
		f := newFleet(6, 250*time.Millisecond, 6, seed)
		f.recording = true
		f.run(12*time.Second, typicalRate)
		at := 13 * time.Second
		f.run(at, typicalRate*8)
		for range 3 {
			for _, m := range f.entries {
				m.down = true
			}
			at += 600 * time.Millisecond
			f.run(at, typicalRate*8)
			for _, m := range f.entries {
				f.restart(m)
			}
			at += 1200 * time.Millisecond
			f.run(at, typicalRate*8)
		}
		f.run(30*time.Second, typicalRate*8)
		g.Expect(f.maxInAnyWindow()).To(BeNumerically("<=", allowed()))
	}
}

// All entries are killed when an organisation has just used its whole quota, and the
// record of this is lost. It may get a little more than its quota, but not much of it
// again. An organisation at its typical load must not be refused anything after such a
// loss.
func TestSimultaneousRestartWithoutRecords(t *testing.T) {
	for _, factor := range []float64{1, 8} {
		g := NewWithT(t)
		f := newFleet(6, 250*time.Millisecond, 6, 5)
		f.run(12*time.Second, typicalRate)
		f.run(14*time.Second, typicalRate*factor)
		for _, m := range f.entries {
			m.down = true
		}
		f.run(14700*time.Millisecond, typicalRate*factor)
		for _, m := range f.entries {
			f.restart(m)
		}
		f.run(30*time.Second, typicalRate*factor)
		if factor == 1 {
			g.Expect(f.refused).To(BeZero())
		}
		g.Expect(f.maxInAnyWindow()).To(BeNumerically("<=", allowed()))
	}
}
