// Package acceptance decides which record of the stream "documents" is in
// force. It is a pure function of the records in log order, so that all
// entries agree with no vote.
//
// Rules. A publication is accepted at its offset, which becomes its version,
// when its base is the version in force and its sense is sound; so of two that
// started from the same base the first in log order wins, at every entry. A
// renewal repeats what is in force, since the log drops old records; it never
// changes the version of a reader that has seen every record.
//
// A reader that starts in the middle of the log, or was cut off for longer
// than the log keeps records, lacks what went before and cannot judge
// publications. It keeps them, and judges them once it knows the version in
// force at any offset from which on it has every record: from a renewal, which
// says through which offset its writer had judged, or from a peer, since a
// version was in force at its own offset. This takes offsets that rise by one.
package acceptance

import (
	"errors"
	"time"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/record"
)

// Kind says what became of a record.
type Kind uint8

const (
	// Accepted: in force from now on; Version is its offset.
	Accepted Kind = iota
	// Beaten: its base is not the version in force. Winner beat it.
	Beaten
	// Duplicate: the id was accepted before, as Version. The publisher's
	// document is or was in force; it need not publish again.
	Duplicate
	// Invalid: malformed or without sense; Faults lists why.
	Invalid
	// Renewed: a renewal. Version is what is in force after it.
	Renewed
	// Ignored: nothing new: a renewal of an older version, or an offset that
	// was read before.
	Ignored
	// Pending: cannot be judged here yet, because records before it were
	// missed. A renewal or a peer's document settles it.
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

// Verdict is what became of one record.
type Verdict struct {
	Kind Kind
	// Version in force after the record; for Duplicate, the version under
	// which the document was accepted.
	Version int64
	// DocumentID is the record's own; empty if it could not be read.
	DocumentID string
	// Winner and WinnerVersion name the document that beat it.
	Winner        string
	WinnerVersion int64
	// Faults of an invalid document.
	Faults document.Faults
}

// ErrUnusable is wrapped by every error of Adopt.
var ErrUnusable = errors.New("document of a peer cannot be used")

const (
	// maxHistory bounds the accepted documents that verdicts can name. It
	// decides nothing: an older duplicate is told "beaten" instead.
	maxHistory = 64
	// maxPending bounds the publications kept while they cannot be judged.
	// Only those after the offset that a renewal judged matter, so it bounds
	// how far the writer of that renewal may have lagged.
	maxPending = 16
)

// accepted is one document that was in force.
type accepted struct {
	id      string
	base    int64
	version int64
}

// publication is a record that cannot be judged yet.
type publication struct {
	offset int64
	doc    *document.Document
	data   []byte
}

// Acceptance holds what is in force. It is not safe for concurrent use.
type Acceptance struct {
	doc     *document.Document
	version int64
	data    []byte
	// Every publication from first to last is judged or in pending, which is
	// in offset order; both are 0 before the first record.
	first, last int64
	// certain: version is what a reader of the whole log has at last.
	certain bool
	pending []publication
	history []accepted

	// renewed is when the log took the last renewal, or the first document if
	// there was none; tried is when a renewal was last begun here.
	renewed, tried time.Time
}

// New starts with no document.
func New() *Acceptance { return &Acceptance{} }

// Current returns what is in force; version 0 and a nil document: nothing.
// While the backlog of a start is read, later records may replace it.
func (a *Acceptance) Current() (doc *document.Document, version int64, data []byte) {
	return a.doc, a.version, a.data
}

// Certain reports whether what is in force is what a reader of the whole log
// has, as of the last record read. If not, ask peers for their document.
func (a *Acceptance) Certain() bool { return a.certain }

// Record takes the next record of the stream, in log order.
func (a *Acceptance) Record(offset int64, data record.Document) Verdict {
	if offset <= a.last {
		return Verdict{Kind: Ignored, Version: a.version}
	}
	a.advance(offset)
	if data.Version != 0 {
		return a.renewal(offset, data)
	}
	return a.publication(offset, data.Data)
}

// advance notes the offset and finds out whether records were missed. If so,
// one of them may have replaced what is in force: going on as before, this
// entry would accept what all others saw beaten, and part from them for good.
func (a *Acceptance) advance(offset int64) {
	if a.last == 0 || offset != a.last+1 {
		a.first, a.pending = offset, nil
		a.certain = a.version >= offset-1
	}
	a.last = offset
}

func (a *Acceptance) publication(offset int64, data []byte) Verdict {
	doc, err := document.Parse(data)
	if err != nil {
		return malformed(a.version, err)
	}
	if offset <= a.version {
		return a.before(offset, doc)
	}
	if !a.certain {
		a.keep(publication{offset: offset, doc: doc, data: data})
		return Verdict{Kind: Pending, Version: a.version, DocumentID: doc.ID}
	}
	return a.judge(publication{offset: offset, doc: doc, data: data})
}

func malformed(version int64, err error) Verdict {
	fault := document.Fault{Path: "$", Problem: err.Error(), Remedy: "mend the JSON text"}
	return Verdict{Kind: Invalid, Version: version, Faults: document.Faults{fault}}
}

// before gives what can be said of a publication that is older than a version
// which came from a peer.
func (a *Acceptance) before(offset int64, doc *document.Document) Verdict {
	v := Verdict{Kind: Pending, Version: a.version, DocumentID: doc.ID}
	if offset == a.version {
		v.Kind = Accepted
	}
	if offset == a.doc.Base {
		v.Kind, v.Version = Duplicate, offset
	}
	return v
}

func (a *Acceptance) keep(p publication) {
	if len(a.pending) == maxPending {
		a.first = a.pending[0].offset + 1
		a.pending = a.pending[1:]
	}
	a.pending = append(a.pending, p)
}

// judge decides on a publication, knowing what is in force before it. Only the
// version in force and its id count, and a renewal carries both, so a reader
// from a renewal on judges as one that saw the whole log. A copy of a document
// that was accepted cannot be accepted again: its base is below its version.
func (a *Acceptance) judge(p publication) Verdict {
	v := Verdict{Version: a.version, DocumentID: p.doc.ID}
	if p.doc.Base != a.version {
		return a.beaten(v, p.doc)
	}
	if a.doc != nil && p.doc.ID == a.doc.ID {
		v.Kind = Duplicate
		return v
	}
	if faults := p.doc.Check(); len(faults) > 0 {
		v.Kind, v.Faults = Invalid, faults
		return v
	}
	a.put(p.doc, p.offset, p.data)
	v.Version = p.offset
	return v
}

// beaten tells a publication that was accepted earlier, whose publisher lost
// the answer, from one that another document beat.
func (a *Acceptance) beaten(v Verdict, doc *document.Document) Verdict {
	v.Kind = Beaten
	if a.doc != nil {
		v.Winner, v.WinnerVersion = a.doc.ID, a.version
	}
	for _, former := range a.history {
		if former.base != doc.Base {
			continue
		}
		if former.id == doc.ID {
			return Verdict{Kind: Duplicate, Version: former.version, DocumentID: doc.ID}
		}
		v.Winner, v.WinnerVersion = former.id, former.version
	}
	return v
}

// put brings a document in force.
func (a *Acceptance) put(doc *document.Document, version int64, data []byte) {
	a.doc, a.version, a.data = doc, version, data
	a.history = append(a.history, accepted{id: doc.ID, base: doc.Base, version: version})
	if len(a.history) > maxHistory {
		a.history = a.history[1:]
	}
}

// settle judges what was kept, once certain.
func (a *Acceptance) settle() {
	kept := a.pending
	a.pending = nil
	for _, p := range kept {
		if p.offset > a.version {
			a.judge(p)
		}
	}
}
