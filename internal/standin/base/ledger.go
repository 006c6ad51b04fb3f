package base

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Run is one entry of the ledger; times are Unix milliseconds.
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

// LedgerReport is the answer of /admin/ledger. Incarnation counts starts, from 1.
type LedgerReport struct {
	Incarnation int   `json:"incarnation"`
	Runs        []Run `json:"runs"`
	// TurnedAway counts requests refused by the orders "leaving" and "refuse",
	// LastTurnedAwayMS is when the last of them came.
	TurnedAway       int   `json:"turned_away"`
	LastTurnedAwayMS int64 `json:"last_turned_away_ms"`
}

// Ledger records what ran. It is the tester's and survives crashes.
type Ledger struct {
	mu          sync.Mutex
	incarnation int
	down        bool
	runs        []Run
	turnedAway  int
	lastAwayMS  int64
}

// Ticket names a run of the ledger.
type Ticket int

// incarnationKey holds the incarnation that took a call, in the call's context.
const incarnationKey = "incarnation"

// Begin records that a call starts to run. It is false when the process that
// took the call has crashed since: nothing may run then, or a run would appear
// that no caller could ever have asked the new process for.
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

// End closes a run; fill sets what is known of it. A run that is closed already
// stays as it is: a crash came first.
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

// Report copies the ledger.
func (l *Ledger) Report() LedgerReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LedgerReport{
		Incarnation: l.incarnation, Runs: append([]Run{}, l.runs...),
		TurnedAway: l.turnedAway, LastTurnedAwayMS: l.lastAwayMS,
	}
}

func (l *Ledger) turnAway() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turnedAway++
	l.lastAwayMS = time.Now().UnixMilli()
}

func (l *Ledger) current() int {
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

// stop lets nothing more begin; closeOpen then ends what ran, incomplete.
func (l *Ledger) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = true
}

func (l *Ledger) closeOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now().UnixMilli()
	for i := range l.runs {
		if l.runs[i].EndedMS == 0 {
			l.runs[i].EndedMS = now
		}
	}
}
