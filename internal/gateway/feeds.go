package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/registry"
	"sycamoretrail/internal/core/rollout"
	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/feed"
	"sycamoretrail/internal/settings"
)

// Shares of the time within which the operators require a change to be in force. A read waits
// at the store for the first change, so changes arrive at once; the end of the wait only shows
// that the reader is alive. The age after which other entries read for themselves exceeds the
// wait, and leaves a third of the time for that read after the reader has terminated.
const (
	waitShare   = 0.4
	maxAgeShare = 0.6
)

const (
	// readPause is the least time between two reads of a topic: changes in quick succession
	// are read together.
	readPause = 50 * time.Millisecond
	// outageGrace is how long after an outage of the store a live target may take to register
	// again, with a margin.
	outageGrace = 2300 * time.Millisecond
)

// feeds follows the records of the store that concern this entry.
type feeds struct {
	gateway   *Gateway
	operators *feed.Follower
	targets   *feed.Follower

	// targetsRead is set once the registry of targets has been read.
	targetsRead atomic.Bool
	// progressPending counts the reads of roll-outs' records that an entry waits for when it starts.
	progressPending atomic.Int32
	// storeDisconnected is set, by topic, while the store cannot be read.
	storeDisconnected [feed.Entries]atomic.Bool
	mutex             sync.Mutex
	register          *registry.Registry
	addresses         map[string]bool
	// pendingLines holds the log lines of changes that are not in force yet.
	pendingLines []eventlog.Fields
	// entriesDue triggers a read of the registry of entries; entriesReadAt is the time of the
	// last one, in Unix nanoseconds.
	entriesDue    chan struct{}
	entriesReadAt atomic.Int64
	// inForce is the operators' record of the configuration in force.
	inForce atomic.Pointer[feed.Record]
	// generation is the latest generation of the store that this entry has followed.
	// usageLost: records of usage may have been lost since they were written.
	generation atomic.Int64
	usageLost  atomic.Bool
}

func newFeeds(g *Gateway) *feeds {
	f := &feeds{gateway: g, register: registry.New(), entriesDue: make(chan struct{}, 1)}
	drain := settings.Milliseconds(g.settings.Bounds.DrainMS)
	apply := settings.Milliseconds(g.settings.Bounds.ConfigurationMS)
	f.operators = feed.NewFollower(feed.Config{
		Topic: feed.Operators, Interval: readPause, Wait: fraction(apply, waitShare), MaxAge: fraction(apply, maxAgeShare),
	}, g.platform, f.callbacks(f.applyOperators))
	f.targets = feed.NewFollower(feed.Config{
		Topic: feed.Targets, Interval: readPause, Wait: fraction(drain, waitShare), MaxAge: fraction(drain, maxAgeShare), RenewalTime: outageGrace,
	}, g.platform, f.callbacks(f.applyTargets))
	return f
}

func fraction(total time.Duration, share float64) time.Duration {
	return time.Duration(float64(total) * share)
}

func (f *feeds) callbacks(apply func(feed.Update)) feed.Callbacks {
	return feed.Callbacks{
		IsReader: f.gateway.isReader,
		Apply:    apply,
		Unavailable: func(topic feed.Topic, err error) {
			f.storeDisconnected[topic].Store(true)
			f.gateway.links.heartbeatNow()
			f.logStoreError(topic, err)
		},
		Available: func(topic feed.Topic, after time.Duration) {
			f.storeDisconnected[topic].Store(false)
			f.gateway.links.heartbeatNow()
			f.gateway.log.Write(eventlog.StateChange, eventStoreRegained, eventlog.Fields{"topic": topic.String(), "after_ms": after.Milliseconds()})
		},
	}
}

// logStoreError logs a failed call to the store.
func (f *feeds) logStoreError(topic feed.Topic, err error) {
	f.gateway.log.Write(eventlog.StateChange, eventStoreLost, eventlog.Fields{"topic": topic.String(), "error": err.Error()})
}

// logUndecodable logs a record that is ignored.
func (f *feeds) logUndecodable(topic feed.Topic, record feed.Record, err error) {
	f.gateway.log.Write(eventlog.StateChange, eventUndecodable, eventlog.Fields{"topic": topic.String(), "offset": record.Offset, "error": err.Error()})
}

func (f *feeds) run(ctx context.Context) {
	go f.operators.Run(ctx)
	go f.targets.Run(ctx)
	go f.recordUsage(ctx)
	go f.loadCopies(ctx)
	f.followEntries(ctx)
}

// refresh triggers a read of all topics at once.
func (f *feeds) refresh() {
	f.operators.Refresh()
	f.targets.Refresh()
}

func (g *Gateway) targetsAsOf() time.Time { return g.feeds.targets.AsOf() }

