package live

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/replay/report"
)

// ledger is the body of GET /admin/ledger.
type ledger struct {
	Runs []ledgerRun `json:"runs"`
}

type ledgerRun struct {
	ID                   string  `json:"id"`
	Key                  string  `json:"key"`
	StartedMS            float64 `json:"started_ms"`
	EndedMS              float64 `json:"ended_ms"`
	Complete             bool    `json:"complete"`
	Cancelled            bool    `json:"cancelled"`
	PromptTokens         int     `json:"prompt_tokens"`
	CachedTokens         int     `json:"cached_tokens"`
	ComputedPromptTokens int     `json:"computed_prompt_tokens"`
	Tokens               int     `json:"tokens"`
}

// ledgerResolution is the resolution of the times in ledgers, which are truncated
// to milliseconds.
const ledgerResolution = time.Millisecond

// ledgerTimeout limits the time to read one ledger.
const ledgerTimeout = 10 * time.Second

// ReadLedgers collects the runs begun at all targets since start. It returns in
// lost the names of the targets whose ledger could not be read.
func ReadLedgers(doc *document.Document, offset int, start time.Time) (runs []report.Run, lost []string) {
	return readLedgers(newHTTP(ledgerConnections), doc, offset, start)
}

// ledgerConnections is 1 as ledgers are read one after another.
const ledgerConnections = 1

// readLedgers implements ReadLedgers with the given HTTP client.
func readLedgers(http *fasthttp.Client, doc *document.Document, offset int, start time.Time) (runs []report.Run, lost []string) {
	for i := range doc.Targets {
		target := &doc.Targets[i]
		book, err := readLedger(http, adminAddress(target.Address, offset))
		if err != nil {
			lost = append(lost, target.Name)
			continue
		}
		for j := range book.Runs {
			run := toRun(&book.Runs[j], target, start)
			if run.Began >= -ledgerResolution {
				runs = append(runs, run)
			}
		}
	}
	return runs, lost
}

// adminAddress returns the address of a stand-in's admin interface, which is
// available while the stand-in simulates a crash, too.
func adminAddress(address string, offset int) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return address
	}
	return net.JoinHostPort(host, strconv.Itoa(number+offset))
}

func readLedger(http *fasthttp.Client, address string) (ledger, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + "/admin/ledger")
	if err := http.DoTimeout(req, resp, ledgerTimeout); err != nil {
		return ledger{}, fmt.Errorf("%w: %s: %w", ErrNoLedger, address, err)
	}
	var book ledger
	if err := json.Unmarshal(resp.Body(), &book); err != nil || resp.StatusCode() != fasthttp.StatusOK {
		return ledger{}, fmt.Errorf("%w: %s: status %d", ErrNoLedger, address, resp.StatusCode())
	}
	return book, nil
}

// toRun converts a run of a ledger, whose times are in Unix milliseconds, to one
// with times from the start of the replay.
func toRun(r *ledgerRun, target *document.Target, start time.Time) report.Run {
	run := report.Run{
		Target: target.Name, Pool: target.Pool, ID: r.ID, Key: r.Key,
		Began: sinceStart(r.StartedMS, start), Complete: r.Complete, Cancelled: r.Cancelled,
		PromptTokens: r.PromptTokens, CachedTokens: r.CachedTokens,
		ComputedPromptTokens: r.ComputedPromptTokens, Tokens: r.Tokens,
	}
	if r.EndedMS > 0 {
		run.Ended = sinceStart(r.EndedMS, start)
	}
	return run
}

func sinceStart(unixMS float64, start time.Time) time.Duration {
	return time.Duration(unixMS*float64(time.Millisecond)) - time.Duration(start.UnixNano())
}
