package gateway

import (
	"bytes"
	"fmt"
	"math"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/core/lending"
	"sycamoretrail/internal/core/peerset"
	"sycamoretrail/internal/gossip"
	"sycamoretrail/internal/settings"
)

// lendingSettings returns the default settings with lending switched on.
func lendingSettings() settings.Gateway {
	s := settings.DefaultGateway()
	s.Load.Lending = true
	return s
}

// ofTwoCells returns an entry of the first of two cells, which is its relay, with targets of a
// service and their speed.
func ofTwoCells(t *testing.T, s settings.Gateway, log *bytes.Buffer) *Gateway {
	t.Helper()
	g := New(s, &fakePlatform{}, loggerTo(log))
	conn, err := gossip.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	g.links = newLinks(g, conn)
	setCell(g, peerset.Cells{Count: 2, Entries: 24, IsRelay: true})
	var targets []catalog.Target
	for i := range 24 {
		targets = append(targets, catalog.Target{ID: fmt.Sprintf("i-%08x", i*2654435761), Service: "desk", Slots: 4})
	}
	g.state.setTargets(targets)
	now := time.Now()
	ticket, _ := g.state.submit(dispatch.Request{ID: "1", Service: "desk", Arrived: now, Expires: now.Add(time.Minute)})
	g.state.release(ticket, dispatch.Report{Outcome: dispatch.Answered, Latency: 12 * time.Millisecond})
	return g
}

func setCell(g *Gateway, cells peerset.Cells) {
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	g.links.cells.Store(&cells)
	g.state.sched.SetCell(time.Now(), cells.Own, cells.Count)
	g.links.setLeaseCell(&cells)
}

// announced returns an announcement of the second of two cells that lends a target to the first.
func announced(g *Gateway) *gossip.Message {
	return &gossip.Message{From: "front-2", Incarnation: 3, AgeMS: 1000, Leases: &gossip.Leases{
		Cell: 1, Cells: 2, Sequence: 7, PassOn: true,
		Loads:  []gossip.CellLoad{{Service: "desk", Capacity: 9, Arriving: 2}},
		Leases: []gossip.Lease{{Target: otherCells(g)[0], Service: "desk", To: 0, TermMS: 3000}},
	}}
}

// otherCells returns the targets that do not belong to the entry's cell.
func otherCells(g *Gateway) []string {
	var names []string
	own := make(map[string]bool)
	for _, p := range g.state.sched.LendingPools(time.Now()) {
		for _, t := range p.Targets {
			own[t.Name] = true
		}
	}
	for i := range 24 {
		if name := fmt.Sprintf("i-%08x", i*2654435761); !own[name] {
			names = append(names, name)
		}
	}
	return names
}

// listen returns an entry that only receives, and what it receives.
func listen(t *testing.T) (chan *gossip.Message, peerset.Entry) {
	t.Helper()
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	received := make(chan *gossip.Message, 8)
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, _, err := socket.ReadFromUDP(buffer)
			if err != nil {
				return
			}
			m := &gossip.Message{}
			if cbor.Unmarshal(buffer[:n], m) == nil {
				received <- m
			}
		}
	}()
	return received, peerset.Entry{Name: "front-3", Links: socket.LocalAddr().String()}
}

// Guards against announcements that are not applied, not forwarded to the cell, or forwarded
// without end.
func TestAnnouncementIsAppliedAndForwarded(t *testing.T) {
	w := NewWithT(t)
	log := &bytes.Buffer{}
	g := ofTwoCells(t, lendingSettings(), log)
	received, peer := listen(t)
	g.links.cells.Store(&peerset.Cells{Count: 2, Entries: 24, Audience: []peerset.Entry{peer}, Peers: []peerset.Entry{peer}})
	m := announced(g)
	g.links.handle(m)
	w.Expect(g.state.sched.Services(time.Now())[0].Borrowed).To(Equal(1))
	var forwarded *gossip.Message
	w.Eventually(received).Should(Receive(&forwarded))
	w.Expect(forwarded.From).To(Equal("front-2"))
	w.Expect(forwarded.AgeMS).To(Equal(m.AgeMS))
	w.Expect(forwarded.Leases.Sequence).To(Equal(uint64(7)), "that of the relay, not of the entry that forwards")
	w.Expect(forwarded.Leases.PassOn).To(BeFalse())
	w.Expect(forwarded.Leases.Loads).To(Equal(m.Leases.Loads))
	w.Expect(forwarded.Leases.Leases).To(Equal(m.Leases.Leases))

	m.Leases.PassOn = true
	g.links.handle(m)
	w.Consistently(received, "50ms").ShouldNot(Receive(), "a repeated announcement is not forwarded")
	g.log.Close(5 * time.Second)
	w.Expect(log.String()).To(ContainSubstring("borrowed"))
}

