// Package live replays a trace in real time against running entries. It behaves
// as callers do: they request the list of entries to use, cache it while it is
// valid, form request ids with its prefix, and switch to another entry when
// theirs fails. Afterwards it reads the ledgers of the targets, so that runs are
// counted where they took place.
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

// Options are the parameters of a live replay.
type Options struct {
	Trace    *trace.Trace
	Document *document.Document
	// Entries are the seed addresses (host:port); callers discover the others.
	Entries []string
	// Tokens holds the bearer tokens by organisation.
	Tokens map[string]string
	// Callers is the number of independent callers among which the trace is
	// divided. Each has its own list of entries.
	Callers int
	// Concurrency limits the requests in flight.
	Concurrency int
	// WaitLimit is the time past the deadline after which a caller tries another
	// entry. GiveUp is the time past the deadline after which it gives up.
	WaitLimit, GiveUp time.Duration
	// Tolerance is the uncertainty when times of callers and ledgers are compared.
	Tolerance time.Duration
	// Ledgers is false if the targets keep no ledgers; no runs are counted then.
	Ledgers bool
	// AdminOffset is added to a target's port to reach its ledger.
	AdminOffset int
}

// Defaults for Options.
const (
	DefaultCallers     = 24
	DefaultConcurrency = 4000
	DefaultWaitLimit   = 2 * time.Second
	DefaultGiveUp      = 12 * time.Second
	DefaultAdminOffset = 10000
	DefaultTolerance   = 25 * time.Millisecond
)

// dialTimeout limits a connection attempt; a healthy network connects sooner.
const dialTimeout = time.Second

// pauseAfterRound is the pause after each known entry has failed once.
const pauseAfterRound = 100 * time.Millisecond

func (o *Options) check() error {
	if len(o.Entries) == 0 {
		return fmt.Errorf("%w: no addresses given", ErrNoEntry)
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

// tokenFits reports whether the document has the hash of the organisation's token.
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

// zones returns the zones of the document's targets, in order of appearance.
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
