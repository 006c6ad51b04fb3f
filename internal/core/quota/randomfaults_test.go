package quota_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/quota"
)

// The schedules below inject random faults. Intervals are the gateway's defaults, and
// there are six entries, for which the share of one entry is largest.
const (
	heartbeatInterval = 250 * time.Millisecond
	failureTimeout    = 900 * time.Millisecond
	recordInterval    = 400 * time.Millisecond
	// maxQueueTime is the longest time that a request waits before it is sent or
	// refused.
	maxQueueTime = 1500 * time.Millisecond
)

// scheduleEntry is one entry of a schedule.
type scheduleEntry struct {
	limiter *quota.Limiter
	started time.Time
	// lastHeartbeats is when each other entry's last heartbeat was received, by index.
	lastHeartbeats map[int]time.Time
	// incarnations are the incarnations from which these heartbeats came.
	incarnations map[int]*scheduleEntry
	lastSent     time.Time
	down         bool
	queue        []queued
	// held contains the costs of the requests that the limiter holds.
	held []float64
}

type queued struct {
	cost    float64
	due     time.Time
	refused bool
}

// schedule is one random simulation of entries that share a quota.
type schedule struct {
	random  *rand.Rand
	now     time.Time
	entries []*scheduleEntry
	// blocked[i][j]: j receives nothing from i.
	blocked [][]bool
	records map[string]quota.History
	written time.Time
	ran     []float64
}

func newSchedule(seed uint64, n int) *schedule {
	s := &schedule{random: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1_000_000, 0), records: map[string]quota.History{}}
	for range n {
		s.entries = append(s.entries, &scheduleEntry{})
		s.blocked = append(s.blocked, make([]bool, n))
	}
	for i := range s.entries {
		s.restart(i)
	}
	return s
}

func (s *schedule) restart(i int) {
	r := &scheduleEntry{started: s.now, lastHeartbeats: map[int]time.Time{}, incarnations: map[int]*scheduleEntry{}}
	r.limiter = newLimiter(s.now)
	for name, history := range s.records {
		r.limiter.Restore(name, history)
	}
	s.entries[i] = r
	s.updatePeers(i)
}

// updatePeers updates the peers of an entry's limiter, and which of them are
// unresponsive.
func (s *schedule) updatePeers(i int) {
	var peers []quota.Peer
	for j, other := range s.entries {
		if j == i {
			continue
		}
		last, found := s.entries[i].lastHeartbeats[j]
		started := s.now
		if found {
			started = other.started
		}
		peers = append(peers, quota.Peer{Name: fmt.Sprint(j), Started: started, Unresponsive: !found || s.now.Sub(last) >= failureTimeout})
	}
	s.entries[i].limiter.SetPeers(s.now, peers)
}

// step simulates one tick with a demand in cost per second.
func (s *schedule) step(demand float64) {
	s.now = s.now.Add(tick)
	ran := 0.0
	for i, r := range s.entries {
		if !r.down {
			ran += s.process(i)
		}
	}
	for want := demand * tick.Seconds(); want > 0; {
		cost := 500 + s.random.ExpFloat64()*3000
		if s.random.Float64() > want/cost && want < cost {
			break
		}
		want -= cost
		r := s.entries[s.random.IntN(len(s.entries))]
		if r.down {
			continue
		}
		s.handle(r, cost, r.limiter.Admit(s.now, organisation, cost, 0))
	}
	s.ran = append(s.ran, ran)
}

// handle queues an admitted request, and keeps a held one.
func (s *schedule) handle(r *scheduleEntry, cost float64, result quota.Result) {
	switch {
	case result.Held:
		r.held = append(r.held, cost)
	case result.Admitted:
		wait := time.Duration(s.random.Float64() * s.random.Float64() * float64(maxQueueTime))
		r.queue = append(r.queue, queued{cost: cost, due: s.now.Add(wait), refused: s.random.IntN(4) == 0})
	}
}

