package logservice

import "time"

// storedRecord is a stored record.
type storedRecord struct {
	at   time.Time
	data []byte
}

// stream is one named log. Offsets start at 1; the record of offset first is
// records[0]. Guarded by the server's mutex.
type stream struct {
	first   uint64
	records []storedRecord
	changed chan struct{} // closed and replaced on each append
}

func newStream() *stream {
	return &stream{first: 1, changed: make(chan struct{})}
}

// end returns the offset of the next record.
func (s *stream) end() uint64 { return s.first + uint64(len(s.records)) }

func (s *stream) append(now time.Time, data []byte) uint64 {
	offset := s.end()
	s.records = append(s.records, storedRecord{at: now, data: data})
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// expire removes records older than the retention; 0 means no limit.
func (s *stream) expire(now time.Time, retention time.Duration) {
	if retention == 0 {
		return
	}
	old := 0
	for old < len(s.records) && now.Sub(s.records[old].at) > retention {
		old++
	}
	s.records = s.records[old:]
	s.first += uint64(old)
}

// read returns at most limit records, starting at from or at the oldest retained
// record, whichever is later.
func (s *stream) read(now time.Time, from uint64, limit int) page {
	from = max(from, s.first)
	p := page{Next: from, First: s.first, End: s.end(), Records: []record{}}
	size := 0
	for p.Next < p.End && len(p.Records) < limit && size < maxPageBytes {
		r := s.records[p.Next-s.first]
		p.Records = append(p.Records, record{Offset: p.Next, AgeMS: now.Sub(r.at).Milliseconds(), Data: r.data})
		size += len(r.data)
		p.Next++
	}
	return p
}
