package dispatch

import (
	"time"

	"sycamoretrail/internal/core/poolview"
)

// peerLoad is the last load report of another entry.
type peerLoad struct {
	at       time.Time
	inFlight map[string]int
	reading  map[string]int
	waiting  map[string]Urgency
	pools    map[string]poolview.Demand
	// sentUnderLimit is the number of requests that it has sent to each target that declares
	// a limit, as last reported.
	sentUnderLimit map[string]int
}

// reportTTL is how long a peer's report is valid. A peer that became unresponsive may
// still have requests at the targets; most of them are done after three seconds.
const reportTTL = 3 * time.Second

// Load is the load that an entry reports to its peers.
type Load struct {
	// InFlight is the number of requests by incarnation of the target; targets without any are left out.
	InFlight map[string]int
	// Reading is the number of prompt tokens that targets still have to read for the
	// sender, by incarnation of the target; targets without any are left out.
	Reading map[string]int
	// Waiting is the urgency of the most urgent request that waits, by service; services
	// for which none waits are left out.
	Waiting map[string]Urgency
	// Pools is the sender's demand, by service.
	Pools map[string]poolview.Demand
	// Samples are the sender's measurements since its last report.
	Samples []Sample
	// Limits are targets' limits, by incarnation; a report may hold some of them.
	Limits map[string]LimitReport
	// Unresponsive is the remaining time for which the sender sends targets nothing, because
	// they did not answer in time.
	Unresponsive map[string]time.Duration
}

// reportCheckInterval is the minimum time between two checks of a queue that are triggered by
// reports. Under overload each of a dozen entries sends a hundred reports a second, and checking
// the queues for each report took most of an entry's time. A slot reported in between is found
// by the next check, at most half a turnDelay later.
const reportCheckInterval = turnDelay / 2

// SetPeerLoad applies a peer's report, which replaces its previous one.
func (s *Scheduler) SetPeerLoad(now time.Time, peer string, load Load) Effects {
	updated := &peerLoad{at: now, inFlight: load.InFlight, reading: load.Reading, waiting: load.Waiting, pools: validDemands(load.Pools)}
	if before, found := s.peers[peer]; found {
		updated.sentUnderLimit = before.sentUnderLimit
	}
	s.peers[peer] = updated
	changes := s.mergePeerLimits(now, peer, updated, load.Limits)
	s.mergeUnresponsive(now, peer, load.Unresponsive)
	s.learnPeerSamples(load.Samples)
	effects := s.tickAfter(now, reportCheckInterval)
	effects.Limits = changes
	return effects
}

// RemovePeer removes the report of a peer whose process, and therefore its requests, have ended.
func (s *Scheduler) RemovePeer(now time.Time, peer string) Effects {
	delete(s.peers, peer)
	return s.Tick(now)
}

// OwnLoad returns the report to send to peers; each sample is in one report only.
func (s *Scheduler) OwnLoad(now time.Time) Load {
	load := Load{InFlight: make(map[string]int), Reading: make(map[string]int), Samples: s.samples, Waiting: make(map[string]Urgency), Limits: s.reportLimits(now)}
	if s.config.Admission || s.config.Lending {
		load.Pools = s.demands(now)
	}
	s.samples = nil
	for id, t := range s.targets {
		if t.own > 0 {
			load.InFlight[id] = t.own
		}
		if tokens := t.ownBacklog(now); tokens > 0 {
			load.Reading[id] = tokens
		}
		if left := t.unresponsiveUntil.Sub(now); left > 0 {
			if load.Unresponsive == nil {
				load.Unresponsive = make(map[string]time.Duration)
			}
			load.Unresponsive[id] = left
		}
	}
	for _, p := range s.pools {
		if urgency, waits := p.mostUrgent(now); waits {
			load.Waiting[p.service] = urgency
		}
	}
	return load
}

// Contended reports whether requests for a service wait at this entry or at another one of
// the cell, so that each freed slot should be reported at once.
func (s *Scheduler) Contended(now time.Time, service string) bool {
	if len(s.pool(service).waiting) > 0 {
		return true
	}
	for _, peer := range s.peers {
		if _, waits := peer.waiting[service]; waits && now.Sub(peer.at) <= reportTTL {
			return true
		}
	}
	return false
}

// load returns the number of requests at a target over all entries, and the age of the
// oldest report included.
func (s *Scheduler) load(now time.Time, t *target) (int, time.Duration) {
	total := t.own
	var oldest time.Duration
	for _, peer := range s.peers {
		age := now.Sub(peer.at)
		if age > reportTTL {
			continue
		}
		total += peer.inFlight[t.incarnation]
		oldest = max(oldest, age)
	}
	return total, oldest
}
