package peers

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/fasthttp/websocket"

	"sycamoretrail/internal/backoff"
	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
)

const (
	dialTimeout = 2 * time.Second
	backoffMin  = 50 * time.Millisecond
	backoffMax  = 3 * time.Second
	// forgetRefused and forgetSilent end the dialling of an address that neither
	// the settings nor the instance list names any more: so many refusals in a
	// row, or no answer for so long.
	forgetRefused = 10
	forgetSilent  = time.Hour
	// maxAddresses bounds the addresses known.
	maxAddresses = 4096
)

// source says how an address became known.
type source int

const (
	sourceSeed source = iota
	sourceList
	sourceHello
)

// address is a place where a peer is, was or may be, with its own goroutine.
type address struct {
	text string
	// seed and listed are guarded by the mutex of Links.
	seed, listed bool
	wake         chan struct{}

	// The rest belongs to the goroutine of the address.
	last     ident.Incarnation
	reported bool
	refusals int
	lastOK   time.Time
	backoff  backoff.Backoff
}

// nudge ends the current wait of the address.
func (a *address) nudge() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// learn adds an address, unless it is our own.
func (l *Links) learn(text string, from source) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if text == "" || text == l.options.Self.PeerAddress || l.ctx.Err() != nil {
		return
	}
	a := l.addresses[text]
	if a == nil {
		if len(l.addresses) >= maxAddresses {
			return
		}
		a = &address{
			text:    text,
			wake:    make(chan struct{}, 1),
			lastOK:  time.Now(),
			backoff: backoff.Backoff{Min: backoffMin, Max: backoffMax},
		}
		l.addresses[text] = a
		l.group.Go(func() { l.tend(a) })
	}
	a.seed = a.seed || from == sourceSeed
	a.listed = a.listed || from == sourceList
}

func (l *Links) nudge(text string) {
	l.mutex.RLock()
	defer l.mutex.RUnlock()
	if a := l.addresses[text]; a != nil {
		a.nudge()
	}
}

// tend keeps a link to whoever has the address, and finds out when that process
// is gone.
func (l *Links) tend(a *address) {
	for l.ctx.Err() == nil {
		if k := l.linkedAt(a); k != nil {
			l.await(a, k)
			continue
		}
		err := l.try(a)
		if errors.Is(err, ErrSelf) || l.forget(a) {
			return
		}
		if !a.backoff.Sleep(l.ctx, a.wake) {
			return
		}
	}
}

// await waits for the end of a link that stands.
func (l *Links) await(a *address, k *link) {
	a.found(k.member.Incarnation)
	a.backoff.Reset()
	select {
	case <-k.done:
		// The table forgets the link right after; then the address is dialled.
		l.unregister(k)
	case <-l.ctx.Done():
	}
}

// found notes who answered at the address.
func (a *address) found(who ident.Incarnation) {
	a.last, a.reported = who, false
	a.refusals = 0
	a.lastOK = time.Now()
}

// veto ends a hello with ourselves, and one with a peer that is linked already:
// completing it would make the peer replace a link that works.
func (l *Links) veto(peer message.Member) error {
	if peer.Incarnation == l.options.Self.Incarnation {
		return ErrSelf
	}
	l.mutex.RLock()
	defer l.mutex.RUnlock()
	if l.links[peer.Incarnation] != nil {
		return errLinked
	}
	return nil
}

// try dials once. The end that does not dial also tries, to learn who is there:
// after a broken link it must find out whether the process is gone.
func (l *Links) try(a *address) error {
	conn, err := l.dial(a.text)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			a.refusals++
			l.gone(a, "")
			return err
		}
		l.refused(a.text, err)
		return err
	}
	defer conn.Close()
	limitHello(conn)
	member, err := l.identity.dialHello(conn, l.veto)
	if err != nil && !errors.Is(err, errLinked) {
		l.refused(a.text, err)
		return err
	}
	l.gone(a, member.Incarnation)
	a.found(member.Incarnation)
	if err != nil || !l.dials(member.Incarnation) {
		return nil
	}
	a.backoff.Reset()
	return l.hold(newLink(conn, member, l))
}

// gone reports the process that was last at the address, where now there is
// nobody (empty) or another incarnation. Once is enough.
func (l *Links) gone(a *address, now ident.Incarnation) {
	if a.last == "" || a.last == now || a.reported {
		return
	}
	a.reported = true
	l.options.Deliver(entry.PeerDown{Incarnation: a.last, Refused: true})
}

// forget drops an address that nobody names and nobody answers at; about as many
// are left behind a day as instances are replaced.
func (l *Links) forget(a *address) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	useless := a.refusals >= forgetRefused || time.Since(a.lastOK) > forgetSilent
	if a.seed || a.listed || !useless {
		return false
	}
	delete(l.addresses, a.text)
	return true
}

func (l *Links) dial(text string) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	defer cancel()
	dialer := websocket.Dialer{
		TLSClientConfig:  l.options.TLS,
		HandshakeTimeout: dialTimeout,
		ReadBufferSize:   bufferSize,
		WriteBufferSize:  bufferSize,
	}
	scheme := "ws://"
	if l.options.TLS != nil {
		scheme = "wss://"
	}
	conn, _, err := dialer.DialContext(ctx, scheme+text+linkPath, nil)
	return conn, err
}
