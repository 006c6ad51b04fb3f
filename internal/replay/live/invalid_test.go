package live

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/answerhead"
	"sycamoretrail/internal/answerhead/answerheadtest"
)

// Guards against an entry's answer whose head violates the protocol being reported as an answer.
func TestInvalidAnswersOfEntriesAreErrors(t *testing.T) {
	client := newHTTP(1)
	for name, answer := range answerheadtest.Invalid() {
		g := NewWithT(t)
		address := answerheadtest.Serve(t, func(*http.Request) string { return answer.Text("") })
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + address)
		g.Expect(client.DoTimeout(req, resp, time.Second)).To(MatchError(answerhead.ErrInvalid), name)
	}
}
