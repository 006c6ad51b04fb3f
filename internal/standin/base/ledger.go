package base

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Run is one record of the ledger. Times are in Unix milliseconds.
type Run struct {
	ID                   string `json:"id"`
	Key                  string `json:"key"`
	BodySHA              string `json:"body_sha"`
	StartedMS            int64  `json:"started_ms"`
	EndedMS              int64  `json:"ended_ms"`
	Complete             bool   `json:"complete"`
	Cancelled            bool   `json:"cancelled"`
	PromptTokens         int    `json:"prompt_tokens"`
	CachedTokens         int    `json:"cached_tokens"`
	ComputedPromptTokens int    `json:"computed_prompt_tokens"`
	Tokens               int    `json:"tokens"`
}

// LedgerReport is the answer to /admin/ledger. Incarnation counts
// process starts, from 1.
type LedgerReport struct {
	Incarnation int   `json:"incarnation"`
	Runs        []Run `json:"runs"`
	// Rejected is the number of requests rejected because of the faults "leaving"
	// and "refuse". LastRejectedMS is the time of the last one.
	Rejected       int   `json:"turned_away"`
	LastRejectedMS int64 `json:"last_turned_away_ms"`
}

// Ledger records all runs for use by tests. It is kept across crashes.
type Ledger struct {
	mu             sync.Mutex
	incarnation    int
	down           bool
	runs           []Run
	rejected       int
	lastRejectedMS int64
}

// Ticket identifies a run in the ledger.
type Ticket int

// incarnationKey is the context key of the incarnation that accepted a call.
const incarnationKey = "incarnation"

// Begin records the start of a run. It returns false if the process that accepted
// the call has crashed since. The call must not run then, because the ledger would
// contain a run that no caller has requested from the new process.
func (l *Ledger) Begin(ctx *fasthttp.RequestCtx, id string) (Ticket, bool) {
	sum := sha256.Sum256(ctx.PostBody())
	run := Run{
		ID:        id,
		Key:       string(ctx.Request.Header.Peek("Idempotency-Key")),
		BodySHA:   hex.EncodeToString(sum[:]),
		StartedMS: time.Now().UnixMilli(),
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down || ctx.UserValue(incarnationKey) != l.incarnation {
		return 0, false
	}
	l.runs = append(l.runs, run)
	return Ticket(len(l.runs) - 1), true
}

// End ends a run, with its results set by fill. A run that has already been ended
// by a crash does not change.
func (l *Ledger) End(ticket Ticket, fill func(*Run)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := &l.runs[ticket]
	if run.EndedMS != 0 {
		return
	}
	fill(run)
	run.EndedMS = time.Now().UnixMilli()
}

// Report returns a copy of the ledger.
func (l *Ledger) Report() LedgerReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LedgerReport{
		Incarnation: l.incarnation, Runs: append([]Run{}, l.runs...),
		Rejected: l.rejected, LastRejectedMS: l.lastRejectedMS,
	}
}

func (l *Ledger) countRejected() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rejected++
	l.lastRejectedMS = time.Now().UnixMilli()
}

func (l *Ledger) currentIncarnation() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.incarnation
}

func (l *Ledger) start() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = false
	l.incarnation++
}

// stop prevents new runs. endOpenRuns then ends the current runs as incomplete.
func (l *Ledger) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = true
}

func (l *Ledger) endOpenRuns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now().UnixMilli()
	for i := range l.runs {
		if l.runs[i].EndedMS == 0 {
			l.runs[i].EndedMS = now
		}
	}
}
