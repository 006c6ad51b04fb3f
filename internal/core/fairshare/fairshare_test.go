package fairshare_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/fairshare"
	"sycamoretrail/internal/core/quota"
)

// stream sends an organisation's requests of equal parts of three ranks, at Poisson times and
// of log-normal sizes, to one entry.
type stream struct {
	policer      *fairshare.Policer
	random       *rand.Rand
	now          time.Time
	entries      int
	limit, usage float64
	// costs and excess are the cost by rank, in total and beyond the pace.
	costs, excess [3]float64
	n, marked     int
	sizes         []sized
}

type sized struct {
	cost   float64
	excess bool
}

func newStream(entries int, limit, usage float64) *stream {
	return &stream{
		policer: fairshare.NewPolicer(worldWindow), random: rand.New(rand.NewPCG(uint64(entries), 5)), now: start,
		entries: entries, limit: limit, usage: usage,
	}
}

// send sends n requests at a rate per second.
func (s *stream) send(n int, rate float64) {
	for range n {
		s.now = s.now.Add(time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)))
		rank := s.random.IntN(3)
		cost := math.Exp(promptSigma*s.random.NormFloat64() - promptSigma*promptSigma/2)
		profile := s.policer.Classify(s.now, fairshare.Demand{
			Organisation: "a", Rank: rank, Cost: cost, Entries: s.entries, Used: s.usage * s.limit, Limit: s.limit,
		})
		s.n++
		s.costs[rank] += cost
		if profile.Excess {
			s.marked++
			s.excess[rank] += cost
		}
		s.sizes = append(s.sizes, sized{cost, profile.Excess})
	}
}

func (s *stream) markedPart() float64 { return float64(s.marked) / float64(s.n) }

// Guards against requests within the pace that are marked because the demand at one entry
// fluctuates: an organisation at its usual rate, 0.55 of its pace, over small and large fleets.
func TestUsualDemandIsWithinPace(t *testing.T) {
	for _, entries := range []int{1, 12, 79} {
		for _, rate := range []float64{0.03, 0.5, 2, 10, 40} {
			s := newStream(entries, rate*float64(entries)/0.55*worldWindow.Seconds(), 0.55)
			s.send(4000, rate)
			NewWithT(t).Expect(s.markedPart()).To(BeNumerically("<", 0.02), "%d entries, %v a second", entries, rate)
		}
	}
}

// Guards against an excess that is not what the pace leaves out, ranks that keep nothing, and
// large requests that never fit.
func TestExcessIsWhatThePaceLeavesOut(t *testing.T) {
	g := NewWithT(t)
	const rate, usage = 40.0, 0.9
	s := newStream(3, 3*rate/4*worldWindow.Seconds(), usage)
	s.send(20_000, rate)
	var kept [3]float64
	for rank := range kept {
		kept[rank] = 1 - s.excess[rank]/s.costs[rank]
	}
	// The pace is 0.9 of the limit over a window and the rest over half of one: 1.1 / 4 of the
	// demand. Of it each rank keeps a quarter of its even part, and rank 0 the rest.
	pace := 1.1 / 4
	t.Logf("kept by rank: %.3f of a pace of %.3f", kept, pace)
	// Sizes differ tenfold, so part of the demand arrives in bursts that are longer than unused
	// pace is kept.
	g.Expect((kept[0] + kept[1] + kept[2]) / 3).To(And(BeNumerically(">", 0.85*pace), BeNumerically("<", 1.05*pace)))
	g.Expect(kept[1]).To(BeNumerically("~", pace/4, 0.03))
	g.Expect(kept[2]).To(BeNumerically("~", pace/4, 0.03))
	g.Expect(kept[0]).To(And(BeNumerically(">", 0.8*(3*pace-pace/2)), BeNumerically("<", 1.05*(3*pace-pace/2))))

	keptPart := func(from, to float64) float64 {
		n, kept := 0, 0
		for _, each := range s.sizes {
			if each.cost >= from && each.cost < to {
				n++
				if !each.excess {
					kept++
				}
			}
		}
		return float64(kept) / float64(n)
	}
	small, large := keptPart(0, 0.3), keptPart(2.2, math.Inf(1))
	t.Logf("kept by size: %.3f of the smallest third, %.3f of the largest tenth, %.3f of all", small, large, 1-s.markedPart())
	g.Expect(small).To(BeNumerically(">", large), "smaller work goes first")
	g.Expect(large).To(BeNumerically(">=", (1-s.markedPart())/2), "and no size is starved")
}

