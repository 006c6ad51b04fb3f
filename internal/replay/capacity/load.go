package capacity

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/replay/live"
	"sycamoretrail/internal/replay/report"
)

// Kind is the kind of request of a load.
type Kind string

const (
	// Completion is a streamed answer of an engine.
	Completion Kind = "completion"
	// ServiceCall is a GET of the plain service, which may be repeated.
	ServiceCall Kind = "service"
	// KeyedCall is a POST of the plain service with an idempotency key, which
	// is claimed on the log before it runs.
	KeyedCall Kind = "keyed"
	// Resolve requests the list of entries to use.
	Resolve Kind = "resolve"
)

// Errors of sending a load.
var (
	ErrLoad   = errors.New("load cannot be sent")
	errStatus = errors.New("no answer of the target")
)

// Load describes the requests to send and their rate. The organisations with tokens
// send in turn, to the entries in turn.
type Load struct {
	// Entries are the callers' addresses of the entries.
	Entries  []string
	Document *document.Document
	Tokens   map[string]string
	Kind     Kind
	// Count limits the requests; 0 means until the context ends.
	Count int
	// Rate is in requests per second; 0 means all at once.
	Rate float64
	// PromptTokens and AnswerTokens are the size of a completion.
	PromptTokens, AnswerTokens int
}

// Tally counts the results of a load.
type Tally struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	// Refused requests received another outcome, Failed ones no answer.
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// Faulty streams lost, duplicated or reordered a chunk, or differ from the count
	// or checksum of the outcome event.
	Faulty int `json:"faulty"`
	// Chunks is the number of chunks received in all streams, Expected the correct
	// number.
	Chunks   int `json:"chunks"`
	Expected int `json:"chunks_expected"`
	// OpenMost is the maximum number of streams open at once, from the header to the
	// outcome event.
	OpenMost int `json:"open_most"`
	// Why counts the requests without a complete answer by reason.
	Why        map[string]int     `json:"why,omitempty"`
	FirstChunk report.Percentiles `json:"first_chunk_ms"`
	Total      report.Percentiles `json:"whole_ms"`
	Seconds    float64            `json:"seconds"`
}

// sender is the state of a load that is being sent.
type sender struct {
	load          Load
	http          *fasthttp.Client
	organisations []string
	tag           string
	open, most    atomic.Int64

	mutex        sync.Mutex
	tally        Tally
	first, whole []time.Duration
}

// Run sends the load and waits for all answers.
func (l Load) Run(ctx context.Context) (Tally, error) {
	if len(l.Entries) == 0 || len(l.Tokens) == 0 || l.Count == 0 && l.Rate <= 0 {
		return Tally{}, fmt.Errorf("%w: entries, tokens, and a count or a rate are required", ErrLoad)
	}
	s := &sender{load: l, http: newHTTP(), organisations: slices.Sorted(maps.Keys(l.Tokens)), tag: strconv.FormatInt(time.Now().UnixNano(), 36)}
	s.tally.Why = map[string]int{}
	began := time.Now()
	var group sync.WaitGroup
	for i := 0; l.Count == 0 || i < l.Count; i++ {
		if !s.due(ctx, began, i) {
			break
		}
		group.Go(func() { s.send(i) })
	}
	group.Wait()
	s.tally.Seconds = time.Since(began).Seconds()
	s.tally.OpenMost = int(s.most.Load())
	s.tally.FirstChunk = report.PercentilesOf(s.first)
	s.tally.Total = report.PercentilesOf(s.whole)
	return s.tally, nil
}

