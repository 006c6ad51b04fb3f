// Package acceptance decides which document of the stream "documents" is in
// force. The decision depends only on the records in log order, so all entries
// agree without voting.
//
// Rules: a publication is accepted if its base is the version in force and the
// document is valid. Its offset becomes its version. Of two publications with the
// same base, the first in log order therefore wins at every entry. A renewal
// repeats the document in force, because the log drops old records. It never
// changes the version at a reader that has read every record.
//
// A reader that starts in the middle of the log, or was disconnected for longer
// than the log keeps records, lacks earlier records and cannot evaluate
// publications. It keeps them as pending until it has the version in force at an
// offset after which it has every record: from a renewal, which contains the
// offset through which its writer had evaluated, or from a peer, since a version
// was in force at its own offset. This requires that offsets increase by one.
package acceptance

import (
	"errors"
	"time"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/record"
)

// Kind is the kind of a result.
type Kind uint8

const (
	// Accepted means that the document is in force from now on. Version is its
	// offset.
	Accepted Kind = iota
	// Conflict means that the document lost against Winner, which was accepted
	// before it: its base is not the version in force.
	Conflict
	// Duplicate means that the id was accepted before as Version. The document is
	// or was in force, so the publisher need not publish it again.
	Duplicate
	// Invalid means that the document is malformed or fails its checks. Faults
	// lists the reasons.
	Invalid
	// Renewed means that the record is a renewal. Version is the one in force
	// after it.
	Renewed
	// Ignored means that the record changes nothing: a renewal of an older
	// version, or an offset that was read before.
	Ignored
	// Pending means that the record cannot be evaluated here yet, because earlier
	// records were missed. A renewal or a peer's document resolves it.
	Pending
)

