package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/core/quota"
)

// sharedConfiguration has two organisations with a quota, one without, and one whose requests
// have the priority of their route.
func sharedConfiguration() *catalog.Configuration {
	priority := func(p int) *int { return &p }
	return &catalog.Configuration{Version: 1, Organisations: []catalog.Organisation{
		{Name: "large", Rate: 3000, CountsTokens: true, Priority: priority(0)},
		{Name: "small", Rate: 1000, CountsTokens: true, Priority: priority(1)},
		{Name: "free", Priority: priority(2)},
	}}
}

// callOf returns a request of an organisation for a route of a rank.
func callOf(g *Gateway, organisation string, priority, rank int, cost float64) *call {
	now := time.Now()
	return &call{
		gateway: g, envelope: Envelope{ID: "id-1"}, arrived: now, expires: now.Add(10 * time.Second), config: g.configuration.Load(),
		route:        &catalog.Route{Prefix: "/chat", Priority: rank, Objective: time.Second, Timeout: 10 * time.Second},
		organisation: organisation, service: "desk", priority: priority, cost: cost,
	}
}

// exceedPace sends requests of an organisation until one is marked. The entry has been running
// for a minute and has no others.
func exceedPace(g *Gateway, organisation string, rank int) *call {
	const limit = 8 * 3000.0
	now := time.Now()
	g.state.quota = quota.New(quotaConfig(g.settings.Bounds), now.Add(-time.Minute))
	g.state.quota.SetPeers(now, nil)
	g.state.quota.SetOrganisations(g.configuration.Load().Organisations)
	g.state.quota.Reserve(now, organisation, 0.6*limit)
	g.state.admit(organisation, 1, rank, g.shares.Load() != nil)
	time.Sleep(1050 * time.Millisecond) // a policer that has just started marks nothing
	for range 60 {
		c := callOf(g, organisation, 0, rank, 100)
		if c.checkQuota() == nil && c.excess {
			return c
		}
	}
	return nil
}

// Guards against an organisation beyond its pace that keeps its priority, or whose requests are
// not logged and counted as such.
func TestExcessRequestsAreDemotedLoggedAndCounted(t *testing.T) {
	w := NewWithT(t)
	g, log := newLoggingGateway()
	w.Expect(g.apply(sharedConfiguration(), 1, "test")).To(BeTrue())
	c := exceedPace(g, "large", 1)
	w.Expect(c).NotTo(BeNil())
	request := c.schedulerRequest()
	w.Expect(request.Excess).To(BeTrue())
	w.Expect(request.Priority).To(Equal(2), "the lowest priority of an organisation")
	w.Expect(request.Rank).To(Equal(1), "the scheduler demotes the rank")
	w.Expect(request.Weight).To(BeNumerically("~", 1.5, 1e-9))
	target := catalog.Target{ID: "t-1", Service: "desk", Slots: 1}
	_, refused := c.handleSlotResult(slotResult{grant: &dispatch.Grant{Ticket: &dispatch.Ticket{Request: request}, Target: target}})
	w.Expect(refused).To(BeNil())

	counted := make(map[string]int64)
	g.counters.excess.each(func(key string, n int64) { counted[key] = n })
	w.Expect(counted).To(HaveKeyWithValue("desk", int64(1)))
	g.log.Close(time.Minute)
	w.Expect(log.String()).To(MatchRegexp(`"demand":[1-9][0-9]*.*"id":"id-1".*"limit":[1-9].*"msg":"excess".*"organisation":"large","pace":[1-9][0-9]*,"rank":1.*"used":[1-9]`))
	w.Expect(log.String()).To(MatchRegexp(`"excess":true.*"msg":"granted"`))
}

// Guards against requests that are shared or marked where the settings or the configuration do
// not call for it: decisions must be as before.
func TestFairSharingOnlyWhereItIsCalledFor(t *testing.T) {
	inactive := func(w *WithT, g *Gateway) {
		w.Expect(g.shares.Load()).To(BeNil())
		w.Expect(exceedPace(g, "large", 1)).To(BeNil())
		w.Expect(g.state.policer.Size()).To(BeZero(), "demand is not measured either")
		request := callOf(g, "large", 0, 1, 1).schedulerRequest()
		w.Expect(request.Weight).To(BeZero())
		w.Expect(request.Excess).To(BeFalse())
	}
	t.Run("setting off", func(t *testing.T) {
		w := NewWithT(t)
		g, _ := newLoggingGateway()
		g.settings.Load.FairShare = false
		w.Expect(g.apply(sharedConfiguration(), 1, "test")).To(BeTrue())
		inactive(w, g)
	})
	t.Run("one organisation with a quota", func(t *testing.T) {
		w := NewWithT(t)
		g, _ := newLoggingGateway()
		configuration := sharedConfiguration()
		configuration.Organisations[1].Rate = 0
		w.Expect(g.apply(configuration, 1, "test")).To(BeTrue())
		inactive(w, g)
	})
	t.Run("a later configuration", func(t *testing.T) {
		w := NewWithT(t)
		g, _ := newLoggingGateway()
		w.Expect(g.apply(sharedConfiguration(), 1, "test")).To(BeTrue())
		w.Expect(g.shares.Load()).NotTo(BeNil())
		configuration := sharedConfiguration()
		configuration.Version, configuration.Organisations = 2, configuration.Organisations[:1]
		w.Expect(g.apply(configuration, 2, "test")).To(BeTrue())
		inactive(w, g)
	})
}

