package poolview_test

import (
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoretrail/internal/core/poolview"
)

var start = time.Unix(1000, 0)

// Guards against a rate that lags behind a burst or outlasts it by seconds.
func TestRateFollowsABurst(t *testing.T) {
	g := gomega.NewWithT(t)
	var m poolview.Meter
	now := start
	for range 600 {
		now = now.Add(10 * time.Millisecond)
		m.Add(now, 1, 0.05)
	}
	g.Expect(m.Rate(now)[1]).To(gomega.BeNumerically("~", 5, 0.5))
	g.Expect(m.Rate(now.Add(6 * time.Second)).Total()).To(gomega.BeNumerically("<", 0.5))
}

// Guards against a rate that grows when time seems to run backwards.
func TestRateIgnoresAnEarlierTime(t *testing.T) {
	g := gomega.NewWithT(t)
	var m poolview.Meter
	m.Add(start, 0, 1)
	before := m.Rate(start)
	g.Expect(m.Rate(start.Add(-time.Hour))).To(gomega.Equal(before))
}

// Guards against impossible figures of a faulty sender.
func TestImpossibleFiguresAreInvalid(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, bad := range []float64{-1, math.NaN(), math.Inf(1)} {
		g.Expect(poolview.Demand{Arriving: poolview.Work{0, bad}}.Valid()).To(gomega.BeFalse())
		g.Expect(poolview.Demand{Backlog: poolview.Work{bad}}.Valid()).To(gomega.BeFalse())
	}
	g.Expect(poolview.Demand{Arriving: poolview.Work{1, 2}}.Valid()).To(gomega.BeTrue())
}