// process sends or withdraws what is due at an entry and reports to the others.
func (s *schedule) process(i int) (ran float64) {
	r := s.entries[i]
	held := r.held
	r.held = nil
	for _, cost := range held {
		s.handle(r, cost, r.limiter.Readmit(s.now, organisation, cost, 0))
	}
	var rest []queued
	for _, q := range r.queue {
		switch {
		case s.now.Before(q.due):
			rest = append(rest, q)
		case q.refused:
			r.limiter.Withdraw(s.now, organisation, q.cost)
		default:
			r.limiter.Sent(s.now, organisation, q.cost)
			ran += q.cost
		}
	}
	r.queue = rest
	heartbeatDue := s.now.Sub(r.lastSent) >= heartbeatInterval
	for j, other := range s.entries {
		if j == i || other.down || s.blocked[i][j] {
			continue
		}
		if heartbeatDue {
			joined := other.incarnations[i] != r || s.now.Sub(other.lastHeartbeats[i]) >= failureTimeout
			if joined && !s.blocked[j][i] {
				r.limiter.PeerHistory(s.now, other.limiter.History(s.now))
			}
			other.incarnations[i] = r
			other.lastHeartbeats[i] = s.now
		}
		if _, found := other.lastHeartbeats[i]; found {
			other.limiter.PeerTotals(s.now, fmt.Sprint(i), r.started, r.limiter.Totals(), false)
		}
	}
	if heartbeatDue {
		r.lastSent = s.now
		s.updatePeers(i)
	}
	if i == s.recorder() && s.now.Sub(s.written) >= recordInterval {
		s.records, s.written = r.limiter.Records(s.now), s.now
	}
	return ran
}

// recorder returns the entry that records usage, the first that is not isolated.
func (s *schedule) recorder() int {
	for i, r := range s.entries {
		if !r.down && !r.limiter.Isolated() {
			return i
		}
	}
	return -1
}

// partition blocks, or unblocks, messages between one entry and the others.
func (s *schedule) partition(i int, block bool) {
	for j := range s.entries {
		s.blocked[i][j], s.blocked[j][i] = block, block
	}
}

// run simulates 40 seconds of random faults and demand, and returns the highest cost
// that ran in any window.
func (s *schedule) run() float64 {
	const length = 40 * time.Second
	demand := typicalRate
	var hotUntil, hotFrom, flapAt time.Duration
	hotFrom = time.Duration((9 + 8*s.random.Float64()) * float64(time.Second))
	hotUntil = hotFrom + time.Duration((3+9*s.random.Float64())*float64(time.Second))
	factor := 3 + s.random.Float64()*11
	partitionFrom := hotFrom + time.Duration((s.random.Float64()*6-4)*float64(time.Second))
	partitionUntil := partitionFrom + time.Duration((2+10*s.random.Float64())*float64(time.Second))
	flapping := s.random.IntN(2) == 0
	partitioned := s.random.Perm(len(s.entries))[:s.random.IntN(3)]
	killAt := hotFrom + time.Duration((s.random.Float64()*8-2)*float64(time.Second))
	killed := s.random.Perm(len(s.entries))[:s.random.IntN(3)]
	if s.random.IntN(8) == 0 {
		killed = s.random.Perm(len(s.entries))
	}
	restartAt := killAt + time.Duration((0.3+s.random.Float64())*float64(time.Second))
	for at := time.Duration(0); at < length; at += tick {
		hot := at >= hotFrom && at < hotUntil
		if hot {
			s.step(demand * factor)
		} else {
			s.step(demand)
		}
		inPartition := at >= partitionFrom && at < partitionUntil
		switch {
		case at >= partitionUntil && at < partitionUntil+tick:
			for _, v := range partitioned {
				s.partition(v, false)
			}
		case inPartition && at >= flapAt:
			for _, v := range partitioned {
				s.partition(v, !flapping || s.random.IntN(2) == 0)
				if flapping && s.random.IntN(3) == 0 {
					j := s.random.IntN(len(s.entries))
					s.blocked[v][j] = s.random.IntN(2) == 0
				}
			}
			flapAt = at + time.Duration((0.1+s.random.Float64()*1.5)*float64(time.Second))
		}
		if at >= killAt && at < killAt+tick {
			for _, k := range killed {
				s.entries[k].down = true
			}
		}
		if at >= restartAt && at < restartAt+tick {
			for _, k := range killed {
				s.restart(k)
			}
		}
	}
	return maxInWindow(s.ran)
}

// regressionSeeds are schedules in which more than the allowed cost ran: because an
// isolated entry wrote the records; because restarted entries assumed the typical use;
// or because the usage of entries that were partitioned and then killed was left out.
var regressionSeeds = []uint64{762, 769, 944, 981, 1220, 12951, 13390, 14532, 16080, 17140, 20929}

// An organisation sends many times its typical load while entries are partitioned, have
// intermittent or one-way contact, are killed and restart, and requests wait. Whatever
// the order, what runs in any window must stay within what is allowed. QUOTA_SEEDS
// selects another range of seeds, such as 100-900.
func TestRandomFaultsStayWithinQuota(t *testing.T) {
	first, last := uint64(0), uint64(40)
	if _, err := fmt.Sscanf(os.Getenv("QUOTA_SEEDS"), "%d-%d", &first, &last); err == nil {
		regressionSeeds = nil
	}
	seeds := regressionSeeds
	for seed := first; seed < last; seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			NewWithT(t).Expect(newSchedule(seed, 6).run()).To(BeNumerically("<=", allowed()))
		})
	}
}
