package console

import (
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/record"
)

// logTimeout bounds the question whether the log answers.
const logTimeout = time.Second

// AskLog returns a function that asks the log's base URLs in turn whether one
// answers. A stream that does not exist yet is an answer too.
func AskLog(urls []string) func() bool {
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1, DialDualStack: true}
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
