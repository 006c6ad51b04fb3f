// Package instances implements the stand-in for the platform's instance list,
// described in docs/PLATFORM.md, "Instance list". Reads return the list as it
// was lag_ms ago.
package instances

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/standin/base"
)

// Roles of a row.
const (
	RoleEntry  = "entry"
	RoleTarget = "target"
)

const paramName = "name"

// Row describes one instance.
type Row struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Role    string `json:"role"`
	Leaving bool   `json:"leaving"`
}

func (r Row) validate() error {
	if r.Name == "" || r.Address == "" {
		return errors.New("row without name or address")
	}
	if r.Role != RoleEntry && r.Role != RoleTarget {
		return fmt.Errorf("row %q: role must be %q or %q", r.Name, RoleEntry, RoleTarget)
	}
	return nil
}

// Params configures a list.
type Params struct {
	base.Common
	// Instances is the initial content of the list.
	Instances []Row `json:"instances"`
}

// Validate returns all errors in the parameters, joined.
func (p Params) Validate() error {
	errs := []error{p.Faults.Validate()}
	for _, row := range p.Instances {
		errs = append(errs, row.validate())
	}
	return errors.Join(errs...)
}

type answer struct {
	Instances []Row `json:"instances"`
}

// Server is a running list.
type Server struct {
	*base.Host
	params Params

	mu      sync.Mutex // guards the fields below
	rows    map[string]Row
	visible base.Lagged[[]Row]
}

// Start starts a list that serves on an address.
func Start(address string, params Params) (*Server, error) {
	if err := params.Validate(); err != nil {
		return nil, err
	}
	s := &Server{params: params}
	s.reset()
	r := router.New()
	r.GET("/instances", s.handleList)
	r.PUT("/instances/{name}", s.handlePut)
	r.DELETE("/instances/{name}", s.handleDelete)
	s.Host = base.New(params.Common, base.Behaviour{Handle: r.Handler, Crashed: s.reset})
	return s, s.Host.Start(address)
}

// reset restores the initial rows, visible without lag.
func (s *Server) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = make(map[string]Row)
	for _, row := range s.params.Instances {
		s.rows[row.Name] = row
	}
	s.visible.Reset()
	s.visible.Set(time.Time{}, 0, s.sorted())
}

func (s *Server) sorted() []Row {
	return slices.SortedFunc(maps.Values(s.rows), func(a, b Row) int { return strings.Compare(a.Name, b.Name) })
}

func (s *Server) handleList(ctx *fasthttp.RequestCtx) {
	lag := s.Faults().Lag()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := s.visible.At(time.Now().Add(-lag))
	base.JSON(ctx, fasthttp.StatusOK, answer{Instances: append([]Row{}, rows...)})
}

func (s *Server) handlePut(ctx *fasthttp.RequestCtx) {
	var row Row
	if err := base.DecodeStrict(ctx.PostBody(), &row); err != nil {
		base.Fail(ctx, fasthttp.StatusBadRequest, "malformed row: "+err.Error())
		return
	}
	row.Name = base.PathValue(ctx, paramName)
	if err := row.validate(); err != nil {
		base.Fail(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	s.edit(ctx, func() { s.rows[row.Name] = row })
}

func (s *Server) handleDelete(ctx *fasthttp.RequestCtx) {
	name := base.PathValue(ctx, paramName)
	s.edit(ctx, func() { delete(s.rows, name) })
}

// edit changes rows and records the call in the ledger.
func (s *Server) edit(ctx *fasthttp.RequestCtx, change func()) {
	lag := s.Faults().Lag()
	s.mu.Lock()
	defer s.mu.Unlock()
	ticket, begun := s.Ledger().Begin(ctx, string(ctx.Method())+" "+base.PathValue(ctx, paramName))
	if !begun {
		base.DropConnection(ctx)
		return
	}
	change()
	s.visible.Set(time.Now(), lag, s.sorted())
	s.Ledger().End(ticket, func(run *base.Run) { run.Complete = true })
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}
