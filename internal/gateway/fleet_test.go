package gateway

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/rollout"
	"sycamoretrail/internal/feed"
	"sycamoretrail/internal/gossip"
	"sycamoretrail/internal/settings"
)

// The fleet below runs the duties of many entries in one process, on the clock of a synctest
// bubble. Their datagrams and calls go through a network in memory, and the store executes
// appends one at a time.

const (
	datagramDelay = 500 * time.Microsecond
	transferDelay = 2 * time.Millisecond
	// socketQueue is the number of datagrams that wait at an entry; further ones are lost.
	socketQueue = 2048
	// storeDelay is how long a read takes at the store, appendTime an append, one at a time;
	// appendLimit is the time for which appends wait before further ones are rejected.
	storeDelay  = 4 * time.Millisecond
	appendTime  = 4 * time.Millisecond
	appendLimit = 2 * time.Second
	pageKeys    = 200
	fleetZones  = 5
)

// network delivers datagrams and calls between the entries of a fleet.
type network struct {
	mutex sync.RWMutex
	nodes map[string]*fleetNode
	// lossRate is the share of datagrams lost, in thousandths.
	lossRate atomic.Int64
	// kinds counts datagrams and octets by the kind of message.
	kinds      sync.Map
	countKinds bool
	// split separates the entries for which it returns true from the others.
	split func(*fleetNode) bool
}

// kindCount counts the messages of a kind.
type kindCount struct{ datagrams, octets atomic.Int64 }

func (n *network) countKind(datagram []byte) {
	m := &gossip.Message{}
	if cbor.Unmarshal(datagram, m) != nil {
		return
	}
	kind := "other"
	switch {
	case m.Heartbeat != nil:
		kind = "heartbeat"
	case m.Digest != nil:
		kind = "digest"
	case m.Load != nil:
		kind = "load"
	case m.History != nil:
		kind = "history"
	case m.Replica != nil || m.Fragment != nil:
		kind = "replica"
	}
	value, _ := n.kinds.LoadOrStore(kind, &kindCount{})
	count := value.(*kindCount)
	count.datagrams.Add(1)
	count.octets.Add(int64(len(datagram)))
}

// takeKinds returns the counts by kind since the last call, per entry and second.
func (n *network) takeKinds(entries int, period time.Duration) (text string) {
	each := period.Seconds() * float64(entries)
	n.kinds.Range(func(kind, value any) bool {
		count := value.(*kindCount)
		text += fmt.Sprintf("%s %.1f/s %.1f kB/s; ", kind, float64(count.datagrams.Swap(0))/each, float64(count.octets.Swap(0))/each/1000)
		return true
	})
	return text
}

// fleetNode is an entry of a fleet.
type fleetNode struct {
	*Gateway
	network *network
	address *net.UDPAddr
	arrived chan arrival
	stop    context.CancelFunc
	down    atomic.Bool
	// datagrams and octets count what arrived, sentOctets what was sent.
	datagrams, octets, sentOctets atomic.Int64
}

type arrival struct {
	data []byte
	at   time.Time
}

// reach returns the entry at an address if it can be reached from another, or nil.
func (n *network) reach(from *fleetNode, address string) *fleetNode {
	n.mutex.RLock()
	defer n.mutex.RUnlock()
	node := n.nodes[address]
	if node == nil || node.down.Load() || n.split != nil && n.split(node) != n.split(from) {
		return nil
	}
	return node
}

// partition separates some entries from the others; nil reconnects all.
func (n *network) partition(split func(*fleetNode) bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.split = split
}

// WriteToUDP implements gossip.Socket.
func (f *fleetNode) WriteToUDP(datagram []byte, to *net.UDPAddr) (int, error) {
	f.sentOctets.Add(int64(len(datagram)))
	lost := rand.Int64N(1000) < f.network.lossRate.Load()
	node := f.network.reach(f, to.String())
	if node == nil || lost || f.down.Load() {
		return len(datagram), nil
	}
	select {
	case node.arrived <- arrival{slices.Clone(datagram), time.Now().Add(datagramDelay)}:
	default:
	}
	return len(datagram), nil
}

