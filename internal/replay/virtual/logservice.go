package virtual

import (
	"slices"
	"time"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/record"
)

// logService is a fake of the platform's log.
type logService struct {
	world   *world
	streams map[record.Stream][]logged
	parked  []*follow
	// While the log is down no request is answered. slow is added to the delay of
	// each answer. With loseAnswers, appends take effect but are not answered.
	down        bool
	slow        time.Duration
	loseAnswers bool
	// budget is the number of appends allowed now, refilled at logRate.
	budget   float64
	refilled time.Time
}

// logged is a record. Its offset is its position in the stream, from 1.
type logged struct {
	at   time.Time
	data []byte
}

// follow is the state of one entry that reads a stream.
type follow struct {
	host   *host
	stream record.Stream
	next   int64
	since  time.Time
	ended  bool
}

func newLogService(w *world) *logService {
	return &logService{world: w, streams: map[record.Stream][]logged{}, budget: logRate, refilled: w.now}
}

// write appends a record and answers the reads that wait for it.
func (l *logService) write(stream record.Stream, data []byte) int64 {
	l.streams[stream] = append(l.streams[stream], logged{l.world.now, slices.Clone(data)})
	l.wake(func(f *follow) bool { return f.stream == stream })
	return int64(len(l.streams[stream]))
}

// wake answers the selected parked reads.
func (l *logService) wake(which func(*follow) bool) {
	var kept, woken []*follow
	for _, f := range l.parked {
		if which(f) {
			woken = append(woken, f)
		} else {
			kept = append(kept, f)
		}
	}
	l.parked = kept
	for _, f := range woken {
		l.answer(f)
	}
}

// append handles an Append of an entry.
func (l *logService) append(h *host, o entry.Append) {
	w := l.world
	data := slices.Clone(o.Data)
	w.after(logDelay+l.slow, func() {
		done := entry.LogAppended{Tag: o.Tag, Offset: -1}
		switch {
		case l.down || !l.withinRate():
			done.Failed = true
		case l.loseAnswers:
			l.write(o.Stream, data)
		default:
			done.Offset = l.write(o.Stream, data)
		}
		w.after(logDelay, func() { h.input(done) })
	})
}

func (l *logService) withinRate() bool {
	now := l.world.now
	l.budget = min(logRate, l.budget+now.Sub(l.refilled).Seconds()*logRate)
	l.refilled = now
	if l.budget < 1 {
		return false
	}
	l.budget--
	return true
}

func (h *host) follow(o entry.Follow) {
	h.unfollow(o.Stream)
	f := &follow{host: h, stream: o.Stream}
	h.follows[o.Stream] = f
	oldest := h.world.now.Add(-o.Back)
	h.world.after(logDelay, func() {
		f.next = 1
		for _, r := range h.world.log.streams[o.Stream] {
			if r.at.Before(oldest) {
				f.next++
			}
		}
		f.since = h.world.now.Add(-logDelay)
		h.world.log.read(f)
	})
}

func (h *host) unfollow(stream record.Stream) {
	if f := h.follows[stream]; f != nil {
		f.ended = true
		delete(h.follows, stream)
	}
}

// read answers at once if there are new records, and otherwise when one arrives or
// after pollWait. The first read of a stream does not wait.
func (l *logService) read(f *follow) {
	w := l.world
	switch {
	case f.ended || !f.host.up:
	case l.down:
		w.after(logDelay, func() { f.host.input(entry.LogDown{Stream: f.stream}) })
		w.after(logRetry, func() { l.again(f) })
	case f.next <= int64(len(l.streams[f.stream])) || f.since.IsZero():
		l.answer(f)
	default:
		l.parked = append(l.parked, f)
		since := f.since
		w.after(pollWait, func() {
			l.wake(func(other *follow) bool { return other == f && f.since.Equal(since) })
		})
	}
}

// again starts the next read. Its start is the Since of the next LogCaughtUp.
func (l *logService) again(f *follow) {
	f.since = l.world.now
	l.world.after(logDelay, func() { l.read(f) })
}

// answer delivers the records of the stream from the reader's next offset.
func (l *logService) answer(f *follow) {
	w := l.world
	since := f.since
	for _, r := range l.streams[f.stream][f.next-1:] {
		in := entry.LogRecord{Stream: f.stream, Offset: f.next, Age: w.now.Sub(r.at), Data: r.data}
		f.next++
		w.after(logDelay+l.slow, func() { f.input(in) })
	}
	caughtUp := entry.LogCaughtUp{Stream: f.stream, Offset: f.next, Since: since}
	w.after(logDelay+l.slow, func() {
		f.input(caughtUp)
		l.again(f)
	})
}

func (f *follow) input(in entry.Input) {
	if !f.ended {
		f.host.input(in)
	}
}

// setDown begins or ends an outage. Waiting reads fail when it begins.
func (l *logService) setDown(down bool) {
	l.down = down
	if !down {
		return
	}
	waiting := l.parked
	l.parked = nil
	for _, f := range waiting {
		l.read(f)
	}
}
