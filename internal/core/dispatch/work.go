package dispatch

import (
	"math"
	"time"
)

// Work is the size of a request, as far as its caller declares it. Zero
// fields are undeclared.
type Work struct {
	// Prompt is the number of tokens to read, Output the expected number to generate.
	Prompt, Output int
}

// class holds the measurements of requests of a class, scaled to a target of mean speed.
type class struct {
	// hold is the mean time that a request occupies a slot, in ns.
	hold mean
	// rank is the rank of its route, hasObjective means that its route has an objective.
	rank         int
	hasObjective bool
}

// rates are the times per token at a target of mean speed, in ns.
type rates struct{ prompt, output mean }

func (p *pool) class(name string) *class {
	c, found := p.classes[name]
	if !found {
		c = &class{}
		p.classes[name] = c
	}
	return c
}

// learn updates the pool with the measurements of a complete answer.
func (p *pool) learn(ticket *Ticket, at *target, held time.Duration, report Report) {
	if report.Outcome != Answered {
		return
	}
	slowness := at.slowness()
	c := p.class(ticket.Class)
	c.hold.add(float64(held) / slowness)
	c.rank = ticket.Rank
	if len(ticket.Tried) == 0 {
		// A resumed stream has no objective for its beginning.
		c.hasObjective = !ticket.Objective.IsZero()
	}
	if report.Rest > 0 && ticket.Work.Output > 0 {
		p.rates.output.add(float64(report.Rest) / slowness / float64(ticket.Work.Output))
	}
}

// timeToFirst estimates the time to the first event at a target of mean speed.
func (p *pool) timeToFirst(work Work) time.Duration {
	if work.Prompt == 0 || p.rates.prompt.samples == 0 {
		return 0
	}
	return time.Duration(float64(work.Prompt+PromptOverhead) * p.rates.prompt.value)
}

// expected estimates the total time at a target of mean speed.
func (p *pool) expected(ticket *Ticket) time.Duration {
	work := ticket.Work
	if work.Output > 0 && p.rates.output.samples > 0 {
		return p.timeToFirst(work) + time.Duration(float64(work.Output)*p.rates.output.value)
	}
	if c := p.class(ticket.Class); c.hold.samples > 0 {
		return time.Duration(c.hold.value)
	}
	return defaultHold
}

// mostUrgentRank returns the most urgent rank among the classes with answered requests.
func (p *pool) mostUrgentRank() int {
	lowest := math.MaxInt
	for _, c := range p.classes {
		if c.hold.samples > 0 {
			lowest = min(lowest, c.rank)
		}
	}
	return lowest
}
