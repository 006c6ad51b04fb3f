package faults

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/alitto/pond/v2"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/operators/api"
	"sycamoretrail/internal/replay/report"
)

// outageDuration is the duration of the outage of the log.
const outageDuration = 20 * time.Second

func logDown() Failure {
	return Failure{
		Name: "log-down", Load: 0.5, Seconds: 32,
		About: "the log is out for 20 s: keyed calls that may not be repeated are refused, all else goes on",
		play: func(p *play) error {
			p.sleepUntil(4 * time.Second)
			p.begin("log out")
			if _, err := p.order(logStandin, `{"outage":true}`); err != nil {
				return err
			}
			p.result.DetectedMS = p.await("every entry says that the log is out", p.begun, 10*time.Second, p.logSeen(false))
			if err := p.publishInOutage(); err != nil {
				return err
			}
			time.Sleep(time.Until(p.begun.Add(outageDuration)))
			p.heal("log back")
			if _, err := p.order(logStandin, `{"outage":false}`); err != nil {
				return err
			}
			p.result.RestoredMS = p.await("every entry reads the log", p.healed, 10*time.Second, p.logSeen(true))
			return nil
		},
		judge: judgeLogDown,
	}
}

func (p *play) logSeen(available bool) func() bool {
	return func() bool {
		return p.everyStatus(p.entriesExcept(), func(s *api.Status) bool { return s.LogAvailable == available })
	}
}

// publishInOutage checks that a document published in the outage is reported as
// not published.
func (p *play) publishInOutage() error {
	doc, version, err := p.current()
	if err != nil {
		return err
	}
	doc.Base, doc.ID = version, "in-outage"
	said, err := p.publish(&p.entries[0], doc)
	if err != nil {
		return err
	}
	p.require(said.Result == api.ResultNotPublished, "a document published in the outage was %s", said.Result)
	return nil
}

// logMargin excludes calls near both ends of the outage: a claim may be in progress
// when it begins, and a call that waits when it ends may still be claimed.
const logMargin = 1500 * time.Millisecond

func judgeLogDown(p *play) {
	from, to := p.at(p.begun)+logMargin, p.at(p.healed)-logMargin
	sent := func(c *report.Call) bool { return c.Sent >= from && c.Ended <= to }
	var waits []time.Duration
	refused := 0
	for _, c := range p.calls(func(c *report.Call) bool { return sent(c) && c.Key != "" && !c.Idempotent }) {
		p.require(p.refusedInOutage(c), "keyed call %s was not refused in the outage: %s", c.ID, got(c))
		p.require(c.Status.RetryAfter > 0, "keyed call %s was refused with no advice when to come back", c.ID)
		refused++
		waits = append(waits, c.Ended-c.Sent)
	}
	p.require(refused > 0, "no keyed call was sent in the outage, so nothing was tried")
	if refused > 0 {
		slices.Sort(waits)
		p.fact("keyed calls refused", float64(refused), "")
		p.fact("their wait p50", waits[refused/2].Seconds(), "s")
		p.fact("longest", waits[refused-1].Seconds(), "s")
	}
	others, good := 0, 0
	for _, c := range p.calls(func(c *report.Call) bool { return sent(c) && (c.Key == "" || c.Idempotent) }) {
		others++
		if c.Good() {
			good++
		}
	}
	share := float64(good) / float64(max(others, 1))
	p.require(share >= othersShare, "of the calls without a key only %.3f were answered in time in the outage", share)
	p.fact("goodput of all others", share, "")
	p.judgeClaimsBack()
}

// refusedInOutage reports whether the outcome of a keyed call is correct in an
// outage. A first attempt has not run, since nothing could be claimed. If a caller
// repeats a key, an earlier attempt may have run, which cannot be checked without
// the log, so "unknown" is correct as well.
func (p *play) refusedInOutage(c *report.Call) bool {
	repeated := p.line(c).Resend != nil
	return c.Status.Outcome == outcome.NotRun || repeated && c.Status.Outcome == outcome.Unknown
}

