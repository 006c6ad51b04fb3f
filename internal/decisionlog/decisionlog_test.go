package decisionlog

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/telemetry"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "decisionlog")
}

var _ = Describe("lines on decisions", func() {
	It("are JSON, bounded per second, and report how many were omitted", func() {
		var out bytes.Buffer
		logger, err := telemetry.NewLogger(&out, "info")
		Expect(err).NotTo(HaveOccurred())
		now := time.Unix(1000, 0)
		d := New(logger, func() time.Time { return now }, 2, func(request.Tier) string { return "gate" })
		for range 5 {
			d.Decision(entry.Decision{ID: "a.1.b", Event: entry.EventSettled, Reason: outcome.ReasonOverload, Tier: 2})
		}
		now = now.Add(time.Second)
		d.Decision(entry.Decision{Event: entry.EventMember, Detail: "peer up"})
		d.Close()
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		Expect(lines).To(HaveLen(3))
		var first, last map[string]any
		Expect(json.Unmarshal([]byte(lines[0]), &first)).To(Succeed())
		Expect(first).To(And(HaveKeyWithValue("id", "a.1.b"), HaveKeyWithValue("reason", "overload"), HaveKeyWithValue("tier", "gate"), HaveKeyWithValue("why", ContainSubstring("queue has no room"))))
		Expect(json.Unmarshal([]byte(lines[2]), &last)).To(Succeed())
		Expect(last).To(And(HaveKeyWithValue("left_out", 3.0), Not(HaveKey("id"))))
	})

	// An organisation asks for a model that it may not use. The request does not reach
	// the core, so sycamorectl explain does not show it. The log must report it,
	// without any text of the caller.
	It("report refusals at the edge", func() {
		var out bytes.Buffer
		logger, err := telemetry.NewLogger(&out, "info")
		Expect(err).NotTo(HaveOccurred())
		d := New(logger, time.Now, 2, nil)
		d.Refused("a.1.b", "acme", outcome.ReasonUnknownModel)
		d.Close()
		var line map[string]any
		Expect(json.Unmarshal(out.Bytes(), &line)).To(Succeed())
		Expect(line).To(And(HaveKeyWithValue("event", EventRefused), HaveKeyWithValue("id", "a.1.b"), HaveKeyWithValue("organisation", "acme"),
			HaveKeyWithValue("reason", "unknown_model"), HaveKeyWithValue("why", ContainSubstring("may not use this model"))))
	})

	// The reader of the log is blocked. The core must continue, and lines that do not
	// fit the queue must be counted on the next one that does.
	It("never block the core", func() {
		var out bytes.Buffer
		stuck := make(chan struct{})
		logger, err := telemetry.NewLogger(&gate{open: stuck, out: &out}, "info")
		Expect(err).NotTo(HaveOccurred())
		const sent = 3 * queueLength
		d := New(logger, func() time.Time { return time.Unix(1000, 0) }, 2*sent, nil)
		for range sent {
			d.Decision(entry.Decision{Event: entry.EventMember})
		}
		close(stuck)
		Eventually(func() int { return len(d.lines) }).Should(BeZero())
		d.Decision(entry.Decision{Event: entry.EventFloor})
		d.Close()
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		omitted := 0
		for _, line := range lines {
			var said struct {
				Left int `json:"left_out"`
			}
			Expect(json.Unmarshal([]byte(line), &said)).To(Succeed())
			omitted += said.Left
		}
		Expect(omitted).To(BeNumerically(">=", sent-queueLength-1))
		Expect(omitted + len(lines)).To(Equal(sent + 1))
	})
})

// gate blocks writes until open is closed.
type gate struct {
	open chan struct{}
	out  *bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	return g.out.Write(p)
}

// BenchmarkDecision measures the cost of a decision's line for the core's goroutine.
func BenchmarkDecision(b *testing.B) {
	logger, err := telemetry.NewLogger(io.Discard, "info")
	if err != nil {
		b.Fatal(err)
	}
	second := int64(0)
	clock := func() time.Time { second++; return time.Unix(second, 0) }
	d := New(logger, clock, PerSecond, func(request.Tier) string { return "gate" })
	b.Cleanup(d.Close)
	decision := entry.Decision{ID: "0a1b2c3d4e5f6071-6b106aaa.1f.0a1b2c3d4e5f", Event: entry.EventOffered, Target: "engine-0123", Tier: 1}
	b.ReportAllocs()
	for b.Loop() {
		d.Decision(decision)
		if len(d.lines) < queueLength/2 {
			continue
		}
		// A full queue omits lines, which costs less than enqueueing them.
		b.StopTimer()
		for len(d.lines) > 0 {
			time.Sleep(time.Millisecond)
		}
		b.StartTimer()
	}
}
