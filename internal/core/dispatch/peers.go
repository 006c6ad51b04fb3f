package dispatch

import "time"

// peerLoad is what another entry said last of its own requests.
type peerLoad struct {
	at       time.Time
	inFlight map[string]int
	reading  map[string]int
	waiting  map[string]Urgency
	// sentUnderLimit is the number of requests that it has sent to each target that declares
	// a limit, as last told.
	sentUnderLimit map[string]int
}

// reportLife is how long a peer's report counts. A peer that fell silent may still
// have its requests at the targets; most are done after three seconds.
const reportLife = 3 * time.Second

// Load is what an entry tells the others.
type Load struct {
	// InFlight is the number of requests by incarnation of the target; targets without any are left out.
	InFlight map[string]int
	// Reading is the number of prompt tokens that targets still have to read for the
	// sender, by incarnation of the target; targets without any are left out.
	Reading map[string]int
	// Waiting is the urgency of the most urgent request that waits, by service; services
	// for which none waits are left out.
	Waiting map[string]Urgency
	// Samples are the sender's measurements since its last report.
	Samples []Sample
	// Limits are targets' limits, by incarnation; a report may hold some of them.
	Limits map[string]LimitReport
	// Unresponsive is for how long yet targets get nothing from the sender, because they did
	// not answer in time.
	Unresponsive map[string]time.Duration
}

// reportTick is the least time between two looks at a queue for the sake of reports. Under
// overload each of a dozen entries reports a hundred times a second; looked at for each
// report, queues took most of an entry's time. A place told of meanwhile is seen by the
// next look, half the pause between the turns of two entries later at most.
const reportTick = precedenceStep / 2

// PeerLoad takes a peer's report, which replaces its last one.
func (s *Scheduler) PeerLoad(now time.Time, peer string, load Load) Effects {
	told := &peerLoad{at: now, inFlight: load.InFlight, reading: load.Reading, waiting: load.Waiting}
	if before, found := s.peers[peer]; found {
		told.sentUnderLimit = before.sentUnderLimit
	}
	s.peers[peer] = told
	changes := s.takeLimits(now, peer, told, load.Limits)
	s.takeUnresponsive(now, peer, load.Unresponsive)
	s.learnPeerSamples(load.Samples)
	effects := s.tickAfter(now, reportTick)
	effects.Limits = changes
	return effects
}

// PeerGone drops a peer's report: its process has ended, and its requests with it.
func (s *Scheduler) PeerGone(now time.Time, peer string) Effects {
	delete(s.peers, peer)
	return s.Tick(now)
}

// OwnLoad is the report to send to the others; samples are in one report only.
func (s *Scheduler) OwnLoad(now time.Time) Load {
	load := Load{InFlight: make(map[string]int), Reading: make(map[string]int), Samples: s.samples, Waiting: make(map[string]Urgency), Limits: s.reportLimits(now)}
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

// Contended reports whether requests for a service wait at this entry or another one of
// the cell: then each place that comes free should be known at once.
func (s *Scheduler) Contended(now time.Time, service string) bool {
	if len(s.pool(service).waiting) > 0 {
		return true
	}
	for _, peer := range s.peers {
		if _, waits := peer.waiting[service]; waits && now.Sub(peer.at) <= reportLife {
			return true
		}
	}
	return false
}

// load is the number of requests at a target over all entries, and the age of the
// oldest report that it rests on.
func (s *Scheduler) load(now time.Time, t *target) (int, time.Duration) {
	total := t.own
	var oldest time.Duration
	for _, peer := range s.peers {
		age := now.Sub(peer.at)
		if age > reportLife {
			continue
		}
		total += peer.inFlight[t.incarnation]
		oldest = max(oldest, age)
	}
	return total, oldest
}