// othersShare is the minimum share of calls without a claim to be answered in time.
const othersShare = 0.98

// judgeClaimsBack checks that keyed calls are answered again after the outage, and
// records when.
func (p *play) judgeClaimsBack() {
	keyed := p.calls(func(c *report.Call) bool { return c.Sent > p.at(p.healed) && c.Key != "" && !c.Idempotent })
	back := time.Duration(-1)
	for _, c := range keyed {
		if c.Answered() && (back < 0 || c.Ended < back) {
			back = c.Ended
		}
	}
	p.require(back >= 0, "no keyed call was answered after the outage")
	if back >= 0 {
		p.fact("first keyed call answered after", (back - p.at(p.healed)).Seconds(), "s")
	}
}

// current returns the document in force and its version.
func (s *Stage) current() (*document.Document, int64, error) {
	answer, err := s.publisher.Document()
	if err != nil {
		return nil, 0, fmt.Errorf("%w: %w", ErrStage, err)
	}
	doc := &document.Document{}
	if err := json.Unmarshal(answer.Data, doc); err != nil {
		return nil, 0, fmt.Errorf("%w: document in force: %w", ErrStage, err)
	}
	return doc, answer.Version, nil
}

// publish publishes a document at one entry.
func (s *Stage) publish(e *instance, doc *document.Document) (api.Published, error) {
	data, err := document.Encode(doc)
	if err != nil {
		return api.Published{}, err
	}
	return s.publisher.At(e.operators).Publish(doc.ID, data)
}

const (
	// races is the number of times that two operators publish at the same time.
	races = 6
	// inForceLimit is the maximum time until a document is in force at every entry.
	inForceLimit = 5 * time.Second
)

func twoOperators() Failure {
	return Failure{
		Name: "two-operators", Load: 0.5, Seconds: 12,
		About: "two operators publish on the same version at the same moment, six times",
		play: func(p *play) error {
			p.sleepUntil(3 * time.Second)
			p.begin("first race")
			slowest := 0.0
			for n := range races {
				took, err := p.race(n)
				if err != nil {
					return err
				}
				slowest = max(slowest, took)
			}
			p.result.DetectedMS = &slowest
			p.fact("races", races, "")
			return nil
		},
	}
}

// race publishes two documents at two entries at the same time and returns the time
// in ms until one of them was in force at every entry.
func (p *play) race(n int) (float64, error) {
	doc, version, err := p.current()
	if err != nil {
		return 0, err
	}
	from := time.Now()
	said := make([]api.Published, 2)
	faults := make([]error, 2)
	pool := pond.NewPool(len(said))
	for i := range said {
		own := *doc
		own.Base, own.ID, own.Comment = version, fmt.Sprintf("race-%d-%d", n, i), fmt.Sprintf("operator %d", i)
		pool.Submit(func() { said[i], faults[i] = p.publish(&p.entries[(n+i)%len(p.entries)], &own) })
	}
	pool.StopAndWait()
	for _, err := range faults {
		if err != nil {
			return 0, err
		}
	}
	winner, loser := &said[0], &said[1]
	if winner.Result != api.ResultAccepted {
		winner, loser = loser, winner
	}
	p.require(winner.Result == api.ResultAccepted && loser.Result == api.ResultSuperseded,
		"race %d: the operators were told %s and %s", n, said[0].Result, said[1].Result)
	p.require(loser.Winner == winner.ID && loser.WinnerVersion == winner.Version,
		"race %d: %s beat %s as version %d, but the loser was told %q, version %d", n, winner.ID, loser.ID, winner.Version, loser.Winner, loser.WinnerVersion)
	took := p.await(fmt.Sprintf("version %d is in force at every entry", winner.Version), from, inForceLimit, func() bool {
		return p.everyStatus(p.entriesExcept(), func(s *api.Status) bool {
			return s.Version == winner.Version && s.DocumentID == winner.ID
		})
	})
	if took == nil {
		return 0, nil
	}
	return *took, nil
}
