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

func base() float64 { return rate*window.Seconds() + burst }

// allowed is what may run in any window before the quota counts as broken.
func allowed() float64 { return base()*(1+overshoot) + slack }

// newLimiter makes a limiter of the organisation's quota that begins now.
func newLimiter(now time.Time) *quota.Limiter {
	l := quota.New(quota.Config{Window: window, Overshoot: overshoot, Slack: slack}, now)
	l.SetOrganisations([]catalog.Organisation{{Name: organisation, Rate: rate, Burst: burst}})
	return l
}

// fleet plays entries that share a quota: callers pick an entry at random, totals
// reach the others after a while, and entries are cut off or killed.
type fleet struct {
	random  *rand.Rand
	now     time.Time
	start   time.Time
	entries []*member
	// every is the pause between two words to the others, cell how many of them hear
	// each change at once.
	every time.Duration
	cell  int
	// admitted is the cost that ran, by tick.
	admitted  []float64
	refused   float64
	records   map[string]quota.History
	recording bool
	// holding: what is admitted waits, in held of each, instead of running at once.
	holding bool
}

type member struct {
	name    string
	limiter *quota.Limiter
	started time.Time
	spoke   time.Time
	cut     bool
	down    bool
	held    float64
}

func newFleet(n int, every time.Duration, cell int, seed uint64) *fleet {
	start := time.Unix(1_000_000, 0)
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), now: start, start: start, every: every, cell: cell, records: map[string]quota.History{}}
	for i := range n {
		m := &member{name: fmt.Sprintf("entry-%d", i)}
		f.entries = append(f.entries, m)
		f.restart(m)
	}
	return f
}

func (f *fleet) restart(m *member) {
	m.down = false
	m.started = f.now
	m.limiter = newLimiter(f.now)
	for name, history := range f.records {
		m.limiter.Restore(name, history)
	}
}

// run plays until a moment, with a demand in cost per second.
func (f *fleet) run(until time.Duration, demand float64) {
	for f.now.Sub(f.start) < until {
		f.now = f.now.Add(tick)
		f.tell()
		sum := 0.0
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
			switch {
			case !m.limiter.Admit(f.now, organisation, cost, 0).Admitted:
				f.refused += cost
			case f.holding:
				m.held += cost
			default:
				m.limiter.Sent(f.now, organisation, cost)
				sum += cost
			}
		}
		f.admitted = append(f.admitted, sum)
	}
}

// release runs all that waited.
func (f *fleet) release() {
	f.holding = false
	sum := 0.0
	for _, m := range f.entries {
		m.limiter.Sent(f.now, organisation, m.held)
		sum += m.held
		m.held = 0
	}
	f.admitted = append(f.admitted, sum)
}

// tell passes totals on between entries that are not cut off.
func (f *fleet) tell() {
	for i, m := range f.entries {
		if m.down {
			continue
		}
		var peers []quota.Peer
		for _, other := range f.entries {
			if other != m {
				silent := m.cut || other.cut || other.down
				peers = append(peers, quota.Peer{Name: other.name, Started: other.started, Silent: silent})
			}
		}
		due := f.now.Sub(m.spoke) >= f.every
		if due {
			m.limiter.SetPeers(f.now, peers)
			m.spoke = f.now
		}
		for j, other := range f.entries {
			near := i/f.cell == j/f.cell
			if other == m || m.cut || other.cut || other.down || !due && !near {
				continue
			}
			other.limiter.PeerTotals(f.now, m.name, m.started, m.limiter.Totals(), false)
		}
	}
	if f.recording && int(f.now.Sub(f.start)/tick)%40 == 0 && !f.entries[0].down {
		f.records = f.entries[0].limiter.Records(f.now)
	}
}

// worst is the most that ran in any window.
func (f *fleet) worst() float64 { return mostInWindow(f.admitted) }

// mostInWindow is the most that ran in any window, of what ran in each tick.
func mostInWindow(ran []float64) float64 {
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

const usual = rate / 1.8

// An organisation sends what it usually does, a little over half of its rate, with a
// burst now and then. Nothing of it is refused, also right after all entries began.
func TestWithinQuotaNothingIsRefused(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(6, 250*time.Millisecond, 6, 1)
	f.run(12*time.Second, usual)
	f.run(17*time.Second, usual*1.6)
	f.run(30*time.Second, usual)
	g.Expect(f.refused).To(BeZero())
}

// An organisation suddenly sends many times its usual to all entries at random. Each
// entry knows what the others admitted only with delay; together they must not let
// more run in any window than is allowed, and must use most of what is.
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
				f.run(12*time.Second, usual)
				f.run(25*time.Second, usual*size.factor)
				g.Expect(f.worst()).To(BeNumerically("<=", allowed()))
				g.Expect(f.worst()).To(BeNumerically(">=", base()))
			})
		}
	}
}

