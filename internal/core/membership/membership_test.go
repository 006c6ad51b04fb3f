package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/membership"
	"sycamoretrail/internal/core/message"
)

const (
	heartbeat = 200 * time.Millisecond
	silence   = time.Second
	step      = 20 * time.Millisecond
)

var start = time.Unix(1_700_000_000, 0)

func config() membership.Config {
	return membership.Config{Heartbeat: heartbeat, FailureTimeout: silence, Removal: time.Hour}
}

func member(i, run int) message.Member {
	return message.Member{
		Name:        fmt.Sprintf("entry-%03d", i),
		Zone:        fmt.Sprint("zone-", i%3),
		Incarnation: ident.Incarnation(fmt.Sprintf("%016x-%x", i, run)),
	}
}

// group connects the memberships of several entries without a network. partitioned holds
// pairs "from>to" whose heartbeats are lost; paused entries do nothing.
type group struct {
	now         time.Time
	names       []ident.Incarnation
	all         map[ident.Incarnation]*membership.Membership
	partitioned map[string]bool
	paused      map[ident.Incarnation]bool
	changes     map[ident.Incarnation][]membership.Change
}

func newGroup(n int) *group {
	g := &group{
		now: start, all: map[ident.Incarnation]*membership.Membership{}, partitioned: map[string]bool{},
		paused: map[ident.Incarnation]bool{}, changes: map[ident.Incarnation][]membership.Change{},
	}
	for i := range n {
		g.join(member(i, 1))
	}
	return g
}

func (g *group) join(m message.Member) {
	all := membership.New(m, config(), g.now)
	all.SetSelf(g.now, membership.Self{State: message.Ready})
	for i := range g.names {
		all.LinkUp(g.now, member(index(g.names[i]), 1))
		g.all[g.names[i]].LinkUp(g.now, m)
	}
	g.names = append(g.names, m.Incarnation)
	g.all[m.Incarnation] = all
}

func index(inc ident.Incarnation) int {
	var i int
	_, err := fmt.Sscanf(string(inc), "%x-", &i)
	Expect(err).NotTo(HaveOccurred())
	return i
}

func (g *group) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.now = g.now.Add(step)
		for _, from := range g.names {
			if g.paused[from] {
				continue
			}
			g.changes[from] = append(g.changes[from], g.all[from].Tick(g.now)...)
			for _, to := range g.all[from].DueHeartbeats(g.now) {
				if peer := g.all[to.Peer]; peer != nil && !g.paused[to.Peer] && !g.partitioned[string(from+">"+to.Peer)] {
					peer.ReceiveHeartbeat(g.now, from, to.Heartbeat)
				}
			}
		}
	}
}

func (g *group) live(i int) []int {
	var out []int
	for _, m := range g.all[g.names[i]].Live() {
		out = append(out, index(m.Incarnation))
	}
	return out
}

func kinds(changes []membership.Change) []membership.ChangeKind {
	var out []membership.ChangeKind
	for _, c := range changes {
		out = append(out, c.Kind)
	}
	return out
}

