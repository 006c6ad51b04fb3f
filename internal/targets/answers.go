package targets

import (
	"fmt"
	"strings"

	"github.com/valyala/fasthttp"
)

// errForeign means that an answer belongs to another request.
var errForeign = fmt.Errorf("%w: the answer belongs to another request", errBroken)

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
