package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/budget"
	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/crashes"
	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/core/fairshare"
	"sycamoretrail/internal/core/lending"
	"sycamoretrail/internal/core/peerset"
	"sycamoretrail/internal/core/quota"
	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/gossip"
	"sycamoretrail/internal/ingress"
	"sycamoretrail/internal/netconn"
	"sycamoretrail/internal/pause"
	"sycamoretrail/internal/settings"
	"sycamoretrail/internal/telemetry"
	"sycamoretrail/internal/upstream"
)

// errListen is wrapped by errors of opening the listening addresses of the process.
var errListen = errors.New("cannot listen")

// Connection options. A round trip takes a few milliseconds, so a target that has not accepted
// a connection after 400 ms is down or has a full accept queue. A target may be silent for a second
// and go on; what it has to acknowledge is given as long as its two keep-alive probes take.
var (
	callerConn = netconn.Options{Unacknowledged: 3 * time.Second, ProbeAfter: 2 * time.Second, ProbeEvery: time.Second}
	targetConn = netconn.Options{Connect: 400 * time.Millisecond, Unacknowledged: 2 * time.Second, ProbeAfter: time.Second, ProbeEvery: 500 * time.Millisecond}
	storeConn  = netconn.Options{Connect: 500 * time.Millisecond, Unacknowledged: time.Second, ProbeAfter: time.Second, ProbeEvery: 500 * time.Millisecond}
)

const (
	// targetKeepIdle is how long an idle connection to a target is kept if the target
	// announces no timeout, targetIdleMargin the margin before an announced one.
	targetKeepIdle   = 4 * time.Second
	targetIdleMargin = 700 * time.Millisecond
	// targetMaxIdle bounds the idle connections to one target.
	targetMaxIdle = 16
)

// StoreDial opens connections to the metadata store.
func StoreDial(address string) (net.Conn, error) { return storeConn.Dial(address) }

const (
	// maxHeader is the upper limit of what a configuration can allow. defaultMaxBody applies where it sets no
	// limit.
	maxHeader      = 32 << 10
	defaultMaxBody = 8 << 20
	// defaultHeadTimeout and defaultIdleTimeout apply where the configuration sets no limit, or is not known.
	defaultHeadTimeout = 10 * time.Second
	defaultIdleTimeout = 75 * time.Second
	// linkAllowance is added to the time that callers have for a head: a link may hold bytes back for as long
	// before the connection counts as lost.
	linkAllowance = 3 * time.Second
	// heartbeatEvery is the interval of heartbeats to the entries of the cell. failureTimeout
	// is three intervals and a delay; relayedFailureTimeout is eight digests.
	heartbeatEvery        = 250 * time.Millisecond
	failureTimeout        = 900 * time.Millisecond
	relayedFailureTimeout = 4 * time.Second
	// removalTimeout is the time without contact after which an entry is assumed to have been
	// replaced.
	removalTimeout = 20 * time.Second
	// listTTL is how long callers may keep a list of entries: a stopped entry still gets
	// requests for that long.
	listTTL = time.Second
)

// Gateway is one entry process.
type Gateway struct {
	settings settings.Gateway
	platform Platform
	self     peerset.Entry
	started  time.Time

	logger   *logrus.Logger
	log      *eventlog.Log
	metrics  *telemetry.Metrics
	counters struct {
		settled, tries, updates, excess, late, droppedAnnouncements, handoffs, reconnects, acceptErrors, contradictions tally
		malformed, invalidAnswers, originRecords                                                                        tally
	}

	// pauses detects that this process did not run.
	pauses *pause.Detector
	state  *state
	pool   *upstream.Pool
	links  *links
	feeds  *feeds
	// isolation tracks whether targets can be reached.
	isolation *isolation
	handoffs  *handoffs
	origins   *origins
	// held accounts for the memory that clients make this entry hold.
	held *heldMemory

	// applying serializes changes of the configuration, so that versions stay in order when
	// two sources deliver one at the same time.
	applying      sync.Mutex
	configuration atomic.Pointer[catalog.Configuration]
	// shares is nil unless contended targets are shared between organisations.
	shares atomic.Pointer[shares]
	// syncDone is closed, once, when this entry has configuration and targets.
	syncDone chan struct{}
	syncOnce sync.Once
	running  atomic.Int64
	draining atomic.Bool
	// failed: a listener has ended and can't be brought back, so that this entry is not ready.
	failed atomic.Bool
	gates  gates
	// closedClients are the connections that were closed for what their clients did.
	closedClients closedClients
	// shutdown is set when this entry is to stop.
	shutdown atomic.Pointer[shutdownTimes]
	// lateInStop is closed when no request is passed on any more that may outlast the process.
	lateInStop chan struct{}
}

