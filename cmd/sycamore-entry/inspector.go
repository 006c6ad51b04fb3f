package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"sycamoretrail/internal/core/acceptance"
	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/coreloop"
	"sycamoretrail/internal/operators"
)

// inspector answers the queries of operators. Each query of the core's state is one read
// on the core loop.
type inspector struct {
	loop  *coreloop.Loop[*entry.Entry]
	views *views
}

// Status returns the state of the entry and its peers.
func (i *inspector) Status(ctx context.Context) (operators.Status, error) {
	var s entry.Status
	if err := i.loop.Do(ctx, func(e *entry.Entry) { s = e.Status() }); err != nil {
		return operators.Status{}, err
	}
	status := operators.Status{
		Entry: memberOf(s.Self), State: s.State.String(), Version: s.Version, DocumentID: s.Document,
		InFlight: s.InFlight, LogAvailable: s.LogUp, WaitingInputs: i.loop.Waiting(),
	}
	for _, p := range s.Peers {
		status.Peers = append(status.Peers, operators.Peer{
			Member: memberOf(p.Member), State: p.State.String(), Version: p.ConfigVersion,
			InFlight: p.InFlight, Linked: p.Linked, SinceHeartbeatMS: p.SinceContact.Milliseconds(),
		})
	}
	return status, nil
}

func memberOf(m message.Member) operators.Member {
	return operators.Member{
		Name: m.Name, Incarnation: string(m.Incarnation), Zone: m.Zone,
		PeerAddress: m.PeerAddress, CallerAddress: m.CallerAddress,
	}
}

// Targets lists the targets as this entry sees them.
func (i *inspector) Targets(ctx context.Context) (operators.Targets, error) {
	var seen []entry.TargetStatus
	if err := i.loop.Do(ctx, func(e *entry.Entry) { seen = e.Targets() }); err != nil {
		return operators.Targets{}, err
	}
	list := operators.Targets{Targets: make([]operators.Target, 0, len(seen))}
	for _, s := range seen {
		list.Targets = append(list.Targets, targetOf(s))
	}
	return list, nil
}

func targetOf(s entry.TargetStatus) operators.Target {
	t := operators.Target{
		Name: s.Name, Pool: s.Pool, Class: s.Class, Zone: s.Zone,
		Scheduler: s.SchedulerName, ScheduledHere: s.Here, Leaving: s.Leaving,
	}
	if s.HasDigest {
		t.Available = s.Digest.Available
		t.Limit = s.Digest.Limit
		t.InFlight = s.Digest.InFlight
		t.QueuedByTier = []int{s.Digest.Queued}
		t.PrefillRate = s.Digest.PrefillRate
		t.StepMS = float64(s.Digest.StepTime) / float64(time.Millisecond)
		t.WaitMS = s.Digest.Wait.Milliseconds()
	}
	if s.Here {
		t.Straggler = s.View.Straggler
		t.QueuedByTier = s.View.Queued
		t.Suspects = s.View.Suspects
	}
	return t
}

// Floors lists the floors in force here.
func (i *inspector) Floors(ctx context.Context) (operators.Floors, error) {
	var seen []entry.FloorStatus
	if err := i.loop.Do(ctx, func(e *entry.Entry) { seen = e.Floors() }); err != nil {
		return operators.Floors{}, err
	}
	list := operators.Floors{Floors: make([]operators.Floor, 0, len(seen))}
	for _, f := range seen {
		list.Floors = append(list.Floors, operators.Floor{Pool: f.Pool, Tier: f.Tier})
	}
	return list, nil
}

// Explain returns the decisions made on a request.
func (i *inspector) Explain(ctx context.Context, id string) (operators.Explanation, error) {
	var x entry.Explanation
	if err := i.loop.Do(ctx, func(e *entry.Entry) { x = e.Explain(ident.RequestID(id)) }); err != nil {
		return operators.Explanation{}, err
	}
	answer := operators.Explanation{ID: id, Known: x.Known, Owner: string(x.Owner), State: x.Standing.String()}
	for _, n := range x.Decisions {
		answer.Decisions = append(answer.Decisions, operators.Decision{
			AgeMS: time.Since(n.At).Milliseconds(), Event: string(n.Event), Target: n.Target,
			Tier: n.Tier, TierName: i.views.tierName(n.Tier), Reason: string(n.Reason), Detail: n.Detail,
		})
	}
	return answer, nil
}

// Document returns the document in force.
func (i *inspector) Document(context.Context) (operators.Document, error) {
	view := i.views.Latest()
	if view.Document == nil {
		return operators.Document{}, nil
	}
	data, err := document.Encode(view.Document)
	if err != nil {
		return operators.Document{}, fmt.Errorf("document in force: %w", err)
	}
	return operators.Document{Version: view.Version, ID: view.Document.ID, Data: json.RawMessage(data)}, nil
}

// PublishResult returns the result of a published document at this entry.
func (i *inspector) PublishResult(ctx context.Context, documentID string) (operators.Published, error) {
	var result acceptance.Result
	var known bool
	read := func(e *entry.Entry) { result, known = e.DocumentResult(documentID) }
	if err := i.loop.Do(ctx, read); err != nil || !known {
		return operators.Published{ID: documentID}, err
	}
	published := operators.Published{
		ID: documentID, Version: result.Version, Winner: result.Winner, WinnerVersion: result.WinnerVersion,
		Faults: faultsOf(result.Faults),
	}
	switch result.Kind {
	case acceptance.Accepted, acceptance.Duplicate:
		published.Result = operators.ResultAccepted
	case acceptance.Conflict:
		published.Result = operators.ResultSuperseded
	case acceptance.Invalid:
		published.Result = operators.ResultInvalid
	}
	return published, nil
}

// checkDocument validates a document before it is published to the log.
func checkDocument(data []byte) (string, []operators.Fault) {
	doc, err := document.Parse(data)
	if err != nil {
		return "", []operators.Fault{{Path: "(document)", Problem: err.Error(), Remedy: "write one JSON document of this form"}}
	}
	if faults := doc.Check(); len(faults) > 0 {
		return doc.ID, faultsOf(faults)
	}
	return doc.ID, nil
}

func faultsOf(faults document.Faults) []operators.Fault {
	var list []operators.Fault
	for _, f := range faults {
		list = append(list, operators.Fault{Path: f.Path, Problem: f.Problem, Remedy: f.Remedy})
	}
	return list
}
