package logclient

import (
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sycamoretrail/internal/core/record"
)

// errAgedOut means that the log dropped records before they were read.
var errAgedOut = errors.New("records expired before they were read")

// outages logs that the log cannot be read, with one line at the beginning and one at
// the end of an outage. An entry follows many streams; a line for each failed read
// would hide the other lines during an outage.
type outages struct {
	log   logrus.FieldLogger
	clock func() time.Time

	mutex sync.Mutex
	down  map[record.Stream]bool
	since time.Time
}

func newOutages(log logrus.FieldLogger, clock func() time.Time) *outages {
	return &outages{log: log, clock: clock, down: make(map[record.Stream]bool)}
}

func (o *outages) streamDown(stream record.Stream, cause error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if len(o.down) == 0 {
		o.since = o.clock()
		o.log.WithError(cause).WithField("stream", string(stream)).
			Warn("log cannot be read; calls with an idempotency key that may not be repeated are refused")
	}
	o.down[stream] = true
}

// streamUp records that a stream has caught up.
func (o *outages) streamUp(stream record.Stream) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if !o.down[stream] {
		return
	}
	delete(o.down, stream)
	if len(o.down) == 0 {
		o.log.WithField("seconds", o.clock().Sub(o.since).Seconds()).Info("log can be read again")
	}
}

// removeStream removes a stream that is no longer followed. That does not show that
// the log can be read again, so it writes no line.
func (o *outages) removeStream(stream record.Stream) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	delete(o.down, stream)
}
