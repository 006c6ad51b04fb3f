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
	// documentAskEvery is the pause between questions for the document while
	// the log is out and this entry holds none.
	documentAskEvery = time.Second
	// bootstrapAfter is how long an entry that can read the log looks for peers
	// before it takes the log's first document without knowing what went before.
	// Within it an instance list, even one that lags, has shown the peers.
	bootstrapAfter = 45 * time.Second
	// verdictsRemembered bounds what is kept to tell publishers what became of
	// their documents.
	verdictsRemembered = 256
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

// What holds until a document is in force.
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

// documentRecorded judges the next record of the documents' stream.
func (e *Entry) documentRecorded(offset int64, age time.Duration, rec record.Document) {
	verdict := e.accepted.Record(offset, rec)
	e.accepted.Seen(verdict, e.now.Add(-age))
	e.rememberVerdict(verdict)
	if verdict.Kind == acceptance.Pending {
		// Only a peer or a renewal can settle it: ask now, not when it is due.
		e.seekAt = e.now
	}
	e.note(Decision{Event: EventDocument, Detail: fmt.Sprintf("%s %s at offset %d", verdict.DocumentID, verdict.Kind, offset)})
	e.applyCurrent()
}

func (e *Entry) rememberVerdict(v acceptance.Verdict) {
	if v.DocumentID == "" {
		return
	}
	e.verdicts = append(e.verdicts, v)
	if len(e.verdicts) > verdictsRemembered {
		e.verdicts = e.verdicts[1:]
	}
}

// DocumentVerdict tells what became of a published document, if it was read.
func (e *Entry) DocumentVerdict(id string) (acceptance.Verdict, bool) {
	for _, v := range e.verdicts {
		if v.DocumentID == id && v.Kind != acceptance.Duplicate {
			return v, true
		}
	}
	return acceptance.Verdict{}, false
}

// applyCurrent puts the accepted document in force, if it is newer than the one
// in force. Every duty is configured here and nowhere else.
func (e *Entry) applyCurrent() {
	doc, version, _ := e.accepted.Current()
	if doc == nil || version <= e.version || !e.on(guardApply) && e.doc != nil {
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
	e.places.Configure(e.now, e.schedulerSettings())
	e.share.Configure(e.now, e.schedulerSettings())
	e.drain.Configure(e.drainConfig())
	e.performOrders(e.orders.SetDocument(e.now, e.index))
	e.rebalance()
	e.changed = true
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

// seekDocument asks peers while this entry cannot tell from the log alone what
// is in force: it holds no document, or it missed records.
func (e *Entry) seekDocument() {
	if e.accepted.Certain() || e.now.Before(e.seekAt) {
		return
	}
	e.seekAt = e.now.Add(documentAskEvery)
	held := false
	for _, m := range e.members.Members(e.now) {
		if m.Linked {
			e.send(m.Member.Incarnation, message.DocumentAsk{})
			held = held || m.ConfigVersion > 0
		}
	}
	if !held && e.logUp && e.now.Sub(e.began) >= bootstrapAfter {
		e.accepted.Bootstrap()
		e.applyCurrent()
	}
}

func (e *Entry) documentAsked(from ident.Incarnation) {
	if _, version, data := e.accepted.Current(); version > 0 {
		e.send(from, message.DocumentReply{Version: version, Data: data})
	}
}

// documentTold takes the accepted document from a peer. Versions only rise, so
// a peer that lags behind cannot bring an older document back.
func (e *Entry) documentTold(r message.DocumentReply) {
	if !e.on(guardVersion) {
		e.accepted, e.version = acceptance.New(), 0
	}
	if err := e.accepted.Adopt(r.Version, r.Data); err != nil {
		e.note(Decision{Event: EventDocument, Detail: err.Error()})
		return
	}
	e.applyCurrent()
}
