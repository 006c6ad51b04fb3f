package entry

import (
	"time"

	"sycamoretrail/internal/core/claims"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/record"
	"sycamoretrail/internal/core/request"
)

// partitions of the idempotency keys; each has a stream on the log.
const partitions = 16

// claimPatience is how many silence limits a claim may take before the request
// is refused; the log answers in far less when it is up.
const claimPatience = 2

// Bounds of a home of claims: the log takes several hundred appends a second
// from all entries together, so claims share records.
const (
	claimBatchEvery = 10 * time.Millisecond
	claimsPerRecord = 500
	claimsHeld      = 500_000
	claimTimeout    = 2 * time.Second
)

func claimsConfig(horizon time.Duration) claims.Config {
	return claims.Config{
		Partitions: partitions, Horizon: horizon,
		BatchEvery: claimBatchEvery, MaxBatch: claimsPerRecord,
		MaxKeys: claimsHeld, AppendTimeout: claimTimeout,
	}
}

// claim asks the home of the key's partition for the right to run.
func (e *Entry) claim(f *flight) {
	f.stage = stageClaiming
	f.giveUp = earlier(e.now.Add(claimPatience*e.timing.silence), f.req.Deadline)
	e.askHome(f)
}

func (e *Entry) askHome(f *flight) {
	f.asked = e.homeOf(f.req.Key)
	e.wakeAt(f, earlier(e.now.Add(e.timing.grant), f.giveUp))
	if f.asked == "" {
		return
	}
	e.send(f.asked, message.ClaimAsk{Key: f.req.Key, ID: f.req.ID})
}

func (e *Entry) attendClaiming(f *flight) {
	if !e.now.Before(f.giveUp) {
		e.noVerdict(f, true)
		return
	}
	e.askHome(f)
}

// noVerdict refuses a keyed request of which the log did not decide. Its claim
// may still land on the log later: the id is finished here for good, and the
// release lets the key's next claim win. Unread: nobody could look whether an
// earlier request of the key ran, and a caller that sends its key again would
// take "not run" for the word on both.
func (e *Entry) noVerdict(f *flight, unread bool) {
	f.keyRead = !unread
	e.abandon(f, outcome.Refused(outcome.ReasonLogUnavailable, e.jitter(e.timing.silence), "the idempotency key could not be claimed"))
}

// releaseClaim gives up the claim of a request that did not and will not run.
func (e *Entry) releaseClaim(f *flight) {
	if f.stage != stageAsking && f.stage != stageSeeking {
		e.releaseKey(&f.req)
	}
}

func (e *Entry) releaseKey(req *request.Request) {
	if !claimed(req) {
		return
	}
	if home := e.homeOf(req.Key); home != "" {
		e.send(home, message.ClaimRelease{Key: req.Key, ID: req.ID})
	}
}

// claimTold acts on the home's verdict.
func (e *Entry) claimTold(r message.ClaimReply) {
	f := e.flights[r.ID]
	if f == nil || f.stage != stageClaiming {
		return
	}
	switch r.Winner {
	case "":
		e.noVerdict(f, r.Unread)
	case f.req.ID:
		f.keyRead = true
		f.stage = stageWaiting
		e.place(f)
	default:
		e.followWinner(f, r.Winner)
	}
}

// followWinner answers a request with the outcome of the one that holds its key.
func (e *Entry) followWinner(f *flight, winner ident.RequestID) {
	parts, err := ident.Parse(winner)
	if err != nil {
		e.finish(f, outcome.Undetermined(outcome.ReasonDuplicateKey, "the idempotency key belongs to a request that cannot be asked for"))
		return
	}
	f.keyRead = true
	holder := parts.Owner
	told := e.told(winner)
	switch {
	case told.Standing == message.StandingElsewhere:
		holder = told.Delegate
	case holder == e.cfg.Self.Incarnation || e.flights[winner] != nil:
		e.joinWinner(f, winner, told)
		return
	}
	f.stage = stageAsking
	f.subject = winner
	f.giveUp = e.now.Add(e.timing.silence)
	e.asking[winner] = append(e.asking[winner], f.req.ID)
	e.ask(f, holder)
}

func (e *Entry) joinWinner(f *flight, winner ident.RequestID, told message.OwnerReply) {
	if told.Standing == message.StandingFinished && told.Status.Outcome != outcome.Answered {
		e.finish(f, told.Status)
		return
	}
	if told.Standing == message.StandingExpired {
		e.finish(f, outcome.Undetermined(outcome.ReasonIDExpired, "the first run of this key is no longer remembered"))
		return
	}
	f.subject = winner
	e.leaveForeign(f)
	e.emit(Join{ID: f.req.ID, Of: winner})
}

// homeOf finds the entry that batches the claims of a key's partition.
func (e *Entry) homeOf(key request.KeyHash) ident.Incarnation {
	return e.homes[claims.PartitionOf(key, partitions)]
}

// performClaims carries out what the claims' home decided.
func (e *Entry) performClaims(effects []claims.Effect) {
	for _, effect := range effects {
		switch c := effect.(type) {
		case claims.Append:
			e.append(record.ClaimsStream(c.Partition), c.Record, appendClaims, c.Tag)
		case claims.Follow:
			e.emit(Follow{Stream: record.ClaimsStream(c.Partition), Back: c.Back})
		case claims.Unfollow:
			e.emit(Unfollow{Stream: record.ClaimsStream(c.Partition)})
		case claims.Verdict:
			e.send(c.To, message.ClaimReply{Key: c.Key, ID: c.ID, Winner: c.Winner, Unread: c.Unread})
		}
	}
}
