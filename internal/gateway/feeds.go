package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/register"
	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/feed"
	"sycamoretrail/internal/settings"
)

// Parts of the time that the operators allow for a change to be in force. A read
// waits at the store for the first change, so changes come at once; the end of the
// wait only shows that the reader is alive. The patience of the others exceeds the
// wait, and leaves a third of the time for an own read after the reader has died.
const (
	waitShare     = 0.4
	patienceShare = 0.6
)

const (
	// readPause is the least time between two reads of a topic: changes that come in
	// quick succession are read together.
	readPause = 50 * time.Millisecond
	// settle is how long after an outage of the store a target that lives may take
	// to come back, with a margin.
	settle = 2300 * time.Millisecond
)

// feeds follows what the store keeps for this entry.
type feeds struct {
	gateway   *Gateway
	operators *feed.Follower
	targets   *feed.Follower

	// known is set once the targets' register has been read.
	known atomic.Bool
	// blind holds, by topic, that the store cannot be read.
	blind     [feed.Entries]atomic.Bool
	mutex     sync.Mutex
	register  *register.Register
	addresses map[string]bool
	// unsaid holds the lines of changes that are not in force yet.
	unsaid []eventlog.Fields
	// lookAgain asks for another look at the register of entries.
	lookAgain chan struct{}
	looked    atomic.Int64
	// inForce is the operators' record of the configuration in force.
	inForce atomic.Pointer[feed.Record]
	// generation is the latest of the store that this entry has followed, usageLost that
	// records of usage may be missing since.
	generation atomic.Int64
	usageLost  atomic.Bool
}

func newFeeds(g *Gateway) *feeds {
	f := &feeds{gateway: g, register: register.New(), lookAgain: make(chan struct{}, 1)}
	drain := settings.Milliseconds(g.settings.Bounds.DrainMS)
	apply := settings.Milliseconds(g.settings.Bounds.ConfigurationMS)
	f.operators = feed.NewFollower(feed.Config{
		Topic: feed.Operators, Interval: readPause, Wait: part(apply, waitShare), Patience: part(apply, patienceShare),
	}, g.platform, f.duties(f.applyOperators))
	f.targets = feed.NewFollower(feed.Config{
		Topic: feed.Targets, Interval: readPause, Wait: part(drain, waitShare), Patience: part(drain, patienceShare), Settle: settle,
	}, g.platform, f.duties(f.applyTargets))
	return f
}

func part(whole time.Duration, share float64) time.Duration {
	return time.Duration(float64(whole) * share)
}

func (f *feeds) duties(apply func(feed.Update)) feed.Duties {
	return feed.Duties{
		Leads: f.gateway.leads,
		Apply: apply,
		Lost: func(topic feed.Topic, err error) {
			f.blind[topic].Store(true)
			f.gateway.links.heartbeatNow()
			f.noteLost(topic, err)
		},
		Regained: func(topic feed.Topic, after time.Duration) {
			f.blind[topic].Store(false)
			f.gateway.links.heartbeatNow()
			f.gateway.log.Write(eventlog.Belief, eventStoreRegained, eventlog.Fields{"topic": topic.String(), "after_ms": after.Milliseconds()})
		},
	}
}

// noteLost says that a call to the store failed.
func (f *feeds) noteLost(topic feed.Topic, err error) {
	f.gateway.log.Write(eventlog.Belief, eventStoreLost, eventlog.Fields{"topic": topic.String(), "error": err.Error()})
}

// noteUndecodable says that a record is passed over.
func (f *feeds) noteUndecodable(topic feed.Topic, record feed.Record, err error) {
	f.gateway.log.Write(eventlog.Belief, eventUndecodable, eventlog.Fields{"topic": topic.String(), "offset": record.Offset, "error": err.Error()})
}

func (f *feeds) run(ctx context.Context) {
	go f.operators.Run(ctx)
	go f.targets.Run(ctx)
	go f.recordUsage(ctx)
	go f.takeCopy(ctx)
	f.followEntries(ctx)
}

// refresh has all be read anew at once.
func (f *feeds) refresh() {
	f.operators.Refresh()
	f.targets.Refresh()
}

func (g *Gateway) targetsAsOf() time.Time { return g.feeds.targets.AsOf() }

// applyOperators takes a step of what the operators write. Orders come into force before
// the configuration does: with that an entry that starts takes callers, who would get a
// version under roll-out as any other.
func (f *feeds) applyOperators(u feed.Update) {
	f.count(u)
	f.applyOrders(u)
	for _, record := range u.Records {
		f.applyConfiguration(u, record)
	}
	f.tell(u, u.Records)
}