// Two of six entries lose the others while an organisation sends many times its
// usual to all of them. Neither side knows what the other admits, and both together
// must stay within the quota.
func TestCutEntriesStayWithinQuotaTogether(t *testing.T) {
	for seed := range uint64(3) {
		g := NewWithT(t)
		f := newFleet(6, 250*time.Millisecond, 6, seed)
		f.run(12*time.Second, usual)
		f.entries[1].cut, f.entries[4].cut = true, true
		f.run(15*time.Second, usual)
		f.run(25*time.Second, usual*6)
		f.entries[1].cut, f.entries[4].cut = false, false
		f.run(35*time.Second, usual*6)
		g.Expect(f.worst()).To(BeNumerically("<=", allowed()))
	}
}

// An organisation has just used its whole quota when all entries are killed. They
// come back a second later and know nothing of each other's past. With the usage in
// the store they refuse what the quota does not have any more; without it the
// organisation would use most of its quota a second time within the same window.
func TestKilledTogetherDoNotGrantQuotaTwice(t *testing.T) {
	for seed := range uint64(3) {
		g := NewWithT(t)
		f := newFleet(6, 250*time.Millisecond, 6, seed)
		f.recording = true
		f.run(12*time.Second, usual)
		f.run(14*time.Second, usual*8)
		for _, m := range f.entries {
			m.down = true
		}
		f.run(14700*time.Millisecond, usual*8)
		for _, m := range f.entries {
			f.restart(m)
		}
		f.run(30*time.Second, usual*8)
		g.Expect(f.worst()).To(BeNumerically("<=", allowed()))
	}
}

// One entry restarts. The others know what it had admitted, so organisations within
// their quota are served as before, by it and by the others.
func TestRestartOfOneRefusesNothing(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(6, 250*time.Millisecond, 6, 3)
	f.run(12*time.Second, usual)
	f.entries[2].down = true
	f.run(13*time.Second, usual)
	f.restart(f.entries[2])
	f.run(25*time.Second, usual)
	g.Expect(f.refused).To(BeZero())
}

// An organisation is over its quota. What remains goes to requests of the most
// important route, and small requests are let in on any.
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

