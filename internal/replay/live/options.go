// Package live sends a trace in real time to running entries, as callers do:
// they ask which entry to use, keep the answer while it is good, form request
// ids with its prefix, and ask another entry when theirs died. Afterwards it
// reads the targets' ledgers, so that runs are counted where they happened.
package live

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"time"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/replay/trace"
)

// Errors of the live replay.
var (
	ErrNoEntry  = errors.New("no entry answers")
	ErrNoToken  = errors.New("no bearer token for the organisation")
	ErrNoLedger = errors.New("ledger cannot be read")
)

// Options of a live replay.
type Options struct {
	Trace    *trace.Trace
	Document *document.Document
	// Entries are addresses (host:port) to begin with; callers learn the rest.
	Entries []string
	// Tokens are the bearer tokens by organisation.
	Tokens map[string]string
	// Callers is how many independent callers send the trace between them, each
	// with an answer to "which entry" of its own.
	Callers int
	// Concurrency bounds the requests under way.
	Concurrency int
	// Patience is how long past its deadline a caller waits for an entry before
	// it asks another; GiveUp how long past it the caller stops altogether.
	Patience, GiveUp time.Duration
	// Tolerance is the uncertainty of comparing callers' and ledgers' times.
	Tolerance time.Duration
	// Ledgers false: the targets keep none, and no run is counted.
	Ledgers bool
	// AdminOffset is added to a target's port to reach its ledger.
	AdminOffset int
}

// Defaults for Options.
const (
	DefaultCallers     = 24
	DefaultConcurrency = 4000
	DefaultPatience    = 2 * time.Second
	DefaultGiveUp      = 12 * time.Second
	DefaultAdminOffset = 10000
	DefaultTolerance   = 25 * time.Millisecond
)

// dialTimeout bounds a connection attempt on a healthy network.
const dialTimeout = time.Second

// restAfterRound is the pause after every known entry failed once.
const restAfterRound = 100 * time.Millisecond

func (o *Options) check() error {
	if len(o.Entries) == 0 {
		return fmt.Errorf("%w: none was named", ErrNoEntry)
	}
	if o.Callers <= 0 || o.Concurrency <= 0 {
		return errors.New("callers and concurrency must be positive")
	}
	for i := range o.Trace.Lines {
		name := o.Trace.Lines[i].Organisation
		if o.Tokens[name] == "" {
			return fmt.Errorf("%w: %q", ErrNoToken, name)
		}
		if !o.tokenFits(name) {
			return fmt.Errorf("%w: %q: the token's hash is not in the document", ErrNoToken, name)
		}
	}
	return nil
}

// tokenFits compares a token with the hashes of the document.
func (o *Options) tokenFits(organisation string) bool {
	sum := sha256.Sum256([]byte(o.Tokens[organisation]))
	for i := range o.Document.Organisations {
		declared := &o.Document.Organisations[i]
		if declared.Name == organisation {
			return slices.Contains(declared.KeyHashes, hex.EncodeToString(sum[:]))
		}
	}
	return false
}

// zones are those of the document's targets, in order of appearance.
func (o *Options) zones() []string {
	var zones []string
	seen := map[string]bool{}
	for i := range o.Document.Targets {
		zone := o.Document.Targets[i].Zone
		if !seen[zone] {
			seen[zone] = true
			zones = append(zones, zone)
		}
	}
	return zones
}