// Guards against leases that go on after this entry's cell has changed.
func TestBorrowedTargetsAreDroppedWhenTheCellChanges(t *testing.T) {
	w := NewWithT(t)
	g := ofTwoCells(t, lendingSettings(), &bytes.Buffer{})
	g.links.handle(announced(g))
	setCell(g, peerset.Cells{Count: 3, Entries: 36})
	w.Expect(g.state.sched.Services(time.Now())[0].Borrowed).To(BeZero())
	w.Expect(g.state.leases.Borrowed(time.Now())).To(BeEmpty())
}

// Guards against impossible figures that are applied or forwarded, against a term that overflows
// into a possible one, and against a log line for each of many such announcements.
func TestImpossibleAnnouncementsAreDropped(t *testing.T) {
	w := NewWithT(t)
	log := &bytes.Buffer{}
	g := ofTwoCells(t, lendingSettings(), log)
	received, peer := listen(t)
	g.links.cells.Store(&peerset.Cells{Count: 2, Entries: 24, Audience: []peerset.Entry{peer}, Peers: []peerset.Entry{peer}})
	for i, spoil := range []func(*gossip.Leases){
		func(m *gossip.Leases) { m.Leases[0].TermMS = 3001 },
		func(m *gossip.Leases) { m.Leases[0].TermMS = math.MaxInt64/1_000_000*2 + 4 },
		func(m *gossip.Leases) { m.Leases[0].TermMS = math.MinInt64 },
		func(m *gossip.Leases) { m.Loads[0].Capacity = math.Inf(1) },
		func(m *gossip.Leases) { m.Cell = 2 },
	} {
		m := announced(g)
		m.Leases.Sequence = uint64(i + 1)
		spoil(m.Leases)
		g.links.handle(m)
	}
	w.Expect(g.state.sched.Services(time.Now())[0].Borrowed).To(BeZero())
	dropped := make(map[string]int64)
	g.counters.droppedAnnouncements.each(func(key string, n int64) { dropped[key] = n })
	w.Expect(dropped).To(Equal(map[string]int64{"term": 3, "load": 1, "cell": 1}))
	w.Consistently(received, "50ms").ShouldNot(Receive())
	g.log.Close(5 * time.Second)
	w.Expect(strings.Count(log.String(), "impossible")).To(BeNumerically(">=", 1))
	w.Expect(strings.Count(log.String(), `outcome`)).To(Equal(1))
}

// Guards against lending while the setting is off.
func TestNothingIsBorrowedWhileLendingIsOff(t *testing.T) {
	w := NewWithT(t)
	s := settings.DefaultGateway()
	s.Load.Lending = false
	g := ofTwoCells(t, s, &bytes.Buffer{})
	g.links.handle(announced(g))
	w.Expect(g.state.sched.Services(time.Now())[0].Borrowed).To(BeZero())
	g.links.lend(t.Context())
}

// A relay announces its load although nothing is lent. Guards against announcements that an
// entry of another cell cannot apply, and against copies to entries that do not need loads.
func TestRelayAnnouncesItsLoad(t *testing.T) {
	w := NewWithT(t)
	g := ofTwoCells(t, lendingSettings(), &bytes.Buffer{})
	others, other := listen(t)
	peers, peer := listen(t)
	setCell(g, peerset.Cells{
		Count: 2, Entries: 24, IsRelay: true, OtherCells: [][]peerset.Entry{nil, {other}},
		Audience: []peerset.Entry{peer, peer, peer, peer}, Peers: []peerset.Entry{peer, peer, peer, peer},
	})
	g.links.announceLeases(0)
	var m *gossip.Message
	w.Eventually(others).Should(Receive(&m))
	w.Expect(m.Leases.PassOn).To(BeTrue())
	w.Expect(m.Leases.Loads).To(HaveLen(1))
	w.Expect(m.Leases.Leases).To(BeEmpty())
	a := announcementOf(m)
	w.Expect(a.Valid()).To(Succeed())
	for range loadReceivers {
		w.Eventually(peers).Should(Receive(&m))
		w.Expect(m.Leases.PassOn).To(BeFalse())
	}
	w.Consistently(peers, "50ms").ShouldNot(Receive())
}

