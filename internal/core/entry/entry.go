// Package entry composes the duties of the core into the state machine of one
// entry process: inputs in, outputs out, no I/O and no clock of its own.
package entry

import (
	"math/rand/v2"
	"time"

	"sycamoretrail/internal/core/acceptance"
	"sycamoretrail/internal/core/claims"
	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/drain"
	"sycamoretrail/internal/core/estimate"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/membership"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/orders"
	"sycamoretrail/internal/core/owner"
	"sycamoretrail/internal/core/placement"
	"sycamoretrail/internal/core/record"
	"sycamoretrail/internal/core/routing"
	"sycamoretrail/internal/core/scheduler"
	"sycamoretrail/internal/core/suspects"
)

// Policy names how places at targets are given out.
type Policy string

const (
	// PolicyScheduler: one entry schedules each target and grants its places.
	PolicyScheduler Policy = "scheduler"
	// PolicyShares: each entry uses a fixed share of each target. Baseline.
	PolicyShares Policy = "shares"
	// PolicyAlone: each entry decides alone on stale reports, taking the better
	// of two random targets. Baseline.
	PolicyAlone Policy = "alone"
)

// inputValidity is how long a request may wait between its arrival and the
// core: longer waits come from a paused process.
const inputValidity = time.Second

// Config is what an entry is started with; all else comes from the document.
type Config struct {
	Self message.Member
	// Seed feeds the entry's own pseudo-random choices.
	Seed   uint64
	Policy Policy
}

// Entry is the state machine. It is not safe for concurrent use.
type Entry struct {
	cfg Config
	// off is the safeguard that a test has switched off.
	off   guard
	now   time.Time
	began time.Time
	rng   *rand.Rand
	out   []Output

	state   message.State
	doc     *document.Document
	index   *document.Index
	version int64
	timing  timing
	// fastest is the least declared step time of each pool's targets.
	fastest map[string]time.Duration
	// wokeAt is when this process last found that it had stood still.
	wokeAt time.Time
	// quorum: this entry is in touch with most members; quorumLost: since when not.
	quorum     bool
	quorumLost time.Time

	accepted *acceptance.Acceptance
	ids      *owner.Table
	members  *membership.Membership
	places   *scheduler.Scheduler
	share    *scheduler.Scheduler
	router   *routing.Router
	claims   *claims.Home
	suspects *suspects.Suspects
	orders   *orders.Orders
	drain    *drain.Drain

	flights         map[ident.RequestID]*flight
	asking          map[ident.RequestID][]ident.RequestID
	perOrganisation map[string]int
	seats           seats
	alarms          alarms
	asks            uint64

	plan    *placement.Plan
	homes   [partitions]ident.Incarnation
	watches map[string]*targetWatch
	// watchedOrders are targets held elsewhere that are probed for their orders.
	watchedOrders []string

	deaths     map[string]*death
	deathOrder []string
	deathCount int

	pending           map[uint64]pendingAppend
	appends           uint64
	partitionByStream map[record.Stream]int
	verdicts          []acceptance.Verdict
	jitterShare       float64
	seekAt            time.Time

	inbox, inboxStore []delivery
	journal           journal

	membersAt time.Time
	digestsAt time.Time

	answering int
	following bool
	logUp     bool
	changed   bool
	prefix    ident.Prefix
}

// New starts an entry's state machine.
func New(cfg Config, now time.Time) *Entry {
	if cfg.Policy == "" {
		cfg.Policy = PolicyScheduler
	}
	e := &Entry{
		cfg: cfg, now: now, began: now,
		rng:             rand.New(rand.NewPCG(cfg.Seed, uint64(now.UnixNano()))),
		state:           message.Starting,
		timing:          startingTiming,
		accepted:        acceptance.New(),
		router:          routing.New(cfg.Seed, cfg.Self.Zone),
		suspects:        suspects.New(suspects.Config{}),
		plan:            placement.NewPlan(),
		orders:          orders.New(orders.DefaultConfig(cfg.Self.Incarnation)),
		flights:         make(map[ident.RequestID]*flight),
		asking:          make(map[ident.RequestID][]ident.RequestID),
		perOrganisation: make(map[string]int),
		watches:         make(map[string]*targetWatch),
		deaths:          make(map[string]*death),
		pending:         make(map[uint64]pendingAppend),
		changed:         true,
	}
	e.jitterShare = e.rng.Float64()
	e.partitionByStream = make(map[record.Stream]int, partitions)
	for p := range partitions {
		e.partitionByStream[record.ClaimsStream(p)] = p
	}
	e.drain = drain.New(e.drainConfig())
	e.ids = owner.New(owner.Config{
		Self: cfg.Self.Incarnation, Period: startingPeriod, Longest: startingLongest,
		Max: startingIDs, Validity: inputValidity,
	}, now)
	e.members = membership.New(cfg.Self, e.membershipConfig(), now)
	e.claims = claims.New(claimsConfig(e.timing.horizon))
	e.places = scheduler.New(cfg.Self.Incarnation, cfg.Seed, estimator)
	e.share = scheduler.New(cfg.Self.Incarnation, cfg.Seed+1, estimator)
	return e
}

