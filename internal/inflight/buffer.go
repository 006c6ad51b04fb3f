package inflight

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamoretrail/internal/core/outcome"
)

const (
	firstBlockBytes = 1 << 10
	blockBytes      = 8 << 10
	// maxHeld bounds the number of chunks that arrived before their predecessors.
	maxHeld = 256
)

// Field is one header field of a request or an answer.
type Field struct{ Name, Value string }

// Head is the status and the header of an answer.
type Head struct {
	Status      int
	ContentType string
	Fields      []Field
	// Events is set if the chunks are the data of server-sent events; otherwise
	// they are pieces of a body.
	Events bool
}

// End describes the end of an answer.
type End struct {
	Status outcome.Status
	// Chunks counts the chunks of the answer, Checksum is the xxhash64 of their
	// data in order.
	Chunks   int
	Checksum uint64
	// Referral refers the caller to another answer; nil if this is the answer.
	Referral *Referral
}

// Appended is the result of appending a chunk.
type Appended uint8

const (
	// Taken means that the chunk and any held successors are readable.
	Taken Appended = iota
	// Duplicate means that the chunk was dropped, since the buffer has one of this
	// number already.
	Duplicate
	// Held means that an earlier chunk is missing; this one is readable once that
	// has arrived.
	Held
	// Refused means that the answer is closed, or too much is held.
	Refused
)

// Progress describes an answer as of one Read.
type Progress struct {
	// Next is the number to read from next time.
	Next int
	// Head is nil until the answer has begun.
	Head *Head
	// End is set once the reader has received every chunk of a closed answer.
	End *End
	// Trimmed is set if the chunks from the reader's number on are no longer held.
	Trimmed bool
}

// Buffer holds the chunks of one answer, numbered from 0, for several readers.
// Its memory is bounded: the oldest chunks are dropped beyond the limit.
type Buffer struct {
	mu     sync.Mutex
	limit  int
	chunks [][]byte // chunks[i] has the number base+i
	base   int
	bytes  int
	block  []byte // free space for small chunks
	held   map[int][]byte
	digest xxhash.Digest
	head   *Head
	end    *End
	// waiters are readers to wake at the next update; emptied at each wake.
	waiters []*waiter
}

// waiter is pooled, so that waiting for a chunk allocates nothing.
type waiter struct {
	wake  chan struct{}
	timer *time.Timer
}

var waiters = sync.Pool{New: func() any {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return &waiter{wake: make(chan struct{}, 1), timer: timer}
}}

func newBuffer(limit int) *Buffer {
	b := &Buffer{limit: limit}
	b.digest.Reset()
	return b
}

// Begin sets the head; only the first call has an effect, and none after the end.
// Readers receive it with the first chunk or the end.
func (b *Buffer) Begin(head Head) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.head != nil || b.end != nil {
		return
	}
	b.head = &head
}

// Append adds a copy of data as the chunk of the number index.
func (b *Buffer) Append(index int, data []byte) Appended {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := b.base + len(b.chunks)
	switch {
	case b.end != nil:
		return Refused
	case index < next:
		return Duplicate
	case index > next:
		return b.hold(index, data)
	}
	b.add(b.store(data))
	b.addHeld()
	b.trim()
	b.wakeAll()
	return Taken
}

// AppendOwned adds data as the next chunk without copying it; the caller must
// not change data afterwards.
func (b *Buffer) AppendOwned(data []byte) Appended {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil {
		return Refused
	}
	b.add(data)
	b.trim()
	b.wakeAll()
	return Taken
}

func (b *Buffer) hold(index int, data []byte) Appended {
	if _, known := b.held[index]; known {
		return Duplicate
	}
	if len(b.held) >= maxHeld || b.bytes+len(data) > b.limit {
		return Refused
	}
	if b.held == nil {
		b.held = make(map[int][]byte)
	}
	b.held[index] = append([]byte(nil), data...)
	b.bytes += len(data)
	return Held
}

func (b *Buffer) addHeld() {
	for len(b.held) > 0 {
		next := b.base + len(b.chunks)
		data, there := b.held[next]
		if !there {
			return
		}
		delete(b.held, next)
		b.bytes -= len(data)
		b.add(data)
	}
}

