package scheduler

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/request"
)

func TestScheduler(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "scheduler")
}

// cluster is a set of schedulers that exchange floor messages without delay,
// unless the link between them is partitioned. A script has one step per line:
//
//	<scheduler> <verb> <words> => <messages to owners>; ...
//	wait <duration> => ...
//	cut <a> <b>
type cluster struct {
	now         time.Time
	names       []ident.Incarnation
	schedulers  map[ident.Incarnation]*Scheduler
	partitioned map[ident.Incarnation]bool
	asks        uint64
	sent        []string
	floorAsks   int
}

func testSettings() Settings {
	return Settings{
		QueuePerTarget: 2, GrantTime: 100 * time.Millisecond, FloorTime: 400 * time.Millisecond, FailureTimeout: 300 * time.Millisecond,
		RefuseEarly: true, Preempt: true, ShortPromptTokens: 500, ShortShare: 0.5,
		RetryMin: 50 * time.Millisecond, RetryMax: 5 * time.Second, Tiers: 4,
	}
}

// newCluster starts one scheduler for each description "name: target/slots ...".
// All targets are in one pool, and their takeovers are complete.
func newCluster(set Settings, descriptions ...string) *cluster {
	c := &cluster{now: time.Unix(1e6, 0), schedulers: map[ident.Incarnation]*Scheduler{}, partitioned: map[ident.Incarnation]bool{}}
	for _, d := range descriptions {
		name, _, _ := strings.Cut(d, ":")
		c.names = append(c.names, ident.Incarnation(name))
	}
	for i, d := range descriptions {
		_, targets, _ := strings.Cut(d, ":")
		s := New(c.names[i], uint64(i), nil)
		s.Configure(c.now, set)
		s.SetPool("p", c.names)
		s.SetTargets(c.now, parseTargets(targets))
		c.schedulers[c.names[i]] = s
	}
	c.wait(set.FailureTimeout + set.FloorTime)
	return c
}

func parseTargets(text string) []Target {
	var list []Target
	for _, word := range strings.Fields(text) {
		name, slots, _ := strings.Cut(word, "/")
		n, err := strconv.Atoi(slots)
		Expect(err).NotTo(HaveOccurred())
		list = append(list, Target{Name: name, Pool: "p", MaxInFlight: n, PrefillRate: 1000, StepTime: 10 * time.Millisecond})
	}
	return list
}

func (c *cluster) run(script string) {
	GinkgoHelper()
	for _, line := range strings.Split(strings.TrimSpace(script), "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		step, want, checked := strings.Cut(line, "=>")
		c.sent = nil
		c.step(strings.Fields(step))
		if checked {
			Expect(strings.Join(c.sent, "; ")).To(Equal(strings.TrimSpace(want)), line)
		}
	}
}

func (c *cluster) step(words []string) {
	switch words[0] {
	case "wait":
		c.wait(duration(words[1]))
	case "cut":
		c.partitioned[ident.Incarnation(words[1]+words[2])] = true
		c.partitioned[ident.Incarnation(words[2]+words[1])] = true
	default:
		name := ident.Incarnation(words[0])
		c.deliver(name, c.act(c.schedulers[name], words[1], words[2:]))
	}
}

func duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	Expect(err).NotTo(HaveOccurred())
	return d
}

// wait advances the time in ticks of 20 ms, without refreshes by the owners of
// waiting offers.
func (c *cluster) wait(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = earliest(end, c.now.Add(20*time.Millisecond))
		for _, name := range c.names {
			c.deliver(name, c.schedulers[name].Tick(c.now))
		}
	}
}

