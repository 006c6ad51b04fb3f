package targets

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/answerhead"
)

// errForeign means that an answer belongs to another request.
var errForeign = fmt.Errorf("%w: the answer belongs to another request", errBroken)

// invalidLogInterval is the shortest time between two log lines on invalid answers.
const invalidLogInterval = time.Second

// invalidAnswers counts answers whose head violates the protocol.
type invalidAnswers struct {
	count  atomic.Int64
	mutex  sync.Mutex
	logged time.Time
}

// noteInvalid counts and logs an answer if the error of a call says that its head violates the protocol.
func (t *Targets) noteInvalid(address string, err error) {
	if !errors.Is(err, answerhead.ErrInvalid) {
		return
	}
	count := t.invalid.count.Add(1)
	t.invalid.mutex.Lock()
	defer t.invalid.mutex.Unlock()
	if now := t.cfg.Now(); now.Sub(t.invalid.logged) >= invalidLogInterval {
		t.invalid.logged = now
		t.cfg.Log.WithError(err).WithFields(logrus.Fields{"address": address, "invalid_answers": count}).Warn("a target's answer violates the protocol")
	}
}

// InvalidAnswers returns the number of answers so far whose head violates the protocol.
func (t *Targets) InvalidAnswers() int64 { return t.invalid.count.Load() }

// belongsTo reports whether an answer belongs to a request. Targets may leave the id out.
func belongsTo(resp *fasthttp.Response, id string) bool {
	named := resp.Header.Peek(headerRequestID)
	return len(named) == 0 || string(named) == id
}

// answersCall is belongsTo for a control call, which has the id of a stream in its path or none.
func answersCall(resp *fasthttp.Response, path string) bool {
	named := string(resp.Header.Peek(headerRequestID))
	return named == "" || strings.HasSuffix(path, "/"+named)
}

// discard gives up an answer after which the request may be sent again, and closes its connection: a
// late second copy of the answer would pass for the answer to the later send.
func discard(resp *fasthttp.Response) {
	resp.SetConnectionClose()
	_ = resp.CloseBodyStream()
}
