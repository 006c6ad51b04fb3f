// Package targets communicates with model engines and plain services over HTTP. It
// carries out the core's decisions (dispatch, cancel, attach, order) and reports the
// results to the core. It never sends a request a second time on its own.
package targets

import (
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/inflight"
)

// Core accepts inputs of the entry's state machine.
type Core interface {
	// Submit queues an input. It returns false if the ring is full.
	Submit(entry.Input) bool
}

// Config configures Targets. Zero fields get defaults.
type Config struct {
	Core    Core
	Flights *inflight.Registry
	Log     *logrus.Logger

	// MaxRuns bounds the requests running at targets, and thereby the goroutines.
	MaxRuns int
	// ControlWorkers bounds concurrent cancellations and orders.
	ControlWorkers int
	// ProbeWorkers bounds concurrent probes.
	ProbeWorkers int

	DialTimeout time.Duration
	// KeepAlive is how long an idle connection is kept.
	KeepAlive time.Duration
	// IdleTimeout is the time without data from an engine, after its first token, after
	// which the stream is resumed on another connection.
	IdleTimeout time.Duration
	// ControlTimeout bounds one call to cancel, order or probe.
	ControlTimeout time.Duration
	// ResumeAttempts bounds resumptions in a row that bring no new token.
	ResumeAttempts int
	// ResumePause is the wait before a resumption that follows one without a new token.
	ResumePause time.Duration
	// ProgressEvery is the minimum time between two RunProgress inputs of one run.
	ProgressEvery time.Duration
	// AttachTimeout bounds the time for which another entry's stream is followed.
	AttachTimeout time.Duration
	// ProbeEvery is the time between two probes of one target.
	ProbeEvery time.Duration
	// Now is the clock. It defaults to time.Now.
	Now func() time.Time
}

func (c *Config) setDefaults() {
	setDefault(&c.MaxRuns, 4096)
	setDefault(&c.ControlWorkers, 64)
	setDefault(&c.ProbeWorkers, 32)
	setDefault(&c.DialTimeout, time.Second)
	setDefault(&c.KeepAlive, 5*time.Second)
	setDefault(&c.IdleTimeout, 5*time.Second)
	setDefault(&c.ControlTimeout, 2*time.Second)
	setDefault(&c.ResumeAttempts, 3)
	setDefault(&c.ResumePause, 50*time.Millisecond)
	setDefault(&c.ProgressEvery, 100*time.Millisecond)
	setDefault(&c.AttachTimeout, 10*time.Minute)
	setDefault(&c.ProbeEvery, time.Second)
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Targets runs requests at targets. Apart from Watch and Close its methods never block, so
// that the core's loop may call them.
type Targets struct {
	cfg     Config
	outbox  *outbox
	runs    pond.Pool
	control pond.Pool
	probes  pond.Pool

	mu      sync.Mutex
	running map[ident.RequestID]*run
	clients map[clientKey]*fasthttp.HostClient
	probing map[string]bool

	invalid invalidAnswers
}

type clientKey struct {
	address string
	kind    request.Kind
}

// New returns Targets with running workers. Close stops them.
func New(cfg Config) *Targets {
	cfg.setDefaults()
	return &Targets{
		cfg:     cfg,
		outbox:  newOutbox(cfg.Core),
		runs:    newPool(cfg.MaxRuns, 0),
		control: newPool(cfg.ControlWorkers, cfg.MaxRuns),
		probes:  newPool(cfg.ProbeWorkers, 0),
		running: make(map[ident.RequestID]*run),
		clients: make(map[clientKey]*fasthttp.HostClient),
		probing: make(map[string]bool),
	}
}

// newPool returns a pool that rejects tasks beyond its workers and queue.
func newPool(workers, queue int) pond.Pool {
	return pond.NewPool(workers, pond.WithQueueSize(queue), pond.WithNonBlocking(true))
}

// Close stops all workers and waits until the current runs and calls have ended.
func (t *Targets) Close() {
	t.probes.StopAndWait()
	t.runs.StopAndWait()
	t.control.StopAndWait()
	t.outbox.close()
}

// client returns the client of a target, and creates it if necessary.
func (t *Targets) client(address string, kind request.Kind) *fasthttp.HostClient {
	key := clientKey{address: address, kind: kind}
	t.mu.Lock()
	defer t.mu.Unlock()
	client, found := t.clients[key]
	if !found {
		idle := t.cfg.IdleTimeout
		if kind == request.Service {
			idle = 0
		}
		client = newClient(address, t.cfg, idle)
		t.clients[key] = client
	}
	return client
}

// Dispatch sends a request to a target and follows its answer. In every case it results
// in exactly one RunEnded.
func (t *Targets) Dispatch(d entry.Dispatch) {
	f := t.cfg.Flights.Get(d.ID)
	if f == nil || f.Answer.Ended() != nil {
		t.reportNotSent(d.ID)
		return
	}
	f.SetTarget(inflight.Target{Name: d.Target, Address: d.Address, Stream: d.ID})
	r := &run{
		t: t, f: f, stream: streamState{id: d.ID}, target: d.Target, address: d.Address,
		deadline: d.Deadline, notAfter: d.NotAfter, kind: d.Kind,
	}
	if !t.start(r, r.dispatch) {
		t.reportNotSent(d.ID)
	}
}

// Attach follows the stream of a request that another entry dispatched. The end of the
// stream ends the answer at this entry and is reported to the core by a RunEnded.
func (t *Targets) Attach(a entry.Attach) {
	if f := t.cfg.Flights.Get(a.ID); f != nil {
		at := inflight.Target{Name: a.Target, Address: a.Address, Stream: a.Of}
		t.Follow(f, at, func(result message.Result) {
			t.outbox.put(entry.RunEnded{ID: a.ID, Result: result, Wrote: true})
		})
	}
}

// Follow reads the stream of a flight at its target from the first token on. It returns
// true if it has started, or if the stream is already being followed.
func (t *Targets) Follow(f *inflight.Flight, at inflight.Target, ended func(message.Result)) bool {
	if !f.Follow() {
		return true
	}
	f.SetTarget(at)
	r := &run{
		t: t, f: f, stream: streamState{id: at.Stream}, target: at.Name, address: at.Address, kind: f.Kind,
		attached: true, onEnd: ended, deadline: t.cfg.Now().Add(t.cfg.AttachTimeout),
	}
	if t.start(r, r.attach) {
		return true
	}
	f.Finish(outcome.Undetermined(outcome.ReasonEntryFull, "this entry follows too many streams"))
	ended(message.ResultAborted)
	return false
}

func (t *Targets) start(r *run, work func()) bool {
	r.began = t.cfg.Now()
	t.mu.Lock()
	if !r.attached {
		t.running[r.f.ID] = r
	}
	t.mu.Unlock()
	if err := t.runs.Go(work); err != nil {
		t.forget(r)
		return false
	}
	return true
}

func (t *Targets) forget(r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[r.f.ID] == r {
		delete(t.running, r.f.ID)
	}
}

// reportNotSent reports to the core that a dispatch ended before anything was sent.
func (t *Targets) reportNotSent(id ident.RequestID) {
	t.outbox.put(entry.RunEnded{ID: id, Result: message.ResultNotAdmitted})
}

// Cancel gives the caller its status and cancels the run at its target.
func (t *Targets) Cancel(c entry.CancelRun) {
	t.cfg.Flights.Settle(entry.Settle(c))
	t.mu.Lock()
	r := t.running[c.ID]
	t.mu.Unlock()
	if r != nil {
		r.cancel()
	}
}