func (b *Buffer) add(data []byte) {
	_, _ = b.digest.Write(data)
	b.chunks = append(b.chunks, data)
	b.bytes += len(data)
}

// store copies data into shared blocks, which saves an allocation per token. Blocks
// are never overwritten, so readers may keep the chunks that they received.
func (b *Buffer) store(data []byte) []byte {
	if len(data) > blockBytes/2 {
		return append([]byte(nil), data...)
	}
	if cap(b.block)-len(b.block) < len(data) {
		size := blockBytes
		if b.block == nil {
			size = max(firstBlockBytes, len(data))
		}
		b.block = make([]byte, 0, size)
	}
	start := len(b.block)
	b.block = append(b.block, data...)
	return b.block[start:len(b.block):len(b.block)]
}

// trim drops the oldest chunks beyond the limit; the newest one stays.
func (b *Buffer) trim() {
	drop := 0
	for b.bytes > b.limit && drop < len(b.chunks)-1 {
		b.bytes -= len(b.chunks[drop])
		b.chunks[drop] = nil
		drop++
	}
	b.chunks = b.chunks[drop:]
	b.base += drop
}

// Close ends the answer with its final status and reports whether it did; an
// answer has one end, so only the first call has an effect.
func (b *Buffer) Close(status outcome.Status) bool { return b.close(End{Status: status}) }

// close ends the answer and fills in the count and the checksum.
func (b *Buffer) close(end End) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil {
		return false
	}
	end.Chunks = b.base + len(b.chunks)
	end.Checksum = b.digest.Sum64()
	b.end = &end
	b.bytes -= b.heldBytes()
	b.held = nil
	b.wakeAll()
	return true
}

func (b *Buffer) heldBytes() int {
	sum := 0
	for _, data := range b.held {
		sum += len(data)
	}
	return sum
}

// Read appends to dst the chunks from number from on. If there are none, it waits up
// to wait for a chunk or the end. The chunks must not be changed.
func (b *Buffer) Read(dst [][]byte, from int, wait time.Duration) ([][]byte, Progress) {
	b.mu.Lock()
	if !b.hasUpdate(from) && wait > 0 {
		w := waiters.Get().(*waiter)
		b.waiters = append(b.waiters, w)
		b.mu.Unlock()
		w.await(wait)
		b.mu.Lock()
		b.removeWaiter(w)
		waiters.Put(w)
	}
	defer b.mu.Unlock()
	return b.collect(dst, from)
}

func (w *waiter) await(wait time.Duration) {
	w.timer.Reset(wait)
	select {
	case <-w.wake:
	case <-w.timer.C:
	}
	w.timer.Stop()
}

// removeWaiter removes w from the list and empties its channel, so that this answer
// does not wake the next user of w.
func (b *Buffer) removeWaiter(w *waiter) {
	for i, other := range b.waiters {
		if other == w {
			b.waiters = append(b.waiters[:i], b.waiters[i+1:]...)
			break
		}
	}
	select {
	case <-w.wake:
	default:
	}
}

func (b *Buffer) hasUpdate(from int) bool {
	return b.end != nil || from < b.base+len(b.chunks)
}

func (b *Buffer) collect(dst [][]byte, from int) ([][]byte, Progress) {
	p := Progress{Next: from, Head: b.head}
	next := b.base + len(b.chunks)
	if from < b.base {
		p.Trimmed = true
		return dst, p
	}
	if from < next {
		dst = append(dst, b.chunks[from-b.base:]...)
		p.Next = next
	}
	p.End = b.end
	return dst, p
}

func (b *Buffer) wakeAll() {
	for i, w := range b.waiters {
		select {
		case w.wake <- struct{}{}:
		default:
		}
		b.waiters[i] = nil
	}
	b.waiters = b.waiters[:0]
}

// Next returns the number of the first chunk that has not arrived yet.
func (b *Buffer) Next() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.base + len(b.chunks)
}

// Ended returns the end, or nil while the answer is open.
func (b *Buffer) Ended() *End {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.end
}

func (b *Buffer) size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes
}
