package operators

import (
	"context"
	"errors"

	"sycamoretrail/internal/core/record"
)

// Inspector reads the state of the entry. Each call is one read on the core
// loop, so its result is consistent.
type Inspector interface {
	Status(ctx context.Context) (Status, error)
	Targets(ctx context.Context) (Targets, error)
	Floors(ctx context.Context) (Floors, error)
	Explain(ctx context.Context, id string) (Explanation, error)
	Document(ctx context.Context) (Document, error)
	// PublishResult returns the result of publishing the document at this entry. A zero
	// Result means that the entry has not processed the document yet.
	PublishResult(ctx context.Context, documentID string) (Published, error)
}

// Controls changes the state of the process.
type Controls interface {
	// Drain begins a planned stop.
	Drain()
	// SetLogLevel returns an error for an unknown level.
	SetLogLevel(level string) error
}

// Checker validates a document before it is published, by the same rules as all
// entries. It returns the document's id, which may be empty if there are faults.
type Checker func(data []byte) (id string, faults []Fault)

// Log appends to the log. Its errors wrap logclient.ErrRefused or
// logclient.ErrUnknown.
type Log interface {
	AppendNow(stream record.Stream, data []byte) (int64, error)
}

// ErrListen is wrapped by errors of serving the listener.
var ErrListen = errors.New("operators' listener failed")
