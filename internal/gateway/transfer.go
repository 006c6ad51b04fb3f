package gateway

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/peerset"
	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/feed"
	"sycamoretrail/internal/gossip"
)

// An entry that starts, or that has missed updates, gets state from another entry rather than
// from the store: a start of hundreds of entries must not cost the store hundreds of snapshots.

const (
	// transferTimeout bounds a call to another entry.
	transferTimeout = 1500 * time.Millisecond
	// maxTransfers is the number of copies that an entry sends at the same time; further calls
	// are rejected, and their callers ask others.
	maxTransfers = 4
	// copyCacheTime is how long a packed snapshot is reused.
	copyCacheTime = time.Second
	// asksPerCopy is the number of entries that are asked for a copy in one attempt.
	asksPerCopy = 2
)

// errTransfer is wrapped by errors of calls between entries.
var errTransfer = errors.New("transfer between entries")

// transfer calls other entries, and answers their calls.
type transfer struct {
	gateway *Gateway
	client  *fasthttp.Client
	// post makes a call to an address and returns the body of the answer.
	post func(address, path string, body []byte) ([]byte, error)
	slot chan struct{}

	mutex  sync.Mutex
	copies map[feed.Topic]cachedCopy
}

// cachedCopy is a packed snapshot.
type cachedCopy struct {
	to     feed.Position
	at     time.Time
	packed []byte
}

func newTransfer(g *Gateway) *transfer {
	t := &transfer{gateway: g, slot: make(chan struct{}, maxTransfers), copies: make(map[feed.Topic]cachedCopy)}
	t.client = &fasthttp.Client{Dial: dialEntry, NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1}
	t.post = t.postHTTP
	return t
}

func (t *transfer) postHTTP(address, path string, body []byte) ([]byte, error) {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(http.MethodPost)
	request.SetRequestURI("http://" + address + path)
	request.SetConnectionClose()
	request.SetBodyRaw(body)
	if err := t.client.DoTimeout(request, response, transferTimeout); err != nil {
		return nil, fmt.Errorf("%w: %w", errTransfer, err)
	}
	if response.StatusCode() != http.StatusOK {
		return nil, fmt.Errorf("%w: status %d", errTransfer, response.StatusCode())
	}
	return slices.Clone(response.Body()), nil
}

// call sends a packed request and unpacks the answer.
func (t *transfer) call(address, path string, request, answer any) error {
	body, err := gossip.Pack(request)
	if err != nil {
		return err
	}
	data, err := t.post(address, path, body)
	if err != nil {
		return err
	}
	return gossip.Unpack(data, answer)
}

