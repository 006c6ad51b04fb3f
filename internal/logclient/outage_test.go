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

// quiet returns a logger that discards its lines.
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

var _ = Describe("the log lines of an outage", func() {
	// The log fails for two streams, which recover one after the other. One line is
	// written when the outage begins and one when all streams can be read again.
	It("are one line at its beginning and one at its end", func() {
		logger, hook := test.NewNullLogger()
		now := time.Unix(1000, 0)
		o := newOutages(logger, func() time.Time { return now })
		o.streamUp("documents")
		Expect(lines(hook)).To(BeEmpty())
		o.streamDown("documents", errors.New("status 503"))
		o.streamDown("claims-1", errors.New("status 503"))
		o.streamDown("documents", errors.New("status 503"))
		now = now.Add(20 * time.Second)
		o.streamUp("documents")
		Expect(lines(hook)).To(Equal([]string{outLine}))
		o.streamUp("claims-1")
		Expect(lines(hook)).To(Equal([]string{outLine, backLine}))
		Expect(hook.LastEntry().Data).To(HaveKeyWithValue("seconds", 20.0))
	})

	It("do not report the end when a stream is no longer followed", func() {
		logger, hook := test.NewNullLogger()
		o := newOutages(logger, time.Now)
		o.streamDown("claims-1", errors.New("status 503"))
		o.removeStream("claims-1")
		o.streamUp("claims-1")
		Expect(lines(hook)).To(Equal([]string{outLine}))
	})

	It("are written by a follower", func() {
		log := startLog()
		logger, hook := test.NewNullLogger()
		got := &inputs{}
		l := NewLog([]string{log.url}, got.add, time.Now, logger)
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
