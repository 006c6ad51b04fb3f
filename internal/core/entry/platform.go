package entry

import (
	"sycamoretrail/internal/core/membership"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/orders"
	"sycamoretrail/internal/core/quarantine"
	"sycamoretrail/internal/core/record"
)

// appendSource identifies the component that an append belongs to.
type appendSource uint8

const (
	appendClaims appendSource = iota
	appendOrders
	appendVerdict
	appendRenewal
)

// pendingAppend is an append that has not been answered.
type pendingAppend struct {
	source appendSource
	tag    uint64
}

// append writes a record to the log. The answer is passed to the source with
// the source's own tag.
func (e *Entry) append(stream record.Stream, rec record.Record, src appendSource, tag uint64) {
	data, err := record.Encode(rec)
	if err != nil {
		e.recordDecision(Decision{Event: EventDocument, Detail: err.Error()})
		return
	}
	e.appendSeq++
	e.pending[e.appendSeq] = pendingAppend{source: src, tag: tag}
	e.emit(Append{Tag: e.appendSeq, Stream: stream, Data: data})
}

func (e *Entry) appended(a LogAppended) {
	p, known := e.pending[a.Tag]
	if !known {
		return
	}
	delete(e.pending, a.Tag)
	switch p.source {
	case appendClaims:
		e.performClaims(e.claims.Appended(e.now, p.tag, a.Offset, a.Failed))
	case appendOrders:
		e.performOrders(e.orders.Appended(e.now, p.tag, a.Offset, a.Failed))
	case appendVerdict, appendRenewal:
		// The source repeats it if it did not take effect.
	}
}

// logRecord passes a record to the component that follows its stream.
func (e *Entry) logRecord(r LogRecord) {
	rec, err := record.Decode(r.Data)
	if err != nil {
		e.recordDecision(Decision{Event: EventDocument, Detail: err.Error()})
		return
	}
	if partition, ok := e.partitionOf(r.Stream); ok {
		e.performClaims(e.claims.Record(e.now, partition, r.Offset, r.Age, rec))
		return
	}
	switch {
	case rec.Document != nil:
		e.documentRecorded(r.Offset, r.Age, *rec.Document)
	case rec.Order != nil:
		e.performOrders(e.orders.Record(e.now, r.Offset, r.Age, *rec.Order))
	default:
		for _, v := range rec.Quarantines {
			e.quarantineFromLog(r.Age, v)
		}
	}
}

func (e *Entry) logCaughtUp(c LogCaughtUp) {
	if partition, ok := e.partitionOf(c.Stream); ok {
		e.performClaims(e.claims.CaughtUp(e.now, partition, c.Since))
		return
	}
	switch c.Stream {
	case record.StreamOrders:
		e.performOrders(e.orders.CaughtUp(e.now))
	case record.StreamDocuments:
		e.logUp = true
	}
}

func (e *Entry) logDown(d LogDown) {
	if partition, ok := e.partitionOf(d.Stream); ok {
		e.performClaims(e.claims.Down(e.now, partition))
	}
	switch d.Stream {
	case record.StreamOrders:
		e.performOrders(e.orders.Down(e.now))
	case record.StreamDocuments:
		e.logUp = false
	}
}

func (e *Entry) partitionOf(stream record.Stream) (int, bool) {
	p, ok := e.partitionByStream[stream]
	return p, ok
}

// instances handles the platform's list, which lags. Entries in it are hints to
// membership; a target that it shows as leaving gets no new requests.
func (e *Entry) instances(list InstanceList) {
	var rows []membership.Instance
	for _, i := range list.Instances {
		switch i.Role {
		case roleEntry:
			rows = append(rows, membership.Instance{Name: i.Name, Address: i.Address, Zone: i.Zone, Leaving: i.Leaving})
		case roleTarget:
			e.listLeaving(i.Name, i.Leaving)
		}
	}
	e.members.SetListed(e.now, rows)
}

const (
	roleEntry  = "entry"
	roleTarget = "target"
)

// performOrders carries out the effects of the orders component.
func (e *Entry) performOrders(effects []orders.Effect) {
	for _, effect := range effects {
		switch o := effect.(type) {
		case orders.Append:
			e.append(record.StreamOrders, o.Record, appendOrders, o.Tag)
		case orders.Order:
			e.order(o)
		}
	}
}

func (e *Entry) order(o orders.Order) {
	target, known := e.index.Target(o.Target)
	if !known {
		return
	}
	e.recordDecision(Decision{Event: EventOrder, Target: o.Target, Detail: o.Model + " " + o.Version})
	e.emit(Order{
		Target: o.Target, Address: target.Address, Fencing: o.Fencing,
		Model: o.Model, Version: o.Version, Adapters: o.Adapters,
	})
}

// performSuspects shares findings about requests that crash targets.
func (e *Entry) performSuspects(effects []quarantine.Effect) {
	for _, effect := range effects {
		if effect.Share != nil {
			e.broadcast(*effect.Share)
		}
		if effect.Append != nil {
			e.recordDecision(Decision{Event: EventQuarantined, Detail: "a request crashed a second target"})
			e.append(record.StreamQuarantines, record.Record{Quarantines: []record.Quarantine{*effect.Append}}, appendVerdict, 0)
		}
	}
}

// broadcast sends a message to every live peer.
func (e *Entry) broadcast(m message.Message) {
	for _, member := range e.members.Live() {
		if member.Incarnation != e.cfg.Self.Incarnation {
			e.send(member.Incarnation, m)
		}
	}
}
