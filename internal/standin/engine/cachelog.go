package engine

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamoretrail/internal/standin/base"
)

const (
	opAdd  = "add"
	opDrop = "drop"

	maxCacheEvents       = 16 << 10
	maxCacheEventsAnswer = 1024
)

// cacheEvent is one change of the prefix cache.
type cacheEvent struct {
	Seq  uint64 `json:"seq"`
	Op   string `json:"op"`
	Hash uint64 `json:"hash"`
	at   time.Time
}

type cacheEvents struct {
	Next   uint64       `json:"next"`
	Events []cacheEvent `json:"events"`
}

// cacheLog keeps the most recent events, numbered from 1.
type cacheLog struct {
	next   uint64
	events []cacheEvent
}

func newCacheLog() *cacheLog { return &cacheLog{next: 1} }

func (l *cacheLog) add(at time.Time, op string, hash uint64) {
	l.events = append(l.events, cacheEvent{Seq: l.next, Op: op, Hash: hash, at: at})
	l.next++
	if len(l.events) > maxCacheEvents {
		l.events = l.events[1:]
	}
}

// read returns the events with sequence numbers of at least from that are old
// enough to be published. Events in a gap are never published.
func (l *cacheLog) read(from uint64, now time.Time, f base.Faults) cacheEvents {
	answer := cacheEvents{Next: min(max(from, 1), l.next), Events: []cacheEvent{}}
	published := now.Add(-f.Lag())
	start, _ := slices.BinarySearchFunc(l.events, answer.Next, func(e cacheEvent, seq uint64) int {
		return int(e.Seq) - int(seq)
	})
	for _, event := range l.events[start:] {
		if event.at.After(published) || len(answer.Events) == maxCacheEventsAnswer {
			break
		}
		answer.Next = event.Seq + 1
		if !inGap(event, f.Gaps) {
			answer.Events = append(answer.Events, event)
		}
	}
	return answer
}

// inGap selects a share of the events by a hash, so that all readers have the
// same gaps.
func inGap(event cacheEvent, share float64) bool {
	var bytes [16]byte
	for i := range 8 {
		bytes[i] = byte(event.Seq >> (8 * i))
		bytes[8+i] = byte(event.Hash >> (8 * i))
	}
	return float64(xxhash.Sum64(bytes[:]))/math.MaxUint64 < share
}
