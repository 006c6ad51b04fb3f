// Package entry combines the packages of internal/core into the state machine
// of one entry process. It turns inputs into outputs, performs no I/O and reads
// no clock.
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
	"sycamoretrail/internal/core/quarantine"
	"sycamoretrail/internal/core/record"
	"sycamoretrail/internal/core/routing"
	"sycamoretrail/internal/core/scheduler"
)

// Policy selects how request slots at targets are allocated.
type Policy string

const (
	// PolicyScheduler assigns each target to one entry, which grants its slots.
	PolicyScheduler Policy = "scheduler"
	// PolicyShares gives each entry a fixed share of each target. Baseline for
	// comparison.
	PolicyShares Policy = "shares"
	// PolicyIndependent lets each entry decide independently on stale load reports,
	// taking the better of two random targets. Baseline for comparison.
	PolicyIndependent Policy = "alone"
)

// inputValidity is the longest time a request may wait between its arrival and
// the core. A longer wait means that the process was paused.
const inputValidity = time.Second

// Config holds the start parameters of an entry. All other settings come from
// the configuration document.
type Config struct {
	Self message.Member
	// Seed initializes the entry's pseudo-random choices.
	Seed   uint64
	Policy Policy
}

// Entry is the state machine. It is not safe for concurrent use.
type Entry struct {
	cfg Config
	// disabled is the safeguard that a test has switched off.
	disabled  guard
	now       time.Time
	startedAt time.Time
	rng       *rand.Rand
	out       []Output

	state   message.State
	doc     *document.Document
	index   *document.Index
	version int64
	timing  timing
	// fastest maps each pool to the shortest declared step time of its targets.
	fastest map[string]time.Duration
	// resumedAt is when this process last detected that it had been paused.
	resumedAt time.Time
	// quorum is true while this entry has contact with more than half of the
	// known members. quorumLostAt is when it last lost the quorum.
	quorum       bool
	quorumLostAt time.Time

	accepted       *acceptance.Acceptance
	ids            *owner.Table
	members        *membership.Membership
	scheduler      *scheduler.Scheduler
	shareScheduler *scheduler.Scheduler
	router         *routing.Router
	claims         *claims.Coordinator
	suspects       *quarantine.Suspects
	// prefixes holds beginnings of prompts under which engines crashed.
	prefixes *quarantine.Prefixes
	orders   *orders.Orders
	drain    *drain.Drain

	flights map[ident.RequestID]*flight
	// losersByWinner lists, by the id that holds a key, the requests that
	// wait for its outcome.
	losersByWinner  map[ident.RequestID][]ident.RequestID
	perOrganisation map[string]int
	evictable       evictionCandidates
	timers          timerHeap
	requestSeq      uint64

	plan         *placement.Plan
	coordinators [partitions]ident.Incarnation
	availability map[string]*targetAvailability
	// watchedOrders lists targets of other schedulers that are probed because
	// this entry's orders wait for them.
	watchedOrders []string

	crashes    map[string]*targetCrash
	crashOrder []string
	crashCount int

	pending             map[uint64]pendingAppend
	appendSeq           uint64
	partitionByStream   map[record.Stream]int
	documentResults     []acceptance.Result
	jitterShare         float64
	nextDocumentRequest time.Time

	inbox, inboxStore []delivery
	journal           journal

	nextMembersCheck time.Time
	nextDigests      time.Time

	openAnswers int
	following   bool
	logUp       bool
	viewChanged bool
	prefix      ident.Prefix
}