// applyConfiguration puts a newer configuration in force. An older one never replaces
// it: what a store that lost its history returns may be any version.
func (f *feeds) applyConfiguration(u feed.Update, record feed.Record) {
	if isDrop(record) {
		return
	}
	configuration, err := f.gateway.platform.DecodeConfiguration(record)
	if err != nil {
		f.noteUndecodable(u.Topic, record, err)
		return
	}
	if configuration == nil || !f.gateway.apply(configuration, record.Offset, source(u)) {
		return
	}
	f.inForce.Store(&record)
	if !u.Replicated {
		go f.keepCopy(record)
	}
}

// applyOrders takes the orders of roll-outs, and places the targets anew if there is a new
// one, or some waited for the orders to be known.
func (f *feeds) applyOrders(u feed.Update) {
	ordered := false
	for _, record := range u.Records {
		if !isDrop(record) && f.applyOrder(u, record) {
			ordered = true
		}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if ordered || f.gateway.state.rollouts.held {
		f.publish(u.AsOf)
	}
}

// applyOrder takes an order of a roll-out; it reports whether there is a new one.
func (f *feeds) applyOrder(u feed.Update, record feed.Record) bool {
	order, err := f.gateway.platform.DecodeOrder(record)
	if err != nil {
		f.noteUndecodable(u.Topic, record, err)
		return false
	}
	return order != nil && f.gateway.state.rollouts.ordered(*order, u.To.Generation, u.Reset)
}

// apply puts a configuration in force; false: it is not newer than the one that is.
func (g *Gateway) apply(configuration *catalog.Configuration, offset int64, from string) bool {
	g.applying.Lock()
	defer g.applying.Unlock()
	if now := g.configuration.Load(); now != nil && now.Version >= configuration.Version {
		return false
	}
	g.state.mutex.Lock()
	g.state.quota.SetOrganisations(configuration.Organisations)
	g.state.mutex.Unlock()
	g.configuration.Store(configuration)
	g.noteInformed()
	g.log.Write(eventlog.Belief, eventConfiguration, eventlog.Fields{
		"from": from, "version": configuration.Version, "offset": offset, "routes": len(configuration.Routes), "organisations": len(configuration.Organisations),
	})
	return true
}

// applyTargets takes a step of the targets' register.
func (f *feeds) applyTargets(u feed.Update) {
	f.count(u)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	if u.Reset {
		u.Records = append(u.Records, f.missing(u.Records)...)
	}
	keepUntil := time.Time{}
	switch {
	case u.Restored:
		// Targets that came in the seconds that are lost write their entries again.
		f.register.Restore(u.To.Offset)
		keepUntil = now.Add(settle)
	case f.register.Lapse(drops(u.Records)):
		keepUntil = u.UnsettledUntil
	}
	var changed []feed.Record
	for _, record := range u.Records {
		if f.applyTarget(now, u, record, keepUntil) {
			changed = append(changed, record)
		}
	}
	if u.Reset || len(changed) > 0 {
		f.publish(f.operators.AsOf())
	}
	f.known.Store(true)
	f.gateway.noteInformed()
	f.tell(u, changed)
}

// departs takes a target's own word that it leaves; toldBy says who has passed it on. It
// reports whether that is news.
func (f *feeds) departs(target catalog.Target, toldBy string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.register.Depart(target) {
		return false
	}
	f.sayLater(eventlog.Fields{"target": target.ID, "started_ms": target.StartedMS, "state": "leaving", "told_by": toldBy})
	f.publish(f.operators.AsOf())
	return true
}

// missing forms drops of the known targets that a snapshot does not have.
func (f *feeds) missing(records []feed.Record) []feed.Record {
	listed := make(map[string]bool, len(records))
	for _, record := range records {
		listed[record.Key] = true
	}
	var dropped []feed.Record
	for _, id := range f.register.Missing(listed) {
		dropped = append(dropped, feed.Record{Key: id})
	}
	return dropped
}

func drops(records []feed.Record) int {
	n := 0
	for _, record := range records {
		if isDrop(record) {
			n++
		}
	}
	return n
}

// isDrop reports whether the record ends its key's entry.
func isDrop(record feed.Record) bool { return len(record.Value) == 0 && !record.Corrupt }

// applyTarget reports whether the record changes anything that matters.
func (f *feeds) applyTarget(now time.Time, u feed.Update, record feed.Record, keepUntil time.Time) bool {
	if isDrop(record) {
		return f.dropTarget(now, record, keepUntil)
	}
	target, err := f.gateway.platform.DecodeTarget(record)
	if err != nil {
		// What stands there now names no target, so the one that stood there is not used.
		f.noteUndecodable(u.Topic, record, err)
		return f.dropTarget(now, record, time.Time{})
	}
	if f.register.Outdated(target, record.Offset) {
		return false
	}
	before, known := f.register.Get(target.ID)
	if !f.register.Put(target) {
		return false
	}
	if known && before.StartedMS != target.StartedMS {
		// Connections to the process before are dead, though nothing may have come to say so.
		f.gateway.pool.Forget(before.Address)
	}
	state := "ready"
	if target.Leaving {
		state = "leaving"
	}
	f.sayLater(eventlog.Fields{
		"target": target.ID, "started_ms": target.StartedMS, "service": target.Service, "address": target.Address, "zone": target.Zone, "version": target.Version, "slots": target.Slots,
		"state": state, "offset": record.Offset, "replicated": u.Replicated, "age_ms": time.Since(u.AsOf).Milliseconds(),
	})
	return true
}

// dropTarget reports whether the target was known.
func (f *feeds) dropTarget(now time.Time, record feed.Record, keepUntil time.Time) bool {
	known := f.register.Drop(now, record.Key, keepUntil)
	if known {
		f.sayLater(eventlog.Fields{
			"target": record.Key, "state": "dropped", "offset": record.Offset, "kept_ms": max(0, keepUntil.Sub(now).Milliseconds()),
		})
		f.expireLater(keepUntil)
	}
	return known
}

// expireLater removes dropped targets that did not come back.
func (f *feeds) expireLater(at time.Time) {
	if wait := time.Until(at); wait > 0 {
		time.AfterFunc(wait+time.Millisecond, f.expire)
	}
}

func (f *feeds) expire() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	removed, _ := f.register.Expire(time.Now())
	for _, id := range removed {
		f.sayLater(eventlog.Fields{"target": id, "state": "gone"})
	}
	if len(removed) > 0 {
		f.publish(f.operators.AsOf())
	}
}