// applyOperators applies an update of the operators' records. Orders come into force before
// the configuration: with the configuration a starting entry begins to accept requests, and
// would otherwise send them to a version under roll-out as to any other.
func (f *feeds) applyOperators(u feed.Update) {
	f.count(u)
	f.applyOrders(u)
	for _, record := range u.Records {
		f.applyConfiguration(u, record)
	}
	f.replicate(u, u.Records)
}

// applyConfiguration puts a newer configuration in force. An older one never replaces it: a
// store that has lost its history may return any version.
func (f *feeds) applyConfiguration(u feed.Update, record feed.Record) {
	if isDrop(record) {
		return
	}
	configuration, err := f.gateway.platform.DecodeConfiguration(record)
	if err != nil {
		f.logUndecodable(u.Topic, record, err)
		return
	}
	if configuration == nil || !f.gateway.apply(configuration, record.Offset, source(u)) {
		return
	}
	f.inForce.Store(&record)
	if !u.Replicated {
		go f.writeCopies(record)
	}
}

// applyOrders applies the roll-out orders of an update, and assigns the targets to pools again
// if an order is new or targets were waiting for the orders.
func (f *feeds) applyOrders(u feed.Update) {
	ordered := false
	for _, record := range u.Records {
		if !isDrop(record) && f.applyOrder(u, record) {
			ordered = true
		}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if ordered || f.gateway.state.rollouts.awaitingOrders {
		f.publish(u.AsOf)
	}
}

// applyOrder applies a roll-out order; it reports whether the order is new.
func (f *feeds) applyOrder(u feed.Update, record feed.Record) bool {
	order, err := f.gateway.platform.DecodeOrder(record)
	if err != nil {
		f.logUndecodable(u.Topic, record, err)
		return false
	}
	rollouts := f.gateway.state.rollouts
	if order == nil || !rollouts.addOrder(*order, u.To.Generation, u.Reset) {
		return false
	}
	if u.Reset {
		f.readProgress(*order)
	}
	return true
}

// readProgress reads what has become of an order. An entry that starts accepts no requests before: it
// would take a version that has the traffic for one whose roll-out begins.
func (f *feeds) readProgress(order rollout.Order) {
	starting := f.gateway.configuration.Load() == nil
	if starting {
		f.progressPending.Add(1)
	}
	go func() {
		f.gateway.state.rollouts.readRecord(order)
		if starting {
			f.progressPending.Add(-1)
			f.gateway.noteSynced()
		}
	}()
}

// apply puts a configuration in force. It returns false if the configuration is not newer than
// the one in force.
func (g *Gateway) apply(configuration *catalog.Configuration, offset int64, from string) bool {
	g.applying.Lock()
	defer g.applying.Unlock()
	if now := g.configuration.Load(); now != nil && now.Version >= configuration.Version {
		return false
	}
	g.state.mutex.Lock()
	g.state.quota.SetOrganisations(configuration.Organisations)
	g.state.mutex.Unlock()
	g.setShares(configuration)
	g.configuration.Store(configuration)
	g.noteSynced()
	g.log.Write(eventlog.StateChange, eventConfiguration, eventlog.Fields{
		"from": from, "version": configuration.Version, "offset": offset, "routes": len(configuration.Routes), "organisations": len(configuration.Organisations),
	})
	return true
}

// applyTargets applies an update of the registry of targets.
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
		// Targets that registered within the lost seconds write their records again.
		f.register.SetRestored(u.To.Offset)
		keepUntil = now.Add(outageGrace)
	case f.register.IsMassExpiry(drops(u.Records)):
		keepUntil = u.UnsettledUntil
	}
	var changed []feed.Record
	for _, record := range u.Records {
		if f.applyTarget(now, u, record, keepUntil) {
			changed = append(changed, record)
		}
	}
	if u.Reset && f.targetsRead.Load() {
		f.gateway.origins.missTargets()
	}
	if u.Reset || len(changed) > 0 {
		f.publish(f.operators.AsOf())
	}
	f.targetsRead.Store(true)
	if u.Restored {
		// Entries that have started since read only the copy. They belong to the cell soon after contact.
		time.AfterFunc(2*cellsPause, func() { f.gateway.links.sendDepartures(f.departed(), f.gateway.links.cells.Load().Audience) })
	}
	f.gateway.noteSynced()
	f.replicate(u, changed)
}

// applyDeparture marks a target as leaving, as it has announced itself; from is the entry that
// passed this on, or fromAnswer. It reports whether that is new.
func (f *feeds) applyDeparture(target catalog.Target, from string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.register.MarkLeaving(target) {
		return false
	}
	f.queueLine(eventlog.Fields{"target": target.ID, "started_ms": target.StartedMS, "state": "leaving", "told_by": from})
	f.publish(f.operators.AsOf())
	return true
}

// departed returns the targets whose announced departure their registrations may not show.
func (f *feeds) departed() []catalog.Target {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.register.Departed()
}

// missing returns drops of the known targets that a snapshot does not contain.
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

