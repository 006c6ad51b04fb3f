// Package feed follows the records that an entry works from: the operators'
// configuration, the targets and the other entries. A Follower follows the records of
// one topic and reports each change, in order, and the availability of the log.
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
	// Targets holds a record for each registered target.
	Targets
	// Entries holds a record with the status of each entry.
	Entries
	// Usage holds what entries have only from each other and must not lose with all of them: the usage
	// of organisations that are close to their quota, and quarantined causes of crashes.
	Usage
	// Copies holds a copy of the configuration in force, for entries that start while
	// Operators cannot be read. SecondCopies and ThirdCopies hold the same, since topics
	// fail one by one.
	Copies
	SecondCopies
	ThirdCopies
	// Rollouts holds the progress of each roll-out.
	Rollouts
	// Origins holds which software version began each stream, in batches; Versions holds which versions the
	// services have had. Entries that start after the loss of all others have neither.
	Origins
	Versions
)

func (t Topic) String() string {
	return [...]string{"operators", "targets", "entries", "usage", "copies", "second_copies", "third_copies", "rollouts", "origins", "versions"}[t]
}

// Position is an offset in a topic, within a generation of the log. A log that was restored
// from an older copy has a later generation and assigns offsets again, so an offset is only
// meaningful together with its generation.
type Position struct {
	Generation int64
	Offset     int64
}

// ErrTruncated is returned if the requested records are no longer retained, or if their
// position is of another generation. The caller has to start again from a snapshot.
var ErrTruncated = errors.New("records are no longer retained")

// errOlder is the error of an answer that is of an older generation than an earlier one.
var errOlder = errors.New("the log answered with the state before it was restored")

// ErrConflict is returned if the topic has grown beyond the offset at which a record was to
// be put: another entry has put a record, which has to be read first.
var ErrConflict = errors.New("another record was put first")

// Record is the newest value of a key. An empty value means that the key was dropped.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
	// Corrupt is set if the log holds bytes for the key that are not a valid value.
	Corrupt bool
}

// Log is the service that stores the records.
type Log interface {
	// Snapshot returns the newest record of each key, and the position from which to Read.
	Snapshot(topic Topic) ([]Record, Position, error)
	// Read returns the records from a position on, and the position after them. It waits
	// up to wait for the first record. After ErrTruncated a Snapshot is required.
	Read(topic Topic, from Position, wait time.Duration) ([]Record, Position, error)
	// Put sets the values of keys. An empty value drops the key. After an error the values
	// may nevertheless have been set.
	Put(topic Topic, records ...Record) error
	// PutAt sets a key's value if the topic ends at a position; otherwise it returns
	// ErrConflict. After any other error the value may nevertheless have been set, or may
	// be set later, but never after another record.
	PutAt(topic Topic, end Position, record Record) error
}
