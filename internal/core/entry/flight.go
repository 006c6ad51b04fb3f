package entry

import (
	"container/heap"
	"sort"
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
)

// stage is the progress of a request at this entry.
type stage uint8

const (
	// stageQuerying: another entry owns the id and is being queried.
	stageQuerying stage = iota
	// stageSearching: the owner has departed or does not answer; its run is
	// being searched for.
	stageSearching
	// stageClaiming: the idempotency key is being claimed on the log.
	stageClaiming
	// stageWaiting: no offer is pending; the next attempt is due at wake.
	stageWaiting
	// stageOffered: a scheduler has the offer.
	stageOffered
	// stageRunning: dispatched, and not known to have ended.
	stageRunning
	// stageEnded: settled; the flight is dropped.
	stageEnded
)

// maxSentOffers is how many of a flight's latest offers are kept to match
// grants.
const maxSentOffers = 4

// sentOffer records when an offer was sent.
type sentOffer struct {
	number uint64
	sent   time.Time
}

// flight is a request that this entry tracks until it is settled.
type flight struct {
	req   request.Request
	stage stage

	// subject is the id whose state is queried: the request's own id, or the id
	// that holds its key.
	subject ident.RequestID
	// queried is the entry queried last, in stageQuerying and stageClaiming.
	queried ident.Incarnation
	// keyRead is true if the log has shown whether another request of the key
	// came first.
	keyRead bool
	// fallbackStatus settles the request if stageSearching finds no run.
	fallbackStatus outcome.Status
	// giveUpAt ends stageQuerying and stageClaiming.
	giveUpAt time.Time

	target     string
	scheduler  ident.Incarnation
	sentOffers [maxSentOffers]sentOffer
	offeredAt  time.Time
	// acknowledged is true once the scheduler has queued the current offer.
	acknowledged bool
	// onShare is true if the current offer uses this entry's own share of the
	// target.
	onShare bool
	// final is true if offers are marked final: a refusal is decided for the
	// whole pool.
	final bool
	tried []string
	// lastPause is the latest pause between two rounds of offers.
	lastPause time.Duration

	started    bool
	tokens     int
	dispatched time.Time
	// cancelStatus is the status given to the caller when the run was
	// cancelled.
	cancelStatus outcome.Status
	// callerLeftAt is when the last caller of a run that may be cancelled
	// disconnected; zero otherwise.
	callerLeftAt time.Time

	wake time.Time
	// evictionPosition is the flight's position in the list of eviction
	// candidates of its tier.
	evictionPosition listPosition
}

// sentAt returns when the offer that a grant refers to was sent.
func (f *flight) sentAt(number uint64) (time.Time, bool) {
	for _, a := range f.sentOffers {
		if a.number == number && number != 0 {
			return a.sent, true
		}
	}
	return time.Time{}, false
}

func (f *flight) rememberOffer(a sentOffer) {
	copy(f.sentOffers[1:], f.sentOffers[:maxSentOffers-1])
	f.sentOffers[0] = a
}

func (f *flight) hasTried(target string) bool {
	for _, t := range f.tried {
		if t == target {
			return true
		}
	}
	return false
}

// timer schedules the next handling of a flight.
type timer struct {
	at time.Time
	id ident.RequestID
}

// timerHeap orders timers by time. A timer that its flight has replaced stays
// in the heap and is skipped when it fires.
type timerHeap []timer

func (a timerHeap) Len() int { return len(a) }
func (a timerHeap) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].id < a[j].id
}
func (a timerHeap) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push adds a timer; called by container/heap only.
func (a *timerHeap) Push(x any) { *a = append(*a, x.(timer)) }

// Pop removes the last timer; called by container/heap only.
func (a *timerHeap) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// wakeAt sets the flight's timer.
func (e *Entry) wakeAt(f *flight, at time.Time) {
	if f.wake.Equal(at) {
		return
	}
	f.wake = at
	heap.Push(&e.timers, timer{at: at, id: f.req.ID})
}

// fireTimers handles the flights whose timers are due.
func (e *Entry) fireTimers() {
	for len(e.timers) > 0 && !e.timers[0].at.After(e.now) {
		due := heap.Pop(&e.timers).(timer)
		f := e.flights[due.id]
		if f == nil || !f.wake.Equal(due.at) {
			continue
		}
		f.wake = time.Time{}
		e.handleTimer(f)
	}
}

// flightsInOrder returns the flights sorted by id, so that outputs do not
// depend on map order.
func (e *Entry) flightsInOrder() []*flight {
	ids := make([]string, 0, len(e.flights))
	for id := range e.flights {
		ids = append(ids, string(id))
	}
	sort.Strings(ids)
	flights := make([]*flight, len(ids))
	for i, id := range ids {
		flights[i] = e.flights[ident.RequestID(id)]
	}
	return flights
}
