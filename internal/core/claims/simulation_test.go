package claims_test

import (
	"fmt"
	"time"

	"sycamoretrail/internal/core/claims"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/record"
	"sycamoretrail/internal/core/request"
)

const (
	horizon = time.Hour
	timeout = 2 * time.Second
	key     = request.KeyHash("k")
)

func config() claims.Config {
	return claims.Config{Partitions: 1, Horizon: horizon, BatchDelay: 50 * time.Millisecond, MaxBatch: 64, MaxKeys: 1000, AppendTimeout: timeout}
}

// world is one partition's stream and the state that its coordinators share.
type world struct {
	now      time.Time
	log      []record.Record
	loggedAt []time.Time
	// fault applies to the next appends.
	fault appendFault
	// delayed are appends that have not reached the log yet.
	delayed []record.Record
	down    bool
}

type appendFault uint8

const (
	// faultNone means that appends reach the log and are answered.
	faultNone appendFault = iota
	// faultAnswerLost means that they reach the log, and the answer is lost.
	faultAnswerLost
	// faultRecordLost means that both the record and the answer are lost.
	faultRecordLost
	// faultDelayed means that they reach the log later, and the answer is lost.
	faultDelayed
	// faultRefused means that the log rejects them.
	faultRefused
)

func newWorld() *world { return &world{now: time.Unix(1_000_000, 0)} }

func (w *world) appendRecord(rec record.Record) {
	w.log = append(w.log, rec)
	w.loggedAt = append(w.loggedAt, w.now)
}

// node is one coordinator.
type node struct {
	*claims.Coordinator
	w         *world
	following bool
	next      int
	decisions []claims.Decision
	appends   int
}

func (w *world) node(cfg claims.Config) *node {
	n := &node{Coordinator: claims.New(cfg), w: w}
	n.do(n.SetPartitions(w.now, []int{0}))
	return n
}

func (n *node) do(effects []claims.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case claims.Follow:
			n.following, n.next = true, 0
		case claims.Unfollow:
			n.following = false
		case claims.Decision:
			n.decisions = append(n.decisions, e)
		case claims.Append:
			n.append(e)
		}
	}
}

func (n *node) append(e claims.Append) {
	n.appends++
	switch n.w.fault {
	case faultNone:
		n.w.appendRecord(e.Record)
		n.do(n.Appended(n.w.now, e.Tag, int64(len(n.w.log)), false))
	case faultAnswerLost:
		n.w.appendRecord(e.Record)
		n.do(n.Appended(n.w.now, e.Tag, -1, false))
	case faultRecordLost:
		n.do(n.Appended(n.w.now, e.Tag, -1, false))
	case faultDelayed:
		n.w.delayed = append(n.w.delayed, e.Record)
		n.do(n.Appended(n.w.now, e.Tag, -1, false))
	case faultRefused:
		n.do(n.Appended(n.w.now, e.Tag, -1, true))
	}
}

// read delivers all records of the log that were not delivered yet.
func (n *node) read() {
	if n.w.down || !n.following {
		return
	}
	since := n.w.now
	for ; n.next < len(n.w.log); n.next++ {
		age := n.w.now.Sub(n.w.loggedAt[n.next])
		if age <= horizon {
			n.do(n.Record(n.w.now, 0, int64(n.next+1), age, n.w.log[n.next]))
		}
	}
	n.do(n.CaughtUp(n.w.now, 0, since))
}

// advance advances the time by d in steps, at which the nodes tick and read.
func (w *world) advance(d time.Duration, nodes ...*node) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(20 * time.Millisecond)
		for _, n := range nodes {
			n.do(n.Tick(w.now))
			n.read()
		}
	}
}

func (n *node) claim(id ident.RequestID) { n.do(n.Claim(n.w.now, "owner", key, id)) }
func (n *node) release(id ident.RequestID) {
	n.do(n.Release(n.w.now, key, id))
}

// winners returns the decisions since its last call, each as "id>winner".
func (n *node) winners() []string {
	var out []string
	for _, v := range n.decisions {
		out = append(out, fmt.Sprintf("%s>%s", v.ID, v.Winner))
	}
	n.decisions = nil
	return out
}

func claimOf(id ident.RequestID) record.Record {
	return record.Record{Claims: []record.Claim{{Key: key, ID: id}}}
}

func releaseOf(id ident.RequestID) record.Record {
	return record.Record{Releases: []record.Claim{{Key: key, ID: id}}}
}
