package peers

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
)

// DefaultIdleTimeout is the time without any frame from the peer after which a link is
// considered dead.
const DefaultIdleTimeout = 6 * time.Second

// Options configures Links.
type Options struct {
	Self message.Member
	// Key is the shared key.
	Key []byte
	// AcceptedKey is a second key with which a peer may authenticate; nil means none.
	AcceptedKey []byte
	// TLS is nil for plain TCP.
	TLS *tls.Config
	// Seeds are addresses that are dialled from the start and never forgotten.
	Seeds []string
	// Deliver passes an input to the core loop. It may block until the loop has
	// capacity, which applies back pressure to the peer's connection.
	Deliver func(entry.Input)
	Log     logrus.FieldLogger
	// ServeFailed is called if the listener has ended by itself; nil: it is only logged.
	ServeFailed func(error)
	// IdleTimeout and QueueSize have the package's defaults if zero.
	IdleTimeout time.Duration
	QueueSize   int
	// Version is message.Version if zero.
	Version int
}

// Links holds the links of this entry, one for each peer. The end with the
// smaller incarnation dials. If both ends did, each pair would get two links and
// one of them would have to be closed while it carries messages.
type Links struct {
	options  Options
	identity identity
	counters counters
	server   *fasthttp.Server
	ctx      context.Context
	cancel   context.CancelFunc
	group    sync.WaitGroup

	mutex     sync.RWMutex
	links     map[ident.Incarnation]*link
	addresses map[string]*address
}

// New returns the links of an entry. Start begins to accept and to dial.
func New(options Options) *Links {
	if options.IdleTimeout == 0 {
		options.IdleTimeout = DefaultIdleTimeout
	}
	if options.QueueSize == 0 {
		options.QueueSize = QueueSize
	}
	if options.Version == 0 {
		options.Version = message.Version
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Links{
		options:   options,
		identity:  identity{version: options.Version, self: options.Self, key: options.Key, accepted: options.AcceptedKey},
		ctx:       ctx,
		cancel:    cancel,
		links:     make(map[ident.Incarnation]*link),
		addresses: make(map[string]*address),
	}
	l.server = newServer(l)
	return l
}

// Start accepts links on the listener and dials the seeds.
func (l *Links) Start(listener net.Listener) {
	if l.options.TLS != nil {
		listener = tls.NewListener(listener, l.options.TLS)
	}
	l.group.Go(func() {
		if err := l.server.Serve(listener); err != nil {
			l.options.Log.WithError(err).Error("peer listener failed")
			if l.options.ServeFailed != nil {
				l.options.ServeFailed(err)
			}
		}
	})
	for _, seed := range l.options.Seeds {
		l.addAddress(seed, sourceSeed)
	}
}

// SetListed sets the peer addresses that the instance list contains.
func (l *Links) SetListed(list []string) {
	l.mutex.Lock()
	for _, a := range l.addresses {
		a.listed = false
	}
	l.mutex.Unlock()
	for _, text := range list {
		l.addAddress(text, sourceList)
	}
}

// Send queues a message for a peer and never blocks. Without a link the message is
// dropped and counted.
func (l *Links) Send(to ident.Incarnation, m message.Message) {
	l.mutex.RLock()
	link := l.links[to]
	l.mutex.RUnlock()
	if link == nil {
		l.counters.noLink.Add(1)
		return
	}
	link.send(m)
}

// Stats returns the current values of the counters.
func (l *Links) Stats() Stats {
	stats := l.counters.read()
	l.mutex.RLock()
	stats.Links = len(l.links)
	l.mutex.RUnlock()
	return stats
}

// Close closes all links and waits until their PeerDown inputs have been delivered.
func (l *Links) Close() {
	l.cancel()
	l.mutex.Lock()
	for _, link := range l.links {
		link.stop(errClosed)
	}
	l.mutex.Unlock()
	if err := l.server.Shutdown(); err != nil {
		l.options.Log.WithError(err).Warn("peer listener was not shut down")
	}
	l.group.Wait()
}

// serve runs a link until it ends. An existing link with the same incarnation must be
// half-open, since the dialler has opened a new one. It is closed first, so that
// PeerDown of the old link is delivered before PeerUp of the new one.
func (l *Links) serve(k *link) error {
	for !l.register(k) {
		l.mutex.RLock()
		old := l.links[k.member.Incarnation]
		l.mutex.RUnlock()
		if old != nil {
			old.stop(errReplaced)
			<-old.done
		}
	}
	if l.ctx.Err() != nil {
		k.stop(errClosed)
	}
	l.wakeAddress(k.member.PeerAddress)
	l.options.Log.WithFields(peerFields(k.member)).Info("peer link is up")
	err := k.run()
	l.unregister(k)
	line := l.options.Log.WithFields(peerFields(k.member)).WithError(err)
	if errors.Is(err, errClosed) {
		line.Info("peer link is down") // this process is shutting down
	} else {
		line.Warn("peer link is down")
	}
	return err
}

func (l *Links) register(k *link) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if old := l.links[k.member.Incarnation]; old != nil {
		select {
		case <-old.done:
		default:
			return false
		}
	}
	l.links[k.member.Incarnation] = k
	return true
}

func (l *Links) unregister(k *link) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.links[k.member.Incarnation] == k {
		delete(l.links, k.member.Incarnation)
	}
	if a := l.addresses[k.member.PeerAddress]; a != nil {
		a.wakeUp()
	}
}

// linkedAt returns the link to the peer that reports this address as its own, or that
// answered there although it reports another address.
func (l *Links) linkedAt(a *address) *link {
	l.mutex.RLock()
	defer l.mutex.RUnlock()
	for _, k := range l.links {
		if k.member.PeerAddress == a.text || k.member.Incarnation == a.last {
			return k
		}
	}
	return nil
}

// dials reports whether this end opens the link to a peer.
func (l *Links) dials(peer ident.Incarnation) bool {
	return l.options.Self.Incarnation < peer
}

func peerFields(m message.Member) logrus.Fields {
	return logrus.Fields{"peer": m.Name, "incarnation": string(m.Incarnation), "address": m.PeerAddress}
}
