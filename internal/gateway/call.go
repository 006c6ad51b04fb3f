package gateway

import (
	"hash/maphash"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/crashes"
	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/core/quota"
	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/ingress"
	"sycamoretrail/internal/upstream"
)

// call is one request of a caller, from its arrival to the end of its answer.
type call struct {
	gateway  *Gateway
	ctx      *fasthttp.RequestCtx
	conn     *ingress.Conn
	envelope Envelope

	arrived time.Time
	// expires is when the caller or the route stops waiting.
	expires      time.Time
	config       *catalog.Configuration
	route        *catalog.Route
	organisation string
	service      string
	priority     int
	// cost counts against the organisation's quota; metered: it does, reserved: it
	// counts as a request that waits.
	cost              float64
	metered, reserved bool
	fingerprint       crashes.Fingerprint

	// gone is closed when the caller has left.
	gone chan struct{}
	// mutex guards left and sending, which the caller's leaving ends.
	mutex   sync.Mutex
	left    bool
	sending *upstream.Conn

	// sends is the number of targets that got a byte of the request, runs the number
	// that may have run it.
	sends, runs int
	tried       []string
	// failure is a target's own failure, which is the answer if no other comes.
	failure *wholeAnswer
	// lastEvent is the id of the last event that was handed on.
	lastEvent string
	// events is the number of events that were handed on.
	events int
	first  time.Time
	ended  bool
}

// seed makes draws from request ids, so that a request that comes again may be
// sent to the other service of a split route.
var seed = maphash.MakeSeed()

// serve is the handler of all callers' requests.
func (g *Gateway) serve(ctx *fasthttp.RequestCtx) {
	c := &call{gateway: g, ctx: ctx, arrived: time.Now(), gone: make(chan struct{})}
	c.conn, _ = ctx.Conn().(*ingress.Conn)
	g.running.Add(1)
	if g.draining.Load() {
		ctx.SetConnectionClose()
	}
	if reply := c.admit(); reply != nil {
		c.refuse(reply)
		return
	}
	if c.conn != nil {
		c.conn.Watch(c.leave)
	}
	c.run()
}

// admit finds what governs the request; it returns the reply to one that is refused.
func (c *call) admit() *reply {
	header := &c.ctx.Request.Header
	envelope, err := c.gateway.platform.ReadEnvelope(header)
	c.envelope = envelope
	if err != nil {
		return badRequest(err.Error())
	}
	if !c.gateway.awaitInformed(part(c.patience(), startPatience)) {
		return notReady
	}
	c.config = c.gateway.configuration.Load()
	host, path := target(header)
	route, found := c.config.Match(host, path)
	if !found {
		return noRoute
	}
	c.route = route
	c.priority = route.Priority
	if reply := c.authenticate(); reply != nil {
		return reply
	}
	if limit := c.config.Limits.BodyBytes; limit > 0 && len(c.ctx.Request.Body()) > limit {
		return tooLarge
	}
	c.setExpiry()
	if !c.gateway.ending.Load().takes(c.arrived, c.expires) {
		return leaving
	}
	c.service = route.Service(float64(maphash.String(seed, envelope.ID)%1000) / 1000)
	c.fingerprint = c.formFingerprint()
	if c.gateway.state.convicted(c.fingerprint) {
		return crashesTargets
	}
	return c.checkQuota()
}

// target returns the host without port, in lower case, and the path without query.
func target(header *fasthttp.RequestHeader) (host, path string) {
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
	organisation, found := c.config.Holder(c.envelope.Key)
	if !found {
		if c.route.Public {
			return nil
		}
		return unknownKey
	}
	c.organisation = organisation.Name
	if organisation.Priority != nil {
		c.priority = *organisation.Priority
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
	// defaultPatience holds where neither the caller nor the route sets a limit.
	defaultPatience = 30 * time.Second
	// startPatience is the part of a caller's time that it is kept while this entry
	// learns what is in force. After a loss of all entries most callers are served
	// then, late, instead of spending their few tries on refusals.
	startPatience = 0.2
)

// patience is how long the caller waits.
func (c *call) patience() time.Duration {
	if c.envelope.Patience == 0 {
		return defaultPatience
	}
	return c.envelope.Patience
}

func (c *call) setExpiry() {
	patience := c.patience()
	if c.route.Timeout > 0 {
		patience = min(patience, c.route.Timeout)
	}
	c.expires = c.arrived.Add(patience)
}

// formFingerprint stands for what a request that comes again has in common with
// the first: who sends it, where to, and the body.
func (c *call) formFingerprint() crashes.Fingerprint {
	digest := xxhash.New()
	for _, part := range [][]byte{[]byte(c.organisation), c.ctx.Request.Header.RequestURI(), c.ctx.Request.Body()} {
		_, _ = digest.Write(part)
		_, _ = digest.Write([]byte{0})
	}
	return crashes.Fingerprint(digest.Sum64())
}

func (c *call) checkQuota() *reply {
	if c.organisation == "" {
		return nil
	}
	verdict := c.gateway.state.admit(c.organisation, c.cost, c.route.Priority)
	if verdict.Admitted {
		c.metered, c.reserved = true, true
		return nil
	}
	c.gateway.log.Write(eventlog.Failure, eventQuota, eventlog.Fields{
		"id": c.envelope.ID, "organisation": c.organisation, "cost": c.cost,
		"used": int64(verdict.Used), "assumed": int64(verdict.Assumed), "limit": int64(verdict.Limit),
	})
	return overQuota(max(dispatch.MinRetryAfter, verdict.RetryAfter))
}

// countSent counts the request against the quota as it is sent to a target. One that
// may have run before counts again.
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

// countUnsent takes back that the request was sent: the target did not run it.
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

// leave is called when the caller has closed its connection.
func (c *call) leave() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.left {
		return
	}
	c.left = true
	close(c.gone)
	if c.sending != nil {
		_ = c.sending.Close()
	}
}

// hold notes the connection that the request is on, so that the caller's leaving
// closes it; false: the caller has left.
func (c *call) hold(conn *upstream.Conn) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sending = conn
	return !c.left
}

func (c *call) hasLeft() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.left
}

// end settles the call: it writes its line and counts it.
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
	c.gateway.settle(c, status, reason)
	c.gateway.running.Add(-1)
}

// spread draws a retry pause around the expected one, so that callers refused
// together do not come back together.
func spread(pause time.Duration) time.Duration {
	return pause/2 + rand.N(pause)
}
