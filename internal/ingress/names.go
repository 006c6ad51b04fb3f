package ingress

import (
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/answerhead"
)

// ErrHeaderName is wrapped by errors of requests with a header whose name is not a token.
var ErrHeaderName = errors.New("the name of a header is not a token")

// CheckHeaderNames checks the names of a request's headers. The HTTP library accepts spaces inside them.
func CheckHeaderNames(header *fasthttp.RequestHeader) error {
	for name := range header.All() {
		if !answerhead.IsToken(string(name)) {
			return fmt.Errorf("%w: %.64q", ErrHeaderName, name)
		}
	}
	return nil
}
