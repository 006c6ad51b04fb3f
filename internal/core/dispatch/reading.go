package dispatch

import (
	"slices"
	"time"
)

// An engine reads prompts in chunks between the steps in which it generates for all
// others that it runs, so a long prompt delays the first event of those sent after it
// and makes a pause in each stream beside it. On an engine that is some times slower
// than the rest the pause exceeds what callers accept: of streams that were late on
// engines 2.8 times slower than the mean, two thirds had begun in time and paused too
// long. So what each target still has to read is known in the cell, and a prompt goes
// where it makes no such pause, as long as there is such a target.

// beginReading notes that the target has to read the ticket's prompt.
func (t *target) beginReading(ticket *Ticket) {
	ticket.ahead = t.now.backlog
	ticket.predicted = t.first(ticket.Work.Prompt + ticket.ahead)
	if ticket.Work.Prompt > 0 {
		t.reading = append(t.reading, ticket)
	}
}

// endReading notes that the prompt has been read, or is not read any more; false: it was
// not being read.
func (t *target) endReading(ticket *Ticket) bool {
	i := slices.Index(t.reading, ticket)
	if i < 0 {
		return false
	}
	t.reading = slices.Delete(t.reading, i, i+1)
	return true
}

// ObserveFirstEvent tells that the first event of a stream has come.
func (s *Scheduler) ObserveFirstEvent(now time.Time, ticket *Ticket) {
	at := ticket.target
	if at == nil || !at.endReading(ticket) {
		return
	}
	tokens := ticket.Work.Prompt + ticket.ahead + PromptOverhead
	s.measured(at, Sample{Target: at.incarnation, TokenTime: now.Sub(ticket.granted) / time.Duration(tokens)})
}

// PromptOverhead stands for what each prompt costs besides its tokens, so that short
// prompts do not raise the time for a token.
const PromptOverhead = 500

// tokenTime is the time in which the target reads a token of a prompt, in ns; 0: not known.
func (t *target) tokenTime() float64 {
	if t.readTime.samples >= minSamples {
		return t.readTime.value
	}
	return t.pool.rates.prompt.value * t.slowness()
}

// first estimates the time to the first event where so many tokens have to be read
// for it; 0: not known.
func (t *target) first(tokens int) time.Duration {
	return time.Duration(float64(tokens+PromptOverhead) * t.tokenTime())
}

// ownBacklog is the number of tokens that the target still has to read for this entry.
func (t *target) ownBacklog(now time.Time) int {
	sum := 0
	for _, ticket := range t.reading {
		sum += ticket.unread(now)
	}
	return sum
}

// unread estimates how many tokens of the prompt are still to be read.
func (t *Ticket) unread(now time.Time) int {
	if t.predicted <= 0 {
		return t.Work.Prompt
	}
	left := 1 - float64(now.Sub(t.granted))/float64(t.predicted)
	return int(max(0, left) * float64(t.Work.Prompt))
}

// backlog is the number of tokens that the target still has to read for all entries of
// the cell, as far as this one knows.
func (s *Scheduler) backlog(now time.Time, t *target) int {
	sum := float64(t.ownBacklog(now))
	rate := t.tokenTime()
	for _, peer := range s.peers {
		age := now.Sub(peer.at)
		told := peer.reading[t.incarnation]
		if told == 0 || age > reportLife {
			continue
		}
		read := 0.0
		if rate > 0 {
			read = float64(age) / rate
		}
		sum += max(0, float64(told)-read)
	}
	return int(sum)
}

// pauses reports whether reading the ticket's prompt at the target would make streams
// there pause for longer than is in time.
func (t *target) pauses(ticket *Ticket) bool {
	if ticket.Gap == 0 || ticket.Work.Prompt == 0 || t.now.load == 0 || t.latency.samples < minSamples {
		return false
	}
	reading := time.Duration(float64(ticket.Work.Prompt+t.now.backlog) * t.tokenTime())
	pause := reading + time.Duration(t.latency.value)
	if t.pool.pauseRatio > 0 {
		// Between two events an engine generates several tokens, and reads no more than a
		// chunk for each: so no prompt makes a longer pause than the longest seen.
		pause = min(pause, time.Duration(t.pool.pauseRatio*t.latency.value))
	}
	return pause > ticket.Gap
}

// pauseMemory is the part by which the longest pause seen is forgotten with each stream.
const pauseMemory = 0.002

// learnPause takes the longest pause of a stream.
func (t *target) learnPause(longest time.Duration) {
	if longest <= 0 || t.latency.samples < minSamples {
		return
	}
	ratio := float64(longest) / t.latency.value
	t.pool.pauseRatio = max(ratio, t.pool.pauseRatio*(1-pauseMemory))
}
