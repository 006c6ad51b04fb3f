package console

import (
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/answerhead"
	"sycamoretrail/internal/core/record"
)

// logTimeout bounds one check of one log server.
const logTimeout = time.Second

// maxLogAnswer bounds the answer to a check: one record of 1 MB in base64.
const maxLogAnswer = 2 << 20

// LogChecker returns a function that tries the log's base URLs in turn and
// reports whether one answers. The error for a stream that does not exist yet
// counts as an answer.
func LogChecker(urls []string) func() bool {
	client := &fasthttp.Client{
		MaxIdemponentCallAttempts: 1, DialDualStack: true, MaxResponseBodySize: maxLogAnswer, ConfigureClient: answerhead.Configure,
	}
	path := "/logs/" + string(record.StreamDocuments) + "/records?from=0&max=1&wait_ms=0"
	return func() bool {
		for _, base := range urls {
			status, _, err := client.GetTimeout(nil, base+path, logTimeout)
			if err == nil && status < fasthttp.StatusInternalServerError {
				return true
			}
		}
		return false
	}
}