// Guards against marks while the organisation has used little of its limit, whatever it sends.
func TestNothingIsMarkedBelowHalfOfTheLimit(t *testing.T) {
	s := newStream(3, 100, 0.5)
	s.send(5000, 100)
	NewWithT(t).Expect(s.marked).To(BeZero())
}

// Guards against a restarted entry that marks requests although it knows no demand yet.
func TestRestartedEntryMarksNothingForASecond(t *testing.T) {
	g := NewWithT(t)
	s := newStream(3, 100, 0.9)
	for s.now.Before(start.Add(900 * time.Millisecond)) {
		s.send(1, 100)
	}
	g.Expect(s.marked).To(BeZero())
	s.send(200, 100)
	g.Expect(s.marked).To(BeNumerically(">", 100))
}

// Guards against an entry that hears nothing from the others and marks nothing, or more than
// quota's cautious assumption calls for. Used is what quota assumes in that case.
func TestWithoutReportsThePaceIsAsCautiousAsTheQuota(t *testing.T) {
	g := NewWithT(t)
	const rate, perEntry = 1000.0, 250.0
	mark := func(unresponsive bool) (marked int, profile fairshare.Profile) {
		limiter := quota.New(quota.Config{Window: worldWindow}, start.Add(-time.Minute))
		limiter.SetOrganisations([]catalog.Organisation{{Name: "a", Rate: rate}})
		var peers []quota.Peer
		for i := range 3 {
			peers = append(peers, quota.Peer{Name: fmt.Sprint(i), Started: start.Add(-time.Minute), Unresponsive: unresponsive})
		}
		limiter.SetPeersKnown(true)
		limiter.SetPeers(start, peers)
		policer := fairshare.NewPolicer(worldWindow)
		for now := start; now.Before(start.Add(3 * time.Second)); now = now.Add(time.Second / perEntry) {
			result := limiter.Admit(now, "a", 1, 0)
			if !result.Admitted {
				continue
			}
			limiter.Sent(now, "a", 1)
			g.Expect(result.Used <= result.Limit).To(BeTrue())
			profile = policer.Classify(now, fairshare.Demand{Organisation: "a", Cost: 1, Entries: 4, Used: result.Used, Limit: result.Limit})
			if profile.Excess {
				marked++
			}
		}
		return marked, profile
	}
	marked, profile := mark(true)
	t.Logf("marked %d, demand %.0f, pace %.0f", marked, profile.Demand, profile.Pace)
	// It sends its even share of the quota, and the others are assumed to do so as well.
	g.Expect(profile.Pace).To(BeNumerically(">", 0))
	g.Expect(float64(marked) / (3 * perEntry)).To(BeNumerically("<", 0.05))
}

// Guards against state that grows with the number of organisations that were ever seen.
func TestIdleOrganisationsAreForgotten(t *testing.T) {
	g := NewWithT(t)
	p := fairshare.NewPolicer(worldWindow)
	now := start
	for i := range 100_000 {
		now = now.Add(50 * time.Millisecond)
		p.Classify(now, fairshare.Demand{Organisation: fmt.Sprint(i), Cost: 1, Entries: 1, Used: 9, Limit: 10})
		g.Expect(p.Size()).To(BeNumerically("<=", 2*666))
	}
}

