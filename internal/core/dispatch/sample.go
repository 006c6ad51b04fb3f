package dispatch

import "time"

// Sample is a measurement of a target's speed from one answer. Each entry learns from its
// own answers and from those of its cell: a slow target gets few requests, so with nine
// entries each one needs most of half a minute to see two of its answers and meanwhile
// sends prompts there that are too long. Shared, the first answers inform all entries.
type Sample struct {
	Target string
	// TokenTime is the time to read a prompt token, Latency the mean pause between
	// events, LongestPause the longest pause; 0 means not measured.
	TokenTime, Latency, LongestPause time.Duration
}

// maxSamples bounds the samples that wait to be reported: those of the time between two
// reports at the highest rate of answers that an entry receives.
const maxSamples = 32

// recordSample learns from an own sample and keeps it for the next report to the cell.
func (s *Scheduler) recordSample(t *target, sample Sample) {
	t.learnSample(sample)
	if len(s.samples) < maxSamples {
		s.samples = append(s.samples, sample)
	}
}

// learnPeerSamples learns from the samples of a peer.
func (s *Scheduler) learnPeerSamples(samples []Sample) {
	for _, sample := range samples {
		if t, found := s.targets[sample.Target]; found {
			t.learnSample(sample)
		}
	}
}

func (t *target) learnSample(sample Sample) {
	if sample.Latency > 0 {
		t.latency.add(float64(sample.Latency))
		t.pool.latency.add(float64(sample.Latency))
		t.pool.steadyLatency.add(float64(sample.Latency))
	}
	if sample.TokenTime > 0 {
		t.readTime.add(float64(sample.TokenTime))
		t.pool.rates.prompt.add(float64(sample.TokenTime) / t.slowness())
	}
	t.learnPause(sample.LongestPause)
}

// ObserveLatency records the mean pause between the first events of a stream before it
// ends: a long stream on a slow target ends seconds after its speed can be measured.
func (s *Scheduler) ObserveLatency(ticket *Ticket, latency time.Duration) {
	if at := ticket.target; at != nil && latency > 0 {
		s.recordSample(at, Sample{Target: at.incarnation, Latency: latency})
	}
}
