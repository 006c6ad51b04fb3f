package base

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
)

// ErrListen is wrapped by errors from listening on an address.
var ErrListen = errors.New("cannot listen")

const (
	maxBodyBytes   = 16 << 20
	anyLoopback    = "127.0.0.1:0"
	pathFault      = "/admin/fault"
	pathLedger     = "/admin/ledger"
	serverName     = "sycamore-standin"
	maxHeaderBytes = 16 << 10
)

// Common holds the settings of every kind of stand-in.
type Common struct {
	// AdminAddress serves the admin path, also while the stand-in is crashed. If it
	// is empty, a free port of 127.0.0.1 is used.
	AdminAddress string `json:"-"`
	// Log is the logger. If it is nil, nothing is logged.
	Log *logrus.Entry `json:"-"`
	// Faults is the initial set of faults.
	Faults Faults `json:"faults"`
}

// Behaviour contains the callbacks with which a kind of stand-in extends a Host.
type Behaviour struct {
	// Handle serves every call except those of the admin path.
	Handle fasthttp.RequestHandler
	// Applied is called after faults have changed. It may be nil.
	Applied func(Faults)
	// Crashed discards all state. It is called once per crash, after the ledger
	// has stopped accepting new runs. It may be nil.
	Crashed func()
	// Restarted is called before connections are accepted again. It may be nil.
	Restarted func()
}

// Host runs one stand-in.
type Host struct {
	behaviour Behaviour
	common    Common
	log       *logrus.Entry
	ledger    Ledger

	changeMu sync.Mutex // serializes changes of faults
	mu       sync.Mutex // guards the following fields up to admin
	faults   Faults
	bucket   Bucket
	closed   bool
	main     *trackedListener
	admin    *trackedListener

	address string
	done    chan struct{}
}

// New returns a host that has not been started.
func New(common Common, behaviour Behaviour) *Host {
	return &Host{
		behaviour: behaviour,
		common:    common,
		log:       loggerOrDiscard(common.Log),
		done:      make(chan struct{}),
	}
}

// Start listens on both addresses and serves.
func (h *Host) Start(address string) error {
	if h.common.AdminAddress == "" {
		h.common.AdminAddress = anyLoopback
	}
	var err error
	if h.main, err = listen(address); err != nil {
		return fmt.Errorf("%w on %s: %w", ErrListen, address, err)
	}
	if h.admin, err = listen(h.common.AdminAddress); err != nil {
		_ = h.main.Close()
		return fmt.Errorf("%w on admin address %s: %w", ErrListen, h.common.AdminAddress, err)
	}
	h.address = h.main.Addr().String()
	h.ledger.start()
	if err := h.Apply(h.common.Faults); err != nil {
		_ = h.Close()
		return err
	}
	if !h.Faults().Crash {
		h.serve(h.main, h.handle)
	}
	h.serve(h.admin, h.handleAdmin)
	h.log.WithFields(logrus.Fields{"address": h.address, "admin_address": h.AdminAddress()}).Info("started")
	return nil
}

func loggerOrDiscard(log *logrus.Entry) *logrus.Entry {
	if log != nil {
		return log
	}
	none := logrus.New()
	none.SetOutput(io.Discard)
	return logrus.NewEntry(none)
}

// Address returns the address of the stand-in, also while it is crashed.
func (h *Host) Address() string { return h.address }

// AdminAddress returns the address that serves the admin path even during a crash.
func (h *Host) AdminAddress() string { return h.admin.Addr().String() }

// Ledger returns the ledger of runs.
func (h *Host) Ledger() *Ledger { return &h.ledger }

// Log returns the logger of the stand-in.
func (h *Host) Log() *logrus.Entry { return h.log }

// Done returns a channel that is closed when the host is closed.
func (h *Host) Done() <-chan struct{} { return h.done }

// Faults returns the faults in force.
func (h *Host) Faults() Faults {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.faults
}

// Apply replaces all faults, and crashes or restarts the stand-in if Crash
// changes.
func (h *Host) Apply(next Faults) error {
	return h.change(func(Faults) (Faults, error) { return next, next.Validate() })
}

// TakeRate counts one call against the rate limit. If the limit is exceeded, it
// answers 429 and returns false.
func (h *Host) TakeRate(ctx *fasthttp.RequestCtx) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	wait, ok := h.bucket.Take(time.Now(), h.faults.Rate)
	if !ok {
		answerTooMany(ctx, wait)
	}
	return ok
}

