package fairshare_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	burstFrom  = 10 * time.Second
	burstUntil = 17 * time.Second
	// impact is the time within which an organisation at seven times its usual rate uses up its
	// quota window; after that the quota limits it.
	impact = 2500 * time.Millisecond
)

// hotWorld simulates an organisation of the highest priority that sends seven times as much as
// usual, while its quota allows 1.8 times. The others need three fifths of the engines' capacity.
func hotWorld(seed uint64, fair bool) *world {
	organisations := []*organisation{{name: "hot", priority: 0, surge: 7}}
	for i := range 11 {
		organisations = append(organisations, &organisation{name: fmt.Sprintf("o-%02d", i), priority: 1, surge: 1})
	}
	w := newWorld(seed, fair, 3, 9, organisations)
	capacity := w.capacity()
	for _, each := range organisations {
		each.usual = 0.6 * capacity / float64(len(organisations)-1)
	}
	organisations[0].usual = 0.18 * capacity
	w.setQuotas()
	w.run(burstFrom, burstUntil, 20*time.Second)
	return w
}

// hotWorlds runs several simulations and returns the requests of the first seconds of the burst
// and of the whole burst.
func hotWorlds(fair bool) (worlds []*world, first, all []*job) {
	for seed := range uint64(6) {
		w := hotWorld(seed, fair)
		worlds = append(worlds, w)
		first = append(first, w.during(burstFrom, burstFrom+impact)...)
		all = append(all, w.during(burstFrom, burstUntil)...)
	}
	return worlds, first, all
}

func isHot(j *job) bool { return j.organisation.name == "hot" }

func isOther(j *job) bool { return !isHot(j) }

func ofRank(rank int) func(*job) bool { return func(j *job) bool { return j.rank == rank } }

// Guards against an organisation that crowds out others. On the old decision, all its requests
// of any rank go before those of others, and use up its quota window on what comes first.
func TestHotOrganisation(t *testing.T) {
	g := NewWithT(t)
	worlds, first, all := hotWorlds(true)
	for rank := range kinds {
		others, hot := keep(keep(first, isOther), ofRank(rank)), keep(keep(first, isHot), ofRank(rank))
		t.Logf("rank %d, first %v: others in time %.3f, answered %.3f; hot in time %.3f, answered %.3f, excess %.3f", rank, impact,
			part(others, (*job).inTime), part(others, (*job).answered), part(hot, (*job).inTime), part(hot, (*job).answered), part(hot, (*job).isExcess))
	}
	others := keep(first, isOther)
	for rank, want := range []struct {
		what  string
		share func(*job) bool
		least float64
	}{{"in time", (*job).inTime, 0.95}, {"in time", (*job).inTime, 0.8}, {"answered", (*job).answered, 0.9}} {
		t.Run(fmt.Sprintf("rank %d of others %s", rank, want.what), func(t *testing.T) {
			NewWithT(t).Expect(part(keep(others, ofRank(rank)), want.share)).To(BeNumerically(">=", want.least))
		})
	}

	hot := keep(first, isHot)
	g.Expect(part(keep(hot, ofRank(0)), (*job).answered)).To(BeNumerically(">=", 0.95), "its most urgent work is kept")
	g.Expect(part(keep(hot, ofRank(0)), (*job).isExcess)).To(BeNumerically("<", part(keep(hot, ofRank(2)), (*job).isExcess)))
	for _, w := range worlds {
		g.Expect(w.mostUsed("hot")).To(BeNumerically("<=", w.rates["hot"]*worldWindow.Seconds()))
	}

	// No rank, organisation or size is starved of what its quota admits.
	admitted := keep(all, func(j *job) bool { return j.admitted })
	served := part(admitted, (*job).answered)
	for rank, k := range kinds {
		ofKind := keep(admitted, ofRank(rank))
		share := part(ofKind, (*job).answered)
		largest := part(largestDecile(ofKind), (*job).answered)
		t.Logf("rank %d (%v): answered %.3f of admitted, of the largest tenth %.3f", rank, k.deadline, share, largest)
		g.Expect(share).To(BeNumerically(">=", served/4))
		g.Expect(largest).To(BeNumerically(">=", share/2))
	}
	// The load is one that needs fair sharing: without it, the others are crowded out.
	_, unshared, _ := hotWorlds(false)
	g.Expect(part(keep(keep(unshared, isOther), ofRank(0)), (*job).inTime)).To(BeNumerically("<", 0.9))

	for _, each := range worlds[0].organisations {
		own := keep(admitted, func(j *job) bool { return j.organisation.name == each.name })
		g.Expect(part(own, (*job).answered)).To(BeNumerically(">=", served/4), each.name)
	}
}