// advertisedLinks returns the address to which the other entries send.
func advertisedLinks(s settings.Gateway) string {
	if s.AnnouncedLinksAddress != "" {
		return s.AnnouncedLinksAddress
	}
	return s.LinksAddress
}

func schedulerConfig(s settings.Gateway) dispatch.Config {
	return dispatch.Config{
		Name: s.Name, Zone: s.Zone, Admission: s.Load.Admission, LateLast: s.Load.LateLast,
		Lending: s.Load.Lending,
	}
}

// New returns an entry that does not listen yet.
func New(s settings.Gateway, platform Platform, logger *logrus.Logger) *Gateway {
	options := targetConn
	options.Source = net.ParseIP(s.SourceAddress)
	return NewWithDial(s, platform, logger, options.Dial)
}

// NewWithDial is New with another way to open connections to targets.
func NewWithDial(s settings.Gateway, platform Platform, logger *logrus.Logger, dialTarget func(address string) (net.Conn, error)) *Gateway {
	now := time.Now()
	gates := newGates(ingress.Descriptors(s.MaxDescriptors), s.MemoryMB)
	pauses := &pause.Detector{}
	g := &Gateway{
		gates: gates, pauses: pauses,
		settings: s, platform: platform, started: now, logger: logger, syncDone: make(chan struct{}), lateInStop: make(chan struct{}),
		log:     eventlog.New(logger, time.Now),
		metrics: telemetry.NewMetrics(s.Name, s.Zone),
		self: peerset.Entry{
			Name: s.Name, Incarnation: rand.Uint64(), Zone: s.Zone, Callers: s.CallersAddress, Links: advertisedLinks(s),
		},
		pool: upstream.NewPool(upstream.Options{Dial: gates.callers.Dialer(dialTarget), KeepIdle: targetKeepIdle, IdleMargin: targetIdleMargin, MaxIdle: targetMaxIdle, Paused: pauses.Since}),
	}
	g.state = &state{
		log:         g.log,
		sched:       dispatch.New(schedulerConfig(s)),
		quota:       quota.New(quotaConfig(s.Bounds), now),
		policer:     fairshare.NewPolicer(settings.Seconds(s.Bounds.QuotaWindowS)),
		budget:      budget.New(budgetConfig(s.Bounds), now),
		causes:      crashes.NewCauses(randomPart),
		peers:       peerset.New(peerset.Config{FailureTimeout: failureTimeout, RelayedFailureTimeout: relayedFailureTimeout, Removal: removalTimeout}, g.self),
		waiters:     make(map[*dispatch.Ticket]chan slotResult),
		loadUrgent:  make(chan struct{}, 1),
		loadChanged: make(chan struct{}, 1),
	}
	if s.Load.Lending {
		g.state.leases = lending.New()
	}
	g.state.causes.SetAllowed(s.AllowedCauses)
	g.state.quota.SetPeersKnown(false)
	g.state.rollouts = newRollouts(g)
	g.feeds = newFeeds(g)
	g.isolation = newIsolation(g)
	g.handoffs = newHandoffs(g)
	g.origins = newOrigins(g)
	g.held = newHeldMemory(heldBytes(s.MemoryMB))
	g.gates.onClose(g.closedClients.add)
	return g
}

// Run serves until the context ends, then drains.
func (g *Gateway) Run(ctx context.Context) error {
	servers, err := g.listen()
	if err != nil {
		return err
	}
	work, stop := context.WithCancel(context.Background())
	defer stop()
	g.log.Write(eventlog.StateChange, eventStart, eventlog.Fields{"incarnation": g.self.Incarnation, "callers": g.settings.CallersAddress})
	go g.links.receive()
	go g.links.run(work)
	go g.feeds.run(work)
	go g.state.rollouts.run(work)
	go g.origins.log.run(work)
	go g.origins.versionLog.run(work)
	go g.housekeep(work)
	go g.pauses.Run(work, g.handlePause)
	go g.isolation.run(work)
	for _, s := range servers {
		go g.serveOn(s)
	}
	<-ctx.Done()
	g.drain(servers)
	g.log.Write(eventlog.StateChange, eventStop, eventlog.Fields{"running": g.running.Load()})
	g.log.Close(200 * time.Millisecond)
	return nil
}

// server is one HTTP listener.
type server struct {
	name     string
	listener net.Listener
	http     *fasthttp.Server
}

