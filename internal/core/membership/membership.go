// Package membership keeps what an entry knows of its peers: who lives, who may
// schedule targets, whom callers may be sent to.
//
// Invariants:
//
//   - A peer is live only if it is heard and it echoes a heartbeat that was sent
//     to it within the silence limit, so a link cut in one direction, and a
//     process that was paused, are seen at both ends.
//   - One incarnation lives under a name; a replaced one never comes back.
//   - The platform's list seeds and prunes; it never makes a peer live, and it
//     never removes one that is heard.
//   - Nobody that is starting, draining, silent or cut off is an answer to
//     "which entry" or a scheduler.
//
// The state is not safe for concurrent use.
package membership

import (
	"math/rand/v2"
	"sort"
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
)

// Config sets the intervals. Heartbeat and Silence hold for up to ScaleMembers
// members and grow in steps beyond: by ceil(members / ScaleMembers).
type Config struct {
	// Heartbeat is the time between heartbeats to one peer.
	Heartbeat time.Duration
	// Silence is how long a peer may be silent, at least silenceBeats heartbeats.
	Silence time.Duration
	// Removal is how long a peer is silent before it counts as gone for the
	// quorum. It must exceed how long regions may lose each other.
	Removal time.Duration
	// ScaleMembers is the number of members for one step; 0: DefaultScaleMembers.
	ScaleMembers int
	// FarDigests: a peer of another zone gets digests with one heartbeat in so
	// many; 0: DefaultFarDigests.
	FarDigests int
	// Seed spreads heartbeats and answers to "which entry" over the members.
	Seed uint64
}

const (
	// DefaultScaleMembers keeps today's sizes at the configured interval; see
	// docs/design/08-membership.md for what it costs at 410 members.
	DefaultScaleMembers = 24
	// DefaultFarDigests sends digests to other zones with one heartbeat in eight.
	DefaultFarDigests = 8
	// DefaultRemoval exceeds the hour for which regions may lose each other.
	DefaultRemoval = 2 * time.Hour
	// silenceBeats: an echo may be two heartbeats old on a sound link (ours and
	// the peer's), and one heartbeat may come late.
	silenceBeats = 4
)

// Instance is a row of the platform's list for an entry.
type Instance struct {
	Name    string
	Address string
	Zone    string
	Leaving bool
}

// ChangeKind says what happened to a member.
type ChangeKind uint8

const (
	// MemberLive: it may schedule and take callers now.
	MemberLive ChangeKind = iota
	// MemberLost: it may no longer.
	MemberLost
	// MemberReplaced: another incarnation answers under its name.
	MemberReplaced
	// MemberRemoved: it counts no longer.
	MemberRemoved
	// Paused: this process itself stood still longer than the silence limit. All
	// that it believes may have lapsed: grants, floors, membership, quorum.
	Paused
)

// Change is one finding of Tick.
type Change struct {
	Kind   ChangeKind
	Member message.Member
	// Gap is how long the process stood still, for Paused.
	Gap time.Duration
}

// Self is what this entry tells of itself in heartbeats.
type Self struct {
	State         message.State
	ConfigVersion int64
	InFlight      int
	Digests       []message.Digest
}

// Membership is the state.
type Membership struct {
	cfg     Config
	member  message.Member
	self    Self
	started time.Time
	last    time.Time // of the last call, to see that the process was paused
	gap     time.Duration
	peers   []*peer // by name
	byName  map[string]*peer
	byInc   map[ident.Incarnation]*peer
	former  map[ident.Incarnation]time.Time // replaced, and since when
	seeds   []Instance                      // of the last list, by name
	live    []message.Member                // by name; as of the last Tick
	dirty   bool                            // live must be listed anew
	changes []Change                        // found between two Ticks
	random  *rand.Rand
	turn    int
}

// New starts with no peers.
func New(self message.Member, cfg Config, now time.Time) *Membership {
	m := &Membership{
		member:  self,
		started: now,
		last:    now,
		byName:  make(map[string]*peer),
		byInc:   make(map[ident.Incarnation]*peer),
		former:  make(map[ident.Incarnation]time.Time),
		random:  rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
	m.turn = m.random.IntN(1 << 16)
	m.Configure(cfg)
	return m
}

// Configure puts new intervals in force.
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
	cfg.Silence = max(cfg.Silence, silenceBeats*cfg.Heartbeat)
	m.cfg = cfg
}

// SetSelf sets what heartbeats tell. A new state is told to all peers at once.
func (m *Membership) SetSelf(now time.Time, self Self) {
	m.touch(now)
	if self.State != m.self.State {
		for _, p := range m.peers {
			p.due = now
		}
		m.dirty = true
	}
	m.self = self
}

// Up says that a link to a peer stands and that the peer named itself in the hello.
func (m *Membership) Up(now time.Time, member message.Member) {
	m.touch(now)
	if member.Incarnation == m.member.Incarnation || member.Name == m.member.Name {
		return
	}
	// A replaced process that was only paused may still open links. Its name
	// belongs to its successor; were it taken back, both would swap for ever.
	if _, replaced := m.former[member.Incarnation]; replaced {
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
	m.dirty = true
	m.byInc[member.Incarnation] = p
	p.linked, p.gone = true, false
	p.known = now
	p.heard = now
	p.due = now
}

// Down says that a link broke. Refused: the address refuses connections or
// answers as another incarnation, so that process is proven dead.
func (m *Membership) Down(now time.Time, incarnation ident.Incarnation, refused bool) {
	m.touch(now)
	p := m.byInc[incarnation]
	if p == nil {
		return
	}
	p.linked = false
	if refused {
		p.gone = true
		p.forgetBeats()
	}
}

// Beat takes a heartbeat of a peer. One that is not newer than the last is
// ignored, so that a late one does not bring a silent peer back.
func (m *Membership) Beat(now time.Time, from ident.Incarnation, beat message.Heartbeat) {
	m.touch(now)
	p := m.byInc[from]
	if p == nil || beat.Seq <= p.beat.Seq {
		return
	}
	if beat.Echo <= p.sent && beat.Echo > p.echoed {
		p.echoed = beat.Echo
	}
	if len(beat.Digests) == 0 {
		beat.Digests = p.beat.Digests
	} else {
		p.digested = now
	}
	p.beat = beat
	p.heard = now
	p.gone = beat.State == message.Stopped
}

// touch notices that the process stood still: the core is called at least every
// 20 ms. What was heard before a pause is stale, and what waited in the rings
// meanwhile looks fresh but is not; echoes of heartbeats sent before the pause
// are too old to make anyone live, so only fresh exchanges do.
func (m *Membership) touch(now time.Time) {
	gap := now.Sub(m.last)
	m.last = now
	if gap <= m.Silence() {
		return
	}
	m.gap = max(m.gap, gap)
	for _, p := range m.peers {
		p.due = now
	}
	m.live, m.dirty = nil, true
}

// Interval is the heartbeat's interval at the present number of members.
func (m *Membership) Interval() time.Duration {
	return m.cfg.Heartbeat * time.Duration(m.scale())
}

// Silence is the silence limit at the present number of members; a drain waits it out.
func (m *Membership) Silence() time.Duration {
	return m.cfg.Silence * time.Duration(m.scale())
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
	delete(m.byInc, p.Incarnation)
	m.dirty = true
}

func (m *Membership) replace(now time.Time, p *peer) {
	m.drop(p)
	m.former[p.Incarnation] = now
	if p.live {
		m.changes = append(m.changes, Change{Kind: MemberLost, Member: p.Member})
	}
	m.changes = append(m.changes, Change{Kind: MemberReplaced, Member: p.Member})
}
