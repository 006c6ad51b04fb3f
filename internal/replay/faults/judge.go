package faults

import (
	"time"

	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/replay/report"
)

// judge checks the guarantees that hold in every failure, then those specific to
// this one.
func (p *play) judge() {
	r := p.result
	r.Report = report.Compute(p.in)
	p.checkGuarantees()
	if p.failure.judge != nil {
		p.failure.judge(p)
	}
	p.countCallers()
	p.listNotGood()
	r.Before = p.goodput(func(c *report.Call) bool { return c.Ended <= p.at(p.begun) })
	r.During = p.goodput(p.duringFailure)
	r.After = p.goodput(func(c *report.Call) bool { return c.Sent >= p.at(p.over) })
	if took, recovered := p.recovery(); recovered {
		ms := milliseconds(took)
		r.RecoveredMS = &ms
	} else {
		p.problem("the top tier's goodput is below that of before until the end of the load")
	}
	r.Pass = len(r.Problems) == 0
}

// checkGuarantees checks the guarantees that hold in every failure.
func (p *play) checkGuarantees() {
	r := p.result.Report
	for _, count := range []struct {
		name  string
		value int
	}{
		{"unanswered", r.Unanswered}, {"incomplete_answers", r.IncompleteAnswers},
		{"dispatched_twice", r.DispatchedTwice}, {"non_idempotent_ran_twice", r.NonIdempotentRanTwice},
		{"false_not_run", r.FalseNotRun}, {"tier_inversions", r.TierInversions},
	} {
		p.require(count.value == 0, "%s: %d: %v", count.name, count.value, r.Violations[count.name])
	}
	p.require(len(r.LostLedgers) == 0, "ledgers not read: %v", r.LostLedgers)
	if !p.failure.kills {
		misled := p.calls(func(c *report.Call) bool { return c.Status.Reason == outcome.ReasonTargetFailed })
		p.require(len(misled) == 0, "%d callers were told that their target failed, and none did", len(misled))
	}
	for _, what := range p.versions.reverted {
		p.problem("%s", what)
	}
}

// duringFailure reports whether the call was in flight during the failure.
func (p *play) duringFailure(c *report.Call) bool {
	return c.Ended > p.at(p.begun) && c.Sent < p.at(p.over)
}

func (p *play) countCallers() {
	p.result.Callers = map[string]int{}
	for _, c := range p.calls(p.duringFailure) {
		p.result.Callers[got(c)]++
	}
	for i := range p.in.Calls {
		if p.in.Calls[i].Attached > 0 {
			p.result.AttachedAgain++
		}
	}
}

func (p *play) listNotGood() {
	for _, c := range p.calls(func(c *report.Call) bool { return !c.Good() }) {
		call := Call{
			ID: c.ID, Tier: p.in.Tiers[c.Tier], Pool: c.Pool, SentMS: milliseconds(c.Sent), EndedMS: milliseconds(c.Ended),
			Got: got(c), Detail: c.Status.Detail, Asked: c.Asked,
		}
		if run := p.runs[c.ID]; run != nil {
			call.Target = run.Target
		}
		p.result.NotGood = append(p.result.NotGood, call)
	}
}

// got describes what a caller received: the outcome, and the reason if any.
func got(c *report.Call) string {
	switch {
	case !c.Settled:
		return "unanswered"
	case c.Fault != "":
		return "incomplete"
	case c.Status.Reason != outcome.ReasonNone:
		return string(c.Status.Outcome) + "/" + string(c.Status.Reason)
	case !c.Good():
		return "answered late"
	}
	return string(c.Status.Outcome)
}

func (p *play) goodput(wanted func(*report.Call) bool) Goodput {
	sent, good := map[request.Tier]int{}, map[request.Tier]int{}
	for _, c := range p.calls(wanted) {
		sent[c.Tier]++
		if c.Good() {
			good[c.Tier]++
		}
	}
	g := Goodput{}
	for rank, name := range p.in.Tiers {
		if tier := request.Tier(rank); sent[tier] > 0 {
			g[name] = float64(good[tier]) / float64(sent[tier])
		}
	}
	return g
}

const (
	// recoveryInterval is the interval of send times over which the goodput of the
	// top tier is computed to find its recovery.
	recoveryInterval = 500 * time.Millisecond
	// recoveryShare is the share of the goodput before the failure that counts as
	// recovered. An interval has about twenty calls, of which one may fail for
	// another reason.
	recoveryShare = 0.93
	// recoveryCalls is the minimum number of calls for which an interval counts.
	recoveryCalls = 10
)

// recovery returns the time from the begin of the failure to the end of the last
// interval in which the goodput of the top tier was too low, and false if it still
// was at the end.
func (p *play) recovery() (time.Duration, bool) {
	var calls []*report.Call
	for i := range p.in.Calls {
		if c := &p.in.Calls[i]; c.Tier == 0 {
			calls = append(calls, c)
		}
	}
	return recovery(calls, p.at(p.begun))
}

func recovery(calls []*report.Call, begun time.Duration) (time.Duration, bool) {
	type interval struct{ sent, good int }
	before := interval{}
	var after []interval
	for _, c := range calls {
		good := 0
		if c.Good() {
			good = 1
		}
		if c.Ended <= begun {
			before.sent++
			before.good += good
			continue
		}
		// Calls in flight when the failure began count in the first interval.
		n := int(max(c.Sent-begun, 0) / recoveryInterval)
		for len(after) <= n {
			after = append(after, interval{})
		}
		after[n].sent++
		after[n].good += good
	}
	usual := 1.0
	if before.sent > 0 {
		usual = float64(before.good) / float64(before.sent)
	}
	last := -1
	for n, i := range after {
		if i.sent >= recoveryCalls && float64(i.good)/float64(i.sent) < usual*recoveryShare {
			last = n
		}
	}
	for len(after) > 0 && after[len(after)-1].sent < recoveryCalls {
		after = after[:len(after)-1]
	}
	return time.Duration(last+1) * recoveryInterval, last < 0 || last < len(after)-1
}
