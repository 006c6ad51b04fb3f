// Package membership tracks an entry's peers: which of them are live, which may schedule
// targets, and to which of them callers may be sent.
//
// Invariants:
//
//   - A peer is live only if its heartbeats arrive and it echoes a heartbeat that was sent
//     to it within the failure-detection timeout. A link that fails in one direction, and a
//     process that was paused, are therefore detected at both ends.
//   - One incarnation at a time is live under a name; a replaced one never becomes live
//     again.
//   - The platform's list adds and removes names. It never makes a peer live, and it never
//     removes one from which heartbeats arrive.
//   - An entry that is starting, draining, unresponsive or disconnected is neither returned
//     to callers nor a scheduler.
//
// A Membership is not safe for concurrent use.
package membership

import (
	"math/rand/v2"
	"sort"
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
)

// Config sets the intervals. Heartbeat and FailureTimeout apply to up to
// ScaleMembers members and grow in steps beyond, by a factor of ceil(members / ScaleMembers).
type Config struct {
	// Heartbeat is the time between heartbeats to one peer.
	Heartbeat time.Duration
	// FailureTimeout is the failure-detection timeout, at least minTimeoutHeartbeats heartbeats.
	FailureTimeout time.Duration
	// Removal is the time without contact after which a peer no longer counts for the
	// quorum. It must exceed the time for which regions may be partitioned.
	Removal time.Duration
	// ScaleMembers is the number of members per step; 0: DefaultScaleMembers.
	ScaleMembers int
	// FarDigests: one heartbeat in this many carries digests to a peer of another zone; 0:
	// DefaultFarDigests.
	FarDigests int
	// Seed seeds the random numbers that spread heartbeats over time and callers over the
	// members.
	Seed uint64
}

const (
	// DefaultScaleMembers keeps current fleet sizes at the configured interval; see
	// docs/design/08-membership.md for the cost at 410 members.
	DefaultScaleMembers = 24
	// DefaultFarDigests sends digests to other zones with one heartbeat in eight.
	DefaultFarDigests = 8
	// DefaultRemoval exceeds the hour for which regions may be partitioned.
	DefaultRemoval = 2 * time.Hour
	// minTimeoutHeartbeats allows for an echo that is two heartbeats old on an intact link
	// (ours and the peer's), and for one late heartbeat.
	minTimeoutHeartbeats = 4
)

// Instance is a row of the platform's list of entries.
type Instance struct {
	Name    string
	Address string
	Zone    string
	Leaving bool
}

// ChangeKind is the kind of a change of a member.
type ChangeKind uint8

const (
	// MemberLive: it is now live, may schedule targets and take callers.
	MemberLive ChangeKind = iota
	// MemberLost: it is no longer live.
	MemberLost
	// MemberReplaced: another incarnation runs under its name.
	MemberReplaced
	// MemberRemoved: it no longer counts for the quorum.
	MemberRemoved
	// Paused: this process was paused for longer than the failure-detection timeout.
	// Everything it holds may have expired: grants, floors, membership, quorum.
	Paused
)

// Change is one change that Tick reports.
type Change struct {
	Kind   ChangeKind
	Member message.Member
	// Gap is the length of the pause, for Paused.
	Gap time.Duration
}

// Self is the status of this entry that its heartbeats carry.
type Self struct {
	State         message.State
	ConfigVersion int64
	InFlight      int
	Digests       []message.Digest
}

// Membership is the state of all known peers.
type Membership struct {
	cfg           Config
	member        message.Member
	self          Self
	started       time.Time
	lastCall      time.Time // for detecting a pause of this process
	gap           time.Duration
	peers         []*peer // by name
	byName        map[string]*peer
	byIncarnation map[ident.Incarnation]*peer
	replaced      map[ident.Incarnation]time.Time // with the time of their replacement
	listed        []Instance                      // rows of the last list, by name
	live          []message.Member                // by name; as of the last Tick
	liveStale     bool                            // live has to be rebuilt
	changes       []Change                        // since the last Tick
	random        *rand.Rand
	rotation      int
}

