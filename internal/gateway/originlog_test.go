package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/peerset"
	"sycamoretrail/internal/core/streams"
)

func batchOf(n int) streams.Batch {
	batch := streams.Batch{Expires: time.UnixMilli(1_000_000), Groups: []streams.Group{
		{Origin: streams.Origin{Service: "desk", Version: "v1"}}, {Origin: streams.Origin{Service: "desk", Version: "v2"}},
	}}
	for i := range n {
		group := &batch.Groups[i%2]
		group.Keys = append(group.Keys, streams.KeyOf("riders", fmt.Sprint(i)))
	}
	return batch
}

func TestBatchesAreReadAsTheyWereRecorded(t *testing.T) {
	g := NewWithT(t)
	want := batchOf(7)
	value, size, err := encodeBatch(want)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(size).To(Equal(7))
	g.Expect(decodeBatch(value)).To(Equal(want))
	for _, invalid := range [][]byte{nil, []byte("x"), value[:len(value)-1]} {
		_, err := decodeBatch(invalid)
		g.Expect(err).To(HaveOccurred())
	}
}

// Guards against a full batch exceeding what the store takes in one record.
func TestFullBatchesFitARecord(t *testing.T) {
	g := NewWithT(t)
	const recordBytes = 256 << 10
	value, _, err := encodeBatch(batchOf(batchStreams))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(value)).To(BeNumerically("<", recordBytes))
}

// withPeers returns an entry that knows others, which serve.
func withPeers(n int) *Gateway {
	g, _ := newLoggingGateway()
	now := time.Now()
	for i := range n {
		name := fmt.Sprintf("peer-%d", i)
		g.state.peers.ApplyStatus(now, now, peerset.Status{
			Entry: peerset.Entry{Name: name, Incarnation: 1, Zone: string(rune('a' + i%3)), Links: "127.0.0.1:1"}, State: peerset.Ready, Sequence: 1,
		})
	}
	return g
}

// Guards against entries that don't agree on who records, and against one recording for too many.
func TestFewEntriesRecord(t *testing.T) {
	for _, c := range []struct{ entries, recorders int }{{6, 1}, {79, 1}, {985, 8}} {
		t.Run(fmt.Sprint(c.entries), func(t *testing.T) {
			g := NewWithT(t)
			gateway := withPeers(c.entries)
			chosen := make(map[string]bool)
			for i := range 200 {
				gateway.self.Name = fmt.Sprintf("other-%d", i)
				recorder, self, recorders := gateway.origins.log.rankedRecorder()
				g.Expect(self).To(BeFalse())
				g.Expect(recorders).To(Equal(c.recorders))
				chosen[recorder.Name] = true
			}
			g.Expect(chosen).To(HaveLen(c.recorders))
		})
	}
}

func BenchmarkRankedRecorder(b *testing.B) {
	for _, n := range []int{6, 79, 985} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			gateway := withPeers(n)
			for b.Loop() {
				gateway.origins.log.rankedRecorder()
			}
		})
	}
}