// isDrop reports whether the record removes its key.
func isDrop(record feed.Record) bool { return len(record.Value) == 0 && !record.Corrupt }

// applyTarget applies one record; it reports whether anything relevant has changed.
func (f *feeds) applyTarget(now time.Time, u feed.Update, record feed.Record, keepUntil time.Time) bool {
	if isDrop(record) {
		return f.dropTarget(now, record, keepUntil)
	}
	target, err := f.gateway.platform.DecodeTarget(record)
	if err != nil {
		// The record no longer describes a target, so the target that was registered under
		// this key is not used any more.
		f.logUndecodable(u.Topic, record, err)
		return f.dropTarget(now, record, time.Time{})
	}
	if f.register.IsStale(target, record.Offset) {
		return false
	}
	before, known := f.register.Get(target.ID)
	if !f.register.Put(target) {
		return false
	}
	if known && before.StartedMS != target.StartedMS {
		// Connections to the previous process are dead, even if no reset has arrived.
		f.gateway.pool.Forget(before.Address)
	}
	state := "ready"
	if target.Leaving {
		state = "leaving"
	}
	f.queueLine(eventlog.Fields{
		"target": target.ID, "started_ms": target.StartedMS, "service": target.Service, "address": target.Address, "zone": target.Zone, "version": target.Version, "slots": target.Slots,
		"state": state, "offset": record.Offset, "replicated": u.Replicated, "age_ms": time.Since(u.AsOf).Milliseconds(),
	})
	return true
}

// dropTarget drops a target, which stays in use until keepUntil; it reports whether the target
// was known.
func (f *feeds) dropTarget(now time.Time, record feed.Record, keepUntil time.Time) bool {
	known := f.register.Drop(now, record.Key, keepUntil)
	if known {
		f.queueLine(eventlog.Fields{
			"target": record.Key, "state": "dropped", "offset": record.Offset, "kept_ms": max(0, keepUntil.Sub(now).Milliseconds()),
		})
		f.expireLater(keepUntil)
	}
	return known
}

// expireLater schedules the removal of dropped targets that have not registered again.
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
		f.queueLine(eventlog.Fields{"target": id, "state": "gone"})
	}
	if len(removed) > 0 {
		f.publish(f.operators.AsOf())
	}
}

// publish passes the targets to the scheduler, and then writes the pending log lines: a reader
// of a target's line may rely on the target being in use. ordersAsOf is the time as of which
// the orders are known. The caller holds the mutex.
func (f *feeds) publish(ordersAsOf time.Time) {
	targets := f.register.Targets()
	f.addresses = make(map[string]bool, len(targets))
	for _, target := range targets {
		f.addresses[target.Address] = true
	}
	f.gateway.origins.observeTargets(targets)
	f.gateway.state.setTargets(f.gateway.state.rollouts.assignPools(targets, ordersAsOf))
	for _, fields := range f.pendingLines {
		f.gateway.log.Write(eventlog.StateChange, eventTarget, fields)
	}
	f.pendingLines = nil
}

// queueLine keeps a target's log line until the change is in force. The caller holds the
// mutex.
func (f *feeds) queueLine(fields eventlog.Fields) { f.pendingLines = append(f.pendingLines, fields) }

// inUse reports whether any target has the address.
func (f *feeds) inUse(address string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.addresses[address]
}

// targetAddresses returns the addresses of the known targets, addressCount their number.
func (f *feeds) targetAddresses() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Collect(maps.Keys(f.addresses))
}

func (f *feeds) addressCount() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.addresses)
}

// isStoreDisconnected reports whether this entry cannot read the store.
func (f *feeds) isStoreDisconnected() bool {
	return f.storeDisconnected[feed.Operators].Load() || f.storeDisconnected[feed.Targets].Load()
}

func (f *feeds) hasTargets() bool { return f.targetsRead.Load() }

// replicate sends to the other entries what this entry has read as the reader.
func (f *feeds) replicate(u feed.Update, changed []feed.Record) {
	if u.Replicated || !f.gateway.isReader() {
		return
	}
	if u.Reset {
		// The other entries also lack what this entry had to read again, for example after the
		// store dropped its history.
		changed = u.Records
	}
	f.gateway.links.replicate(u, changed)
}

func (f *feeds) count(u feed.Update) {
	if !u.Replicated && !f.gateway.isReader() {
		f.gateway.log.Write(eventlog.Routine, eventOwnRead, eventlog.Fields{"topic": u.Topic.String(), "reset": u.Reset, "from": u.From.Offset, "to": u.To.Offset, "generation": u.To.Generation})
	}
	f.gateway.counters.updates.add(u.Topic.String() + "_" + source(u))
	if u.Restored {
		f.handleRestored(u)
	}
}

// source returns the log value for who read an update.
func source(u feed.Update) string {
	if u.Replicated {
		return "replicated"
	}
	return "own"
}