// ReadFromUDP implements gossip.Socket.
func (f *fleetNode) ReadFromUDP(buffer []byte) (int, *net.UDPAddr, error) {
	a, open := <-f.arrived
	if !open || f.down.Load() {
		return 0, nil, net.ErrClosed
	}
	time.Sleep(time.Until(a.at))
	f.datagrams.Add(1)
	f.octets.Add(int64(len(a.data)))
	if f.network.countKinds {
		f.network.countKind(a.data)
	}
	return copy(buffer, a.data), nil, nil
}

// Close implements gossip.Socket.
func (f *fleetNode) Close() error { return nil }

// post calls another entry.
func (f *fleetNode) post(address, path string, body []byte) ([]byte, error) {
	time.Sleep(transferDelay)
	node := f.network.reach(f, address)
	if node == nil {
		return nil, errTransfer
	}
	select {
	case node.links.transfer.slot <- struct{}{}:
		defer func() { <-node.links.transfer.slot }()
	default:
		return nil, errTransfer
	}
	answer, err := node.links.transfer.answer(path, body)
	if err == nil && answer == nil {
		err = errTransfer
	}
	f.octets.Add(int64(len(answer)))
	return answer, err
}

// fleetStore is the store of a fleet.
type fleetStore struct {
	Platform
	mutex  sync.Mutex
	topics map[feed.Topic][]feed.Record
	// busyUntil is when the appends that wait in each topic are executed.
	busyUntil map[feed.Topic]time.Time
	changed   chan struct{}
	calls     map[string]int
	// appendTime is how long an append takes.
	appendTime time.Duration
}

var errStoreBusy = errors.New("too many appends are waiting")

func newFleetStore() *fleetStore {
	return &fleetStore{topics: make(map[feed.Topic][]feed.Record), busyUntil: make(map[feed.Topic]time.Time), changed: make(chan struct{}), calls: make(map[string]int), appendTime: appendTime}
}

func (s *fleetStore) count(call string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls[call]++
}

// totalCalls returns the number of calls so far.
func (s *fleetStore) totalCalls() (total int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, n := range s.calls {
		total += n
	}
	return total
}

// put writes records at once, as operators and targets do.
func (s *fleetStore) put(topic feed.Topic, records ...feed.Record) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, record := range records {
		record.Offset = int64(len(s.topics[topic]))
		s.topics[topic] = append(s.topics[topic], record)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fleetStore) Put(topic feed.Topic, records ...feed.Record) error {
	s.count("append " + topic.String())
	s.mutex.Lock()
	now := time.Now()
	due := s.busyUntil[topic]
	if due.Before(now) {
		due = now
	}
	if due.Sub(now) > appendLimit {
		s.mutex.Unlock()
		return errStoreBusy
	}
	due = due.Add(s.appendTime)
	s.busyUntil[topic] = due
	s.mutex.Unlock()
	time.Sleep(time.Until(due))
	s.put(topic, records...)
	return nil
}

func (s *fleetStore) Read(topic feed.Topic, from feed.Position, wait time.Duration) ([]feed.Record, feed.Position, error) {
	s.count("read " + topic.String())
	time.Sleep(storeDelay)
	timeout := time.After(wait)
	for {
		s.mutex.Lock()
		records, changed := s.topics[topic], s.changed
		s.mutex.Unlock()
		if int64(len(records)) > from.Offset {
			return slices.Clone(records[from.Offset:]), feed.Position{Offset: int64(len(records))}, nil
		}
		select {
		case <-timeout:
			return nil, from, nil
		case <-changed:
		}
	}
}

// newest returns the newest record of each key after one, in the order of the keys.
func (s *fleetStore) newest(topic feed.Topic, after string) ([]feed.Record, feed.Position) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	byKey := make(map[string]feed.Record)
	for _, record := range s.topics[topic] {
		byKey[record.Key] = record
	}
	var records []feed.Record
	for key, record := range byKey {
		if key > after && len(record.Value) > 0 {
			records = append(records, record)
		}
	}
	slices.SortFunc(records, func(a, b feed.Record) int { return cmp.Compare(a.Key, b.Key) })
	return records, feed.Position{Offset: int64(len(s.topics[topic]))}
}

