package gateway

import (
	"errors"
	"hash/maphash"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/crashes"
	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/core/quota"
	"sycamoretrail/internal/core/streams"
	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/ingress"
	"sycamoretrail/internal/upstream"
)

// call is one request of a caller, from its arrival to the end of the answer.
type call struct {
	gateway  *Gateway
	ctx      *fasthttp.RequestCtx
	conn     *ingress.Conn
	envelope Envelope

	// arrived is when the request had arrived: its head, and the time that the caller took for the body.
	arrived time.Time
	// leaves is when the caller stops waiting, expires when the caller or the route does.
	leaves, expires time.Time
	config          *catalog.Configuration
	route           *catalog.Route
	organisation    string
	service         string
	priority        int
	// routePriority: the priority is that of the route. excess: the request is beyond its
	// organisation's pace.
	routePriority, excess bool
	// cost counts against the organisation's quota. metered: the request is subject to a
	// quota; reserved: it is counted as waiting.
	cost              float64
	metered, reserved bool
	fingerprint       crashes.Fingerprint
	// causes are what the request has in common with others and might crash targets. onProbe is the
	// one that the current run tries.
	causes  []crashes.Cause
	onProbe *crashes.Cause

	// disconnected is closed when the caller has disconnected.
	disconnected chan struct{}
	// mutex guards callerLeft, which handleDisconnect sets, and sending, the connection that
	// it then closes.
	mutex      sync.Mutex
	callerLeft bool
	sending    *upstream.Conn

	// sends is the number of targets that received any byte of the request, runs the number
	// that may have run it.
	sends, runs int
	tried       []string
	// failure is an error answer of a target, which is passed on if no other answer comes.
	failure *bufferedAnswer
	// origin is the service and software version that began the stream; nil: it has not begun, or
	// any may continue it.
	origin *streams.Origin
	// lastEvent is the id of the last event that was passed to the caller.
	lastEvent string
	// positionUnknown: an event without an id has been passed to the caller since, so that no
	// target can continue after it.
	positionUnknown bool
	// events is the number of events that were passed to the caller.
	events  int
	firstAt time.Time
	// lastEventAt is when the last event arrived, longestPause the longest pause between two
	// events, also across targets.
	lastEventAt  time.Time
	longestPause time.Duration
	// waited is the time for which the request has waited for slots, target the last target
	// that was granted to it.
	waited time.Duration
	target string
	// use describes the connection of the current try; nil: none has carried the request. kept: the
	// connection was returned to the pool.
	use  *upstream.Use
	kept bool
	// body is the body of the request; unread: it has not been read to its end. holding is the memory that the
	// call holds; nil before its organisation is known.
	body   []byte
	unread bool
	// closing: the connection is closed with the answer.
	closing bool
	holding *holding
	// ending describes how the body of the current try ended; nil: no body was read to its end.
	ending *answerEnding
	ended  bool
	// answeredBy is where the answer to the caller comes from. declaredNotRun: the target's answer to the
	// current try declares that it did not run the request.
	answeredBy     answerSource
	declaredNotRun bool

	// handedOff: the request comes from another entry, which could not bring it to a target.
	handedOff bool
	// handoffSend is the value of HeaderHandoffSend in a request from another entry.
	handoffSend string
	// requiredVersion is the least version of the configuration by which the request may be handled.
	requiredVersion int64
	// unreached is the number of targets that could not be reached. connectionBroke: the connection
	// of a run broke.
	unreached       int
	connectionBroke bool
}

// answerEnding is how the body of a target's answer ended.
type answerEnding struct {
	framing upstream.Framing
	// unfinished is the number of bytes after a stream's last complete event.
	unfinished int
}

// splitSeed makes the choice between the services of a split route depend on the request id,
// so that a retry with a new id may be sent to the other service.
var splitSeed = maphash.MakeSeed()

// serve is the handler of all callers' requests.
func (g *Gateway) serve(ctx *fasthttp.RequestCtx) {
	g.newCall(ctx).serve()
}

func (g *Gateway) newCall(ctx *fasthttp.RequestCtx) *call {
	c := &call{gateway: g, ctx: ctx, arrived: time.Now(), answeredBy: fromEntry, disconnected: make(chan struct{}), unread: true}
	c.conn, _ = ctx.Conn().(*ingress.Conn)
	g.running.Add(1)
	return c
}