// Crash crashes the stand-in from its own code, with the same effect as the fault.
func (h *Host) Crash() {
	err := h.change(func(f Faults) (Faults, error) { f.Crash = true; return f, nil })
	if err != nil {
		h.log.WithError(err).Error("crash failed")
	}
}

// Close stops serving and closes every connection.
func (h *Host) Close() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return nil
	}
	h.closed = true
	close(h.done)
	return errors.Join(h.main.Close(), h.admin.Close())
}

func (h *Host) change(edit func(Faults) (Faults, error)) error {
	h.changeMu.Lock()
	defer h.changeMu.Unlock()
	before := h.Faults()
	next, err := edit(before)
	if err != nil {
		return err
	}
	if before.Crash && !next.Crash {
		if err := h.restart(); err != nil {
			return err
		}
	}
	h.mu.Lock()
	h.faults = next
	h.mu.Unlock()
	if h.behaviour.Applied != nil {
		h.behaviour.Applied(next)
	}
	if next.Crash && !before.Crash {
		h.crash()
	}
	h.log.WithField("faults", next).Info("faults changed")
	return nil
}

func (h *Host) crash() {
	h.ledger.stop()
	h.mu.Lock()
	_ = h.main.Close()
	h.mu.Unlock()
	if h.behaviour.Crashed != nil {
		h.behaviour.Crashed()
	}
	h.ledger.endOpenRuns()
}

func (h *Host) restart() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return net.ErrClosed
	}
	main, err := listen(h.address)
	if err != nil {
		return fmt.Errorf("%w again on %s: %w", ErrListen, h.address, err)
	}
	if h.behaviour.Restarted != nil {
		h.behaviour.Restarted()
	}
	h.main = main
	h.ledger.start()
	h.serve(main, h.handle)
	return nil
}

func (h *Host) serve(listener net.Listener, handler fasthttp.RequestHandler) {
	server := &fasthttp.Server{
		Handler:            handler,
		Name:               serverName,
		MaxRequestBodySize: maxBodyBytes,
		ReadBufferSize:     maxHeaderBytes,
		Logger:             h.log.WithField("from", "http"),
		LogAllErrors:       false,
	}
	go func() { _ = server.Serve(listener) }()
}

// handle serves the main address. It handles the admin path, applies the faults
// common to all stand-ins, and then calls the handler of the stand-in.
func (h *Host) handle(ctx *fasthttp.RequestCtx) {
	if isAdmin(ctx) {
		h.handleAdmin(ctx)
		return
	}
	ctx.SetUserValue(incarnationKey, h.ledger.currentIncarnation())
	f := h.Faults()
	if f.SlowMS > 0 && !h.Pause(time.Duration(f.SlowMS)*time.Millisecond) {
		return
	}
	if f.Outage {
		Fail(ctx, fasthttp.StatusServiceUnavailable, "outage")
		return
	}
	h.behaviour.Handle(ctx)
	if f.LoseAnswers {
		DropConnection(ctx)
	}
}

// Admits reports whether the faults let requests through. If not, it rejects the
// request and counts it in the ledger.
func (h *Host) Admits(ctx *fasthttp.RequestCtx) bool {
	f := h.Faults()
	switch {
	case f.Leaving:
		NotAdmitted(ctx, NotAdmittedLeaving)
	case f.Refuse:
		NotAdmitted(ctx, NotAdmittedFull)
	default:
		return true
	}
	h.ledger.countRejected()
	return false
}

// Pause waits for d and returns true, or returns false once the host is closed.
func (h *Host) Pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-h.done:
		return false
	}
}

func isAdmin(ctx *fasthttp.RequestCtx) bool {
	path := string(ctx.Path())
	return path == pathFault || path == pathLedger
}

func (h *Host) handleAdmin(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == pathLedger && ctx.IsGet():
		JSON(ctx, fasthttp.StatusOK, h.ledger.Report())
	case path == pathFault && ctx.IsPost():
		h.handleFault(ctx)
	default:
		Fail(ctx, fasthttp.StatusNotFound, "no such admin call")
	}
}

func (h *Host) handleFault(ctx *fasthttp.RequestCtx) {
	order := ctx.PostBody()
	err := h.change(func(f Faults) (Faults, error) { return f.Merge(order) })
	if err != nil {
		Fail(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	JSON(ctx, fasthttp.StatusOK, h.Faults())
}
