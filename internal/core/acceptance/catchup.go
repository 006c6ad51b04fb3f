package acceptance

import (
	"fmt"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/record"
)

// renewal evaluates a renewal, which contains the version in force at an offset.
// The version never decreases: a renewal may follow a newer publication that its
// writer had not read yet.
func (a *Acceptance) renewal(offset int64, data record.Document) Result {
	through := max(data.Version, data.Through)
	if data.Version < 0 || through >= offset {
		return Result{Kind: Invalid, Version: a.version}
	}
	if data.Version < a.version {
		return Result{Kind: Ignored, Version: a.version}
	}
	if data.Version > a.version {
		doc, err := document.Parse(data.Data)
		if err != nil {
			return malformed(a.version, err)
		}
		a.replace(offset, doc, data)
	}
	v := Result{Kind: Renewed, DocumentID: a.doc.ID}
	a.makeCertain(through)
	v.Version = a.version
	return v
}

// replace puts the document of a renewal in force. A reader that was certain of
// a lower version has evaluated against a wrong version. This is possible if all
// entries started without a document, each at another offset of the log. The
// higher version wins everywhere, and the reader must become certain again, by the
// records from this offset on.
func (a *Acceptance) replace(offset int64, doc *document.Document, data record.Document) {
	if a.certain {
		a.certain, a.first = false, offset
	}
	a.setCurrent(doc, data.Version, data.Data)
}

// makeCertain makes the reader certain if it has every publication after through,
// an offset at which the current version was in force.
func (a *Acceptance) makeCertain(through int64) {
	if a.certain || a.last == 0 || through < a.first-1 {
		return
	}
	a.certain = true
	for len(a.pending) > 0 && a.pending[0].offset <= through {
		a.pending = a.pending[1:]
	}
	a.evaluatePending()
}

// Adopt applies the document that is in force at a peer. It is called at a
// start while the log is unavailable, when a peer's version is higher, or while
// this reader is not certain. A version that is not higher is ignored. The document
// is parsed but not checked again, since it was checked when it was accepted.
func (a *Acceptance) Adopt(version int64, data []byte) error {
	if version <= 0 {
		return fmt.Errorf("%w: version %d", ErrUnusable, version)
	}
	if version <= a.version {
		return nil
	}
	doc, err := document.Parse(data)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnusable, err)
	}
	a.setCurrent(doc, version, data)
	// Publications after this version were evaluated against a lower, wrong one.
	// The reader must become certain again, by the records after the last one read.
	if a.certain && version < a.last {
		a.certain, a.first = false, a.last+1
	}
	a.makeCertain(version)
	return nil
}

// Bootstrap accepts a first document after a total loss, when the log contains no
// renewal and no peer has a document. It may be called only when the stream is
// caught up and all peers that answer have no document: before that, the first
// publication in the log may be one that was rejected long ago. It has no effect
// if a document is in force.
func (a *Acceptance) Bootstrap() {
	if a.version != 0 || a.certain {
		return
	}
	a.certain = true
	a.evaluatePending()
}
