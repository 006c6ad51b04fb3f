// Package memory decides which requests may hold memory of an entry: the bodies that clients send, and the
// answers that they take their time to read. When it runs short, requests wait, and those that hold it
// without going on give it up.
//
// An Account is not safe for concurrent use.
package memory

import (
	"cmp"
	"slices"
	"time"
)

// Phase is what a holding is used for.
type Phase uint8

const (
	// Receiving: a body is being read from its client.
	Receiving Phase = iota
	// Waiting: a whole request that no target has got.
	Waiting
	// Running: a target may be working on the request, so that nothing can be taken from it.
	Running
	// Delivering: the answer is being written to its client.
	Delivering
)

// Bounds of the time for which a holding may stand still while others wait for memory.
const (
	// maxStandstill and minStandstill bound that of a body: the more requests wait, the shorter it is.
	maxStandstill = 500 * time.Millisecond
	minStandstill = 50 * time.Millisecond
	// waitersPerStep is the number of waiting requests that halves maxStandstill.
	waitersPerStep = 8
	// deliveryStandstill is that of an answer: its request has run.
	deliveryStandstill = time.Second
)

const (
	// SmallBytes is the size up to which a request may use the part of the account that is kept for small
	// ones.
	SmallBytes = 16 << 10
	// keptShare is that part.
	keptShare = 0.125
)

// Client is the other end of a request's connection.
type Client interface {
	// Moved returns when the client last sent, or took, a substantial part of what is under way.
	Moved() time.Time
	// Unread reports whether bytes of the client have arrived that this entry has not read yet.
	Unread() bool
}

// Holding is the memory of one request.
type Holding struct {
	// Owner is the organisation whose request it is; empty: none.
	Owner  string
	Client Client
	// Evict is called by the user of the account when the holding has to be given up.
	Evict func()

	phase Phase
	// held is what it holds, wanted what it waits for besides.
	held, wanted int64
	// joined numbers holdings in the order of their first reservation, asked the requests for more.
	joined, asked uint64
	// since is when the phase began or the last bytes were granted: before that the client could not go on.
	since time.Time
	// askedAt is when it asked for what it waits for.
	askedAt time.Time
	evicted bool
}

// Held returns the bytes that are held.
func (h *Holding) Held() int64 { return h.held }

// Phase returns what the holding is used for.
func (h *Holding) Phase() Phase { return h.phase }

// Evicted reports whether the holding has been taken: its user must release it.
func (h *Holding) Evicted() bool { return h.evicted }

// Account is the memory that all requests of an entry share.
type Account struct {
	limit    int64
	used     int64
	holdings map[*Holding]bool
	waiters  []*Holding
	count    uint64
	// owners holds the bytes of each owner, without those of evicted holdings, which are about to be released:
	// leaving is their sum.
	owners  map[string]int64
	leaving int64
	// resumed is when the process went on after a pause, for which its clients are not to blame.
	resumed time.Time
}

// New returns an account of a number of bytes.
func New(limit int64) *Account {
	return &Account{limit: limit, holdings: make(map[*Holding]bool), owners: make(map[string]int64)}
}

// Used returns the bytes that are held.
func (a *Account) Used() int64 { return a.used }

// Waiting returns the number of requests that wait for memory.
func (a *Account) Waiting() int { return len(a.waiters) }

// Largest returns the size of the largest holding that the account can ever grant.
func (a *Account) Largest() int64 { return a.limitFor(SmallBytes + 1) }

// limitFor returns what may be used after a reservation that brings a holding to a size.
func (a *Account) limitFor(size int64) int64 {
	if size <= SmallBytes {
		return a.limit
	}
	return a.limit - int64(keptShare*float64(a.limit))
}

// Reserve adds bytes to a holding. If it returns false the holding waits, until Grant returns it or Withdraw
// is called; it must not reserve more meanwhile.
func (a *Account) Reserve(now time.Time, h *Holding, bytes int64) bool {
	if h.evicted {
		return false
	}
	if (len(a.waiters) == 0 || h.held+bytes <= SmallBytes) && a.fits(h, bytes) {
		a.add(now, h, bytes)
		return true
	}
	a.count++
	h.wanted, h.asked, h.askedAt = bytes, a.count, now
	a.waiters = append(a.waiters, h)
	return false
}

func (a *Account) fits(h *Holding, bytes int64) bool {
	return a.used+bytes <= a.limitFor(h.held+bytes)
}

func (a *Account) add(now time.Time, h *Holding, bytes int64) {
	if !a.holdings[h] {
		a.holdings[h] = true
		a.count++
		h.joined = a.count
	}
	h.held += bytes
	h.since = now
	a.used += bytes
	a.owners[h.Owner] += bytes
}

// Withdraw ends the wait of a holding.
func (a *Account) Withdraw(h *Holding) {
	a.waiters = slices.DeleteFunc(a.waiters, func(w *Holding) bool { return w == h })
	h.wanted = 0
}

// Release gives bytes of a holding back.
func (a *Account) Release(h *Holding, bytes int64) {
	h.held -= bytes
	a.used -= bytes
	if h.evicted {
		a.leaving -= bytes
	} else {
		a.addToOwner(h, -bytes)
	}
	if h.held == 0 {
		delete(a.holdings, h)
	}
}

