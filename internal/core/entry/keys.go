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

// partitions is the number of partitions of the idempotency keys. Each has a
// stream in the log.
const partitions = 16

// claimWaitFactor is how many times the failure-detection timeout a claim may
// take before the request is refused. The log answers much faster when it is
// available.
const claimWaitFactor = 2

// Bounds of a coordinator. The log handles several hundred appends a second
// from all entries together, so claims share records.
const (
	claimBatchInterval = 10 * time.Millisecond
	maxClaimsPerRecord = 500
	maxClaimedKeys     = 500_000
	claimTimeout       = 2 * time.Second
)

func claimsConfig(horizon time.Duration) claims.Config {
	return claims.Config{
		Partitions: partitions, Horizon: horizon,
		BatchDelay: claimBatchInterval, MaxBatch: maxClaimsPerRecord,
		MaxKeys: maxClaimedKeys, AppendTimeout: claimTimeout,
	}
}

// claim requests the right to run from the coordinator of the key's partition.
func (e *Entry) claim(f *flight) {
	f.stage = stageClaiming
	f.giveUpAt = earlier(e.now.Add(claimWaitFactor*e.timing.silence), f.req.Deadline)
	e.sendClaim(f)
}

func (e *Entry) sendClaim(f *flight) {
	f.queried = e.coordinatorOf(f.req.Key)
	e.wakeAt(f, earlier(e.now.Add(e.timing.grant), f.giveUpAt))
	if f.queried == "" {
		return
	}
	e.send(f.queried, message.ClaimRequest{Key: f.req.Key, ID: f.req.ID})
}

func (e *Entry) handleClaimTimer(f *flight) {
	if !e.now.Before(f.giveUpAt) {
		e.claimFailed(f, true)
		return
	}
	e.sendClaim(f)
}

// claimFailed refuses a request whose claim was not decided. The claim may
// still reach the log later: the id is finished here, and the release lets the
// key's next claim win. If unread is true, nothing could check whether an
// earlier request of the key ran, and a caller that resends the key would apply
// "not run" to both.
func (e *Entry) claimFailed(f *flight, unread bool) {
	f.keyRead = !unread
	e.abandon(f, outcome.Refused(outcome.ReasonLogUnavailable, e.jitter(e.timing.silence), "the idempotency key could not be claimed"))
}

// releaseClaim releases the claim of a request that did not and will not run.
func (e *Entry) releaseClaim(f *flight) {
	if f.stage != stageQuerying && f.stage != stageSearching {
		e.releaseKey(&f.req)
	}
}

func (e *Entry) releaseKey(req *request.Request) {
	if !claimed(req) {
		return
	}
	if coordinator := e.coordinatorOf(req.Key); coordinator != "" {
		e.send(coordinator, message.ClaimRelease{Key: req.Key, ID: req.ID})
	}
}

// claimReplied handles the coordinator's decision on a claim.
func (e *Entry) claimReplied(r message.ClaimReply) {
	f := e.flights[r.ID]
	if f == nil || f.stage != stageClaiming {
		return
	}
	switch r.Winner {
	case "":
		e.claimFailed(f, r.Unread)
	case f.req.ID:
		f.keyRead = true
		f.stage = stageWaiting
		e.place(f)
	default:
		e.followWinner(f, r.Winner)
	}
}

// followWinner settles a request with the outcome of the request that holds its
// key.
func (e *Entry) followWinner(f *flight, winner ident.RequestID) {
	parts, err := ident.Parse(winner)
	if err != nil {
		e.finish(f, outcome.Undetermined(outcome.ReasonDuplicateKey, "the idempotency key belongs to a request that cannot be asked for"))
		return
	}
	f.keyRead = true
	holder := parts.Owner
	state := e.stateOf(winner)
	switch {
	case state.State == message.IDTransferred:
		holder = state.Delegate
	case holder == e.cfg.Self.Incarnation || e.flights[winner] != nil:
		e.joinWinner(f, winner, state)
		return
	}
	f.stage = stageQuerying
	f.subject = winner
	f.giveUpAt = e.now.Add(e.timing.silence)
	e.losersByWinner[winner] = append(e.losersByWinner[winner], f.req.ID)
	e.sendOwnerQuery(f, holder)
}

func (e *Entry) joinWinner(f *flight, winner ident.RequestID, state message.OwnerReply) {
	if state.State == message.IDFinished && state.Status.Outcome != outcome.Answered {
		e.finish(f, state.Status)
		return
	}
	if state.State == message.IDExpired {
		e.finish(f, outcome.Undetermined(outcome.ReasonIDExpired, "the first run of this key is no longer remembered"))
		return
	}
	f.subject = winner
	e.removeRemote(f)
	e.emit(Join{ID: f.req.ID, Of: winner})
}

// coordinatorOf returns the entry that batches the claims of a key's partition.
func (e *Entry) coordinatorOf(key request.KeyHash) ident.Incarnation {
	return e.coordinators[claims.PartitionOf(key, partitions)]
}

// performClaims carries out the effects of the claims component.
func (e *Entry) performClaims(effects []claims.Effect) {
	for _, effect := range effects {
		switch c := effect.(type) {
		case claims.Append:
			e.append(record.ClaimsStream(c.Partition), c.Record, appendClaims, c.Tag)
		case claims.Follow:
			e.emit(Follow{Stream: record.ClaimsStream(c.Partition), Back: c.Back})
		case claims.Unfollow:
			e.emit(Unfollow{Stream: record.ClaimsStream(c.Partition)})
		case claims.Decision:
			e.send(c.To, message.ClaimReply{Key: c.Key, ID: c.ID, Winner: c.Winner, Unread: c.Unread})
		}
	}
}