func (c *cluster) act(s *Scheduler, verb string, words []string) []Effect {
	switch verb {
	case "offer":
		o := c.offer(words)
		return s.Offer(c.now, owner(words), o)
	case "running":
		o := c.offer(words)
		one := message.Run{Offer: o, Started: has(words, "started")}
		return s.Running(c.now, owner(words), message.Running{Full: has(words, "full"), Runs: []message.Run{one}})
	case "idle":
		return s.Running(c.now, owner(words), message.Running{Full: true})
	case "done":
		d := message.Done{ID: ident.RequestID(words[0]), Target: words[1]}
		if has(words, "leaving") {
			d.Result = message.ResultLeaving
		}
		return s.Done(c.now, owner(words), d)
	case "withdraw":
		return s.Withdraw(c.now, owner(words), message.Withdraw{ID: ident.RequestID(words[0]), Target: words[1]})
	case "gone":
		return s.PeerTerminated(c.now, ident.Incarnation(words[0]))
	case "targets":
		return s.SetTargets(c.now, parseTargets(strings.Join(words, " ")))
	case "leaving":
		return s.SetAvailable(c.now, words[0], false)
	case "quorum":
		s.SetQuorum(c.now, words[0] == "yes")
		return nil
	}
	Fail("unknown step " + verb)
	return nil
}

// offer builds an offer from words: id target [tier=n] [prompt=n] [for=d]
// [first=d] [org=x] [final] [once] [alone].
func (c *cluster) offer(words []string) message.Offer {
	c.asks++
	return message.Offer{
		Seq: c.asks, ID: ident.RequestID(words[0]), Target: words[1],
		Organisation: value(words, "org", "x"),
		Tier:         request.Tier(number(words, "tier", 0)),
		PromptTokens: number(words, "prompt", 100),
		MaxTokens:    10,
		Idempotent:   !has(words, "once"),
		Final:        has(words, "final"),
		Isolated:     has(words, "alone"),
		Remaining:    duration(value(words, "for", "20s")),
		FirstToken:   duration(value(words, "first", "0s")),
	}
}

func owner(words []string) ident.Incarnation { return ident.Incarnation(value(words, "from", "o1")) }

func has(words []string, word string) bool {
	for _, w := range words {
		if w == word {
			return true
		}
	}
	return false
}

func value(words []string, key, otherwise string) string {
	for _, w := range words {
		if v, found := strings.CutPrefix(w, key+"="); found {
			return v
		}
	}
	return otherwise
}

func number(words []string, key string, otherwise int) int {
	n, err := strconv.Atoi(value(words, key, strconv.Itoa(otherwise)))
	Expect(err).NotTo(HaveOccurred())
	return n
}

// deliver passes floor messages on in order, and records the messages to owners.
func (c *cluster) deliver(from ident.Incarnation, effects []Effect) {
	type sent struct {
		from ident.Incarnation
		Effect
	}
	var wire []sent
	post := func(from ident.Incarnation, effects []Effect) {
		for _, e := range effects {
			wire = append(wire, sent{from, e})
		}
	}
	for post(from, effects); len(wire) > 0; wire = wire[1:] {
		e := wire[0]
		if c.partitioned[e.from+e.To] {
			continue
		}
		switch m := e.Message.(type) {
		case message.FloorRequest:
			c.floorAsks++
			post(e.To, c.schedulers[e.To].FloorAsk(c.now, e.from, m))
		case message.FloorReply:
			post(e.To, c.schedulers[e.To].FloorReply(c.now, e.from, m))
		default:
			c.sent = append(c.sent, describe(m))
		}
	}
}

func describe(m message.Message) string {
	switch m := m.(type) {
	case message.Grant:
		return fmt.Sprintf("grant %s", m.ID)
	case message.Queued:
		return fmt.Sprintf("queued %s", m.ID)
	case message.Preempt:
		return fmt.Sprintf("preempt %s", m.ID)
	case message.Refuse:
		text := fmt.Sprintf("refuse %s %s", m.ID, m.Reason)
		if m.PoolWide {
			text += " settled"
		}
		if m.Alternative != "" {
			text += " try " + m.Alternative
		}
		return text
	}
	return fmt.Sprintf("%T", m)
}