// serve answers the calls of other entries.
func (t *transfer) serve(ctx *fasthttp.RequestCtx) {
	select {
	case t.slot <- struct{}{}:
		defer func() { <-t.slot }()
	default:
		ctx.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	answer, err := t.answer(string(ctx.Path()), ctx.PostBody())
	switch {
	case err != nil:
		ctx.SetStatusCode(http.StatusBadRequest)
		ctx.SetBodyString(err.Error())
	case answer == nil:
		ctx.SetStatusCode(http.StatusServiceUnavailable)
	default:
		ctx.SetBody(answer)
	}
}

// answer returns the body of an answer, or nil if this entry does not have what is asked for.
func (t *transfer) answer(path string, body []byte) ([]byte, error) {
	switch path {
	case gossip.PathCopy:
		request := gossip.CopyRequest{}
		if err := gossip.Unpack(body, &request); err != nil {
			return nil, err
		}
		return t.answerCopy(request)
	case gossip.PathJoin:
		m := &gossip.Message{}
		if err := gossip.Unpack(body, m); err != nil {
			return nil, err
		}
		return t.gateway.links.answerJoin(m)
	default:
		return nil, fmt.Errorf("%w: no call %q", errTransfer, path)
	}
}

// follower returns the follower of a topic of which there are copies, or nil.
func (f *feeds) follower(topic feed.Topic) *feed.Follower {
	switch topic {
	case feed.Operators:
		return f.operators
	case feed.Targets:
		return f.targets
	default:
		return nil
	}
}

func (t *transfer) answerCopy(request gossip.CopyRequest) ([]byte, error) {
	follower := t.gateway.feeds.follower(request.Topic)
	if follower == nil {
		return nil, fmt.Errorf("%w: no copies of topic %d", errTransfer, request.Topic)
	}
	c, found := follower.Copy(feed.Position{Generation: request.Generation, Offset: request.Offset})
	if !found {
		return nil, nil
	}
	packed, err := t.pack(request.Topic, c)
	if err != nil {
		return nil, err
	}
	return gossip.Pack(&gossip.CopyAnswer{AgeMS: time.Since(c.AsOf).Milliseconds(), Packed: packed})
}

// pack packs a copy. Snapshots are cached: when all entries start together, an entry would
// otherwise pack the same one for dozens of others.
func (t *transfer) pack(topic feed.Topic, c feed.Copy) ([]byte, error) {
	replica := &gossip.Replica{
		Topic: topic, From: c.From.Offset, To: c.To.Offset, Generation: c.To.Generation, Records: c.Records, Snapshot: c.Snapshot,
	}
	if !c.Snapshot {
		return gossip.Pack(replica)
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	if cached := t.copies[topic]; cached.to == c.To && now.Sub(cached.at) < copyCacheTime {
		return cached.packed, nil
	}
	packed, err := gossip.Pack(replica)
	if err == nil {
		t.copies[topic] = cachedCopy{to: c.To, at: now, packed: packed}
	}
	return packed, err
}

// copyOf asks other entries for a copy of a topic.
func (t *transfer) copyOf(topic feed.Topic, from feed.Position) (feed.Copy, bool) {
	for _, entry := range t.gateway.sources(asksPerCopy) {
		c, err := t.fetchCopy(entry, topic, from)
		if err == nil {
			t.gateway.log.Write(eventlog.Routine, eventCopied, eventlog.Fields{
				"topic": topic.String(), "peer": entry.Name, "snapshot": c.Snapshot, "records": len(c.Records),
				"from": c.From.Offset, "to": c.To.Offset, "age_ms": time.Since(c.AsOf).Milliseconds(),
			})
			t.gateway.counters.updates.add(topic.String() + "_copied")
			return c, true
		}
	}
	return feed.Copy{}, false
}

func (t *transfer) fetchCopy(entry peerset.Entry, topic feed.Topic, from feed.Position) (feed.Copy, error) {
	answer := &gossip.CopyAnswer{}
	if err := t.call(entry.Links, gossip.PathCopy, &gossip.CopyRequest{Topic: topic, Generation: from.Generation, Offset: from.Offset}, answer); err != nil {
		return feed.Copy{}, err
	}
	asOf := time.Now().Add(-milliseconds(answer.AgeMS))
	r := &gossip.Replica{}
	if err := gossip.Unpack(answer.Packed, r); err != nil {
		return feed.Copy{}, err
	}
	return feed.Copy{
		Snapshot: r.Snapshot, Records: r.Records, AsOf: asOf,
		From: feed.Position{Generation: r.Generation, Offset: r.From}, To: feed.Position{Generation: r.Generation, Offset: r.To},
	}, nil
}

// sources returns some entries that may have a copy of what this entry lacks: ready ones of
// its zone, ready ones of other zones and, while it knows no ready one, any that is
// registered.
func (g *Gateway) sources(count int) []peerset.Entry {
	now := time.Now()
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	members := g.state.peers.Serving(now)
	if len(members) == 0 && g.feeds.operators.AsOf().IsZero() {
		members = g.state.peers.Members()
	}
	return g.nearest(members, count)
}

// nearest returns some members in random order, those of this zone first.
func (g *Gateway) nearest(members []peerset.Member, count int) []peerset.Entry {
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	slices.SortStableFunc(members, func(a, b peerset.Member) int { return g.distance(&a) - g.distance(&b) })
	return entriesOf(members[:min(count, len(members))])
}

// distance is 0 for entries of this zone and 1 for others.
func (g *Gateway) distance(m *peerset.Member) int {
	if m.Zone == g.self.Zone {
		return 0
	}
	return 1
}
