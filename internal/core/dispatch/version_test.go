package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/dispatch"
)

// versioned returns targets of which the first n run one version and the others another.
func versioned(n, others, slots int) []catalog.Target {
	list := targets(n+others, slots)
	for i := range list {
		list[i].Version = "other"
		if i < n {
			list[i].Version = "bound"
		}
	}
	return list
}

func bound(id string) dispatch.Request {
	request, version := ask(id), "bound"
	request.Version = &version
	return request
}

// Guards against a bound request at a target of another version, also where only those are free.
func TestBoundRequestWaitsForItsVersion(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(versioned(1, 3, 2))
	var running []*dispatch.Ticket
	for i := range 2 {
		ticket, effects := s.Submit(start, bound(fmt.Sprint(i)))
		g.Expect(effects.Grants).To(HaveLen(1))
		g.Expect(effects.Grants[0].Target.Version).To(Equal("bound"))
		running = append(running, ticket)
	}
	_, effects := s.Submit(start, bound("waits"))
	g.Expect(effects.Grants).To(BeEmpty())
	_, effects = s.Submit(start, ask("any version"))
	g.Expect(effects.Grants).To(HaveLen(1))
	effects = s.Done(start, running[0], dispatch.Report{Outcome: dispatch.Answered})
	g.Expect(effects.Grants).To(HaveLen(1))
	g.Expect(effects.Grants[0].Ticket.ID).To(Equal("waits"))
}

// Guards against a bound request being held until it expires where its version is gone.
func TestBoundRequestWithoutItsVersionIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	list := versioned(1, 3, 2)
	list[0].Leaving = true
	s := newScheduler(list)
	_, effects := s.Submit(start, bound("r"))
	g.Expect(effects.Refusals).To(HaveLen(1))
	g.Expect(effects.Refusals[0].Reason).To(Equal(dispatch.ReasonNoVersion))
	g.Expect(effects.Refusals[0].RetryAfter).To(BeNumerically(">=", dispatch.MinRetryAfter))
}

// Guards against a bound request going to the version that a roll-out moves its service to.
func TestRedirectLeavesBoundRequests(t *testing.T) {
	g := NewWithT(t)
	list := versioned(1, 1, 1)
	list[1].Service = "new"
	s := newScheduler(list)
	for _, id := range []string{"runs", "waits"} {
		s.Submit(start, bound(id))
	}
	effects := s.Redirect(start, service, "new")
	g.Expect(effects.Grants).To(BeEmpty())
	g.Expect(s.Waiting()).To(Equal(1))
}

// Guards against a bound request being refused in a cell that has no target of its version, and against
// other requests using the targets of other cells.
func TestBoundRequestUsesItsVersionInOtherCells(t *testing.T) {
	g := NewWithT(t)
	const cells, perCell = 2, 4
	for version := range cells * perCell {
		list := targets(cells*perCell, 1)
		for i := range list {
			list[i].Version = "other"
		}
		list[version].Version = "bound"
		for cell := range cells {
			s := newScheduler(list)
			s.SetEntries(cells * dispatch.CellEntries)
			s.SetCell(start, cell, cells)
			_, effects := s.Submit(start, bound("r"))
			g.Expect(effects.Grants).To(HaveLen(1), "target %d, cell %d", version, cell)
			g.Expect(effects.Grants[0].Target.Version).To(Equal("bound"))
			granted := len(effects.Grants)
			for i := range cells * perCell {
				_, effects = s.Submit(start.Add(time.Millisecond), ask(fmt.Sprint(i)))
				granted += len(effects.Grants)
			}
			g.Expect(granted).To(BeNumerically("<=", perCell+1))
		}
	}
}
