package entry

import (
	"fmt"
	"time"

	"sycamoretrail/internal/core/acceptance"
	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/record"
)

const (
	// documentRequestInterval is the pause between requests for the document
	// while this entry cannot determine it from the log.
	documentRequestInterval = time.Second
	// bootstrapAfter is how long an entry that can read the log looks for peers
	// before it accepts the log's first document without knowing the records
	// before it. By then an instance list has shown the peers, even if it lags.
	bootstrapAfter = 45 * time.Second
	// maxDocumentResults bounds the results kept for publishers of documents.
	maxDocumentResults = 256
)

// timing holds the protocol's intervals from the document in force.
type timing struct {
	heartbeat, silence, grant, floor time.Duration
	horizon, retention               time.Duration
}

// startingTiming is used until a document is in force.
var startingTiming = timing{
	heartbeat: 200 * time.Millisecond,
	silence:   1500 * time.Millisecond,
	grant:     400 * time.Millisecond,
	floor:     time.Second,
	horizon:   time.Hour,
	retention: 4 * time.Hour,
}

// Settings used until a document is in force.
const (
	startingPeriod  = 5 * time.Second
	startingLongest = 10 * time.Minute
	startingIDs     = 10_000
	startingDrain   = 30 * time.Second
)

func timingOf(doc *document.Document) timing {
	return timing{
		heartbeat: document.Milliseconds(doc.Timing.HeartbeatMS),
		silence:   document.Milliseconds(doc.Timing.SilenceMS),
		grant:     document.Milliseconds(doc.Timing.GrantMS),
		floor:     document.Milliseconds(doc.Refusal.FloorMS),
		horizon:   document.Milliseconds(doc.Timing.ClaimHorizonMS),
		retention: document.Milliseconds(doc.Timing.RetentionMS),
	}
}

// documentRecorded checks the next record of the documents stream.
func (e *Entry) documentRecorded(offset int64, age time.Duration, rec record.Document) {
	result := e.accepted.Record(offset, rec)
	e.accepted.Observe(result, e.now.Add(-age))
	e.rememberResult(result)
	if result.Kind == acceptance.Pending {
		// Only a peer or a renewal can resolve it: request the document now.
		e.nextDocumentRequest = e.now
	}
	e.recordDecision(Decision{Event: EventDocument, Detail: fmt.Sprintf("%s %s at offset %d", result.DocumentID, result.Kind, offset)})
	e.applyCurrent()
}

func (e *Entry) rememberResult(v acceptance.Result) {
	if v.DocumentID == "" {
		return
	}
	e.documentResults = append(e.documentResults, v)
	if len(e.documentResults) > maxDocumentResults {
		e.documentResults = e.documentResults[1:]
	}
}

// DocumentResult returns the result of checking a published document, if its
// record was read.
func (e *Entry) DocumentResult(id string) (acceptance.Result, bool) {
	for _, v := range e.documentResults {
		if v.DocumentID == id && v.Kind != acceptance.Duplicate {
			return v, true
		}
	}
	return acceptance.Result{}, false
}

// applyCurrent puts the accepted document in force if it is newer than the
// current one. All components are configured here and nowhere else.
func (e *Entry) applyCurrent() {
	doc, version, _ := e.accepted.Current()
	if doc == nil || version <= e.version || !e.enabled(guardApply) && e.doc != nil {
		return
	}
	e.doc = doc
	e.version = version
	e.index = document.NewIndex(doc)
	e.timing = timingOf(doc)
	e.fastest = e.fastestSteps()
	longest := document.Milliseconds(doc.Limits.DeadlineMS)
	e.ids.Configure(e.now, document.Milliseconds(doc.Shutdown.EntriesTTLMS), longest, doc.Limits.RememberedIDs)
	e.members.Configure(e.membershipConfig())
	e.performClaims(e.claims.SetHorizon(e.now, e.timing.horizon))
	e.router.Configure(doc)
	e.scheduler.Configure(e.now, e.schedulerSettings())
	e.shareScheduler.Configure(e.now, e.schedulerSettings())
	e.drain.Configure(e.drainConfig())
	e.performOrders(e.orders.SetDocument(e.now, e.index))
	e.rebalance()
	e.viewChanged = true
}

// renew appends the accepted document again before the log's retention drops it.
func (e *Entry) renew() {
	if !e.accepted.RenewalDue(e.now, e.timing.retention, e.jitterShare) {
		return
	}
	renewal := e.accepted.Renew(e.now)
	rec := record.Record{Document: &renewal}
	e.append(record.StreamDocuments, rec, appendRenewal, 0)
}

// requestDocument asks peers for the document while this entry cannot determine
// from the log alone which one is in force: it holds none, or it missed
// records.
func (e *Entry) requestDocument() {
	if e.accepted.Certain() || e.now.Before(e.nextDocumentRequest) {
		return
	}
	e.nextDocumentRequest = e.now.Add(documentRequestInterval)
	held := false
	for _, m := range e.members.Members(e.now) {
		if m.Linked {
			e.send(m.Member.Incarnation, message.DocumentRequest{})
			held = held || m.ConfigVersion > 0
		}
	}
	if !held && e.logUp && e.now.Sub(e.startedAt) >= bootstrapAfter {
		e.accepted.Bootstrap()
		e.applyCurrent()
	}
}

func (e *Entry) documentRequested(from ident.Incarnation) {
	if _, version, data := e.accepted.Current(); version > 0 {
		e.send(from, message.DocumentReply{Version: version, Data: data})
	}
}

// documentReceived takes the accepted document from a peer. Versions only
// increase, so a peer that lags cannot bring back an older document.
func (e *Entry) documentReceived(r message.DocumentReply) {
	if !e.enabled(guardVersion) {
		e.accepted, e.version = acceptance.New(), 0
	}
	if err := e.accepted.Adopt(r.Version, r.Data); err != nil {
		e.recordDecision(Decision{Event: EventDocument, Detail: err.Error()})
		return
	}
	e.applyCurrent()
}
