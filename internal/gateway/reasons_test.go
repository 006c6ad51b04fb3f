package gateway

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/settings"
	"sycamoretrail/platform/platformtest"
)

// allReasons returns the reasons with which a request can end.
func allReasons() []string {
	reasons := []string{"answered", "cut", "retry_budget", "rejected"}
	for _, r := range []*reply{notReady, noRoute, unknownKey, tooLarge, crashesTargets, crashingPart, unknownStream, lostStream, targetAborted, timedOut, callerDisconnected, unconfirmedRefusal(503), badRequest(""), overQuota(0)} {
		reasons = append(reasons, r.reason)
	}
	for _, r := range []dispatch.Reason{dispatch.ReasonNoTarget, dispatch.ReasonNoVersion, dispatch.ReasonOverload, dispatch.ReasonExpired} {
		reasons = append(reasons, string(r))
	}
	return reasons
}

// Operators look up the reasons that log lines contain in the operations page.
func TestEachReasonIsExplained(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	g.Expect(err).NotTo(HaveOccurred())
	for _, reason := range allReasons() {
		g.Expect(string(page)).To(ContainSubstring("`"+reason+"`"), reason)
	}
}

// newLoggingGateway returns an entry that does not listen, and its log.
func newLoggingGateway() (*Gateway, *platformtest.Log) {
	log := &platformtest.Log{}
	logger := logrus.New()
	logger.SetOutput(log)
	logger.SetFormatter(&logrus.JSONFormatter{})
	s := settings.DefaultGateway()
	s.Name, s.Zone = "entry-1", "a"
	return New(s, nil, logger), log
}

func TestEachReasonIsLoggedAndCounted(t *testing.T) {
	g := NewWithT(t)
	gateway, log := newLoggingGateway()
	for _, reason := range allReasons() {
		gateway.settle(&call{gateway: gateway, arrived: time.Now()}, 503, reason)
	}
	gateway.log.Close(time.Minute)
	counted := make(map[string]int64)
	gateway.counters.settled.each(func(key string, n int64) { counted[key] = n })
	for _, reason := range allReasons() {
		g.Expect(log.String()).To(ContainSubstring(`"reason":"`+reason+`"`), reason)
		g.Expect(counted[reason]).To(BeNumerically(">=", 1), reason)
	}
}

// stuckWriter is a log output that blocks.
type stuckWriter struct{ released chan struct{} }

func (s stuckWriter) Write(p []byte) (int, error) {
	<-s.released
	return len(p), nil
}

var _ io.Writer = stuckWriter{}

// If the log output blocks, requests go on: log lines are omitted and counted.
func TestStuckLogWriterBlocksNothing(t *testing.T) {
	g := NewWithT(t)
	writer := stuckWriter{make(chan struct{})}
	logger := logrus.New()
	logger.SetOutput(writer)
	now := time.Unix(1_000_000, 0)
	log := eventlog.New(logger, func() time.Time { return now })
	for range 5000 {
		log.Write(eventlog.StateChange, "x", eventlog.Fields{})
	}
	g.Expect(log.Omitted()[eventlog.StateChange]).To(BeNumerically(">", 3000))
	close(writer.released)
	log.Close(time.Minute)
}

// In a second with many log lines, routine lines are omitted first.
func TestRoutineLinesAreOmittedFirst(t *testing.T) {
	g := NewWithT(t)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	now := time.Unix(1_000_000, 0)
	log := eventlog.New(logger, func() time.Time { return now })
	for range 300 {
		log.Write(eventlog.Routine, "granted", eventlog.Fields{})
		log.Write(eventlog.Failure, "refused", eventlog.Fields{})
	}
	g.Expect(log.Omitted()[eventlog.Routine]).To(Equal(int64(100)))
	g.Expect(log.Omitted()[eventlog.Failure]).To(BeZero())
	log.Close(time.Minute)
}

// The process adds its own name to each log line as "entry". A line on a peer that used the
// same key would lose the peer's name and appear to be about the process itself.
func TestNoFieldHidesTheProcessName(t *testing.T) {
	g := NewWithT(t)
	files, err := filepath.Glob("*.go")
	g.Expect(err).NotTo(HaveOccurred())
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		source, err := os.ReadFile(name)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(source)).NotTo(ContainSubstring(`"entry":`), name)
	}
}
