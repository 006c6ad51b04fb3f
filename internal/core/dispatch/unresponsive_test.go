package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/dispatch"
)

// cellLoad simulates twelve entries and five servers of a plain service, each of which
// runs 6 requests at once and takes about 60 ms for one: 25 requests a second at each
// entry, two thirds of the capacity of the servers.
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
	cellEntries = 12
	// plainTimeout is the timeout of a request of the plain service.
	plainTimeout = 800 * time.Millisecond
	// hanging accepts requests, passes its health check and answers none.
	hanging = "t-02"
)

func newCellLoad() *cellLoad {
	c := &cellLoad{now: start, random: rand.New(rand.NewPCG(4, 4))}
	for i := range cellEntries {
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
				_, effects := c.entries[i].Submit(c.now, dispatch.Request{
					ID: fmt.Sprint(c.random.Int64()), Service: service, Class: "plain", Arrived: c.now, Expires: c.now.Add(plainTimeout),
				})
				c.addPending(i, effects, hangs)
			}
		}
		c.finishDue(hangs)
		if c.now.Sub(start)%(10*time.Millisecond) == 0 {
			c.report(hangs)
		}
	}
}

func (c *cellLoad) addPending(entry int, effects dispatch.Effects, hangs bool) {
	for _, g := range effects.Grants {
		answer := pendingAnswer{entry, c.now.Add(time.Duration(40+c.random.IntN(40)) * time.Millisecond), g.Ticket, dispatch.Report{Outcome: dispatch.Answered, Latency: 60 * time.Millisecond}}
		if hangs && g.Target.ID == hanging {
			answer.at, answer.report = c.now.Add(plainTimeout), dispatch.Report{Outcome: dispatch.TimedOut}
		}
		c.pending = append(c.pending, answer)
	}
}

func (c *cellLoad) finishDue(hangs bool) {
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
		c.addPending(p.entry, c.entries[p.entry].Done(c.now, p.ticket, p.report), hangs)
	}
	c.pending = append(c.pending, rest...)
}

func (c *cellLoad) report(hangs bool) {
	for i, from := range c.entries {
		load := from.OwnLoad(c.now)
		for j, to := range c.entries {
			if j != i {
				c.addPending(j, to.SetPeerLoad(c.now, fmt.Sprint(i), load), hangs)
			}
		}
	}
}

// One of five servers stops answering for seven seconds while it passes its health
// check. Each request sent there is lost. The entries that detect it report it to the
// others, and it gets a single request now and then until it answers again. Entries
// that each have to detect it on their own, again and again, lose 40.
func TestUnresponsiveTargetIsReportedToCell(t *testing.T) {
	g := NewWithT(t)
	c := newCellLoad()
	c.run(3*time.Second, false)
	c.run(7*time.Second, true)
	t.Logf("%d lost, %d answered", c.lost, c.answered)
	g.Expect(c.lost).To(BeNumerically("<", 30))
	g.Expect(c.answered).To(BeNumerically(">", 2700))
}

// A single entry whose own link loses packets reports many targets as unresponsive. The
// others go on using them.
func TestReportOfSingleEntryIsNotSufficient(t *testing.T) {
	g := NewWithT(t)
	c := newCellLoad()
	report := dispatch.Load{Unresponsive: map[string]time.Duration{hanging: time.Second}}
	c.entries[0].SetPeerLoad(c.now, "alone", report)
	seen := map[string]bool{}
	for i := range 5 {
		_, effects := c.entries[0].Submit(c.now, dispatch.Request{ID: fmt.Sprint(i), Service: service, Arrived: c.now, Expires: c.now.Add(plainTimeout)})
		seen[effects.Grants[0].Target.ID] = true
	}
	g.Expect(seen).To(HaveKey(hanging))
}
