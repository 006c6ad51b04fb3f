package peers

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
)

func benchOffer() message.Offer {
	return message.Offer{
		Seq: 123456, ID: "0a1b2c3d4e5f6071-6b106aaa.1f.0a1b2c3d4e5f60718293a4b5", Target: "engine-0123",
		Organisation: "org-01234", Tier: 1, PromptTokens: 800, MaxTokens: 256, Idempotent: true,
		Fingerprint: 1 << 60, Remaining: 30 * time.Second, FirstToken: 850 * time.Millisecond,
	}
}

// perRequest returns the messages that the owner and a target's scheduler exchange for one
// request.
func perRequest() []message.Message {
	o := benchOffer()
	return []message.Message{
		o,
		message.Grant{OfferSeq: o.Seq, ID: o.ID, Target: o.Target, Valid: 400 * time.Millisecond},
		message.Running{Runs: []message.Run{{Offer: o}}},
		message.Running{Runs: []message.Run{{Offer: o, Tokens: 1, Started: true, Age: 300 * time.Millisecond}}},
		message.Done{ID: o.ID, Target: o.Target, Sample: message.Sample{
			PromptTokens: 800, FirstToken: 300 * time.Millisecond, Tokens: 225, StepTime: 28 * time.Millisecond, Batch: 20,
		}},
	}
}

func benchHeartbeat(digests int) message.Heartbeat {
	h := message.Heartbeat{Seq: 1 << 30, State: message.Ready, ConfigVersion: 100_000, InFlight: 300, Echo: 1 << 30}
	for i := range digests {
		h.Digests = append(h.Digests, message.Digest{
			Target: fmt.Sprintf("engine-%04d", i), Limit: 32, InFlight: 20, Queued: 5, QueuedPrefill: 20_000,
			PrefillRate: 9876.5, StepTime: 21 * time.Millisecond, Available: true, LowestTier: 2, Wait: time.Second,
		})
	}
	return h
}

// BenchmarkPacket encodes and decodes one frame. It also reports the frame's size.
func BenchmarkPacket(b *testing.B) {
	for _, frame := range []struct {
		name     string
		messages []message.Message
	}{
		{"heartbeat", []message.Message{benchHeartbeat(0)}},
		{"heartbeat-5-digests", []message.Message{benchHeartbeat(5)}},
		{"offer", []message.Message{benchOffer()}},
		{"grant", perRequest()[1:2]},
		{"running", perRequest()[2:3]},
		{"done", perRequest()[4:5]},
	} {
		data, _, err := encodePacket(Packet{Messages: frame.messages})
		if err != nil {
			b.Fatal(err)
		}
		b.Run("encode/"+frame.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, _, err := encodePacket(Packet{Messages: frame.messages}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "B/frame")
		})
		b.Run("decode/"+frame.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, _, err := decodePacket(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkRoundTrip sends an offer over a loopback link and waits for a grant.
func BenchmarkRoundTrip(b *testing.B) {
	log := logrus.New()
	log.SetLevel(logrus.FatalLevel)
	listeners := [2]net.Listener{}
	var ends [2]*Links
	var peerOf [2]ident.Incarnation
	grants := make(chan struct{}, 1)
	up := make(chan struct{}, 2)
	for i := range ends {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		listeners[i] = listener
	}
	for i := range ends {
		peerOf[i] = ident.Incarnation(fmt.Sprintf("%016x-00000001", 1-i+1))
		ends[i] = New(Options{
			Self: message.Member{
				Name: fmt.Sprint("end-", i), Incarnation: ident.Incarnation(fmt.Sprintf("%016x-00000001", i+1)),
				PeerAddress: listeners[i].Addr().String(),
			},
			Key: []byte("benchmark key of thirty-two bytes"), Seeds: []string{listeners[1-i].Addr().String()}, Log: log,
			Deliver: func(in entry.Input) {
				switch in := in.(type) {
				case entry.PeerUp:
					up <- struct{}{}
				case entry.FromPeer:
					if _, offer := in.Message.(message.Offer); offer {
						ends[i].Send(in.From, perRequest()[1])
						return
					}
					grants <- struct{}{}
				}
			},
		})
	}
	for i := range ends {
		ends[i].Start(listeners[i])
		b.Cleanup(ends[i].Close)
	}
	<-up
	<-up
	offer := benchOffer()
	for b.Loop() {
		ends[0].Send(peerOf[0], offer)
		<-grants
	}
}