// due waits for the send time of a request, and returns false if the load is over.
func (s *sender) due(ctx context.Context, began time.Time, i int) bool {
	if s.load.Rate <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(time.Until(began.Add(time.Duration(float64(i) / s.load.Rate * float64(time.Second)))))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends one request and records its result.
func (s *sender) send(i int) {
	c, err := s.call(i)
	if err != nil {
		s.record(func(t *Tally) { t.Sent++; t.Failed++; t.Why[err.Error()]++ })
		return
	}
	sent := time.Now()
	if s.load.Kind == Completion {
		s.stream(c, sent)
		return
	}
	err = c.do(s.http, func(resp *fasthttp.Response) error {
		defer func() { _ = resp.Body() }()
		if s.load.Kind == Resolve && resp.StatusCode() == fasthttp.StatusOK {
			return nil
		}
		if string(resp.Header.Peek("X-Outcome")) != string(outcome.Answered) {
			return fmt.Errorf("%w: status %d, %s", errStatus, resp.StatusCode(), resp.Header.Peek("X-Reason"))
		}
		return nil
	})
	took := time.Since(sent)
	s.record(func(t *Tally) {
		t.Sent++
		switch {
		case err == nil:
			t.Answered++
			s.whole = append(s.whole, took)
		case errors.Is(err, errStatus):
			t.Refused++
			t.Why[err.Error()]++
		default:
			t.Failed++
			t.Why[err.Error()]++
		}
	})
}

// stream reads one streamed answer and checks all its chunks.
func (s *sender) stream(c *call, sent time.Time) {
	var seen live.Streamed
	err := c.do(s.http, func(resp *fasthttp.Response) error {
		if resp.StatusCode() != fasthttp.StatusOK {
			return fmt.Errorf("%w: status %d, %s", errStatus, resp.StatusCode(), resp.Header.Peek("X-Reason"))
		}
		s.opened(1)
		defer s.opened(-1)
		var err error
		seen, err = live.Follow(resp.BodyStream(), string(resp.Header.Peek("X-Request-Id")))
		return err
	})
	ended := time.Now()
	s.record(func(t *Tally) {
		t.Sent++
		// The engine sends a chunk for each token and one with the usage.
		t.Expected += s.load.AnswerTokens + 1
		t.Chunks += seen.Chunks
		switch {
		case errors.Is(err, errStatus) || err == nil && seen.Outcome != outcome.Answered:
			t.Refused++
			t.Why[fmt.Sprint(seen.Reason, err)]++
		case err != nil:
			t.Failed++
			t.Why[err.Error()]++
		case seen.Fault != "":
			t.Faulty++
			t.Why[seen.Fault]++
		default:
			t.Answered++
			s.first = append(s.first, seen.First.Sub(sent))
			s.whole = append(s.whole, ended.Sub(sent))
		}
	})
}

func (s *sender) record(change func(*Tally)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(&s.tally)
}

func (s *sender) opened(by int64) {
	now := s.open.Add(by)
	for most := s.most.Load(); now > most && !s.most.CompareAndSwap(most, now); most = s.most.Load() {
	}
}

func (s *sender) call(i int) (*call, error) {
	name := s.organisations[i%len(s.organisations)]
	c := &call{address: s.load.Entries[i%len(s.load.Entries)], token: s.load.Tokens[name], method: fasthttp.MethodGet}
	switch s.load.Kind {
	case ServiceCall:
		c.path = servicePath(i)
		return c, nil
	case Resolve:
		c.path = "/v1/entries?zone=" + s.load.Document.Targets[0].Zone
		return c, nil
	case KeyedCall:
		c.path = servicePath(i)
		c.method = fasthttp.MethodPost
		c.key = fmt.Sprintf("%s-%d", s.tag, i)
		c.body = []byte(`{}`)
		return c, nil
	}
	model, err := modelOf(s.load.Document, name)
	if err != nil {
		return nil, err
	}
	c.path, c.method = completionPath, fasthttp.MethodPost
	c.body, err = completionBody(model, i, s.load.PromptTokens, s.load.AnswerTokens)
	return c, err
}

func servicePath(i int) string { return "/v1/services/" + ServiceName + "/items/" + strconv.Itoa(i) }

// modelOf returns the first model that an organisation may use.
func modelOf(doc *document.Document, organisation string) (string, error) {
	for i := range doc.Organisations {
		if o := &doc.Organisations[i]; o.Name == organisation && len(o.Models) > 0 {
			return o.Models[0], nil
		}
	}
	return "", fmt.Errorf("%w: organisation %q has no model", ErrLoad, organisation)
}