func (s *fleetStore) Page(topic feed.Topic, after string) ([]feed.Record, feed.Position, bool, error) {
	s.count("page " + topic.String())
	time.Sleep(storeDelay)
	records, next := s.newest(topic, after)
	return records[:min(len(records), pageKeys)], next, len(records) > pageKeys, nil
}

func (s *fleetStore) Snapshot(topic feed.Topic) ([]feed.Record, feed.Position, error) {
	records, next := s.newest(topic, "")
	for range max(1, (len(records)+pageKeys-1)/pageKeys) {
		s.count("page " + topic.String())
		time.Sleep(storeDelay)
	}
	return records, next, nil
}

func (s *fleetStore) DecodeConfiguration(r feed.Record) (*catalog.Configuration, error) {
	c := &catalog.Configuration{}
	if err := json.Unmarshal(r.Value, c); err != nil {
		return nil, err
	}
	c.Index()
	return c, nil
}

func (s *fleetStore) DecodeOrder(feed.Record) (*rollout.Order, error) { return nil, nil }

func (s *fleetStore) DecodeTarget(r feed.Record) (catalog.Target, error) {
	target := catalog.Target{}
	err := json.Unmarshal(r.Value, &target)
	return target, err
}

// fleet is a number of entries with a store. All its entries share one heap; with the default
// target its collection would take most of the time.
type fleet struct {
	network *network
	store   *fleetStore
	nodes   []*fleetNode
	// ended holds entries whose place another process has taken.
	ended  []*fleetNode
	logged *bytes.Buffer
}

