package gossip_test

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"sycamoretrail/internal/gossip"
)

// loadReport returns the load report of an entry with four requests at the ten targets of its
// cell, with the totals of some organisations.
func loadReport(organisations int) *gossip.Message {
	load := &gossip.Load{InFlight: map[string]int{}, PendingPromptTokens: map[string]int{}, Waiting: map[string]uint32{}}
	for i := range 4 {
		load.InFlight[fmt.Sprintf("i-7f3a91c%d", i)] = 1
	}
	load.PendingPromptTokens["i-7f3a91c0"] = 3720
	load.Samples = []gossip.Sample{{Target: "i-7f3a91c1", TokenTime: 21000, Latency: 12_000_000}}
	if organisations > 0 {
		load.Totals = make(map[string]gossip.Total)
	}
	for i := range organisations {
		load.Totals[fmt.Sprintf("hule93%d", i)] = gossip.Total{Admitted: int64(1_000_000 + i)}
	}
	return &gossip.Message{From: "front-cubao-12", Incarnation: 1 << 63, AgeMS: 40_000, Sequence: 5000, Load: load}
}

// BenchmarkReport measures the cost of a load report at its sender and at each receiver.
func BenchmarkReport(b *testing.B) {
	for _, organisations := range []int{0, 5, 19} {
		m := loadReport(organisations)
		data, err := cbor.Marshal(m)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint("encode/", organisations), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = cbor.Marshal(m)
			}
		})
		b.Run(fmt.Sprint("decode/", organisations), func(b *testing.B) {
			b.ReportAllocs()
			b.ReportMetric(float64(len(data)), "bytes")
			for b.Loop() {
				_ = cbor.Unmarshal(data, &gossip.Message{})
			}
		})
	}
}