var _ = Describe("Membership", func() {
	It("makes members live once they exchange heartbeats", func() {
		g := newGroup(6)
		Expect(g.all[g.names[0]].Quorum(start)).To(BeFalse())
		g.run(time.Second)
		for i := range 6 {
			Expect(g.live(i)).To(Equal([]int{0, 1, 2, 3, 4, 5}))
			Expect(g.all[g.names[i]].Quorum(g.now)).To(BeTrue())
		}
		g.run(10 * time.Second)
		Expect(kinds(g.changes[g.names[0]])).To(HaveLen(5), "no member is lost without a fault")
	})

	// The link from 0 to 1 loses everything in one direction. Entry 1 receives nothing from
	// 0; entry 0 receives the heartbeats of 1, but its own are no longer echoed. Both must
	// drop the other within the failure-detection timeout, otherwise 0 would send offers
	// that are lost.
	It("detects a link that fails in one direction at both ends", func() {
		g := newGroup(3)
		g.run(time.Second)
		g.partitioned[string(g.names[0]+">"+g.names[1])] = true
		g.run(silence + 2*heartbeat)
		Expect(g.live(0)).To(Equal([]int{0, 2}))
		Expect(g.live(1)).To(Equal([]int{1, 2}))
		Expect(g.live(2)).To(Equal([]int{0, 1, 2}))
		clear(g.partitioned)
		g.run(silence)
		Expect(g.live(0)).To(Equal([]int{0, 1, 2}))
	})

	// An entry is paused for much longer than the failure-detection timeout, and the others
	// have dropped it. After it resumes it must detect the pause before it acts. Until it
	// has exchanged new heartbeats it must not consider itself a scheduler with quorum, even
	// if heartbeats that were queued in its rings arrive first.
	It("requires new heartbeats after a pause", func() {
		g := newGroup(3)
		g.run(time.Second)
		pausedEntry := g.names[1]
		queued := g.all[g.names[0]].DueHeartbeats(g.now.Add(heartbeat))
		g.paused[pausedEntry] = true
		g.run(5 * time.Second)
		Expect(g.live(0)).To(Equal([]int{0, 2}))
		for _, to := range queued {
			if to.Peer == pausedEntry {
				g.all[pausedEntry].ReceiveHeartbeat(g.now, g.names[0], to.Heartbeat)
			}
		}
		Expect(g.all[pausedEntry].Live()).To(BeEmpty())
		Expect(g.all[pausedEntry].Quorum(g.now)).To(BeFalse())
		Expect(g.all[pausedEntry].Entries(g.now, "zone-1")).To(BeEmpty())
		resumed := g.all[pausedEntry].Tick(g.now)
		Expect(kinds(resumed)).To(Equal([]membership.ChangeKind{membership.Paused, membership.MemberLost, membership.MemberLost}))
		Expect(resumed[0].Gap).To(BeNumerically(">=", 5*time.Second-step))
		Expect(g.all[pausedEntry].Quorum(g.now)).To(BeFalse())
		g.paused[pausedEntry] = false
		g.run(time.Second)
		Expect(g.live(1)).To(Equal([]int{0, 1, 2}))
	})

	// An entry is replaced under its name without its state. The previous process was only
	// paused, resumes and opens its links again. The name belongs to the new process; the
	// previous one must never be live again nor count.
	It("keeps a replaced incarnation out", func() {
		g := newGroup(3)
		g.run(time.Second)
		m := g.all[g.names[0]]
		m.LinkUp(g.now, member(2, 2))
		m.LinkUp(g.now, member(2, 1))
		m.ReceiveHeartbeat(g.now, member(2, 1).Incarnation, message.Heartbeat{Seq: 1 << 40, Echo: 1, State: message.Ready})
		found := m.Tick(g.now)
		Expect(kinds(found)).To(Equal([]membership.ChangeKind{membership.MemberLost, membership.MemberReplaced}))
		Expect(g.live(0)).To(Equal([]int{0, 1}))
		views := m.Members(g.now)
		Expect(views).To(HaveLen(2))
		Expect(views[1].Member.Incarnation).To(Equal(member(2, 2).Incarnation))
	})

	// The list lags by 30 s: it still has an entry that was replaced long ago, and does not
	// have one yet that is serving. It may remove only entries that are unresponsive.
	It("only adds and prunes names by a lagging list", func() {
		g := newGroup(3)
		g.run(time.Second)
		m := g.all[g.names[0]]
		row := func(i int) membership.Instance { return membership.Instance{Name: member(i, 1).Name, Zone: "zone-0"} }
		m.SetListed(g.now, []membership.Instance{row(0), row(1), row(7)})
		Expect(m.Unlinked()).To(Equal([]membership.Instance{row(7)}))
		g.run(time.Second)
		Expect(g.live(0)).To(Equal([]int{0, 1, 2}), "2 sends heartbeats and 7 does not")
		Expect(m.Members(g.now)).To(HaveLen(3))
		m.LinkDown(g.now, member(1, 1).Incarnation, false)
		m.SetListed(g.now, []membership.Instance{row(0)})
		m.Tick(g.now)
		Expect(g.live(0)).To(Equal([]int{0, 1, 2}), "1 has just sent a heartbeat")
		Expect(m.Members(g.now)).To(HaveLen(2), "7 was removed")
	})

	DescribeTable("quorum with five known peers",
		func(connected int, lose func(m *membership.Membership, now time.Time), want bool) {
			g := newGroup(6)
			for i := connected + 1; i < 6; i++ {
				g.paused[g.names[i]] = true
			}
			g.run(2 * time.Second)
			m := g.all[g.names[0]]
			lose(m, g.now)
			Expect(m.Quorum(g.now)).To(Equal(want))
		},
		Entry("two connected", 2, func(*membership.Membership, time.Time) {}, false),
		Entry("three connected", 3, func(*membership.Membership, time.Time) {}, true),
		Entry("two connected, one refuses connections", 2, func(m *membership.Membership, now time.Time) {
			m.LinkDown(now, member(5, 1).Incarnation, true)
		}, true),
		Entry("two connected, one link broke", 2, func(m *membership.Membership, now time.Time) {
			m.LinkDown(now, member(5, 1).Incarnation, false)
		}, false),
		Entry("two connected, one removed from the list with its link open", 2, func(m *membership.Membership, now time.Time) {
			m.SetListed(now, []membership.Instance{{Name: member(5, 1).Name}})
			m.SetListed(now, nil)
		}, false),
		Entry("two connected, one stopped", 2, func(m *membership.Membership, now time.Time) {
			m.ReceiveHeartbeat(now, member(5, 1).Incarnation, message.Heartbeat{Seq: 1 << 40, State: message.Stopped})
		}, true),
		Entry("two connected, one pruned by the list", 2, func(m *membership.Membership, now time.Time) {
			m.LinkDown(now, member(5, 1).Incarnation, false)
			m.SetListed(now, []membership.Instance{{Name: member(5, 1).Name}})
			m.SetListed(now, nil)
		}, true),
	)

	It("stops counting members that are unresponsive for the removal time, even if still listed", func() {
		g := newGroup(3)
		g.paused[g.names[1]], g.paused[g.names[2]] = true, true
		m := g.all[g.names[0]]
		rows := []membership.Instance{{Name: member(1, 1).Name}, {Name: member(2, 1).Name}}
		m.SetListed(start, rows)
		Expect(m.Quorum(start)).To(BeFalse())
		m.Tick(start.Add(time.Hour))
		Expect(m.Quorum(start.Add(time.Hour))).To(BeFalse())
		later := start.Add(time.Hour + time.Second)
		Expect(kinds(m.Tick(later))).To(Equal([]membership.ChangeKind{membership.MemberRemoved, membership.MemberRemoved}))
		m.SetListed(later, rows)
		Expect(m.Quorum(later)).To(BeTrue())
	})

	// Heartbeats of one peer arrive out of order: one that reports draining arrives before
	// an older one that reports ready. The peer must not become live.
	It("ignores a heartbeat that is not newer than the last", func() {
		g := newGroup(2)
		g.run(time.Second)
		m, from := g.all[g.names[0]], g.names[1]
		m.ReceiveHeartbeat(g.now, from, message.Heartbeat{Seq: 1 << 40, State: message.Draining})
		m.ReceiveHeartbeat(g.now, from, message.Heartbeat{Seq: 1<<40 - 1, State: message.Ready})
		m.Tick(g.now)
		Expect(g.live(0)).To(Equal([]int{0}))
	})

	It("returns entries of the caller's zone first and no draining ones, and spreads callers", func() {
		g := newGroup(6)
		g.run(time.Second)
		g.all[g.names[1]].SetSelf(g.now, membership.Self{State: message.Draining})
		g.run(2 * step)
		first := map[string]int{}
		for range 100 {
			entries := g.all[g.names[0]].Entries(g.now, "zone-0")
			Expect(entries).To(HaveLen(5))
			Expect(entries[0].Zone).To(Equal("zone-0"))
			Expect(entries[1].Zone).To(Equal("zone-0"))
			Expect(entries).NotTo(ContainElement(member(1, 1)))
			first[entries[0].Name]++
		}
		Expect(first).To(Equal(map[string]int{"entry-000": 50, "entry-003": 50}))
		own := g.all[g.names[1]]
		Expect(own.Entries(g.now, "zone-1")).NotTo(ContainElement(member(1, 1)))
	})

	It("sends heartbeats less often with more members, and digests rarely to other zones", func() {
		m := membership.New(member(0, 1), config(), start)
		m.SetSelf(start, membership.Self{State: message.Ready, Digests: []message.Digest{{Target: "t"}}})
		Expect(m.Interval()).To(Equal(heartbeat))
		for i := 1; i < 410; i++ {
			m.LinkUp(start, member(i, 1))
		}
		Expect(m.Interval()).To(Equal(18 * heartbeat))
		beats, near, far := 0, 0, 0
		for now := start; now.Before(start.Add(72 * heartbeat)); now = now.Add(step) {
			for _, to := range m.DueHeartbeats(now) {
				beats++
				switch {
				case len(to.Heartbeat.Digests) == 0:
				case index(to.Peer)%3 == 0:
					near++
				default:
					far++
				}
			}
		}
		// Each of the 409 peers gets four or five heartbeats: the first at once, the second
		// before a full interval has passed.
		Expect(beats).To(BeNumerically("~", 4.75*409, 409))
		Expect(near).To(BeNumerically(">=", 4*136))
		Expect(far).To(BeNumerically("<=", 2*273))
	})
})

