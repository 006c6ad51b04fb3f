// Package operatorstest provides a fake of the operators' interface of several
// entries in one process, for tests of its clients. The entries share a log that
// keeps documents, accepts them by base and id as entries do, and can be
// unavailable.
package operatorstest

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/operators/api"
)

// Token is the operators' token of every fake entry.
const Token = "operator-token-of-the-fake"

// TokenSHA256 returns the hex SHA-256 of Token, as settings hold it.
func TokenSHA256() string {
	sum := sha256.Sum256([]byte(Token))
	return hex.EncodeToString(sum[:])
}

// Fake is a log with entries that follow it. Its methods are safe for concurrent
// use.
type Fake struct {
	mu            sync.Mutex
	entries       []*Entry
	data          []byte
	id            string
	version       int64
	results       map[string]api.Published
	logOut        bool
	logRefuses    bool
	pending       [][]byte
	beforePublish func()
}

// Entry is one fake entry.
type Entry struct {
	// Address is the address of the operators' interface.
	Address string
	// Name and Incarnation are reported in the status.
	Name, Incarnation string

	fake          *Fake
	listener      net.Listener
	server        *fasthttp.Server
	state         string
	frozenAt      int64
	losesAnswers  bool
	explains      map[string]api.Explanation
	level         string
	callerAddress string
}

// Start runs entries on loopback addresses. The document is in force as version 1;
// if data is nil, none is in force.
func Start(entries int, data []byte) (*Fake, error) {
	f := &Fake{results: make(map[string]api.Published)}
	for i := range entries {
		if err := f.startEntry(i); err != nil {
			f.Close()
			return nil, err
		}
	}
	if data == nil {
		return f, nil
	}
	if got := f.Publish(data); got.Result != api.ResultAccepted {
		f.Close()
		return nil, fmt.Errorf("first document: %+v", got)
	}
	return f, nil
}

// ownLoopback returns a loopback address that only this process uses. On
// 127.0.0.1, a server of another test could reuse a released port at once and
// would then answer in place of a stopped entry.
func ownLoopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16%254, pid>>8%256, 1+pid%254)
}

func (f *Fake) startEntry(i int) error {
	listener, err := net.Listen("tcp", ownLoopback()+":0")
	if err != nil {
		return err
	}
	e := &Entry{
		Address:     listener.Addr().String(),
		Name:        fmt.Sprintf("entry-%d", i+1),
		Incarnation: fmt.Sprintf("%016x-1", i+1),
		fake:        f,
		listener:    listener,
		state:       "ready",
		explains:    make(map[string]api.Explanation),
	}
	e.server = &fasthttp.Server{Handler: e.handle, CloseOnShutdown: true}
	f.entries = append(f.entries, e)
	go func() { _ = e.server.Serve(listener) }()
	return nil
}

// Close stops the entries.
func (f *Fake) Close() {
	var stopping sync.WaitGroup
	for _, e := range f.entries {
		stopping.Go(e.Stop)
	}
	stopping.Wait()
}

// Entry returns the entry with the index, from 0.
func (f *Fake) Entry(i int) *Entry { return f.entries[i] }

// Addresses returns the operators' addresses of the entries.
func (f *Fake) Addresses() []string {
	out := make([]string, len(f.entries))
	for i, e := range f.entries {
		out[i] = e.Address
	}
	return out
}

// Document returns the document in force.
func (f *Fake) Document() (version int64, id string, data []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version, f.id, f.data
}

// Publish publishes a document as another operator does.
func (f *Fake) Publish(data []byte) api.Published {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.accept(data)
}

// SetLogOut begins or ends an outage of the log. Documents published during an
// outage are appended when it ends.
func (f *Fake) SetLogOut(out bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logOut = out
	if out {
		return
	}
	for _, data := range f.pending {
		f.accept(data)
	}
	f.pending = nil
}

// SetLogRefuses makes the log refuse records, so that nothing is published.
func (f *Fake) SetLogRefuses(refuses bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logRefuses = refuses
}

// BeforeNextPublish sets a function that runs once, before the next document of a
// client is processed, for example to publish another operator's document first.
func (f *Fake) BeforeNextPublish(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.beforePublish = do
}

// accept applies the acceptance rules to a record and returns the result.
func (f *Fake) accept(data []byte) api.Published {
	doc, err := document.Parse(data)
	if err != nil {
		return api.Published{Result: api.ResultInvalid, Faults: []api.Fault{{Path: "(document)", Problem: err.Error(), Remedy: "write one JSON document"}}}
	}
	if known, seen := f.results[doc.ID]; seen {
		return known
	}
	if faults := doc.Check(); len(faults) > 0 {
		return invalid(doc.ID, faults)
	}
	result := api.Published{ID: doc.ID, Result: api.ResultSuperseded, Winner: f.id, WinnerVersion: f.version}
	if doc.Base == f.version {
		f.version++
		f.id = doc.ID
		f.data = append([]byte(nil), data...)
		result = api.Published{ID: doc.ID, Result: api.ResultAccepted, Version: f.version}
	}
	f.results[doc.ID] = result
	return result
}

func invalid(id string, faults document.Faults) api.Published {
	out := api.Published{ID: id, Result: api.ResultInvalid}
	for _, fault := range faults {
		out.Faults = append(out.Faults, api.Fault{Path: fault.Path, Problem: fault.Problem, Remedy: fault.Remedy})
	}
	return out
}