// estimator gives a scheduler the learned speed of a target.
func estimator(t scheduler.Target) scheduler.Estimator {
	return estimate.New(estimate.Prior{
		PrefillRate: t.PrefillRate, StepTime: t.StepTime, MaxInFlight: t.MaxInFlight, Service: t.Service,
	})
}

// Step takes one input and returns what is to be done, in order. The slice is
// valid until the next call.
func (e *Entry) Step(now time.Time, in Input) []Output {
	if now.After(e.now) {
		e.now = now
	}
	e.out = e.out[:0]
	e.follow()
	e.lookAtMembers()
	e.handle(in)
	e.drainInbox()
	e.settleState()
	e.lookAtMembers()
	e.drainInbox()
	e.publish()
	return e.out
}

func (e *Entry) handle(in Input) {
	switch in := in.(type) {
	case Submit:
		e.submit(in.Request)
	case CallerGone:
		e.callerGone(in.ID)
	case PeerUp:
		e.members.Up(e.now, in.Member)
	case PeerDown:
		e.members.Down(e.now, in.Incarnation, in.Refused)
	case FromPeer:
		e.deliver(in.From, in.Message, fromPlaces)
	case RunStarted:
		// The dispatch was counted when it was put out; the first token matters.
	case RunProgress:
		e.runProgress(in)
	case RunEnded:
		e.runEnded(in)
	case TargetState:
		e.targetState(in)
	case LogRecord:
		e.logRecord(in)
	case LogCaughtUp:
		e.logCaughtUp(in)
	case LogAppended:
		e.appended(in)
	case LogDown:
		e.logDown(in)
	case InstanceList:
		e.instances(in)
	case OrderDone:
		e.performOrders(e.orders.OrderDone(e.now, in.Target, in.Refused, in.Failed))
	case Answering:
		e.answering = in.Open
	case DrainStart:
		e.drain.Configure(e.drainConfig())
		e.drain.Start(e.now)
	case Tick:
		e.tick()
	}
}

// tick lets time pass for every duty.
func (e *Entry) tick() {
	e.beat()
	e.ring()
	e.perform(e.places.Tick(e.now), fromPlaces)
	e.perform(e.share.Tick(e.now), fromShare)
	e.performClaims(e.claims.Tick(e.now))
	e.performOrders(e.orders.Tick(e.now))
	e.watchOrders()
	e.closeDeaths()
	e.ids.Expire(e.now)
	e.renew()
	e.seekDocument()
}

// follow begins to read the log's streams that every entry needs.
func (e *Entry) follow() {
	if e.following {
		return
	}
	e.following = true
	for _, stream := range []record.Stream{record.StreamDocuments, record.StreamVerdicts, record.StreamOrders} {
		e.emit(Follow{Stream: stream, Back: everything})
	}
}

// everything asks for a stream from its oldest record.
const everything = time.Duration(1<<63 - 1)

func (e *Entry) emit(o Output) { e.out = append(e.out, o) }

// note records a decision for the operators.
func (e *Entry) note(d Decision) {
	e.journal.add(e.now, d)
	e.emit(d)
}

// jitter spreads a wait over half to one and a half of its length, so that
// callers refused together do not come back together.
func (e *Entry) jitter(wait time.Duration) time.Duration {
	return wait/2 + time.Duration(e.rng.Int64N(int64(wait)+1))
}

// organisationLimit is the organisation's bound of requests in flight here.
func (e *Entry) organisationLimit(name string) int {
	org, known := e.index.Organisation(name)
	if !known {
		return 0
	}
	return org.MaxInFlight
}
