package targets

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/request"
)

const (
	// cancelAttempts bounds the calls to cancel one stream.
	cancelAttempts = 5
	cancelPause    = 100 * time.Millisecond
	// maxControlAnswer bounds the answer to a control call, in bytes.
	maxControlAnswer = 1 << 20
)

// cancel stops the run at its engine. A plain service has no call for that: it continues
// the request, and only the caller gets its final outcome.
func (r *run) cancel() {
	if !r.cancelled.CompareAndSwap(false, true) || r.kind == request.Service {
		return
	}
	if r.t.control.Go(r.cancelAtEngine) != nil {
		r.end(message.ResultAborted, true)
	}
}

// cancelAtEngine calls the engine until it has cancelled the stream, a bounded number of
// times. The call may overtake the dispatch, which would then run without being cancelled.
// So the status "not found" is accepted only if the answer to the dispatch has begun.
func (r *run) cancelAtEngine() {
	for attempt := 0; attempt < cancelAttempts; attempt++ {
		if attempt > 0 {
			time.Sleep(cancelPause)
		}
		answered := r.answered.Load()
		status, _, err := r.t.call(r.address, fasthttp.MethodDelete, streamPath(string(r.f.ID)), nil)
		if err == nil && (status == fasthttp.StatusOK || status == fasthttp.StatusNotFound && answered) {
			r.end(message.ResultCancelled, true)
			return
		}
		if err != nil && nothingSent(err) {
			break
		}
	}
	r.end(message.ResultAborted, true)
}

// call makes one control call to a target and returns its answer.
func (t *Targets) call(address, method, path string, body []byte) (status int, answer []byte, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + path)
	req.Header.SetMethod(method)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	req.SetTimeout(t.cfg.ControlTimeout)
	resp.StreamBody = true
	if err := t.client(address, request.Engine).Do(req, resp); err != nil {
		t.noteInvalid(address, err)
		return 0, nil, fmt.Errorf("%s %s: %w", method, path, err)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	answer, err = readBody(resp, maxControlAnswer)
	if err == nil && !answersCall(resp, path) {
		err = errForeign
	}
	if err != nil {
		discard(resp)
		return 0, nil, fmt.Errorf("%s %s: %w", method, path, err)
	}
	return resp.StatusCode(), answer, nil
}

// orderBody is the body of an order to an engine. It leaves the engine's role unchanged.
type orderBody struct {
	Fencing  int64    `json:"fencing"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
}

// Order sends a target the model, version and adapters that it has to hold. An OrderDone
// reports the result.
func (t *Targets) Order(o entry.Order) {
	if t.control.Go(func() { t.outbox.put(t.order(o)) }) != nil {
		t.outbox.put(entry.OrderDone{Target: o.Target, Failed: true})
	}
}

func (t *Targets) order(o entry.Order) entry.OrderDone {
	body, err := json.Marshal(orderBody{Fencing: o.Fencing, Model: o.Model, Version: o.Version, Adapters: o.Adapters})
	if err != nil {
		return entry.OrderDone{Target: o.Target, Failed: true}
	}
	status, _, err := t.call(o.Address, fasthttp.MethodPost, "/orders", body)
	switch {
	case err != nil:
		return entry.OrderDone{Target: o.Target, Failed: true}
	case status == fasthttp.StatusConflict:
		return entry.OrderDone{Target: o.Target, Refused: true}
	case status >= fasthttp.StatusMultipleChoices:
		return entry.OrderDone{Target: o.Target, Failed: true}
	}
	return entry.OrderDone{Target: o.Target}
}
