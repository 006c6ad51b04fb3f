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
	return claims.Config{Partitions: 1, Horizon: horizon, BatchEvery: 50 * time.Millisecond, MaxBatch: 64, MaxKeys: 1000, AppendTimeout: timeout}
}

// world is one partition's stream and the homes that read it.
type world struct {
	now   time.Time
	log   []record.Record
	taken []time.Time
	// lose says what becomes of the next appends.
	lose lose
	// late are appends that have not landed yet.
	late []record.Record
	down bool
}

type lose uint8

const (
	// loseNothing: appends land and are answered.
	loseNothing lose = iota
	// loseAnswer: they land, and nobody learns of it.
	loseAnswer
	// loseRecord: they do not land, and nobody learns of it.
	loseRecord
	// loseBoth: they land later, and nobody learns of it.
	loseBoth
	// refuse: the log says no.
	refuse
)

func newWorld() *world { return &world{now: time.Unix(1_000_000, 0)} }

func (w *world) land(rec record.Record) {
	w.log = append(w.log, rec)
	w.taken = append(w.taken, w.now)
}

// node is one home.
type node struct {
	*claims.Home
	w       *world
	reads   bool
	next    int
	answers []claims.Verdict
	appends int
}

func (w *world) node(cfg claims.Config) *node {
	n := &node{Home: claims.New(cfg), w: w}
	n.do(n.SetHome(w.now, []int{0}))
	return n
}

func (n *node) do(effects []claims.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case claims.Follow:
			n.reads, n.next = true, 0
		case claims.Unfollow:
			n.reads = false
		case claims.Verdict:
			n.answers = append(n.answers, e)
		case claims.Append:
			n.append(e)
		}
	}
}

func (n *node) append(e claims.Append) {
	n.appends++
	switch n.w.lose {
	case loseNothing:
		n.w.land(e.Record)
		n.do(n.Appended(n.w.now, e.Tag, int64(len(n.w.log)), false))
	case loseAnswer:
		n.w.land(e.Record)
		n.do(n.Appended(n.w.now, e.Tag, -1, false))
	case loseRecord:
		n.do(n.Appended(n.w.now, e.Tag, -1, false))
	case loseBoth:
		n.w.late = append(n.w.late, e.Record)
		n.do(n.Appended(n.w.now, e.Tag, -1, false))
	case refuse:
		n.do(n.Appended(n.w.now, e.Tag, -1, true))
	}
}

// read delivers the log to its end.
func (n *node) read() {
	if n.w.down || !n.reads {
		return
	}
	since := n.w.now
	for ; n.next < len(n.w.log); n.next++ {
		age := n.w.now.Sub(n.w.taken[n.next])
		if age <= horizon {
			n.do(n.Record(n.w.now, 0, int64(n.next+1), age, n.w.log[n.next]))
		}
	}
	n.do(n.CaughtUp(n.w.now, 0, since))
}

// pass lets time pass in steps and has the nodes read.
func (w *world) pass(d time.Duration, nodes ...*node) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(20 * time.Millisecond)
		for _, n := range nodes {
			n.do(n.Tick(w.now))
			n.read()
		}
	}
}

func (n *node) ask(id ident.RequestID) { n.do(n.Ask(n.w.now, "owner", key, id)) }
func (n *node) giveUp(id ident.RequestID) {
	n.do(n.Release(n.w.now, key, id))
}

// winners lists the answers as "id>winner".
func (n *node) winners() []string {
	var out []string
	for _, v := range n.answers {
		out = append(out, fmt.Sprintf("%s>%s", v.ID, v.Winner))
	}
	n.answers = nil
	return out
}

func claimOf(id ident.RequestID) record.Record {
	return record.Record{Claims: []record.Claim{{Key: key, ID: id}}}
}

func releaseOf(id ident.RequestID) record.Record {
	return record.Record{Releases: []record.Claim{{Key: key, ID: id}}}
}