// String returns the kind's name for logs and the operators' interface.
func (k Kind) String() string {
	names := [...]string{"accepted", "beaten", "duplicate", "invalid", "renewed", "ignored", "pending"}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// Result is the result of evaluating one record.
type Result struct {
	Kind Kind
	// Version is the version in force after the record, or for Duplicate the
	// version as which the document was accepted.
	Version int64
	// DocumentID is the id of the record's document, empty if it could not be read.
	DocumentID string
	// Winner and WinnerVersion are, for Conflict, the id and version of the
	// document that was accepted instead.
	Winner        string
	WinnerVersion int64
	// Faults are the faults of an Invalid document.
	Faults document.Faults
}

// ErrUnusable is wrapped by every error of Adopt.
var ErrUnusable = errors.New("document of a peer cannot be used")

const (
	// maxHistory bounds the accepted documents that results can refer to. It has
	// no influence on acceptance: an older duplicate gives Conflict instead.
	maxHistory = 64
	// maxPending bounds the publications kept while they cannot be evaluated.
	// Only those after the offset through which a renewal's writer had evaluated
	// are needed, so it bounds how far that writer may lag.
	maxPending = 16
)

// accepted is a document that is or was in force.
type accepted struct {
	id      string
	base    int64
	version int64
}

// publication is a publication to be evaluated.
type publication struct {
	offset int64
	doc    *document.Document
	data   []byte
}

// Acceptance holds the document in force. It is not safe for concurrent use.
type Acceptance struct {
	doc     *document.Document
	version int64
	data    []byte
	// Every publication from first to last is evaluated or in pending, which is
	// in offset order. Both are 0 before the first record.
	first, last int64
	// certain reports that a reader of the whole log has the same version at the
	// offset last.
	certain bool
	pending []publication
	history []accepted

	// renewedAt is when the last renewal was appended to the log, or the first
	// document if there was none. renewalTriedAt is when this entry last began one.
	renewedAt, renewalTriedAt time.Time
}

// New returns an Acceptance without a document.
func New() *Acceptance { return &Acceptance{} }

// Current returns the document in force, or nil and version 0 if there is none.
// While the backlog is read after a start, later records may replace it.
func (a *Acceptance) Current() (doc *document.Document, version int64, data []byte) {
	return a.doc, a.version, a.data
}

// Certain reports whether a reader of the whole log has the same document in
// force as of the last record read. If not, request the document from peers.
func (a *Acceptance) Certain() bool { return a.certain }

// Record evaluates the next record of the stream, in log order.
func (a *Acceptance) Record(offset int64, data record.Document) Result {
	if offset <= a.last {
		return Result{Kind: Ignored, Version: a.version}
	}
	a.trackOffset(offset)
	if data.Version != 0 {
		return a.renewal(offset, data)
	}
	return a.publication(offset, data.Data)
}

// trackOffset records the offset and detects missed records. One of them may have
// replaced the document in force. If this entry went on evaluating without it, it
// could accept a document that all others rejected, and diverge permanently.
func (a *Acceptance) trackOffset(offset int64) {
	if a.last == 0 || offset != a.last+1 {
		a.first, a.pending = offset, nil
		a.certain = a.version >= offset-1
	}
	a.last = offset
}

func (a *Acceptance) publication(offset int64, data []byte) Result {
	doc, err := document.Parse(data)
	if err != nil {
		return malformed(a.version, err)
	}
	if offset <= a.version {
		return a.evaluateBeforeAdopted(offset, doc)
	}
	if !a.certain {
		a.addPending(publication{offset: offset, doc: doc, data: data})
		return Result{Kind: Pending, Version: a.version, DocumentID: doc.ID}
	}
	return a.evaluate(publication{offset: offset, doc: doc, data: data})
}

func malformed(version int64, err error) Result {
	fault := document.Fault{Path: "$", Problem: err.Error(), Remedy: "mend the JSON text"}
	return Result{Kind: Invalid, Version: version, Faults: document.Faults{fault}}
}

// evaluateBeforeAdopted returns what can be determined of a publication that is not
// newer than a version adopted from a peer.
func (a *Acceptance) evaluateBeforeAdopted(offset int64, doc *document.Document) Result {
	v := Result{Kind: Pending, Version: a.version, DocumentID: doc.ID}
	if offset == a.version {
		v.Kind = Accepted
	}
	if offset == a.doc.Base {
		v.Kind, v.Version = Duplicate, offset
	}
	return v
}

func (a *Acceptance) addPending(p publication) {
	if len(a.pending) == maxPending {
		a.first = a.pending[0].offset + 1
		a.pending = a.pending[1:]
	}
	a.pending = append(a.pending, p)
}

// evaluate evaluates a publication against the document in force before it. Only
// that document's version and id matter, and a renewal contains both, so a reader
// that starts at a renewal makes the same decisions as a reader of the whole log.
// A copy of an accepted document cannot be accepted again: its base is below its
// version.
func (a *Acceptance) evaluate(p publication) Result {
	v := Result{Version: a.version, DocumentID: p.doc.ID}
	if p.doc.Base != a.version {
		return a.conflict(v, p.doc)
	}
	if a.doc != nil && p.doc.ID == a.doc.ID {
		v.Kind = Duplicate
		return v
	}
	if faults := p.doc.Check(); len(faults) > 0 {
		v.Kind, v.Faults = Invalid, faults
		return v
	}
	a.setCurrent(p.doc, p.offset, p.data)
	v.Version = p.offset
	return v
}

// conflict returns the result of a publication whose base is not in force. It is
// Duplicate if the document was accepted earlier and the publisher's answer was
// lost, otherwise Conflict.
func (a *Acceptance) conflict(v Result, doc *document.Document) Result {
	v.Kind = Conflict
	if a.doc != nil {
		v.Winner, v.WinnerVersion = a.doc.ID, a.version
	}
	for _, previous := range a.history {
		if previous.base != doc.Base {
			continue
		}
		if previous.id == doc.ID {
			return Result{Kind: Duplicate, Version: previous.version, DocumentID: doc.ID}
		}
		v.Winner, v.WinnerVersion = previous.id, previous.version
	}
	return v
}

// setCurrent puts a document in force.
func (a *Acceptance) setCurrent(doc *document.Document, version int64, data []byte) {
	a.doc, a.version, a.data = doc, version, data
	a.history = append(a.history, accepted{id: doc.ID, base: doc.Base, version: version})
	if len(a.history) > maxHistory {
		a.history = a.history[1:]
	}
}

// evaluatePending evaluates the pending publications once the reader is certain.
func (a *Acceptance) evaluatePending() {
	kept := a.pending
	a.pending = nil
	for _, p := range kept {
		if p.offset > a.version {
			a.evaluate(p)
		}
	}
}
