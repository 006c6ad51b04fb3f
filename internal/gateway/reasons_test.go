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

// allReasons are the words that a settled request can end with.
func allReasons() []string {
	reasons := []string{"answered", "cut", "retry_budget", "rejected"}
	for _, r := range []*reply{notReady, noRoute, unknownKey, tooLarge, crashesTargets, brokenOff, timedOut, callerOff, badRequest(""), overQuota(0)} {
		reasons = append(reasons, r.reason)
	}
	for _, r := range []dispatch.Reason{dispatch.ReasonNoTarget, dispatch.ReasonOverload, dispatch.ReasonExpired} {
		reasons = append(reasons, string(r))
	}
	return reasons
}

// An on-call engineer reads a reason in a line and looks it up.
func TestEachReasonIsExplained(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	g.Expect(err).NotTo(HaveOccurred())
	for _, reason := range allReasons() {
		g.Expect(string(page)).To(ContainSubstring("`"+reason+"`"), reason)
	}
}

func TestEachReasonHasALineAndACount(t *testing.T) {
	g := NewWithT(t)
	log := &platformtest.Log{}
	logger := logrus.New()
	logger.SetOutput(log)
	logger.SetFormatter(&logrus.JSONFormatter{})
	s := settings.DefaultGateway()
	s.Name, s.Zone = "entry-1", "a"
	gateway := New(s, nil, logger)
	for _, reason := range allReasons() {
		gateway.settle(&call{gateway: gateway, arrived: time.Now()}, 503, reason)
	}
	gateway.log.Close(time.Minute)
	counted := make(map[string]int64)
	gateway.counters.settled.each(func(word string, n int64) { counted[word] = n })
	for _, reason := range allReasons() {
		g.Expect(log.String()).To(ContainSubstring(`"reason":"`+reason+`"`), reason)
		g.Expect(counted[reason]).To(BeNumerically(">=", 1), reason)
	}
}

// stuck is a reader of the log that has stopped reading.
type stuck struct{ released chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.released
	return len(p), nil
}

var _ io.Writer = stuck{}

// Nobody reads the log any more. Requests go on: lines are left out and counted.
func TestStuckReaderOfTheLogStopsNothing(t *testing.T) {
	g := NewWithT(t)
	reader := stuck{make(chan struct{})}
	logger := logrus.New()
	logger.SetOutput(reader)
	now := time.Unix(1_000_000, 0)
	log := eventlog.New(logger, func() time.Time { return now })
	for range 5000 {
		log.Write(eventlog.Belief, "x", eventlog.Fields{})
	}
	g.Expect(log.Omitted()[eventlog.Belief]).To(BeNumerically(">", 3000))
	close(reader.released)
	log.Close(time.Minute)
}

// In a second with many lines, those on what went well are left out first.
func TestRoutineLinesAreLeftOutFirst(t *testing.T) {
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

// The process puts its own name on each line as "entry". A line on a peer that uses
// the same word loses the peer's name, and says of the process what holds of the peer.
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