// Guards against time that seems to run backwards and figures that are zero.
func TestUnusualFiguresMarkNothingWrong(t *testing.T) {
	g := NewWithT(t)
	p := fairshare.NewPolicer(worldWindow)
	for i := range 100 {
		now := start.Add(time.Duration(i%7) * time.Second)
		profile := p.Classify(now, fairshare.Demand{Organisation: "a", Rank: i%9 - 2, Entries: 0, Used: 10, Limit: 10})
		g.Expect(profile.Excess).To(BeFalse(), "a request without cost")
		g.Expect(math.IsNaN(profile.Demand) || math.IsInf(profile.Demand, 0)).To(BeFalse())
	}
}

// Guards against a policer that, until the clock reaches its earlier time again after a step
// back, marks an organisation at its usual rate because its demand does not decay, or marks
// nothing because it seems to have just started.
func TestClockStepBackDoesNotRaiseDemand(t *testing.T) {
	g := NewWithT(t)
	const rate = 10.0
	s := newStream(3, rate*3/0.55*worldWindow.Seconds(), 0.55)
	s.send(1, rate)
	s.now = s.now.Add(2 * time.Hour)
	s.send(100, rate)
	s.now = s.now.Add(-time.Hour)
	s.send(1000, rate)
	g.Expect(s.markedPart()).To(BeNumerically("<", 0.02))

	s = newStream(3, 3*rate/4*worldWindow.Seconds(), 0.9)
	s.send(100, rate)
	s.now = s.now.Add(-time.Hour)
	s.send(1000, rate)
	g.Expect(s.markedPart()).To(BeNumerically(">", 0.4), "an organisation beyond its pace is still marked")
}

// Guards against service that is not in proportion to the weights while all organisations wait.
func TestTagsShareByWeight(t *testing.T) {
	g := NewWithT(t)
	var tags fairshare.Tags
	weights := map[string]float64{"a": 1, "b": 2, "c": 5}
	received := make(map[string]float64)
	random := rand.New(rand.NewPCG(1, 1))
	for range 8000 {
		tags.Begin()
		first, lowest := "", math.Inf(1)
		for _, name := range []string{"a", "b", "c"} {
			if tag := tags.Assign(name, 0); tag < lowest {
				first, lowest = name, tag
			}
		}
		work := 0.1 + random.ExpFloat64()
		received[first] += work
		tags.Served(first, work/weights[first])
	}
	for _, name := range []string{"b", "c"} {
		g.Expect(received[name] / received["a"]).To(BeNumerically("~", weights[name], 0.05*weights[name]))
	}
}

// Guards against an organisation that sends its next request after the previous one was served,
// and so receives more than its weight although the other one always waits.
func TestOneRequestAtATimeIsCharged(t *testing.T) {
	g := NewWithT(t)
	var tags fairshare.Tags
	received := make(map[string]float64)
	returns := 0
	for pass := range 10_000 {
		tags.Begin()
		first, lowest, work := "many", tags.Assign("many", 1), 1.0
		if pass >= returns {
			if tag := tags.Assign("one", 5); tag < lowest {
				first, work, returns = "one", 5, pass+2
			}
		}
		received[first] += work
		tags.Served(first, work)
		g.Expect(tags.Size()).To(BeNumerically("<=", 2))
	}
	g.Expect(received["one"] / received["many"]).To(BeNumerically("~", 1, 0.05))
}

// Guards against an organisation that was idle and then claims what others received meanwhile,
// and against tags of organisations that wait no more.
func TestIdleOrganisationHasNoClaim(t *testing.T) {
	g := NewWithT(t)
	var tags fairshare.Tags
	for range 100 {
		tags.Begin()
		tags.Assign("busy", 1)
		tags.Served("busy", 1)
	}
	g.Expect(tags.Next("idle")).To(BeNumerically("~", tags.Next("busy"), 2))
	// The last request of the busy organisation is charged until the other one has had as much.
	for range 2 {
		tags.Begin()
		tags.Assign("idle", 1)
		tags.Served("idle", 1)
	}
	tags.Begin()
	g.Expect(tags.Size()).To(Equal(1))
	tags.Begin()
	tags.Assign("other", 1)
	tags.Served("other", 1)
	tags.Begin()
	g.Expect(tags.Size()).To(BeNumerically("<=", 2))
}
