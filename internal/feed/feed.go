// Package feed follows the records that govern an entry: the operators'
// configuration, the targets and the other entries. A Follower keeps the newest
// record of each key of one topic and hands on each change, in order, with what
// it knows of the log's own availability.
package feed

import (
	"errors"
	"time"
)

// Topic names one group of keyed records.
type Topic uint8

const (
	// Operators holds the configuration.
	Operators Topic = iota
	// Targets holds an entry for each registered target.
	Targets
	// Entries holds what each entry says of itself.
	Entries
	// Usage holds what organisations close to their quota have used.
	Usage
	// Copies holds a copy of the configuration in force, for entries that start while
	// Operators cannot be read. SecondCopies and ThirdCopies hold the same, since topics
	// fail one by one.
	Copies
	SecondCopies
	ThirdCopies
	// Rollouts holds how far each roll-out has come.
	Rollouts
)

func (t Topic) String() string {
	return [...]string{"operators", "targets", "entries", "usage", "copies", "second_copies", "third_copies", "rollouts"}[t]
}

// Position is a place in a topic: an offset within a generation of the log. A log that has
// come back from an older copy is of a later generation. It gives offsets out again, so an
// offset says nothing without its generation.
type Position struct {
	Generation int64
	Offset     int64
}

// ErrTruncated says that the records asked for are not retained, or that their position is
// of another generation: the reader has to start again from a snapshot.
var ErrTruncated = errors.New("records are no longer retained")

// errOlder says that an answer is of an older generation than one seen before.
var errOlder = errors.New("the log answers as it was before it was restored")

// ErrConflict says that the topic has grown since the offset at which a record was to be
// put: another entry was faster, and what it wrote has to be read first.
var ErrConflict = errors.New("another record was put first")

// Record is the newest value of a key; an empty value means that it was dropped.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
	// Corrupt: the log holds bytes for the key that are no value.
	Corrupt bool
}

// Log is the service that keeps the records.
type Log interface {
	// Snapshot returns the newest record of each key, and the position from which to Read.
	Snapshot(topic Topic) ([]Record, Position, error)
	// Read returns the records from a position, and the position of the next ones. It
	// waits up to wait for the first. ErrTruncated: take a Snapshot.
	Read(topic Topic, from Position, wait time.Duration) ([]Record, Position, error)
	// Put sets the values of keys; an empty one drops the key. After an error they may
	// have been set all the same.
	Put(topic Topic, records ...Record) error
	// PutAt sets a key's value if the topic ends at a position; otherwise it returns
	// ErrConflict. After any other error it may have been set all the same, also later, but
	// never after another record.
	PutAt(topic Topic, end Position, record Record) error
}
