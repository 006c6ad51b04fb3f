package gateway

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/feed"
	"sycamoretrail/internal/settings"
)

// rejectingPlatform counts the attempts to register, all of which the store rejects.
type rejectingPlatform struct {
	fakePlatform
	attempts int
}

func (p *rejectingPlatform) Put(feed.Topic, ...feed.Record) error {
	p.attempts++
	return errors.New("rejected")
}

// Guards against a start of a thousand entries that keeps the store overloaded for good: all
// together may attempt as many registrations as it executes, 250 a second.
func TestRejectedRegistrationsDoNotOverloadTheStore(t *testing.T) {
	const entries, seconds, executedPerSecond = 985, 60, 250
	synctest.Test(t, func(t *testing.T) {
		w := NewWithT(t)
		platform := &rejectingPlatform{}
		g := New(settings.DefaultGateway(), platform, loggerTo(&bytes.Buffer{}))
		ctx, stop := context.WithCancel(context.Background())
		go g.feeds.followEntries(ctx)
		time.Sleep(seconds * time.Second)
		stop()
		time.Sleep(seconds * time.Second)
		g.log.Close(time.Second)
		w.Expect(g.metrics.Close()).To(Succeed())
		w.Expect(platform.attempts).To(BeNumerically(">", 1))
		w.Expect(platform.attempts * entries).To(BeNumerically("<=", executedPerSecond*seconds))
	})
}
