package gateway

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/rollout"
	"sycamoretrail/internal/feed"
	"sycamoretrail/internal/settings"
)

// fakePlatform is a platform whose records have keys that name what they contain.
type fakePlatform struct {
	Platform
	target        catalog.Target
	configuration func() *catalog.Configuration
	order         rollout.Order
}

func (s *fakePlatform) DecodeTarget(feed.Record) (catalog.Target, error) { return s.target, nil }

func (s *fakePlatform) DecodeConfiguration(r feed.Record) (*catalog.Configuration, error) {
	if r.Key != "configuration" {
		return nil, nil
	}
	return s.configuration(), nil
}

func (s *fakePlatform) DecodeOrder(r feed.Record) (*rollout.Order, error) {
	if r.Key != "order" {
		return nil, nil
	}
	return &s.order, nil
}

func (s *fakePlatform) Snapshot(feed.Topic) ([]feed.Record, feed.Position, error) {
	return nil, feed.Position{}, nil
}

// An entry starts during a roll-out and reads the registry of servers before it reads the
// operators' orders. With the configuration it begins to accept requests: if the order came
// into force only afterwards, all of them could go to the new version until then.
func TestOrdersAreInForceBeforeRequestsAreAccepted(t *testing.T) {
	w := NewWithT(t)
	platform := &fakePlatform{
		target: catalog.Target{ID: "i-1", Service: "desk", Address: "127.0.0.1:9", Version: "v2", Slots: 4},
		order:  rollout.Order{ID: 5, Service: "desk", To: "v2", Duration: time.Minute},
	}
	g := New(settings.DefaultGateway(), platform, loggerTo(&bytes.Buffer{}))
	g.links = newLinks(g, nil)
	assigned := false
	platform.configuration = func() *catalog.Configuration {
		g.state.mutex.Lock()
		defer g.state.mutex.Unlock()
		known, found := g.state.rollouts.services["desk"]
		assigned = found && g.state.sched.HasFreeSlot(time.Now(), known.tracker.NewVersionPool())
		return nil
	}
	g.feeds.applyTargets(feed.Update{Topic: feed.Targets, Reset: true, Replicated: true, Records: []feed.Record{{Key: "i-1", Value: []byte("{}")}}})
	g.feeds.applyOperators(feed.Update{
		Topic: feed.Operators, Reset: true, Replicated: true, AsOf: time.Now(),
		Records: []feed.Record{{Key: "configuration", Value: []byte("{}")}, {Key: "order", Value: []byte("{}")}},
	})
	w.Expect(assigned).To(BeTrue(), "the new version's server is in its own pool when the configuration is read")
}

// A log line reports that a server is registered. If requests were still refused for lack of a
// target after that line, the log would be misleading, so the line is written once the server
// is in use.
func TestTargetIsLoggedOnceInUse(t *testing.T) {
	w := NewWithT(t)
	log := &bytes.Buffer{}
	platform := &fakePlatform{target: catalog.Target{ID: "i-1", Service: "desk", Address: "127.0.0.1:9", Slots: 4}}
	g := New(settings.DefaultGateway(), platform, loggerTo(log))
	g.links = newLinks(g, nil)
	g.feeds.mutex.Lock()
	w.Expect(g.feeds.applyTarget(time.Now(), feed.Update{Topic: feed.Targets}, feed.Record{Key: "i-1", Value: []byte("{}")}, time.Time{})).To(BeTrue())
	w.Expect(g.feeds.pendingLines).To(HaveLen(1))
	g.feeds.publish(time.Now())
	w.Expect(g.feeds.pendingLines).To(BeEmpty())
	g.feeds.mutex.Unlock()
	g.log.Close(5 * time.Second)
	w.Expect(log.String()).To(ContainSubstring("i-1"))
}

func loggerTo(to *bytes.Buffer) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(to)
	return logger
}