func (a *Account) addToOwner(h *Holding, bytes int64) {
	if a.owners[h.Owner] += bytes; a.owners[h.Owner] == 0 {
		delete(a.owners, h.Owner)
	}
}

// SetPhase changes what a holding is used for. It returns false if the holding has been evicted.
func (a *Account) SetPhase(now time.Time, h *Holding, phase Phase) bool {
	if h.evicted {
		return false
	}
	h.phase, h.since = phase, now
	return true
}

// Resume notes that the process has not run for a while: clients that seem to stand still may have gone on.
func (a *Account) Resume(now time.Time) { a.resumed = now }

// Grant returns the waiting holdings that have got what they waited for.
func (a *Account) Grant(now time.Time) []*Holding {
	var granted []*Holding
	for len(a.waiters) > 0 {
		next := a.next()
		if !a.fits(next, next.wanted) {
			break
		}
		a.add(now, next, next.wanted)
		a.Withdraw(next)
		granted = append(granted, next)
	}
	return granted
}

// next returns the waiting holding that comes first: small ones, then requests that have run, then those whose
// owner holds least, of one owner those that have been granted a part, then the oldest.
func (a *Account) next() *Holding {
	return slices.MinFunc(a.waiters, func(x, y *Holding) int {
		return cmp.Or(
			cmp.Compare(x.rank(), y.rank()),
			cmp.Compare(a.owners[x.Owner], a.owners[y.Owner]),
			cmp.Compare(min(y.held, 1), min(x.held, 1)),
			cmp.Compare(x.asked, y.asked),
		)
	})
}

// rank orders waiting holdings of any owners, the first one first.
func (h *Holding) rank() int {
	switch {
	case h.held+h.wanted <= SmallBytes:
		return 0
	case h.phase != Receiving:
		return 1
	default:
		return 2
	}
}

// Evict returns holdings that are taken from their requests so that the first waiting one gets what it needs. Those
// whose clients go on are taken only if that makes room enough.
func (a *Account) Evict(now time.Time) []*Holding {
	if len(a.waiters) == 0 {
		return nil
	}
	next := a.next()
	missing := a.used - a.leaving + next.wanted - a.limitFor(next.held+next.wanted)
	var still, going []*Holding
	for missing > 0 {
		h := a.stillest(now, next)
		if h == nil {
			break
		}
		a.mark(h, true)
		still, missing = append(still, h), missing-h.held
	}
	for missing > 0 {
		h := a.victim(now, next)
		if h == nil {
			for _, each := range going {
				a.mark(each, false)
			}
			going = nil
			break
		}
		a.mark(h, true)
		going, missing = append(going, h), missing-h.held
	}
	evicted := append(still, going...)
	for _, h := range evicted {
		a.Withdraw(h)
	}
	return evicted
}

// mark sets whether a holding is evicted.
func (a *Account) mark(h *Holding, evicted bool) {
	h.evicted = evicted
	bytes := h.held
	if !evicted {
		bytes = -bytes
	}
	a.leaving += bytes
	a.addToOwner(h, -bytes)
}

// stillest returns the holding whose client has stood still for longest, and for too long.
func (a *Account) stillest(now time.Time, next *Holding) *Holding {
	var found *Holding
	var longest time.Duration
	for h := range a.holdings {
		limit := a.standstill(h.phase)
		if h == next || h.evicted || h.wanted > 0 || limit == 0 || h.Client == nil {
			continue
		}
		still := now.Sub(latest(h.Client.Moved(), h.since, a.resumed))
		if still >= limit && still > longest && !(h.phase == Receiving && h.Client.Unread()) {
			found, longest = h, still
		}
	}
	return found
}

func latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }

// standstill returns how long a client may stand still in a phase; 0: the client is not what it waits for.
func (a *Account) standstill(phase Phase) time.Duration {
	switch phase {
	case Receiving:
		return max(minStandstill, maxStandstill/time.Duration(1+len(a.waiters)/waitersPerStep))
	case Delivering:
		return deliveryStandstill
	default:
		return 0
	}
}

// victim returns a holding that gives way to a waiting one although its client goes on, the youngest of the owner that
// holds most; nil: none does.
func (a *Account) victim(now time.Time, next *Holding) *Holding {
	var found *Holding
	for h := range a.holdings {
		if h == next || h.evicted || !a.yields(now, h, next) {
			continue
		}
		if found == nil || cmp.Or(cmp.Compare(a.owners[h.Owner], a.owners[found.Owner]), cmp.Compare(h.joined, found.joined)) > 0 {
			found = h
		}
	}
	return found
}

// yields reports whether a holding gives way to a waiting one although its client goes on: a body to a request that has
// run; a request without a run to one of another owner, if its own owner still holds no less without it, a body only
// once the other has waited; and a body to one of the same owner that has a part and came before it, so that the oldest
// always comes to its end.
func (a *Account) yields(now time.Time, h, next *Holding) bool {
	receives := h.phase == Receiving
	switch {
	case !receives && h.phase != Waiting:
		return false
	case next.phase != Receiving:
		return receives
	case h.Owner != next.Owner:
		hasWaited := now.Sub(latest(next.askedAt, a.resumed)) >= maxStandstill
		return (!receives || hasWaited) && a.owners[h.Owner]-h.held >= a.owners[next.Owner]+next.wanted
	default:
		return receives && next.held > 0 && h.joined > next.joined
	}
}
