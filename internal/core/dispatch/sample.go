package dispatch

import "time"

// Sample is what one answer showed of a target's speed. Each entry learns from its own
// answers and from those of its cell: a slow target gets few requests, and with nine
// entries it takes each of them most of half a minute to see two of its answers, time in
// which prompts that are too long go there. Told, the first answers teach all.
type Sample struct {
	Target string
	// TokenTime is the time to read a token of a prompt, Latency the mean pause between
	// events, Longest the longest pause; 0: not measured.
	TokenTime, Latency, Longest time.Duration
}

// maxSamples bounds the samples that wait to be told: those of the time between two
// reports at the highest rate of answers that an entry sees.
const maxSamples = 32

// measured learns an own sample and keeps it for the cell.
func (s *Scheduler) measured(t *target, sample Sample) {
	t.learnSample(sample)
	if len(s.samples) < maxSamples {
		s.samples = append(s.samples, sample)
	}
}

// learnPeerSamples learns the samples of a peer.
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
	}
	if sample.TokenTime > 0 {
		t.readTime.add(float64(sample.TokenTime))
		t.pool.rates.prompt.add(float64(sample.TokenTime) / t.slowness())
	}
	t.learnPause(sample.Longest)
}

// ObserveLatency tells the mean pause between the first events of a stream, before it ends: a
// long stream on a slow target ends seconds after its speed could be known.
func (s *Scheduler) ObserveLatency(ticket *Ticket, latency time.Duration) {
	if at := ticket.target; at != nil && latency > 0 {
		s.measured(at, Sample{Target: at.incarnation, Latency: latency})
	}
}
