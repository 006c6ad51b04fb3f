package live

import (
	"encoding/json"
	"fmt"
	"net/url"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/ident"
)

// entryRow is one entry in the answer of GET /v1/entries.
type entryRow struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// entriesAnswer is the body of GET /v1/entries.
type entriesAnswer struct {
	Entries   []entryRow   `json:"entries"`
	GoodForMS int64        `json:"good_for_ms"`
	IDPrefix  ident.Prefix `json:"id_prefix"`
}

// directory is a caller's cached list of the entries to use.
type directory struct {
	http  *fasthttp.Client
	zone  string
	seeds []string

	mu     sync.Mutex
	answer entriesAnswer
	until  time.Time
}

// current returns the cached answer while it is valid and otherwise fetches a new
// one. Concurrent callers wait for the same fetch.
func (d *directory) current(now time.Time) (entriesAnswer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Before(d.until) && len(d.answer.Entries) > 0 {
		return d.answer, nil
	}
	var last error
	for _, address := range d.candidates() {
		answer, err := d.fetch(address)
		if err != nil {
			last = err
			continue
		}
		d.answer = answer
		d.until = now.Add(time.Duration(answer.GoodForMS) * time.Millisecond)
		return answer, nil
	}
	return entriesAnswer{}, fmt.Errorf("%w: %w", ErrNoEntry, last)
}

// invalidate invalidates the answer with the given prefix after its entry failed: the
// id prefix of a failed owner cannot be used any more.
func (d *directory) invalidate(prefix ident.Prefix) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.answer.IDPrefix == prefix {
		d.until = time.Time{}
	}
}

// candidates returns the addresses of the last answer, followed by the seeds.
func (d *directory) candidates() []string {
	var addresses []string
	for _, e := range d.answer.Entries {
		addresses = append(addresses, e.Address)
	}
	return append(addresses, d.seeds...)
}

// fetchTimeout limits one fetch, so that a paused entry is skipped.
const fetchTimeout = 2 * time.Second

func (d *directory) fetch(address string) (entriesAnswer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + "/v1/entries?zone=" + url.QueryEscape(d.zone))
	if err := d.http.DoTimeout(req, resp, fetchTimeout); err != nil {
		return entriesAnswer{}, fmt.Errorf("fetch entries from %s: %w", address, err)
	}
	body, err := resp.BodyUncompressed()
	if err != nil {
		return entriesAnswer{}, fmt.Errorf("fetch entries from %s: %w", address, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return entriesAnswer{}, fmt.Errorf("fetch entries from %s: status %d", address, resp.StatusCode())
	}
	var answer entriesAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return entriesAnswer{}, fmt.Errorf("fetch entries from %s: %w", address, err)
	}
	if len(answer.Entries) == 0 || answer.IDPrefix == "" {
		return entriesAnswer{}, fmt.Errorf("fetch entries from %s: no entries in the answer", address)
	}
	return answer, nil
}
