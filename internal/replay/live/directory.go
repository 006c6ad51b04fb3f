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

// entryRow is one entry in an answer to "which entry".
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

// directory is one caller's knowledge of which entries to use.
type directory struct {
	http  *fasthttp.Client
	zone  string
	seeds []string

	mu     sync.Mutex
	answer entriesAnswer
	until  time.Time
}

// current returns the answer that is good now, asking for a new one if need be.
// Callers of one directory wait for each other, so one question serves all.
func (d *directory) current(now time.Time) (entriesAnswer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Before(d.until) && len(d.answer.Entries) > 0 {
		return d.answer, nil
	}
	var last error
	for _, address := range d.candidates() {
		answer, err := d.ask(address)
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

// forget makes the next request ask again: the entry in use died, and the id
// prefix of a dead owner is of no more use.
func (d *directory) forget(prefix ident.Prefix) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.answer.IDPrefix == prefix {
		d.until = time.Time{}
	}
}

// candidates are the entries last heard of, then the seeds.
func (d *directory) candidates() []string {
	var addresses []string
	for _, e := range d.answer.Entries {
		addresses = append(addresses, e.Address)
	}
	return append(addresses, d.seeds...)
}

// askTimeout bounds one question, so that a paused entry is passed over.
const askTimeout = 2 * time.Second

func (d *directory) ask(address string) (entriesAnswer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + "/v1/entries?zone=" + url.QueryEscape(d.zone))
	if err := d.http.DoTimeout(req, resp, askTimeout); err != nil {
		return entriesAnswer{}, fmt.Errorf("ask %s which entry: %w", address, err)
	}
	body, err := resp.BodyUncompressed()
	if err != nil {
		return entriesAnswer{}, fmt.Errorf("ask %s which entry: %w", address, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return entriesAnswer{}, fmt.Errorf("ask %s which entry: status %d", address, resp.StatusCode())
	}
	var answer entriesAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return entriesAnswer{}, fmt.Errorf("ask %s which entry: %w", address, err)
	}
	if len(answer.Entries) == 0 || answer.IDPrefix == "" {
		return entriesAnswer{}, fmt.Errorf("ask %s which entry: no entries in the answer", address)
	}
	return answer, nil
}
