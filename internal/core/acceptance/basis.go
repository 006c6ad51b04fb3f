package acceptance

import (
	"fmt"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/record"
)

// renewal takes a record that says which version was in force at an offset.
// The version only rises: a renewal may land after a newer publication, since
// its writer had not read that yet.
func (a *Acceptance) renewal(offset int64, data record.Document) Verdict {
	through := max(data.Version, data.Through)
	if data.Version < 0 || through >= offset {
		return Verdict{Kind: Invalid, Version: a.version}
	}
	if data.Version < a.version {
		return Verdict{Kind: Ignored, Version: a.version}
	}
	if data.Version > a.version {
		doc, err := document.Parse(data.Data)
		if err != nil {
			return malformed(a.version, err)
		}
		a.replace(offset, doc, data)
	}
	v := Verdict{Kind: Renewed, DocumentID: a.doc.ID}
	a.establish(through)
	v.Version = a.version
	return v
}

// replace brings in force what a renewal carries. A reader that was certain of
// a lower version has judged on a false basis: entries that all started with
// nothing, each from another place in the log, can have come to that. The
// higher version wins everywhere, and certainty begins anew from here.
func (a *Acceptance) replace(offset int64, doc *document.Document, data record.Document) {
	if a.certain {
		a.certain, a.first = false, offset
	}
	a.put(doc, data.Version, data.Data)
}

// establish makes the reader certain if it has every publication after the
// offset at which the version in force is known to have been so.
func (a *Acceptance) establish(through int64) {
	if a.certain || a.last == 0 || through < a.first-1 {
		return
	}
	a.certain = true
	for len(a.pending) > 0 && a.pending[0].offset <= through {
		a.pending = a.pending[1:]
	}
	a.settle()
}

// Adopt takes the document that is in force at a peer: at a start while the
// log is down, when a peer's version is higher, or while this reader is not
// certain. A lower version changes nothing. The sense is not checked again:
// it was judged when the document was accepted.
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
	a.put(doc, version, data)
	// If publications were judged against a lower version, that was a false
	// basis, and certainty begins anew after the last record read.
	if a.certain && version < a.last {
		a.certain, a.first = false, a.last+1
	}
	a.establish(version)
	return nil
}

// Bootstrap lets the first document in force after everything was lost: the
// log keeps no renewal, and no peer has a document. To be called only when the
// stream is caught up and every peer that answers holds none; it does nothing
// where a document is held. Before that, the first publication in the kept
// part of the log may be one that was beaten long ago.
func (a *Acceptance) Bootstrap() {
	if a.version != 0 || a.certain {
		return
	}
	a.certain = true
	a.settle()
}
