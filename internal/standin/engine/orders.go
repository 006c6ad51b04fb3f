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

// assignment is a model with its adapters, and the role of the engine.
type assignment struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

// order is the complete desired state of an engine.
type order struct {
	Fencing int64 `json:"fencing"`
	assignment
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

// accept applies an order, after fetching the weights if they differ from the
// loaded ones. Without CheckFencing, orders with an older fencing number are
// applied, too.
func (s *Server) accept(o order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.CheckFencing && o.Fencing < s.fencing {
		return fmt.Errorf("%w: %d, at %d already", errOldFencing, o.Fencing, s.fencing)
	}
	s.fencing = o.Fencing
	s.orderCount++
	sameWeights := o.Model == s.loaded.Model && o.Version == s.loaded.Version
	if s.params.WeightsAddress == "" || sameWeights || o.Model == "" {
		s.loaded = o.assignment
		return nil
	}
	orderCount := s.orderCount
	s.fetches.Submit(func() { s.load(orderCount, o.assignment) })
	return nil
}

// load retries fetching weights until it succeeds or another order arrives.
func (s *Server) load(orderCount int, next assignment) {
	for s.isCurrent(orderCount) {
		wait, err := s.fetch(next)
		if err == nil {
			s.setLoaded(orderCount, next)
			return
		}
		s.Log().WithError(err).Warn("weights not loaded")
		if !s.Pause(wait) {
			return
		}
	}
}

func (s *Server) isCurrent(orderCount int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orderCount == orderCount
}

func (s *Server) setLoaded(orderCount int, next assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.orderCount == orderCount {
		s.loaded = next
	}
}

// fetch requests weights from the weight store once. On an error, wait is the
// delay before the next attempt.
func (s *Server) fetch(next assignment) (wait time.Duration, err error) {
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
