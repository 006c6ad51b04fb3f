package engine

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/standin/base"
)

const (
	fetchTimeout   = 30 * time.Second
	fetchRetryWait = 500 * time.Millisecond
	maxWeightBytes = 64 << 20
)

var (
	errOldFencing = errors.New("old fencing number")
	errFetch      = errors.New("weight store did not deliver")
)

// holding is what an engine has loaded.
type holding struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

// order says absolutely what an engine shall hold.
type order struct {
	Fencing int64 `json:"fencing"`
	holding
}

func (s *Server) handleOrder(ctx *fasthttp.RequestCtx) {
	var o order
	if err := base.DecodeStrict(ctx.PostBody(), &o); err != nil {
		base.Fail(ctx, fasthttp.StatusBadRequest, "malformed order: "+err.Error())
		return
	}
	if !validRole(o.Role) {
		base.Fail(ctx, fasthttp.StatusBadRequest, fmt.Sprintf("unknown role %q", o.Role))
		return
	}
	if err := s.accept(o); err != nil {
		base.Fail(ctx, fasthttp.StatusConflict, err.Error())
		return
	}
	base.JSON(ctx, fasthttp.StatusOK, o)
}

// accept takes an order and has the weights fetched where they are others. An
// engine that does not check lets any order win, the older too.
func (s *Server) accept(o order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.CheckFencing && o.Fencing < s.fencing {
		return fmt.Errorf("%w: %d, at %d already", errOldFencing, o.Fencing, s.fencing)
	}
	s.fencing = o.Fencing
	s.ordered++
	sameWeights := o.Model == s.held.Model && o.Version == s.held.Version
	if s.params.WeightsAddress == "" || sameWeights || o.Model == "" {
		s.held = o.holding
		return nil
	}
	ordered := s.ordered
	s.fetches.Submit(func() { s.load(ordered, o.holding) })
	return nil
}

// load fetches weights until they are there or another order has come.
func (s *Server) load(ordered int, next holding) {
	for s.isCurrent(ordered) {
		wait, err := s.fetch(next)
		if err == nil {
			s.take(ordered, next)
			return
		}
		s.Log().WithError(err).Warn("weights not loaded")
		if !s.Pause(wait) {
			return
		}
	}
}

func (s *Server) isCurrent(ordered int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ordered == ordered
}

func (s *Server) take(ordered int, next holding) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ordered == ordered {
		s.held = next
	}
}

// fetch asks the weight store once; on an error, wait is when to ask again.
func (s *Server) fetch(next holding) (wait time.Duration, err error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + s.params.WeightsAddress)
	request.URI().SetPath("/weights/" + next.Model + "/" + next.Version)
	if err := s.client.DoTimeout(request, response, fetchTimeout); err != nil {
		return fetchRetryWait, fmt.Errorf("%w: %w", errFetch, err)
	}
	if response.StatusCode() == fasthttp.StatusOK {
		return 0, nil
	}
	wait = fetchRetryWait
	seconds, convErr := strconv.Atoi(string(response.Header.Peek(fasthttp.HeaderRetryAfter)))
	if convErr == nil {
		wait = time.Duration(seconds) * time.Second
	}
	return wait, fmt.Errorf("%w: status %d", errFetch, response.StatusCode())
}
