package logclient

import (
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sycamoretrail/internal/core/record"
)

// errAgedOut: the log dropped records before they were read.
var errAgedOut = errors.New("records aged out before they were read")

// outages tells operators that the log cannot be read, with one line at the
// beginning and one at the end. An entry follows many streams, and a line for
// each try of each would bury what else is logged during an outage.
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

func (o *outages) began(stream record.Stream, cause error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if len(o.down) == 0 {
		o.since = o.clock()
		o.log.WithError(cause).WithField("stream", string(stream)).
			Warn("log cannot be read; calls with an idempotency key that may not be repeated are refused")
	}
	o.down[stream] = true
}

// ended is told of a stream that was caught up.
func (o *outages) ended(stream record.Stream) {
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

// forget is told of a stream that is not followed any more. That says nothing of
// the log, so no line is written.
func (o *outages) forget(stream record.Stream) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	delete(o.down, stream)
}