// New starts an entry's state machine.
func New(cfg Config, now time.Time) *Entry {
	if cfg.Policy == "" {
		cfg.Policy = PolicyScheduler
	}
	e := &Entry{
		cfg: cfg, now: now, startedAt: now,
		rng:             rand.New(rand.NewPCG(cfg.Seed, uint64(now.UnixNano()))),
		state:           message.Starting,
		timing:          startingTiming,
		accepted:        acceptance.New(),
		router:          routing.New(cfg.Seed, cfg.Self.Zone),
		suspects:        quarantine.New(quarantine.Config{}),
		prefixes:        quarantine.NewPrefixes(),
		plan:            placement.NewPlan(),
		orders:          orders.New(orders.DefaultConfig(cfg.Self.Incarnation)),
		flights:         make(map[ident.RequestID]*flight),
		losersByWinner:  make(map[ident.RequestID][]ident.RequestID),
		perOrganisation: make(map[string]int),
		availability:    make(map[string]*targetAvailability),
		crashes:         make(map[string]*targetCrash),
		pending:         make(map[uint64]pendingAppend),
		viewChanged:     true,
	}
	e.jitterShare = e.rng.Float64()
	e.partitionByStream = make(map[record.Stream]int, partitions)
	for p := range partitions {
		e.partitionByStream[record.ClaimsStream(p)] = p
	}
	e.drain = drain.New(e.drainConfig())
	e.ids = owner.New(owner.Config{
		Self: cfg.Self.Incarnation, Period: startingPeriod, MaxDeadline: startingLongest,
		MaxIDs: startingIDs, Validity: inputValidity,
	}, now)
	e.members = membership.New(cfg.Self, e.membershipConfig(), now)
	e.claims = claims.New(claimsConfig(e.timing.horizon))
	e.scheduler = scheduler.New(cfg.Self.Incarnation, cfg.Seed, estimator)
	e.shareScheduler = scheduler.New(cfg.Self.Incarnation, cfg.Seed+1, estimator)
	return e
}

// estimator returns the estimator that learns the speed of a target.
func estimator(t scheduler.Target) scheduler.Estimator {
	return estimate.New(estimate.Prior{
		PrefillRate: t.PrefillRate, StepTime: t.StepTime, MaxInFlight: t.MaxInFlight, Service: t.Service,
	})
}

// Step handles one input and returns the resulting outputs in order. The slice
// is valid until the next call.
func (e *Entry) Step(now time.Time, in Input) []Output {
	if now.After(e.now) {
		e.now = now
	}
	e.out = e.out[:0]
	e.followStreams()
	e.checkMembers()
	e.handle(in)
	e.drainInbox()
	e.updateState()
	e.checkMembers()
	e.drainInbox()
	e.publish()
	return e.out
}

func (e *Entry) handle(in Input) {
	switch in := in.(type) {
	case Submit:
		e.submit(in.Request)
	case CallerLeft:
		e.callerLeft(in.ID)
	case PeerUp:
		e.members.LinkUp(e.now, in.Member)
	case PeerDown:
		e.members.LinkDown(e.now, in.Incarnation, in.Refused)
	case FromPeer:
		e.deliver(in.From, in.Message, fromScheduler)
	case RunStarted:
		// Nothing to do: the slot is taken since the dispatch, and the first
		// token arrives as RunProgress.
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
	case OpenAnswers:
		e.openAnswers = in.Open
	case DrainStart:
		e.drain.Configure(e.drainConfig())
		e.drain.Start(e.now)
	case Tick:
		e.tick()
	}
}

// tick advances all components to the current time.
func (e *Entry) tick() {
	e.sendHeartbeats()
	e.fireTimers()
	e.perform(e.scheduler.Tick(e.now), fromScheduler)
	e.perform(e.shareScheduler.Tick(e.now), fromShare)
	e.performClaims(e.claims.Tick(e.now))
	e.performOrders(e.orders.Tick(e.now))
	e.updateWatchedOrders()
	e.expireCrashes()
	e.tellAnsweredPrefixes()
	e.ids.Expire(e.now)
	e.renew()
	e.requestDocument()
}

// followStreams starts reading the log streams that every entry needs.
func (e *Entry) followStreams() {
	if e.following {
		return
	}
	e.following = true
	for _, stream := range []record.Stream{record.StreamDocuments, record.StreamQuarantines, record.StreamOrders} {
		e.emit(Follow{Stream: stream, Back: fromOldest})
	}
}

// fromOldest makes Follow read a stream from its oldest record.
const fromOldest = time.Duration(1<<63 - 1)

func (e *Entry) emit(o Output) { e.out = append(e.out, o) }

// recordDecision stores a decision for Explain and emits it for the log.
func (e *Entry) recordDecision(d Decision) {
	e.journal.add(e.now, d)
	e.emit(d)
}

// jitter varies a wait between half and one and a half times its length, so
// that callers refused together do not retry together.
func (e *Entry) jitter(wait time.Duration) time.Duration {
	return wait/2 + time.Duration(e.rng.Int64N(int64(wait)+1))
}

// organisationLimit returns how many requests the organisation may have in
// flight at this entry; 0 means no limit.
func (e *Entry) organisationLimit(name string) int {
	org, known := e.index.Organisation(name)
	if !known {
		return 0
	}
	return org.MaxInFlight
}
