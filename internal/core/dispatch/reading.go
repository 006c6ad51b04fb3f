package dispatch

import (
	"slices"
	"time"
)

// An engine reads prompts in chunks between the steps in which it generates tokens for all
// other requests, so a long prompt delays the first event of the requests sent after it
// and causes a pause in each concurrent stream. On engines that are several times slower
// than the others the pause exceeds what callers accept: of the streams that were late on
// engines 2.8 times slower than the mean, two thirds had begun in time and paused too
// long. Therefore the entries of a cell report the prompt tokens not yet read at each target,
// and a prompt is sent to a target where it causes no such pause if there is one.

// beginReading records that the target has to read the ticket's prompt.
func (t *target) beginReading(ticket *Ticket) {
	ticket.ahead = t.snapshot.backlog
	ticket.predicted = t.timeToFirst(ticket.Work.Prompt + ticket.ahead)
	if ticket.Work.Prompt > 0 {
		t.reading = append(t.reading, ticket)
	}
}

// endReading records that the prompt is no longer being read, and reports whether it
// was being read.
func (t *target) endReading(ticket *Ticket) bool {
	i := slices.Index(t.reading, ticket)
	if i < 0 {
		return false
	}
	t.reading = slices.Delete(t.reading, i, i+1)
	return true
}

// ObserveFirstEvent records that the first event of a stream has arrived.
func (s *Scheduler) ObserveFirstEvent(now time.Time, ticket *Ticket) {
	at := ticket.target
	if at == nil || !at.endReading(ticket) {
		return
	}
	tokens := ticket.Work.Prompt + ticket.ahead + PromptOverhead
	s.recordSample(at, Sample{Target: at.incarnation, TokenTime: now.Sub(ticket.granted) / time.Duration(tokens)})
}

// PromptOverhead is the fixed cost of each prompt in tokens, so that short prompts do
// not raise the time per token.
const PromptOverhead = 500

// tokenTime returns the time in which the target reads a prompt token, in ns; 0 means unknown.
func (t *target) tokenTime() float64 {
	if t.readTime.samples >= minSamples {
		return t.readTime.value
	}
	return t.pool.rates.prompt.value * t.slowness()
}

// timeToFirst estimates the time to the first event if that many tokens have to be read
// before it; 0 means unknown.
func (t *target) timeToFirst(tokens int) time.Duration {
	return time.Duration(float64(tokens+PromptOverhead) * t.tokenTime())
}

// ownBacklog returns the number of tokens that the target still has to read for this entry.
func (t *target) ownBacklog(now time.Time) int {
	sum := 0
	for _, ticket := range t.reading {
		sum += ticket.unreadTokens(now)
	}
	return sum
}

// unreadTokens estimates the number of tokens of the prompt still to be read.
func (t *Ticket) unreadTokens(now time.Time) int {
	if t.predicted <= 0 {
		return t.Work.Prompt
	}
	left := 1 - float64(now.Sub(t.granted))/float64(t.predicted)
	return int(max(0, left) * float64(t.Work.Prompt))
}

// backlog returns the number of tokens that the target still has to read for all entries of
// the cell, as far as reported.
func (s *Scheduler) backlog(now time.Time, t *target) int {
	sum := float64(t.ownBacklog(now))
	rate := t.tokenTime()
	for _, peer := range s.peers {
		age := now.Sub(peer.at)
		reported := peer.reading[t.incarnation]
		if reported == 0 || age > reportTTL {
			continue
		}
		read := 0.0
		if rate > 0 {
			read = float64(age) / rate
		}
		sum += max(0, float64(reported)-read)
	}
	return int(sum)
}

// stallsStreams reports whether reading the ticket's prompt at the target would pause the
// streams there for longer than acceptable.
func (t *target) stallsStreams(ticket *Ticket) bool {
	if ticket.Gap == 0 || ticket.Work.Prompt == 0 || t.snapshot.load == 0 || t.latency.samples < minSamples {
		return false
	}
	reading := time.Duration(float64(ticket.Work.Prompt+t.snapshot.backlog) * t.tokenTime())
	pause := reading + time.Duration(t.latency.value)
	if t.pool.pauseRatio > 0 {
		// Between two events an engine generates several tokens and reads at most one
		// chunk for each, so no prompt causes a longer pause than the longest measured.
		pause = min(pause, time.Duration(t.pool.pauseRatio*t.latency.value))
	}
	return pause > ticket.Gap
}

// pauseDecay is the part by which the longest measured pause decays with each stream.
const pauseDecay = 0.002

// learnPause updates the pool's longest pause with that of a stream.
func (t *target) learnPause(longest time.Duration) {
	if longest <= 0 || t.latency.samples < minSamples {
		return
	}
	ratio := float64(longest) / t.latency.value
	t.pool.pauseRatio = max(ratio, t.pool.pauseRatio*(1-pauseDecay))
}
