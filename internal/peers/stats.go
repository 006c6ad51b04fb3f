package peers

import "sync/atomic"

// KindStats counts the messages of one type since the start, over all links.
type KindStats struct {
	Kind                    Kind
	Sent, SentBytes         int64
	Received, ReceivedBytes int64
	// Dropped counts messages dropped by a full queue.
	Dropped int64
}

// Stats holds the values of all counters at one time.
type Stats struct {
	Kinds []KindStats
	// SentBytes and ReceivedBytes count the bytes of complete frames, FramesSent and
	// FramesReceived the frames. TCP and WebSocket headers are not counted.
	SentBytes, ReceivedBytes   int64
	FramesSent, FramesReceived int64
	// NoLink counts messages to peers without a link.
	NoLink int64
	// Links is the number of established links.
	Links int
}

type kindCounters struct {
	sent, sentBytes, received, receivedBytes, dropped atomic.Int64
}

type counters struct {
	kinds                      [kindEnd]kindCounters
	sentBytes, receivedBytes   atomic.Int64
	framesSent, framesReceived atomic.Int64
	noLink                     atomic.Int64
}

func (c *counters) sent(frame int, count counts) {
	c.framesSent.Add(1)
	c.sentBytes.Add(int64(frame))
	for kind := range count {
		if count[kind].messages > 0 {
			c.kinds[kind].sent.Add(int64(count[kind].messages))
			c.kinds[kind].sentBytes.Add(int64(count[kind].bytes))
		}
	}
}

func (c *counters) received(frame int, count counts) {
	c.framesReceived.Add(1)
	c.receivedBytes.Add(int64(frame))
	for kind := range count {
		if count[kind].messages > 0 {
			c.kinds[kind].received.Add(int64(count[kind].messages))
			c.kinds[kind].receivedBytes.Add(int64(count[kind].bytes))
		}
	}
}

func (c *counters) dropped(kind Kind, n int) {
	c.kinds[kind].dropped.Add(int64(n))
}

func (c *counters) read() Stats {
	stats := Stats{
		SentBytes:      c.sentBytes.Load(),
		ReceivedBytes:  c.receivedBytes.Load(),
		FramesSent:     c.framesSent.Load(),
		FramesReceived: c.framesReceived.Load(),
		NoLink:         c.noLink.Load(),
	}
	for kind := KindHeartbeat; kind < kindEnd; kind++ {
		k := &c.kinds[kind]
		stats.Kinds = append(stats.Kinds, KindStats{
			Kind:          kind,
			Sent:          k.sent.Load(),
			SentBytes:     k.sentBytes.Load(),
			Received:      k.received.Load(),
			ReceivedBytes: k.receivedBytes.Load(),
			Dropped:       k.dropped.Load(),
		})
	}
	return stats
}