// BenchmarkSecond runs one second of an entry's membership: 50 ticks, all heartbeats sent
// and received. It also reports the heartbeats and CBOR bytes sent per second (no digests; 5
// targets scheduled).
func BenchmarkSecond(b *testing.B) {
	for _, n := range []int{6, 12, 24, 48, 96, 410} {
		for _, digests := range []int{0, 5} {
			b.Run(fmt.Sprintf("members=%d/digests=%d", n, digests), func(b *testing.B) { second(b, n, digests) })
		}
	}
}

func second(b *testing.B, n, digests int) {
	zones := 3
	if n > 100 {
		zones = 11
	}
	m := membership.New(member(0, 1), config(), start)
	self := membership.Self{State: message.Ready, ConfigVersion: 100_000, InFlight: 50}
	for i := range digests {
		self.Digests = append(self.Digests, message.Digest{
			Target: fmt.Sprintf("engine-%d", i), Limit: 32, InFlight: 20, Queued: 5, QueuedPrefill: 20_000,
			PrefillRate: 9876.5, StepTime: 21 * time.Millisecond, Available: true, LowestTier: 2, Wait: time.Second,
		})
	}
	m.SetSelf(start, self)
	for i := 1; i < n; i++ {
		peer := member(i, 1)
		peer.Zone = fmt.Sprint("zone-", i%zones)
		m.LinkUp(start, peer)
	}
	now, sent, bytes := start, 0, 0
	for b.Loop() {
		for range 50 {
			now = now.Add(step)
			for _, to := range m.DueHeartbeats(now) {
				sent++
				b.StopTimer()
				data, err := cbor.Marshal(to.Heartbeat)
				if err != nil {
					b.Fatal(err)
				}
				b.StartTimer()
				bytes += len(data)
				m.ReceiveHeartbeat(now, to.Peer, message.Heartbeat{Seq: to.Heartbeat.Seq, Echo: to.Heartbeat.Seq, State: message.Ready})
			}
			m.Tick(now)
		}
	}
	b.ReportMetric(float64(sent)/float64(b.N), "beats/s")
	b.ReportMetric(float64(bytes)/float64(b.N), "B/s")
}