// publish hands the targets to the scheduler, and then says what changed: who reads a
// target's line may rely on it being in use. ordersAsOf is the moment as of which the
// orders are known. The mutex is held.
func (f *feeds) publish(ordersAsOf time.Time) {
	targets := f.register.Targets()
	f.addresses = make(map[string]bool, len(targets))
	for _, target := range targets {
		f.addresses[target.Address] = true
	}
	f.gateway.state.setTargets(f.gateway.state.rollouts.placed(targets, ordersAsOf))
	for _, fields := range f.unsaid {
		f.gateway.log.Write(eventlog.Belief, eventTarget, fields)
	}
	f.unsaid = nil
}

// sayLater keeps a target's line until the change is in force. The mutex is held.
func (f *feeds) sayLater(fields eventlog.Fields) { f.unsaid = append(f.unsaid, fields) }

// inUse reports whether a target has the address.
func (f *feeds) inUse(address string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.addresses[address]
}

// isBlind reports whether this entry cannot read the store.
func (f *feeds) isBlind() bool {
	return f.blind[feed.Operators].Load() || f.blind[feed.Targets].Load()
}

func (f *feeds) knowsTargets() bool { return f.known.Load() }

// tell passes on what this entry has read as the reader.
func (f *feeds) tell(u feed.Update, changed []feed.Record) {
	if u.Replicated || !f.gateway.leads() {
		return
	}
	if u.Reset {
		// The others lack what this entry had to read anew, such as after the store
		// dropped its history.
		changed = u.Records
	}
	f.gateway.links.replicate(u, changed)
}

func (f *feeds) count(u feed.Update) {
	if !u.Replicated && !f.gateway.leads() {
		f.gateway.log.Write(eventlog.Routine, eventOwnRead, eventlog.Fields{"topic": u.Topic.String(), "reset": u.Reset, "from": u.From.Offset, "to": u.To.Offset, "generation": u.To.Generation})
	}
	f.gateway.counters.news.add(u.Topic.String() + "_" + source(u))
	if u.Restored {
		f.restored(u)
	}
}

// source says who read a step.
func source(u feed.Update) string {
	if u.Replicated {
		return "replicated"
	}
	return "own"
}