// Guards against announcements that do not fit a datagram, or that cost more between zones than
// they need: names of usual length and of the greatest, many services, and all that may be lent.
func TestAnnouncementsFitADatagram(t *testing.T) {
	for _, c := range []struct {
		services, nameLength, targets int
		most                          int
	}{
		{services: 3, nameLength: 10, targets: 0, most: 220},
		{services: 3, nameLength: 10, targets: 12, most: 450},
		{services: 3, nameLength: 10, targets: 200, most: 900},
		{services: 60, nameLength: 10, targets: 24, most: gossip.MaxDatagram},
		{services: 64, nameLength: 60, targets: 60, most: gossip.MaxDatagram},
		{services: 2, nameLength: 253, targets: 60, most: gossip.MaxDatagram},
	} {
		w := NewWithT(t)
		l := lending.New()
		l.SetCell(300, lending.MaxCells)
		name := func(i int) string { return fmt.Sprintf("%0*d", c.nameLength, i) }
		now := time.Unix(1000, 0)
		var a lending.Announcement
		longest, told := 0, make(map[string]bool)
		conn := &gossip.Conn{}
		for round := range 60 {
			now = now.Add(lending.Interval)
			var pools []lending.Pool
			for i := range c.services {
				pool := lending.Pool{Load: lending.Load{Service: name(i), Capacity: 1.0 / 3, Arriving: 1e-9}, Own: c.targets}
				for j := range c.targets {
					pool.Targets = append(pool.Targets, lending.Target{Name: name(1000*i + j), Capacity: 1e-6})
				}
				pools = append(pools, pool)
				full := lending.Announcement{
					From: "front-2", Incarnation: 1, Age: now.Sub(time.Unix(1000, 0)), Sequence: uint64(round*c.services + i + 1), Cell: 1, Cells: lending.MaxCells,
					Loads: []lending.Load{{Service: name(i), Capacity: 1, Arriving: 1e6}},
				}
				w.Expect(l.Apply(now, full)).To(Succeed())
			}
			a = l.Round(now, pools)
			m := &gossip.Message{From: strings.Repeat("f", 60), Incarnation: math.MaxUint64, AgeMS: math.MaxInt64, Leases: leasesMessage(&a)}
			m.Leases.PassOn, m.Leases.Sequence = true, math.MaxUint64
			data, err := conn.Encode(m)
			w.Expect(err).NotTo(HaveOccurred())
			longest = max(longest, len(data))
			for _, load := range a.Loads {
				told[load.Service] = true
			}
		}
		t.Logf("%d services, names of %d bytes: at most %d bytes with %d leases", c.services, c.nameLength, longest, len(a.Leases))
		w.Expect(longest).To(BeNumerically("<=", c.most))
		w.Expect(told).To(HaveLen(c.services), "each service is told in turn")
		w.Expect(len(a.Leases) > 0).To(Equal(c.targets > 0))
	}
}

// Guards against conversions that lose a part of an announcement.
func TestAnnouncementSurvivesTheMessage(t *testing.T) {
	w := NewWithT(t)
	a := lending.Announcement{
		From: "front-1", Incarnation: 5, Age: 3 * time.Second, Sequence: 9, Cell: 1, Cells: 4,
		Loads:  []lending.Load{{Service: "desk", Capacity: 0.1 + 0.2, Arriving: 1e-7}, {Service: "room"}},
		Leases: []lending.Lease{{Target: "i-1", Service: "desk", To: 3, Term: 2499 * time.Millisecond}},
	}
	m := &gossip.Message{From: a.From, Incarnation: a.Incarnation, AgeMS: a.Age.Milliseconds(), Leases: leasesMessage(&a)}
	m.Leases.Sequence = a.Sequence
	w.Expect(announcementOf(m)).To(Equal(a))
}