func (g *Gateway) listen() ([]*server, error) {
	conn, err := gossip.Listen(g.settings.LinksAddress)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errListen, err)
	}
	g.links = newLinks(g, conn)
	directory := g.platform.Directory(g.serving, min(listTTL, settings.Seconds(g.settings.Bounds.ListLifeS)))
	endpoints := []struct {
		name, address string
		handler       fasthttp.RequestHandler
		expect        func(*fasthttp.RequestCtx) int
	}{
		{"callers", g.settings.CallersAddress, g.serve, g.expect},
		{"handoffs", g.settings.LinksAddress, g.serveHandedOff, nil},
		{"directory", g.settings.DirectoryAddress, withoutBody(directory), refuseBody},
		{"ready", g.settings.ReadyAddress, withoutBody(g.platform.Ready(g.ready)), refuseBody},
		{"metrics", g.settings.MetricsAddress, withoutBody(g.metrics.Handler), refuseBody},
	}
	var servers []*server
	for _, w := range endpoints {
		if w.address == "" {
			continue
		}
		config := callerConn.ListenConfig()
		listener, err := config.Listen(context.Background(), "tcp", w.address)
		if err != nil {
			return nil, fmt.Errorf("%w: %s: %w", errListen, w.name, err)
		}
		servers = append(servers, &server{name: w.name, listener: g.bounded(w.name, listener), http: g.newServer(w.name, w.handler, w.expect)})
	}
	return servers, nil
}

// discardLogger drops the log lines of the HTTP server library, which report only faults of
// callers.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

func (g *Gateway) serveOn(s *server) {
	err := s.http.Serve(s.listener)
	if g.draining.Load() && (err == nil || errors.Is(err, net.ErrClosed)) {
		return
	}
	g.logger.WithError(err).WithField("listener", s.name).Error("HTTP listener failed")
	g.failed.Store(true)
}

// synced reports whether this entry has a configuration, the registry of targets and, if there are
// orders, what has become of them.
func (g *Gateway) synced() bool {
	return g.configuration.Load() != nil && g.feeds.hasTargets() && g.feeds.progressPending.Load() == 0
}

// ready reports whether this entry accepts callers' requests.
func (g *Gateway) ready() bool { return !g.draining.Load() && !g.failed.Load() && g.synced() }

// noteSynced releases the requests that arrived before this entry was synced.
func (g *Gateway) noteSynced() {
	if g.synced() {
		g.syncOnce.Do(func() {
			close(g.syncDone)
			g.links.announce()
		})
	}
}

// isSynced reports whether requests can be handled. Once they can, they always can.
func (g *Gateway) isSynced() bool { return isClosed(g.syncDone) }

// awaitSynced waits until this entry is synced. It returns false if the limit passes first.
func (g *Gateway) awaitSynced(limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-g.syncDone:
		return true
	case <-timer.C:
		return false
	}
}

func (g *Gateway) ownState() peerset.State {
	switch {
	case g.draining.Load():
		return peerset.Draining
	case g.ready():
		return peerset.Ready
	default:
		return peerset.Starting
	}
}

// maxListed is the number of addresses that callers read from a list.
const maxListed = 64

// serving returns the addresses to which callers may connect.
func (g *Gateway) serving() []string {
	g.state.mutex.Lock()
	members := g.state.peers.Serving(time.Now())
	g.state.mutex.Unlock()
	var addresses []string
	if g.ready() {
		addresses = append(addresses, g.self.Callers)
	}
	for _, m := range members {
		addresses = append(addresses, m.Callers)
	}
	if len(addresses) > maxListed {
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		addresses = addresses[:maxListed]
	}
	return addresses
}

const (
	// housekeepEvery is the interval of checks for idle connections and unresponsive peers.
	housekeepEvery = time.Second
	// gaugesEvery is the interval of updates of the gauges, that of some collectors: updated
	// each second, the use of quotas over all entries took a quarter of an idle entry's
	// processor time.
	gaugesEvery = 5 * time.Second
)

func (g *Gateway) housekeep(ctx context.Context) {
	ticker := time.NewTicker(housekeepEvery)
	defer ticker.Stop()
	gauges := time.NewTicker(gaugesEvery)
	defer gauges.Stop()
	var evicted, refused int64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			evicted, refused = g.logRoomMade(evicted, refused)
			g.logClosedClients()
			g.pool.Retain(g.feeds.inUse)
			g.handoffs.pool.Retain(func(string) bool { return true })
			g.links.prune()
		case <-gauges.C:
			g.reportGauges()
		}
	}
}
