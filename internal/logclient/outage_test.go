package logclient

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"sycamoretrail/internal/core/entry"
)

// quiet is a logger whose lines nobody reads.
func quiet() logrus.FieldLogger {
	logger, _ := test.NewNullLogger()
	return logger
}

func lines(hook *test.Hook) []string {
	var messages []string
	for _, line := range hook.AllEntries() {
		messages = append(messages, line.Level.String()+": "+line.Message)
	}
	return messages
}

const (
	outLine  = "warning: log cannot be read; calls with an idempotency key that may not be repeated are refused"
	backLine = "info: log can be read again"
)

var _ = Describe("the operators' view of an outage", func() {
	// The log goes out for two streams and comes back for one after the other. The
	// operator reads one line when it begins and one when all is read again.
	It("is one line at its beginning and one at its end", func() {
		logger, hook := test.NewNullLogger()
		now := time.Unix(1000, 0)
		o := newOutages(logger, func() time.Time { return now })
		o.ended("documents")
		Expect(lines(hook)).To(BeEmpty())
		o.began("documents", errors.New("status 503"))
		o.began("claims-1", errors.New("status 503"))
		o.began("documents", errors.New("status 503"))
		now = now.Add(20 * time.Second)
		o.ended("documents")
		Expect(lines(hook)).To(Equal([]string{outLine}))
		o.ended("claims-1")
		Expect(lines(hook)).To(Equal([]string{outLine, backLine}))
		Expect(hook.LastEntry().Data).To(HaveKeyWithValue("seconds", 20.0))
	})

	It("does not say that the log is back because reading it was given up", func() {
		logger, hook := test.NewNullLogger()
		o := newOutages(logger, time.Now)
		o.began("claims-1", errors.New("status 503"))
		o.forget("claims-1")
		o.ended("claims-1")
		Expect(lines(hook)).To(Equal([]string{outLine}))
	})

	It("is told by a follower", func() {
		log := startLog()
		logger, hook := test.NewNullLogger()
		got := &inputs{}
		l := NewLog([]string{log.url}, got.take, time.Now, logger)
		l.pollWait = 0
		DeferCleanup(l.Close)
		l.Follow(entry.Follow{Stream: "s"})
		Eventually(got.seen).Should(Equal([]entry.Input{caughtUp(1)}))
		log.change(func() { log.status = 503 })
		Eventually(func() []string { return lines(hook) }).Should(Equal([]string{outLine}))
		log.change(func() { log.status = 0 })
		Eventually(func() []string { return lines(hook) }).Should(Equal([]string{outLine, backLine}))
	})
})