func jsonOf(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

func newFleet(entries, targets, organisations int) *fleet {
	debug.SetGCPercent(400)
	f := &fleet{network: &network{nodes: make(map[string]*fleetNode)}, store: newFleetStore()}
	f.configure(1, organisations)
	for i := range targets {
		f.store.put(feed.Targets, targetRecord(i, false))
	}
	for i := range entries {
		f.add(i)
	}
	return f
}

func (f *fleet) configure(version int64, organisations int) {
	c := catalog.Configuration{Version: version}
	for i := range organisations {
		c.Organisations = append(c.Organisations, catalog.Organisation{Name: fmt.Sprint("organisation-", i), Rate: 100_000, Burst: 100_000})
	}
	f.store.put(feed.Operators, feed.Record{Key: "configuration", Value: jsonOf(c)})
}

func targetRecord(i int, leaving bool) feed.Record {
	id := fmt.Sprint("i-", i)
	return feed.Record{Key: id, Value: jsonOf(catalog.Target{
		ID: id, Service: "model", Address: fmt.Sprintf("10.9.%d.%d:80", i/250, i%250+1), Zone: zoneOfIndex(i), Slots: 4, Leaving: leaving,
	})}
}

func zoneOfIndex(i int) string { return string(rune('a' + i%fleetZones)) }

// add creates the entry with an index, or its next process.
func (f *fleet) add(i int) *fleetNode {
	address := &net.UDPAddr{IP: net.IPv4(10, 0, byte(i/250), byte(i%250+1)), Port: 7700}
	node := &fleetNode{network: f.network, address: address, arrived: make(chan arrival, socketQueue)}
	s := settings.DefaultGateway()
	s.Name, s.Zone = fmt.Sprintf("front-%s-%d", zoneOfIndex(i), i), zoneOfIndex(i)
	s.LinksAddress, s.CallersAddress = address.String(), fmt.Sprintf("%s:80", address.IP)
	s.Bounds.DrainMS, s.Bounds.ConfigurationMS = 5000, 5000
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	if f.logged != nil {
		logger.SetOutput(f.logged)
	}
	node.Gateway = New(s, f.store, logger)
	node.links = newLinks(node.Gateway, gossip.NewConn(node))
	node.links.transfer.post = node.post
	f.network.mutex.Lock()
	f.network.nodes[address.String()] = node
	f.network.mutex.Unlock()
	if i < len(f.nodes) {
		f.ended = append(f.ended, f.nodes[i])
		f.nodes[i] = node
	} else {
		f.nodes = append(f.nodes, node)
	}
	return node
}

func (n *fleetNode) start() {
	var ctx context.Context
	ctx, n.stop = context.WithCancel(context.Background())
	n.startDuties(ctx)
}

// startAll starts all entries within some tenths of a second.
func (f *fleet) startAll() {
	for i, node := range f.nodes {
		time.AfterFunc(time.Duration(i*7919%300)*time.Millisecond, node.start)
	}
	time.Sleep(300 * time.Millisecond)
}

// kill ends an entry without notice.
func (n *fleetNode) kill() {
	n.down.Store(true)
	n.stop()
	close(n.arrived)
}

// stopAll ends all entries and lets their goroutines end.
func (f *fleet) stopAll() {
	for _, node := range f.nodes {
		if !node.down.Load() {
			node.kill()
		}
	}
	time.Sleep(time.Minute)
	for _, node := range slices.Concat(f.nodes, f.ended) {
		node.log.Close(time.Second)
		if err := node.metrics.Close(); err != nil {
			panic(err)
		}
	}
}

// running returns the entries that are running.
func (f *fleet) running() []*fleetNode {
	return slices.DeleteFunc(slices.Clone(f.nodes), func(n *fleetNode) bool { return n.down.Load() })
}

// await waits until a condition holds at a share of the running entries. It returns the time
// that it took, or limit.
func (f *fleet) await(share float64, limit time.Duration, condition func(*fleetNode) bool) time.Duration {
	const step = 20 * time.Millisecond
	for began := time.Now(); ; time.Sleep(step) {
		running, met := f.running(), 0
		for _, node := range running {
			if condition(node) {
				met++
			}
		}
		if took := time.Since(began); float64(met) >= share*float64(len(running)) || took >= limit {
			return took
		}
	}
}

// lists reports whether an entry sends callers to another.
func (n *fleetNode) lists(other *fleetNode) bool {
	n.state.mutex.Lock()
	defer n.state.mutex.Unlock()
	for _, m := range n.state.peers.Serving(time.Now()) {
		if m.Name == other.self.Name && m.Incarnation == other.self.Incarnation {
			return true
		}
	}
	return false
}

// servingCount returns the number of other entries to which an entry sends callers.
func (n *fleetNode) servingCount() int {
	n.state.mutex.Lock()
	defer n.state.mutex.Unlock()
	return n.state.peers.ServingCount(time.Now())
}

// view describes how many entries agree on the fleet.
func (f *fleet) view() string {
	sizes, counts, relays, hubs := make(map[int]int), make(map[int]int), 0, 0
	for _, node := range f.running() {
		sizes[node.servingCount()/20*20]++
		cells := node.links.cells.Load()
		counts[cells.Count]++
		if cells.IsRelay {
			relays++
		}
		if h := cells.Hubs[cells.Zone]; len(h) > 0 && h[0].Name == node.self.Name {
			hubs++
		}
	}
	return fmt.Sprint("serving ", sizes, ", cells ", counts, ", relays ", relays, ", hubs ", hubs)
}

// disagreements describes some entries that others wrongly consider live or lost.
func (f *fleet) disagreements(most int) (text string) {
	byName := make(map[string]*fleetNode)
	for _, node := range f.nodes {
		byName[node.self.Name] = node
	}
	for _, e := range f.running() {
		e.state.mutex.Lock()
		now := time.Now()
		for _, m := range e.state.peers.Members() {
			other := byName[m.Name]
			if live := e.state.peers.Live(now, m.Name); live == other.down.Load() && most > 0 {
				most--
				cells, its := e.links.cells.Load(), other.links.cells.Load()
				text += fmt.Sprintf("\n%s of cell %d takes %s of cell %d (relay %v) for live=%v: contact %v ago, direct %v ago, token known %v",
					e.self.Name, cells.Own, m.Name, its.Own, its.IsRelay, live, now.Sub(m.LastContact), now.Sub(m.LastDirect), m.Token() == other.links.ownToken())
			}
		}
		e.state.mutex.Unlock()
	}
	return text
}
