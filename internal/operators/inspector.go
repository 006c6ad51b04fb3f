package operators

import (
	"context"
	"errors"

	"sycamoretrail/internal/core/record"
)

// Inspector reads the state of the entry; each call is one read on the core
// loop, so that it sees one moment.
type Inspector interface {
	Status(ctx context.Context) (Status, error)
	Targets(ctx context.Context) (Targets, error)
	Floors(ctx context.Context) (Floors, error)
	Explain(ctx context.Context, id string) (Explanation, error)
	Document(ctx context.Context) (Document, error)
	// Verdict says what became of a published document here; a zero Result
	// means that nothing was judged yet.
	Verdict(ctx context.Context, documentID string) (Published, error)
}

// Controls act on the process.
type Controls interface {
	// Drain begins a planned stop.
	Drain()
	// SetLogLevel fails for a level that does not exist.
	SetLogLevel(level string) error
}

// Checker judges a document before it is published, by the same check as every
// entry's. It returns the document's id, which may be empty where there are faults.
type Checker func(data []byte) (id string, faults []Fault)

// Log appends to the log; an error wraps platform.ErrRefused or ErrUnknown.
type Log interface {
	AppendNow(stream record.Stream, data []byte) (int64, error)
}

// ErrListen is wrapped by errors of the listener.
var ErrListen = errors.New("operators' listener failed")
