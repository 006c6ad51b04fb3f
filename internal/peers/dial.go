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
	// An address that is neither in the settings nor in the instance list is no longer
	// dialled after forgetAfterRefusals refusals in a row, or without an answer for
	// forgetAfterTime.
	forgetAfterRefusals = 10
	forgetAfterTime     = time.Hour
	// maxAddresses bounds the number of known addresses.
	maxAddresses = 4096
)

// source is the origin of an address.
type source int

const (
	sourceSeed source = iota
	sourceList
	sourceHello
)

// address is an address at which a peer is, was or may be reachable. Each has its own
// goroutine.
type address struct {
	text string
	// seed and listed are guarded by the mutex of Links.
	seed, listed bool
	wake         chan struct{}

	// The fields below are used only by the goroutine of the address.
	last     ident.Incarnation
	reported bool
	refusals int
	lastOK   time.Time
	backoff  backoff.Backoff
}

// wakeUp ends the current wait of the address's goroutine.
func (a *address) wakeUp() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// addAddress adds an address, unless it is this entry's own.
func (l *Links) addAddress(text string, from source) {
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
		l.group.Go(func() { l.maintain(a) })
	}
	a.seed = a.seed || from == sourceSeed
	a.listed = a.listed || from == sourceList
}

func (l *Links) wakeAddress(text string) {
	l.mutex.RLock()
	defer l.mutex.RUnlock()
	if a := l.addresses[text]; a != nil {
		a.wakeUp()
	}
}

// maintain keeps a link to the process at the address, and detects when this process has
// terminated.
func (l *Links) maintain(a *address) {
	for l.ctx.Err() == nil {
		if k := l.linkedAt(a); k != nil {
			l.waitForEnd(a, k)
			continue
		}
		err := l.tryDial(a)
		if errors.Is(err, ErrSelf) || l.forget(a) {
			return
		}
		if !a.backoff.Sleep(l.ctx, a.wake) {
			return
		}
	}
}

// waitForEnd waits until an established link ends.
func (l *Links) waitForEnd(a *address, k *link) {
	a.answeredBy(k.member.Incarnation)
	a.backoff.Reset()
	select {
	case <-k.done:
		// serve removes the link from the table only a little later. Removing it here
		// lets the address be dialled at once.
		l.unregister(k)
	case <-l.ctx.Done():
	}
}

// answeredBy records the process that answered at the address.
func (a *address) answeredBy(who ident.Incarnation) {
	a.last, a.reported = who, false
	a.refusals = 0
	a.lastOK = time.Now()
}

// rejectLinked aborts a hello with this entry itself, and one with a peer that is already
// linked: completing it would make the peer replace a working link.
func (l *Links) rejectLinked(peer message.Member) error {
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

// tryDial dials once. The end that does not open links also dials, to identify the process
// at the address: after a broken link it must find out whether the peer has terminated.
func (l *Links) tryDial(a *address) error {
	conn, err := l.dial(a.text)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			a.refusals++
			l.reportTerminated(a, "")
			return err
		}
		l.logFailedHello(a.text, err)
		return err
	}
	defer conn.Close()
	limitHandshake(conn)
	member, err := l.identity.dialHello(conn, l.rejectLinked)
	if err != nil && !errors.Is(err, errLinked) {
		l.logFailedHello(a.text, err)
		return err
	}
	l.reportTerminated(a, member.Incarnation)
	a.answeredBy(member.Incarnation)
	if err != nil || !l.dials(member.Incarnation) {
		return nil
	}
	a.backoff.Reset()
	return l.serve(newLink(conn, member, l))
}

// reportTerminated reports, once, that the process last seen at the address has
// terminated. now is the incarnation that answers there instead, or empty if
// connections are refused.
func (l *Links) reportTerminated(a *address, now ident.Incarnation) {
	if a.last == "" || a.last == now || a.reported {
		return
	}
	a.reported = true
	l.options.Deliver(entry.PeerDown{Incarnation: a.last, Refused: true})
}

// forget removes an address that has no source any more and at which no process
// answers. About as many such addresses accumulate per day as instances are replaced.
func (l *Links) forget(a *address) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	abandoned := a.refusals >= forgetAfterRefusals || time.Since(a.lastOK) > forgetAfterTime
	if a.seed || a.listed || !abandoned {
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