// publishFromClient handles a client's publication.
func (f *Fake) publishFromClient(data []byte) api.Published {
	f.mu.Lock()
	before := f.beforePublish
	f.beforePublish = nil
	f.mu.Unlock()
	if before != nil {
		before()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.logRefuses {
		return api.Published{Result: api.ResultNotPublished, Detail: "the log took nothing; publish again later"}
	}
	if !f.logOut {
		return f.accept(data)
	}
	doc, err := document.Parse(data)
	if err != nil {
		return f.accept(data)
	}
	if known, seen := f.results[doc.ID]; seen {
		return known
	}
	f.pending = append(f.pending, append([]byte(nil), data...))
	return api.Published{ID: doc.ID, Result: api.ResultUnknown, Detail: "the log's answer was lost"}
}

// Stop stops the entry. Shutdown closes the listener only if Serve is already
// running; the listener is also closed separately, so that an entry stopped before
// that does not answer.
func (e *Entry) Stop() {
	_ = e.server.Shutdown()
	_ = e.listener.Close()
}

// Freeze makes the entry report the version regardless of the log.
func (e *Entry) Freeze(version int64) { e.locked(func() { e.frozenAt = version }) }

// LoseAnswers makes the entry process publications and close the connection
// without an answer.
func (e *Entry) LoseAnswers(lose bool) { e.locked(func() { e.losesAnswers = lose }) }

// Remember adds a request to the entry's records.
func (e *Entry) Remember(x api.Explanation) { e.locked(func() { e.explains[x.ID] = x }) }

// SetCallersAddress sets the caller address in the entry's status.
func (e *Entry) SetCallersAddress(address string) { e.locked(func() { e.callerAddress = address }) }

// State returns the state in the entry's status.
func (e *Entry) State() (state string) {
	e.locked(func() { state = e.state })
	return state
}

// Level returns the log level that was set last.
func (e *Entry) Level() (level string) {
	e.locked(func() { level = e.level })
	return level
}

func (e *Entry) locked(do func()) {
	e.fake.mu.Lock()
	defer e.fake.mu.Unlock()
	do()
}

func (e *Entry) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)) != "Bearer "+Token {
		answer(ctx, fasthttp.StatusUnauthorized, api.Failure{Error: "operator token is missing or wrong"})
		return
	}
	if ctx.IsPost() {
		e.post(ctx)
		return
	}
	switch string(ctx.Path()) {
	case api.PathStatus:
		answer(ctx, fasthttp.StatusOK, e.status())
	case api.PathDocument:
		version, id, data := e.fake.Document()
		answer(ctx, fasthttp.StatusOK, api.Document{Version: version, ID: id, Data: json.RawMessage(data)})
	case api.PathTargets:
		answer(ctx, fasthttp.StatusOK, e.targets())
	case api.PathFloors:
		answer(ctx, fasthttp.StatusOK, api.Floors{Floors: []api.Floor{{Pool: "engines", Tier: 1, RemainingMS: 700, RaisedBy: e.Name}}})
	case api.PathExplain:
		answer(ctx, fasthttp.StatusOK, e.explain(string(ctx.QueryArgs().Peek("id"))))
	default:
		ctx.Error("no such page", fasthttp.StatusNotFound)
	}
}

// resultStatus maps a result to an HTTP status, as entries do.
var resultStatus = map[api.Result]int{
	api.ResultAccepted:     fasthttp.StatusOK,
	api.ResultSuperseded:   fasthttp.StatusConflict,
	api.ResultUnknown:      fasthttp.StatusAccepted,
	api.ResultInvalid:      fasthttp.StatusUnprocessableEntity,
	api.ResultNotPublished: fasthttp.StatusServiceUnavailable,
}

func (e *Entry) post(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case api.PathDocument:
		published := e.fake.publishFromClient(ctx.PostBody())
		var lose bool
		e.locked(func() { lose = e.losesAnswers })
		if lose {
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(net.Conn) {})
			return
		}
		answer(ctx, resultStatus[published.Result], published)
	case api.PathDrain:
		e.locked(func() { e.state = "draining" })
		answer(ctx, fasthttp.StatusAccepted, api.Drain{State: "draining"})
	case api.PathLogLevel:
		e.setLevel(ctx)
	default:
		ctx.Error("no such page", fasthttp.StatusNotFound)
	}
}

func (e *Entry) setLevel(ctx *fasthttp.RequestCtx) {
	var body api.LogLevel
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil || body.Level == "loud" {
		answer(ctx, fasthttp.StatusBadRequest, api.Failure{Error: "no such level"})
		return
	}
	e.locked(func() { e.level = body.Level })
	answer(ctx, fasthttp.StatusOK, body)
}

func (e *Entry) status() api.Status {
	e.fake.mu.Lock()
	defer e.fake.mu.Unlock()
	version := e.fake.version
	if e.frozenAt != 0 {
		version = e.frozenAt
	}
	return api.Status{
		Entry:        api.Member{Name: e.Name, Incarnation: e.Incarnation, Zone: "a", CallerAddress: e.callerAddress},
		State:        e.state,
		Version:      version,
		DocumentID:   e.fake.id,
		InFlight:     3,
		LogAvailable: !e.fake.logOut,
	}
}

func (e *Entry) targets() api.Targets {
	return api.Targets{Targets: []api.Target{
		{Name: "engine-0", Pool: "engines", Class: "new", Zone: "a", Scheduler: e.Name, ScheduledHere: true, Available: true, Limit: 8, InFlight: 5, QueuedByTier: []int{1, 0, 4}, PrefillRate: 8000, StepMS: 16, Suspects: 1},
		{Name: "desk-0", Pool: "desks", Class: "desk", Zone: "a", Scheduler: e.Name, Leaving: true},
	}}
}

func (e *Entry) explain(id string) (found api.Explanation) {
	found = api.Explanation{ID: id}
	e.locked(func() {
		if known, ok := e.explains[id]; ok {
			found = known
		}
	})
	return found
}

func answer(ctx *fasthttp.RequestCtx, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