// New returns a membership without peers.
func New(self message.Member, cfg Config, now time.Time) *Membership {
	m := &Membership{
		member:        self,
		started:       now,
		lastCall:      now,
		byName:        make(map[string]*peer),
		byIncarnation: make(map[ident.Incarnation]*peer),
		replaced:      make(map[ident.Incarnation]time.Time),
		random:        rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
	m.rotation = m.random.IntN(1 << 16)
	m.Configure(cfg)
	return m
}

// Configure applies new intervals.
func (m *Membership) Configure(cfg Config) {
	if cfg.ScaleMembers <= 0 {
		cfg.ScaleMembers = DefaultScaleMembers
	}
	if cfg.FarDigests <= 0 {
		cfg.FarDigests = DefaultFarDigests
	}
	if cfg.Removal <= 0 {
		cfg.Removal = DefaultRemoval
	}
	cfg.FailureTimeout = max(cfg.FailureTimeout, minTimeoutHeartbeats*cfg.Heartbeat)
	m.cfg = cfg
}

// SetSelf sets the status that heartbeats carry. A new state is sent to all peers at once.
func (m *Membership) SetSelf(now time.Time, self Self) {
	m.detectPause(now)
	if self.State != m.self.State {
		for _, p := range m.peers {
			p.due = now
		}
		m.liveStale = true
	}
	m.self = self
}

// LinkUp records that a link to a peer is open and that the peer identified itself in the
// handshake.
func (m *Membership) LinkUp(now time.Time, member message.Member) {
	m.detectPause(now)
	if member.Incarnation == m.member.Incarnation || member.Name == m.member.Name {
		return
	}
	// A replaced process that was only paused may still open links. Its name belongs to its
	// successor: if it were accepted, the two would replace each other endlessly.
	if _, replaced := m.replaced[member.Incarnation]; replaced {
		return
	}
	p := m.byName[member.Name]
	if p != nil && p.Incarnation != "" && p.Incarnation != member.Incarnation {
		m.replace(now, p)
		p = nil
	}
	if p == nil {
		p = m.add(member.Name)
	}
	p.Member = member
	m.liveStale = true
	m.byIncarnation[member.Incarnation] = p
	p.linked, p.terminated = true, false
	p.since = now
	p.lastContact = now
	p.due = now
}

// LinkDown records that a link broke. refused: the address refuses connections or answers as
// another incarnation, which proves that the process has terminated.
func (m *Membership) LinkDown(now time.Time, incarnation ident.Incarnation, refused bool) {
	m.detectPause(now)
	p := m.byIncarnation[incarnation]
	if p == nil {
		return
	}
	p.linked = false
	if refused {
		p.terminated = true
		p.forgetHeartbeats()
	}
}

// ReceiveHeartbeat processes a heartbeat of a peer. A heartbeat that is not newer than the last one is
// ignored, so that a late one does not make an unresponsive peer live.
func (m *Membership) ReceiveHeartbeat(now time.Time, from ident.Incarnation, beat message.Heartbeat) {
	m.detectPause(now)
	p := m.byIncarnation[from]
	if p == nil || beat.Seq <= p.lastHeartbeat.Seq {
		return
	}
	if beat.Echo <= p.sent && beat.Echo > p.echoed {
		p.echoed = beat.Echo
	}
	if len(beat.Digests) == 0 {
		beat.Digests = p.lastHeartbeat.Digests
	} else {
		p.digestsAt = now
	}
	p.lastHeartbeat = beat
	p.lastContact = now
	p.terminated = beat.State == message.Stopped
}

// detectPause detects that this process was paused: the core is called at least every 20 ms.
// What was received before a pause is outdated, and what was queued in the rings during it
// looks current but is not. Echoes of heartbeats sent before the pause are too old to make
// any peer live, so only new exchanges do.
func (m *Membership) detectPause(now time.Time) {
	gap := now.Sub(m.lastCall)
	m.lastCall = now
	if gap <= m.FailureTimeout() {
		return
	}
	m.gap = max(m.gap, gap)
	for _, p := range m.peers {
		p.due = now
	}
	m.live, m.liveStale = nil, true
}

// Interval returns the heartbeat interval at the current number of members.
func (m *Membership) Interval() time.Duration {
	return m.cfg.Heartbeat * time.Duration(m.scale())
}

// FailureTimeout returns the failure-detection timeout at the current number of members; a drain
// waits for it to pass.
func (m *Membership) FailureTimeout() time.Duration {
	return m.cfg.FailureTimeout * time.Duration(m.scale())
}

func (m *Membership) scale() int {
	members := len(m.peers) + 1
	return (members + m.cfg.ScaleMembers - 1) / m.cfg.ScaleMembers
}

func (m *Membership) add(name string) *peer {
	p := &peer{}
	p.Name = name
	at := sort.Search(len(m.peers), func(i int) bool { return m.peers[i].Name >= name })
	m.peers = append(m.peers, nil)
	copy(m.peers[at+1:], m.peers[at:])
	m.peers[at] = p
	m.byName[name] = p
	return p
}

func (m *Membership) drop(p *peer) {
	at := sort.Search(len(m.peers), func(i int) bool { return m.peers[i].Name >= p.Name })
	m.peers = append(m.peers[:at], m.peers[at+1:]...)
	delete(m.byName, p.Name)
	delete(m.byIncarnation, p.Incarnation)
	m.liveStale = true
}

func (m *Membership) replace(now time.Time, p *peer) {
	m.drop(p)
	m.replaced[p.Incarnation] = now
	if p.live {
		m.changes = append(m.changes, Change{Kind: MemberLost, Member: p.Member})
	}
	m.changes = append(m.changes, Change{Kind: MemberReplaced, Member: p.Member})
}