// A request refused before it ran gives back what it counted; a refusal for the
// quota itself counted nothing and must not give anything back.
func TestRefundReturnsWhatWasCounted(t *testing.T) {
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

// others are the other entries of a fleet of 69.
func others(started time.Time, silent bool) []quota.Peer {
	var peers []quota.Peer
	for i := range 68 {
		peers = append(peers, quota.Peer{Name: fmt.Sprint(i), Started: started, Silent: silent})
	}
	return peers
}

// All entries of a fleet have just started and none has heard another. What each
// assumes of the others must not be recorded: restored by those that start a moment
// later, it would stand for usage, and nearly all requests be refused for seconds.
func TestAssumptionsAreNotRecorded(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	l := newLimiter(now)
	peers := others(now, true)
	l.SetPeers(now, peers)
	g.Expect(l.Records(now.Add(time.Second))).To(BeEmpty())
}

// An entry begins beside others that have been at work for a minute, and first hears
// them two heartbeats later. Their totals since their own start are not usage of this
// window: counted as such, every organisation would be refused for a whole window.
func TestTotalsOfOthersHeardLateAreNotUsage(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	l := newLimiter(now)
	started := now.Add(-time.Minute)
	peers := others(now, true)
	l.SetPeers(now, peers)
	now = now.Add(1500 * time.Millisecond)
	for i := range peers {
		peers[i].Silent = false
		l.PeerTotals(now, peers[i].Name, started, map[string]quota.Total{organisation: {Admitted: usual * 60 / 69, Sent: usual * 60 / 69}}, false)
	}
	l.SetPeers(now, peers)
	g.Expect(l.Admit(now, organisation, 4000, 0).Admitted).To(BeTrue())
	g.Expect(l.Records(now)).To(BeEmpty(), "nor may they be recorded as usage")
}

// With many organisations a heartbeat tells of some, and the next ones of the others. One
// that is told of seconds after an entry first heard the others has not used all of that
// at that moment: counted so, it would be refused for a whole window.
func TestTotalsToldInTurnsAreNotUsage(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	l := newLimiter(now)
	started := now.Add(-time.Minute)
	peers := others(started, false)
	l.SetPeers(now, peers)
	first := map[string]quota.Total{"another": {Admitted: 1, Sent: 1}}
	second := map[string]quota.Total{organisation: {Admitted: usual * 60 / 69, Sent: usual * 60 / 69}}
	for _, totals := range []map[string]quota.Total{first, second} {
		now = now.Add(1500 * time.Millisecond)
		for i := range peers {
			l.PeerTotals(now, peers[i].Name, started, totals, true)
		}
	}
	g.Expect(l.Admit(now, organisation, 4000, 0).Admitted).To(BeTrue())
}

// An organisation sends many times its usual while its requests wait in a queue, and
// then all that waited are sent at once. What counts against the quota is when targets
// are sent to: with those that are admitted afterwards they must not exceed it.
func TestRequestsThatWaitedCountWhenSent(t *testing.T) {
	for seed := range uint64(2) {
		g := NewWithT(t)
		f := newFleet(6, 250*time.Millisecond, 6, seed)
		f.run(12*time.Second, usual)
		f.holding = true
		f.run(15*time.Second, usual*3)
		f.release()
		f.run(30*time.Second, usual*3)
		g.Expect(f.worst()).To(BeNumerically("<=", allowed()))
		g.Expect(f.worst()).To(BeNumerically(">=", base()))
	}
}

// Half of what is admitted waits for a second and is then refused for want of a place.
// What is given back must not make room for more than the quota later, when the
// moment of the admission has left the window and that of the refusal has not.
func TestWhatNeverRanDoesNotMakeRoomLater(t *testing.T) {
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

// All entries are killed and start while the register of entries cannot be read, and
// an organisation sends many times its usual. None knows of another, and taking itself
// for the only one each would let in the whole quota.
func TestEntriesThatKnowNobodyShareTheQuota(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	admitted := 0.0
	for range 6 {
		l := newLimiter(now)
		l.SetListed(false)
		later := now.Add(3 * time.Second)
		for l.Admit(later, organisation, 2000, 0).Admitted {
			admitted += 2000
		}
	}
	g.Expect(admitted).To(BeNumerically("<=", allowed()/2))
	g.Expect(admitted).To(BeNumerically(">", 0))
}

// One entry stands still for some seconds and goes on. It hears at once what the others
// have used meanwhile, and they hear nothing new of it. Organisations within their
// quotas are served by it and by the others as before.
func TestEntryThatStoodStillRefusesNothing(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(6, 250*time.Millisecond, 6, 4)
	f.run(12*time.Second, usual*1.75)
	f.entries[2].down = true
	f.run(15800*time.Millisecond, usual*1.75)
	f.entries[2].down = false
	f.run(30*time.Second, usual*1.75)
	g.Expect(f.refused).To(BeZero())
}

// All entries are killed three times within a window while an organisation sends many
// times its usual. Each time they begin again, they know of what ran before what the
// record says, which is as old as the pause between two records.
func TestKilledAgainAndAgainDoNotExceedTheQuota(t *testing.T) {
	for seed := range uint64(6) {
		g := NewWithT(t)
		f := newFleet(6, 250*time.Millisecond, 6, seed)
		f.recording = true
		f.run(12*time.Second, usual)
		at := 13 * time.Second
		f.run(at, usual*8)
		for range 3 {
			for _, m := range f.entries {
				m.down = true
			}
			at += 600 * time.Millisecond
			f.run(at, usual*8)
			for _, m := range f.entries {
				f.restart(m)
			}
			at += 1200 * time.Millisecond
			f.run(at, usual*8)
		}
		f.run(30*time.Second, usual*8)
		g.Expect(f.worst()).To(BeNumerically("<=", allowed()))
	}
}

// All entries are killed when an organisation has just used its whole quota, and the
// record of it is lost. It gets a little more than its quota, not much of it again; and
// one with its usual use is refused nothing after such a loss.
func TestKilledTogetherWithoutRecord(t *testing.T) {
	for _, factor := range []float64{1, 8} {
		g := NewWithT(t)
		f := newFleet(6, 250*time.Millisecond, 6, 5)
		f.run(12*time.Second, usual)
		f.run(14*time.Second, usual*factor)
		for _, m := range f.entries {
			m.down = true
		}
		f.run(14700*time.Millisecond, usual*factor)
		for _, m := range f.entries {
			f.restart(m)
		}
		f.run(30*time.Second, usual*factor)
		if factor == 1 {
			g.Expect(f.refused).To(BeZero())
		}
		g.Expect(f.worst()).To(BeNumerically("<=", allowed()))
	}
}
