// Package upstream sends single requests to targets over kept-alive connections. Its
// errors distinguish whether any part of a failed request was sent, whether the target
// may have run it, and whether the answer is complete and belongs to the request.
package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sycamoretrail/internal/answerhead"
	"sycamoretrail/internal/netconn"
)

var (
	// ErrNotSent is wrapped by errors after which the target has received no byte of the
	// request.
	ErrNotSent = errors.New("nothing was sent")
	// ErrBroken is wrapped by errors after which the target may have run the request.
	ErrBroken = errors.New("the connection to the target broke")
	// ErrMismatch is returned if the target sent only answers that belong to other requests.
	ErrMismatch = fmt.Errorf("%w: received no answer that belongs to the request", ErrInvalidAnswer)
)

// Options configures a Pool.
type Options struct {
	// Dial opens connections to addresses.
	Dial func(address string) (net.Conn, error)
	// KeepIdle is how long an idle connection is kept if the target announces no timeout.
	KeepIdle time.Duration
	// IdleMargin is subtracted from the keep-alive timeout that a target announces: a
	// request sent while the target closes the connection would be lost.
	IdleMargin time.Duration
	// MaxIdle bounds the number of idle connections to one address.
	MaxIdle int
	// Paused reports whether this process has been paused since a time; nil: it never is.
	Paused func(since time.Time) bool
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	options Options

	mutex  sync.Mutex
	idle   map[string][]*Conn
	opened int64
	// skipped counts the answers to other requests that were skipped.
	skipped atomic.Int64
}

// Conn is a connection to a target that carries one request at a time.
type Conn struct {
	net.Conn
	address string
	// reader buffers what source reads.
	reader  *bufio.Reader
	source  *source
	checker answerhead.Checker
	// number counts the connections of the pool in the order of their opening; opened is when
	// this one was opened, requests how many it has carried.
	number   int64
	opened   time.Time
	requests int
	carried  carriedIDs
	// keep is how long the connection may be idle.
	keep      time.Duration
	idleSince time.Time
	// writing is closed when the request's body has been written. It is nil unless the
	// body is written in the background.
	writing  chan struct{}
	writeErr error
}

// NewPool returns a pool without connections.
func NewPool(options Options) *Pool {
	return &Pool{options: options, idle: make(map[string][]*Conn)}
}

// Get returns a connection for a request: an idle one that has been used within maxAge and has not
// carried a request with this id, or a new one. Its errors wrap ErrNotSent.
func (p *Pool) Get(address, id string, maxAge time.Duration) (*Conn, error) {
	hash := hashID(id)
	for {
		conn := p.take(address, hash)
		if conn == nil {
			break
		}
		age := time.Since(conn.idleSince)
		if age < min(conn.keep, maxAge) && !netconn.Stale(conn.Conn) {
			return conn, nil
		}
		_ = conn.Close()
	}
	return p.open(address)
}

// GetNew returns a new connection. Its errors wrap ErrNotSent.
func (p *Pool) GetNew(address string) (*Conn, error) { return p.open(address) }

// open opens a connection. Its errors wrap ErrNotSent.
func (p *Pool) open(address string) (*Conn, error) {
	raw, err := p.options.Dial(address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	p.mutex.Lock()
	p.opened++
	number := p.opened
	p.mutex.Unlock()
	source := &source{conn: raw, left: unbounded}
	return &Conn{
		Conn: raw, address: address, reader: bufio.NewReaderSize(source, readBuffer), source: source, keep: p.options.KeepIdle,
		number: number, opened: time.Now(),
	}, nil
}

// probeSettle is the time in which a connection that is accepted by something on the way to the
// target, and then reset, shows it.
const probeSettle = 30 * time.Millisecond

// Probe opens a connection to a target and, if it lasts, keeps it for the next request.
func (p *Pool) Probe(address string) error {
	conn, err := p.open(address)
	if err != nil {
		return err
	}
	time.Sleep(probeSettle)
	if netconn.Stale(conn.Conn) {
		_ = conn.Close()
		return ErrBroken
	}
	p.put(conn)
	return nil
}

// alive reports whether a process listens at an address: it accepts a connection, which is kept for
// the next request. Idle connections show nothing: the kernel closes those of a process that has ended
// one after the other.
func (p *Pool) alive(address string) bool {
	conn, err := p.open(address)
	if err != nil {
		return false
	}
	p.put(conn)
	return true
}

// readBuffer is the size of a connection's read buffer. It holds the head of an answer or
// a few events.
const readBuffer = 4 << 10

// take removes and returns the most recently used idle connection, so that the others expire. It
// passes over those that have carried a request with this id.
func (p *Pool) take(address string, hash uint64) *Conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	conns := p.idle[address]
	for i := len(conns) - 1; i >= 0; i-- {
		if conn := conns[i]; !conn.carried.contains(hash) {
			p.idle[address] = slices.Delete(conns, i, i+1)
			return conn
		}
	}
	return nil
}

// put adds an idle connection, on which the last answer has ended cleanly. It closes the connection
// and returns false if there are enough of them.
func (p *Pool) put(conn *Conn) bool {
	conn.idleSince = time.Now()
	_ = conn.SetDeadline(time.Time{})
	p.mutex.Lock()
	defer p.mutex.Unlock()
	conns := p.idle[conn.address]
	if len(conns) >= p.options.MaxIdle {
		_ = conn.Close()
		return false
	}
	p.idle[conn.address] = append(conns, conn)
	return true
}

// Retain closes idle connections to addresses that are no longer in use, and those that
// have been idle for too long.
func (p *Pool) Retain(used func(address string) bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, conn := range conns {
			if used(address) && time.Since(conn.idleSince) < conn.keep {
				kept = append(kept, conn)
				continue
			}
			_ = conn.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// Forget closes the idle connections to an address.
func (p *Pool) Forget(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, conn := range p.idle[address] {
		_ = conn.Close()
	}
	delete(p.idle, address)
}

// Skipped returns the number of answers to other requests that were skipped so far.
func (p *Pool) Skipped() int64 { return p.skipped.Load() }

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.opened
}

// keepAlive returns how long the connection may be idle after an answer; 0 means that the
// target closes it.
func (p *Pool) keepAlive(response *http.Response) time.Duration {
	if response.Close {
		return 0
	}
	for _, part := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if name == "timeout" && err == nil {
			return max(0, time.Duration(seconds)*time.Second-p.options.IdleMargin)
		}
	}
	return p.options.KeepIdle
}