func (c *call) serve() {
	if c.gateway.draining.Load() {
		c.ctx.SetConnectionClose()
	}
	reply := c.admitHead()
	if reply == nil {
		reply = c.receive()
	}
	if reply == nil {
		reply = c.admit()
	}
	if reply != nil {
		c.refuse(reply)
		return
	}
	if c.conn != nil {
		c.conn.Watch(c.handleDisconnect)
	}
	c.run()
}

// admitHead checks what the head of the request shows: configuration, route, organisation and sizes. It returns
// the reply to a refused request, or nil.
func (c *call) admitHead() *reply {
	header := &c.ctx.Request.Header
	envelope, err := c.gateway.platform.ReadEnvelope(header)
	c.envelope = envelope
	if err := errors.Join(err, ingress.CheckHeaderNames(header)); err != nil {
		return badRequest(err.Error())
	}
	if reply := c.awaitSynced(); reply != nil {
		return reply
	}
	c.config = c.gateway.configuration.Load()
	if c.config.Version < c.requiredVersion {
		return outdated
	}
	host, path := hostAndPath(header)
	route, found := c.config.Match(host, path)
	if !found {
		return noRoute
	}
	c.route = route
	c.priority, c.routePriority = route.Priority, true
	if reply := c.authenticate(); reply != nil {
		return reply
	}
	if reply := c.checkSize(); reply != nil {
		return reply
	}
	c.leaves = c.arrived.Add(c.waitLimit())
	c.setExpiry()
	return c.acceptInStop(c.arrived)
}

// awaitSynced waits, for a part of the caller's time, until this entry can handle requests.
func (c *call) awaitSynced() *reply {
	if c.gateway.isSynced() {
		return nil
	}
	if c.conn != nil {
		c.conn.EndBody() // the client is not what it waits for
	}
	if !c.gateway.awaitSynced(fraction(c.waitLimit(), startupWaitShare)) {
		return notReady
	}
	return nil
}

// admit checks the whole request: the stream that it continues, targets that it may crash, and its organisation's
// quota. It returns the reply to a refused request, or nil.
func (c *call) admit() *reply {
	c.chooseService()
	if reply := c.findOrigin(); reply != nil {
		return reply
	}
	if reply := c.checkCrashes(); reply != nil {
		return reply
	}
	return c.checkQuota()
}

// chooseService chooses the service that runs the request. A stream that has begun stays at its own,
// unless the operators have moved the route to others: versions of two services are not comparable.
func (c *call) chooseService() {
	if c.origin != nil && c.route.UsesService(c.origin.Service) {
		c.service = c.origin.Service
		return
	}
	c.origin = nil
	c.service = c.route.Service(float64(maphash.String(splitSeed, c.envelope.ID)%1000) / 1000)
}

// hostAndPath returns the host without port, in lower case, and the path without query.
func hostAndPath(header *fasthttp.RequestHeader) (host, path string) {
	host = strings.ToLower(string(header.Host()))
	if i := strings.LastIndexByte(host, ':'); i > 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	path, _, _ = strings.Cut(string(header.RequestURI()), "?")
	return host, path
}

func (c *call) authenticate() *reply {
	if !c.config.HasOrganisations() {
		return nil
	}
	organisation, found := c.config.OrganisationByKey(c.envelope.Key)
	if !found {
		if c.route.Public {
			return nil
		}
		return unknownKey
	}
	c.organisation = organisation.Name
	if organisation.Priority != nil {
		c.priority, c.routePriority = *organisation.Priority, false
	}
	c.cost = costOf(organisation, &c.envelope)
	return nil
}

func costOf(organisation *catalog.Organisation, envelope *Envelope) float64 {
	switch {
	case !organisation.CountsTokens:
		return 1
	case envelope.DeclaresTokens:
		return float64(envelope.PromptTokens + envelope.OutputTokens)
	default:
		return organisation.PlainCost
	}
}

const (
	// defaultWaitLimit applies where neither the caller nor the route sets a limit.
	defaultWaitLimit = 30 * time.Second
	// startupWaitShare is the share of a caller's wait limit for which this entry holds the
	// request while it is still loading configuration and targets. After a loss of all entries
	// most callers are then served, late, instead of using up their few retries on refusals.
	startupWaitShare = 0.2
)