// Guards against weights of different units that are compared, against organisations without a
// quota that have no weight, and against excess that goes before requests within pace.
func TestSharesOfAConfiguration(t *testing.T) {
	w := NewWithT(t)
	configuration := sharedConfiguration()
	configuration.Organisations = append(configuration.Organisations,
		catalog.Organisation{Name: "counted", Rate: 10, Priority: configuration.Organisations[0].Priority},
		catalog.Organisation{Name: "counted less", Rate: 5, Priority: configuration.Organisations[0].Priority},
	)
	s := newShares(configuration)
	for name, want := range map[string]float64{"large": 1.5, "small": 0.5, "counted": 4.0 / 3, "counted less": 2.0 / 3, "free": 1, "": 1} {
		w.Expect(s.weight(name)).To(BeNumerically("~", want, 1e-9), name)
	}
	w.Expect(s.excessPriority(0)).To(Equal(2))

	configuration = sharedConfiguration()
	configuration.Organisations[2].Priority = nil
	s = newShares(configuration)
	w.Expect(s.excessPriority(0)).To(Equal(1), "the lowest of an organisation")
	w.Expect(s.excessPriority(2)).To(Equal(3), "behind requests of rank 2 that have the priority of their route")
	for i := range configuration.Organisations {
		configuration.Organisations[i].Priority = nil
	}
	w.Expect(newShares(configuration).excessPriority(0)).To(Equal(1))
}

// Guards against a late excess request of an organisation with a priority that goes before more valuable
// requests within pace of a lower rank, which have the priority of their route.
func TestLateExcessGoesBehindRoutesOfLowerRanks(t *testing.T) {
	w := NewWithT(t)
	g, _ := newLoggingGateway()
	configuration := sharedConfiguration()
	configuration.Organisations[2].Priority = nil
	w.Expect(g.apply(configuration, 1, "test")).To(BeTrue())
	late := callOf(g, "large", 0, 0, 1)
	late.excess = true
	late.arrived = late.arrived.Add(-2 * time.Second)
	lower := callOf(g, "free", 2, 2, 1)
	lower.routePriority = true

	now := time.Now()
	s := dispatch.New(dispatch.Config{Name: "a"})
	s.SetTargets(now, []catalog.Target{{ID: "t", Service: "desk", Slots: 1}})
	holder, _ := s.Submit(now, callOf(g, "free", 0, 0, 1).schedulerRequest())
	s.Submit(now, late.schedulerRequest())
	within, _ := s.Submit(now, lower.schedulerRequest())
	grants := s.Done(now, holder, dispatch.Report{Outcome: dispatch.Abandoned}).Grants
	w.Expect(grants).To(HaveLen(1))
	w.Expect(grants[0].Ticket).To(BeIdenticalTo(within))
}

// Guards against a request whose priority is that of its route being taken for one with the
// organisation's, and against time that a returned caller has waited being lost.
func TestSchedulerRequestNamesOriginOfPriorityAndWait(t *testing.T) {
	w := NewWithT(t)
	g, _ := newLoggingGateway()
	w.Expect(g.apply(sharedConfiguration(), 1, "test")).To(BeTrue())
	c := callOf(g, "free", 2, 0, 1)
	w.Expect(c.schedulerRequest().RoutePriority).To(BeFalse())
	w.Expect(c.schedulerRequest().Waited).To(BeZero())
	c.routePriority = true
	c.envelope.WaitLimit = 9 * time.Second
	w.Expect(c.schedulerRequest().RoutePriority).To(BeTrue())
	w.Expect(c.schedulerRequest().Waited).To(Equal(time.Second))
}

// Guards against a stream that has begun and is served last when it continues at another target:
// its caller would disconnect.
func TestResumedStreamIsNotExcess(t *testing.T) {
	w := NewWithT(t)
	g, _ := newLoggingGateway()
	w.Expect(g.apply(sharedConfiguration(), 1, "test")).To(BeTrue())
	c := callOf(g, "large", 0, 0, 1)
	c.excess = true
	w.Expect(c.schedulerRequest().Excess).To(BeTrue())
	c.events = 1
	w.Expect(c.schedulerRequest().Excess).To(BeFalse())
	w.Expect(c.schedulerRequest().Priority).To(Equal(c.priority))
}

// BenchmarkAdmitWithManyOrganisations measures the check of a request's quota and pace with 666
// organisations and 78 other entries.
func BenchmarkAdmitWithManyOrganisations(b *testing.B) {
	for _, police := range []bool{false, true} {
		b.Run(fmt.Sprintf("police=%v", police), func(b *testing.B) {
			g, _ := newLoggingGateway()
			var organisations []catalog.Organisation
			for i := range 666 {
				organisations = append(organisations, catalog.Organisation{Name: fmt.Sprint("organisation-", i), Rate: 1e9})
			}
			g.state.quota.SetOrganisations(organisations)
			var peers []quota.Peer
			for i := range 78 {
				peers = append(peers, quota.Peer{Name: fmt.Sprint("entry-", i), Started: time.Now()})
			}
			g.state.quota.SetPeers(time.Now(), peers)
			i := 0
			for b.Loop() {
				name := organisations[i%len(organisations)].Name
				result, _ := g.state.admit(name, 1, 0, police)
				if result.Admitted {
					g.state.charge((*quota.Limiter).Withdraw, name, 1)
				}
				i++
			}
		})
	}
}
