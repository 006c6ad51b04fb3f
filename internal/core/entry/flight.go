package entry

import (
	"container/heap"
	"sort"
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
)

// stage is how far a request has come at its owner.
type stage uint8

const (
	// stageAsking: the id's owner is another entry, which is being asked.
	stageAsking stage = iota
	// stageSeeking: the owner is gone, and its run is being looked for.
	stageSeeking
	// stageClaiming: the idempotency key is being claimed on the log.
	stageClaiming
	// stageWaiting: no offer is out; the next attempt is due at wake.
	stageWaiting
	// stageOffered: a scheduler has the offer.
	stageOffered
	// stageRunning: dispatched, and not known to have ended.
	stageRunning
	// stageEnded: settled; the flight is only kept until the step ends.
	stageEnded
)

// asksRemembered is how many of a flight's latest offers a grant may quote.
const asksRemembered = 4

// ask is one sending of an offer.
type ask struct {
	number uint64
	sent   time.Time
}

// flight is a request that this entry has taken and not settled.
type flight struct {
	req   request.Request
	stage stage

	// subject is the id asked about: the request's own, or the winner of its key.
	subject ident.RequestID
	// asked is the entry that was asked last, in stageAsking and stageClaiming.
	asked ident.Incarnation
	// keyRead: the log told whether another request of the key came first.
	keyRead bool
	// doubt is what the caller is told if its run is not found in stageSeeking.
	doubt outcome.Status
	// giveUp ends stageAsking and stageClaiming.
	giveUp time.Time

	target    string
	scheduler ident.Incarnation
	asks      [asksRemembered]ask
	offeredAt time.Time
	// heard: the scheduler has answered the present offer.
	heard bool
	// own: the present offer is at this entry's own share of the target.
	own bool
	// final: the scheduler was told that its refusal is the last word.
	final bool
	tried []string
	// pause is the latest one between two rounds of offers.
	pause time.Duration

	started    bool
	tokens     int
	dispatched time.Time
	// verdict is what the caller was told when the run was cancelled.
	verdict outcome.Status
	// gone: since when nobody waits for the answer.
	gone time.Time

	wake time.Time
	// seat is the flight's place in its tier's list of displaceable flights.
	seat seat
}

// sentAt finds when the offer that a grant quotes was sent.
func (f *flight) sentAt(number uint64) (time.Time, bool) {
	for _, a := range f.asks {
		if a.number == number && number != 0 {
			return a.sent, true
		}
	}
	return time.Time{}, false
}

func (f *flight) remember(a ask) {
	copy(f.asks[1:], f.asks[:asksRemembered-1])
	f.asks[0] = a
}

func (f *flight) hasTried(target string) bool {
	for _, t := range f.tried {
		if t == target {
			return true
		}
	}
	return false
}

// alarm is a flight's wish to be looked at.
type alarm struct {
	at time.Time
	id ident.RequestID
}

// alarms is a heap of wishes, the earliest first. A wish that its flight has
// replaced by another stays in the heap and is skipped when its time comes.
type alarms []alarm

func (a alarms) Len() int { return len(a) }
func (a alarms) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].id < a[j].id
}
func (a alarms) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push adds an alarm; called by container/heap only.
func (a *alarms) Push(x any) { *a = append(*a, x.(alarm)) }

// Pop takes the last alarm; called by container/heap only.
func (a *alarms) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// wakeAt asks for the flight to be looked at.
func (e *Entry) wakeAt(f *flight, at time.Time) {
	if f.wake.Equal(at) {
		return
	}
	f.wake = at
	heap.Push(&e.alarms, alarm{at: at, id: f.req.ID})
}

// ring wakes the flights that are due.
func (e *Entry) ring() {
	for len(e.alarms) > 0 && !e.alarms[0].at.After(e.now) {
		due := heap.Pop(&e.alarms).(alarm)
		f := e.flights[due.id]
		if f == nil || !f.wake.Equal(due.at) {
			continue
		}
		f.wake = time.Time{}
		e.attend(f)
	}
}

// flightsInOrder lists the flights by id, so that outputs do not depend on the
// order of a map.
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
