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

// scripted is a platform whose records have keys that name what they hold.
type scripted struct {
	Platform
	target        catalog.Target
	configuration func() *catalog.Configuration
	order         rollout.Order
}

func (s *scripted) DecodeTarget(feed.Record) (catalog.Target, error) { return s.target, nil }

func (s *scripted) DecodeConfiguration(r feed.Record) (*catalog.Configuration, error) {
	if r.Key != "configuration" {
		return nil, nil
	}
	return s.configuration(), nil
}

func (s *scripted) DecodeOrder(r feed.Record) (*rollout.Order, error) {
	if r.Key != "order" {
		return nil, nil
	}
	return &s.order, nil
}

func (s *scripted) Snapshot(feed.Topic) ([]feed.Record, feed.Position, error) {
	return nil, feed.Position{}, nil
}

// An entry starts in the midst of a roll-out and reads the servers before it reads the
// operators' orders. With the configuration it takes callers: if the order came into force
// a moment later, all of them could get the new version until then.
func TestOrdersAreInForceBeforeCallersAreTaken(t *testing.T) {
	w := NewWithT(t)
	platform := &scripted{
		target: catalog.Target{ID: "i-1", Service: "desk", Address: "127.0.0.1:9", Version: "v2", Slots: 4},
		order:  rollout.Order{ID: 5, Service: "desk", To: "v2", Duration: time.Minute},
	}
	g := New(settings.DefaultGateway(), platform, silentLogger(&bytes.Buffer{}))
	g.links = newLinks(g, nil)
	placed := false
	platform.configuration = func() *catalog.Configuration {
		g.state.mutex.Lock()
		defer g.state.mutex.Unlock()
		known, found := g.state.rollouts.services["desk"]
		placed = found && g.state.sched.HasRoom(time.Now(), known.tracker.NewPool())
		return nil
	}
	g.feeds.applyTargets(feed.Update{Topic: feed.Targets, Reset: true, Replicated: true, Records: []feed.Record{{Key: "i-1", Value: []byte("{}")}}})
	g.feeds.applyOperators(feed.Update{
		Topic: feed.Operators, Reset: true, Replicated: true, AsOf: time.Now(),
		Records: []feed.Record{{Key: "configuration", Value: []byte("{}")}, {Key: "order", Value: []byte("{}")}},
	})
	w.Expect(placed).To(BeTrue(), "the new version's server is in its own pool when the configuration is read")
}

// A line says that a server is known; a caller who comes after it and is told that there is
// none finds the log wrong. The line is written once the server is in use.
func TestTargetsLineFollowsItsUse(t *testing.T) {
	w := NewWithT(t)
	log := &bytes.Buffer{}
	platform := &scripted{target: catalog.Target{ID: "i-1", Service: "desk", Address: "127.0.0.1:9", Slots: 4}}
	g := New(settings.DefaultGateway(), platform, silentLogger(log))
	g.links = newLinks(g, nil)
	g.feeds.mutex.Lock()
	w.Expect(g.feeds.applyTarget(time.Now(), feed.Update{Topic: feed.Targets}, feed.Record{Key: "i-1", Value: []byte("{}")}, time.Time{})).To(BeTrue())
	w.Expect(g.feeds.unsaid).To(HaveLen(1))
	g.feeds.publish(time.Now())
	w.Expect(g.feeds.unsaid).To(BeEmpty())
	g.feeds.mutex.Unlock()
	g.log.Close(5 * time.Second)
	w.Expect(log.String()).To(ContainSubstring("i-1"))
}

func silentLogger(to *bytes.Buffer) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(to)
	return logger
}
