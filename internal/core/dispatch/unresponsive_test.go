package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/dispatch"
)

// cellLoad is what twelve entries send to five servers of a plain service, each of
// which takes 6 requests at once and some 60 ms for one: 25 requests a second at each
// entry, two thirds of what the servers can do.
type cellLoad struct {
	now      time.Time
	random   *rand.Rand
	entries  []*dispatch.Scheduler
	pending  []pendingAnswer
	lost     int
	answered int
}

type pendingAnswer struct {
	entry  int
	at     time.Time
	ticket *dispatch.Ticket
	report dispatch.Report
}

const (
	cellMembers = 12
	// patience is how long a request of the plain service is waited for.
	patience = 800 * time.Millisecond
	// hanging takes requests, passes its health check and answers none.
	hanging = "t-02"
)

func newCellLoad() *cellLoad {
	c := &cellLoad{now: start, random: rand.New(rand.NewPCG(4, 4))}
	for i := range cellMembers {
		s := dispatch.New(dispatch.Config{Name: fmt.Sprint(i), Zone: "a"})
		s.SetTargets(start, targets(5, 6))
		c.entries = append(c.entries, s)
	}
	return c
}

func (c *cellLoad) run(length time.Duration, hangs bool) {
	for end := c.now.Add(length); c.now.Before(end); c.now = c.now.Add(time.Millisecond) {
		for i := range c.entries {
			if c.random.Float64() < 0.025 {
				_, effects := c.entries[i].Submit(c.now, dispatch.Ask{
					ID: fmt.Sprint(c.random.Int64()), Service: service, Class: "plain", Arrived: c.now, Expires: c.now.Add(patience),
				})
				c.sent(i, effects, hangs)
			}
		}
		c.settle(hangs)
		if c.now.Sub(start)%(10*time.Millisecond) == 0 {
			c.tell(hangs)
		}
	}
}

func (c *cellLoad) sent(entry int, effects dispatch.Effects, hangs bool) {
	for _, g := range effects.Grants {
		answer := pendingAnswer{entry, c.now.Add(time.Duration(40+c.random.IntN(40)) * time.Millisecond), g.Ticket, dispatch.Report{Outcome: dispatch.Answered, Latency: 60 * time.Millisecond}}
		if hangs && g.Target.ID == hanging {
			answer.at, answer.report = c.now.Add(patience), dispatch.Report{Outcome: dispatch.TimedOut}
		}
		c.pending = append(c.pending, answer)
	}
}

func (c *cellLoad) settle(hangs bool) {
	var rest []pendingAnswer
	due := c.pending
	c.pending = nil
	for _, p := range due {
		if c.now.Before(p.at) {
			rest = append(rest, p)
			continue
		}
		if p.report.Outcome == dispatch.TimedOut {
			c.lost++
		} else {
			c.answered++
		}
		c.sent(p.entry, c.entries[p.entry].Done(c.now, p.ticket, p.report), hangs)
	}
	c.pending = append(c.pending, rest...)
}

func (c *cellLoad) tell(hangs bool) {
	for i, from := range c.entries {
		load := from.OwnLoad(c.now)
		for j, to := range c.entries {
			if j != i {
				c.sent(j, to.PeerLoad(c.now, fmt.Sprint(i), load), hangs)
			}
		}
	}
}

// One of five servers stops answering for seven seconds while its health check goes
// on. Each request that it gets is lost. The entries that have seen it tell the
// others, and it gets no more than a request now and then until it answers again;
// each finding out alone, again and again, they lose 40.
func TestSilentTargetIsToldToTheCell(t *testing.T) {
	g := NewWithT(t)
	c := newCellLoad()
	c.run(3*time.Second, false)
	c.run(7*time.Second, true)
	t.Logf("%d lost, %d answered", c.lost, c.answered)
	g.Expect(c.lost).To(BeNumerically("<", 30))
	g.Expect(c.answered).To(BeNumerically(">", 2700))
}

// A single entry whose own link loses packets sees many targets time out. The others,
// which hear it tell so, go on using them.
func TestOneEntrysTroubleIsNotBelieved(t *testing.T) {
	g := NewWithT(t)
	c := newCellLoad()
	told := dispatch.Load{Unresponsive: map[string]time.Duration{hanging: time.Second}}
	c.entries[0].PeerLoad(c.now, "alone", told)
	seen := map[string]bool{}
	for i := range 5 {
		_, effects := c.entries[0].Submit(c.now, dispatch.Ask{ID: fmt.Sprint(i), Service: service, Arrived: c.now, Expires: c.now.Add(patience)})
		seen[effects.Grants[0].Target.ID] = true
	}
	g.Expect(seen).To(HaveKey(hanging))
}