// waitLimit returns how long the caller waits.
func (c *call) waitLimit() time.Duration {
	if c.envelope.WaitLimit == 0 {
		return defaultWaitLimit
	}
	return c.envelope.WaitLimit
}

// setExpiry sets when the request expires. The route's time begins when the request has arrived.
func (c *call) setExpiry() {
	c.expires = c.leaves
	if byRoute := c.arrived.Add(c.route.Timeout); c.route.Timeout > 0 && byRoute.Before(c.leaves) {
		c.expires = byRoute
	}
}

// heldRecheck is the interval at which a request that the quota holds is decided again.
const heldRecheck = 50 * time.Millisecond

// checkQuota checks the request against its organisation's quota. It waits while that can't be
// decided, right after the entries have started.
func (c *call) checkQuota() *reply {
	if c.organisation == "" {
		return nil
	}
	state, police := c.gateway.state, c.gateway.shares.Load() != nil
	result, profile := state.admit(c.organisation, c.cost, c.route.Priority, police)
	for result.Held {
		c.metered, c.reserved = true, true
		left := time.Until(c.expires)
		if left <= 0 {
			return notRun(string(dispatch.ReasonExpired), dispatch.MinRetryAfter)
		}
		time.Sleep(min(heldRecheck, left))
		result, profile = state.readmit(c.organisation, c.cost, c.route.Priority, police)
	}
	c.metered, c.reserved = result.Admitted, result.Admitted
	if result.Admitted {
		c.classify(result, profile)
		return nil
	}
	c.gateway.log.Write(eventlog.Failure, eventQuota, eventlog.Fields{
		"id": c.envelope.ID, "organisation": c.organisation, "cost": c.cost,
		"used": int64(result.Used), "assumed": int64(result.Assumed), "limit": int64(result.Limit),
	})
	return overQuota(max(dispatch.MinRetryAfter, result.RetryAfter))
}

// countSent counts the request against the quota as it is sent to a target. A request that may
// already have run is counted again.
func (c *call) countSent() {
	if !c.metered {
		return
	}
	if !c.reserved {
		c.charge((*quota.Limiter).Reserve)
	}
	c.charge((*quota.Limiter).Sent)
	c.reserved = false
}

// countUnsent reverses countSent: the target did not run the request.
func (c *call) countUnsent() {
	if !c.metered || c.reserved {
		return
	}
	c.charge((*quota.Limiter).Unsent)
	c.reserved = true
}

func (c *call) charge(step func(*quota.Limiter, time.Time, string, float64)) {
	c.gateway.state.charge(step, c.organisation, c.cost)
}

// handleDisconnect is called when the caller has closed its connection.
func (c *call) handleDisconnect() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.callerLeft {
		return
	}
	c.callerLeft = true
	close(c.disconnected)
	if c.sending != nil {
		_ = c.sending.Close()
	}
}

// setSending records the connection that carries the request, so that handleDisconnect can
// close it. It returns false if the caller has already disconnected.
func (c *call) setSending(conn *upstream.Conn) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sending = conn
	return !c.callerLeft
}

func (c *call) hasCallerLeft() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.callerLeft
}

// end settles the call: it writes the final log line and updates the counters.
func (c *call) end(status int, reason string) {
	if c.ended {
		return
	}
	c.ended = true
	if c.conn != nil {
		c.conn.Unwatch()
	}
	if c.reserved {
		c.charge((*quota.Limiter).Withdraw)
	}
	c.endProbe()
	c.releaseRequest()
	c.gateway.settle(c, status, reason)
	c.endAfterAnswer()
}

// endAfterAnswer counts the call as running, and holds the memory of its answer, until that has been written.
func (c *call) endAfterAnswer() {
	ended := func() {
		c.releaseAnswer()
		c.gateway.running.Add(-1)
	}
	if c.conn == nil {
		ended()
		return
	}
	c.conn.AfterAnswer(ended)
}

// jitter randomizes a retry pause around its mean, so that callers refused at the same time do
// not retry at the same time.
func jitter(pause time.Duration) time.Duration {
	return pause/2 + rand.N(pause)
}
