package quarantine

import (
	"container/list"
	"slices"
	"time"

	"sycamoretrail/internal/core/request"
)

// Prefixes detects beginnings of prompts that crash the engines which answer on them, whatever else the
// requests hold.
//
// Crashes count against all beginnings of the prompts that ran at the engine, until a prompt with that
// beginning is answered. So a beginning that many prompts share is cleared all the time. Three crashes
// without an answer quarantine a beginning; after each quarantine one more crash is enough, and the next one
// is longer.
//
// Memory is bounded, and what is refused is kept when it runs out. It is not safe for concurrent use.
type Prefixes struct {
	known map[request.Fingerprint]*list.Element
	// order has the prefix least recently seen in front.
	order *list.List
	burst burst
	// unsaid are the answers that the peers have not been told of.
	unsaid []Answer
}

type prefix struct {
	fingerprint request.Fingerprint
	// crashes are those since the last answer, cleared those that an answer has ruled out.
	crashes, cleared []string
	// forgetAt is when the evidence expires. refusedUntil is the end of the quarantine.
	forgetAt, refusedUntil time.Time
	// quarantines is how often in a row the prefix has been quarantined.
	quarantines int
}

// Answer is an answer to a prompt: these crashes are no evidence against its beginnings.
type Answer struct {
	Prefixes []request.Fingerprint
	Crashes  []string
	// tellAt is when the peers are told.
	tellAt time.Time
}

const (
	// prefixThreshold is higher than that of requests: a beginning that others share may be in flight at any
	// crash, and its requests don't run apart.
	prefixThreshold = 3
	// prefixEvidence exceeds the time between requests with a beginning that comes rarely.
	prefixEvidence = 6 * time.Hour
	maxPrefixes    = 10_000
	// maxUnsaid bounds the answers that the peers have not been told of. Beyond it the peers learn from their
	// own.
	maxUnsaid = 256
)

// prefixQuarantines are the lengths of the first quarantines of a prefix; the last applies to all later ones.
// They begin short, as a mistake refuses all prompts that begin alike.
var prefixQuarantines = []time.Duration{10 * time.Minute, time.Hour, 6 * time.Hour}

// NewPrefixes returns a Prefixes without evidence.
func NewPrefixes() *Prefixes {
	return &Prefixes{
		known: make(map[request.Fingerprint]*list.Element), order: list.New(),
		burst: burst{size: DefaultBurst, window: DefaultWindow},
	}
}

// FingerprintsOf returns the beginnings of a prompt against which crashes count: two in each doubling of the
// length, so that their number grows with its logarithm. A beginning that crashes engines is recognised by
// the longest of these within it.
func FingerprintsOf(prefixes []uint64) []request.Fingerprint {
	var found []request.Fingerprint
	for blocks := 1; blocks <= len(prefixes); blocks *= 2 {
		found = append(found, request.Fingerprint(prefixes[blocks-1]))
		if between := blocks + blocks/2; between > blocks && between <= len(prefixes) {
			found = append(found, request.Fingerprint(prefixes[between-1]))
		}
	}
	return found
}

// Crash records that an engine crashed while it ran a prompt with these beginnings. Name identifies the crash
// at all entries. It returns the beginnings against which the crash had not counted, and those that are
// quarantined for it.
func (p *Prefixes) Crash(now time.Time, target, name string, fingerprints []request.Fingerprint) (counted, quarantined []request.Fingerprint) {
	inBurst := p.burst.record(now, target)
	for _, fingerprint := range fingerprints {
		known := p.findOrAdd(now, fingerprint)
		// The failure of a rack or zone takes many engines down; its crashes count as one.
		if known == nil || inBurst && len(known.crashes) > 0 || slices.Contains(known.crashes, name) || slices.Contains(known.cleared, name) {
			continue
		}
		known.crashes = newest(append(known.crashes, name))
		known.forgetAt = now.Add(prefixEvidence)
		counted = append(counted, fingerprint)
		if len(known.crashes) >= prefixThreshold && !now.Before(known.refusedUntil) {
			known.refusedUntil = now.Add(prefixQuarantines[min(known.quarantines, len(prefixQuarantines)-1)])
			known.forgetAt = known.refusedUntil.Add(prefixEvidence)
			known.quarantines++
			quarantined = append(quarantined, fingerprint)
		}
	}
	return counted, quarantined
}

// Empty reports whether there is no evidence against any beginning.
func (p *Prefixes) Empty() bool { return len(p.known) == 0 }

// CrashesOf returns the crashes that count against a beginning.
func (p *Prefixes) CrashesOf(now time.Time, fingerprint request.Fingerprint) []string {
	if known := p.find(now, fingerprint); known != nil {
		return slices.Clone(known.crashes)
	}
	return nil
}

// Left returns how long prompts with these beginnings are still refused; 0: they are not.
func (p *Prefixes) Left(now time.Time, fingerprints []request.Fingerprint) time.Duration {
	left := time.Duration(0)
	for _, fingerprint := range fingerprints {
		if known := p.find(now, fingerprint); known != nil {
			left = max(left, known.refusedUntil.Sub(now))
		}
	}
	return left
}

// Quarantined returns the number of beginnings that are refused.
func (p *Prefixes) Quarantined(now time.Time) int {
	n := 0
	for _, element := range p.known {
		if known, is := element.Value.(*prefix); is && now.Before(known.refusedUntil) {
			n++
		}
	}
	return n
}

// Answered records that a prompt with these beginnings was answered, which also ends their quarantines. The
// peers are told after a delay, unless one of them tells the same first: entries that answer a popular
// beginning would all tell all others at the same moment. It returns the beginnings that are no longer refused.
func (p *Prefixes) Answered(now time.Time, fingerprints []request.Fingerprint, delay time.Duration) (released []request.Fingerprint) {
	answer := Answer{tellAt: now.Add(delay)}
	for _, fingerprint := range fingerprints {
		known := p.find(now, fingerprint)
		if known == nil || len(known.crashes) == 0 {
			continue
		}
		answer.Prefixes = append(answer.Prefixes, fingerprint)
		answer.Crashes = append(answer.Crashes, known.crashes...)
	}
	if len(answer.Prefixes) == 0 {
		return nil
	}
	slices.Sort(answer.Crashes)
	answer.Crashes = slices.Compact(answer.Crashes)
	if len(p.unsaid) < maxUnsaid {
		p.unsaid = append(p.unsaid, answer)
	}
	return p.clear(now, answer)
}

// MergeAnswer applies an answer that a peer has told of. It returns the beginnings that are no longer refused.
func (p *Prefixes) MergeAnswer(now time.Time, told Answer) (released []request.Fingerprint) {
	p.unsaid = slices.DeleteFunc(p.unsaid, func(own Answer) bool {
		return containsAll(told.Prefixes, own.Prefixes) && containsAll(told.Crashes, own.Crashes)
	})
	return p.clear(now, told)
}

// ToTell removes and returns the answers that the peers are to be told of now.
func (p *Prefixes) ToTell(now time.Time) []Answer {
	var due []Answer
	p.unsaid = slices.DeleteFunc(p.unsaid, func(own Answer) bool {
		if now.Before(own.tellAt) {
			return false
		}
		due = append(due, own)
		return true
	})
	return due
}

// Restore applies a quarantine of the given age that was read from the log, unless an answer has ended it.
func (p *Prefixes) Restore(now time.Time, age time.Duration, fingerprint request.Fingerprint, crashes []string) {
	until := now.Add(prefixQuarantines[0] - age)
	if !until.After(now) {
		return
	}
	known := p.findOrAdd(now, fingerprint)
	if known == nil || len(crashes) > 0 && containsAll(known.cleared, crashes) {
		return
	}
	for _, name := range crashes {
		if !slices.Contains(known.crashes, name) && !slices.Contains(known.cleared, name) {
			known.crashes = newest(append(known.crashes, name))
		}
	}
	if until.After(known.refusedUntil) {
		known.refusedUntil, known.quarantines = until, max(known.quarantines, 1)
		known.forgetAt = until.Add(prefixEvidence)
	}
}

func (p *Prefixes) clear(now time.Time, answer Answer) (released []request.Fingerprint) {
	for _, fingerprint := range answer.Prefixes {
		known := p.findOrAdd(now, fingerprint)
		if known == nil {
			continue
		}
		for _, name := range answer.Crashes {
			if !slices.Contains(known.cleared, name) {
				known.cleared = newest(append(known.cleared, name))
			}
		}
		known.crashes = slices.DeleteFunc(known.crashes, func(name string) bool { return slices.Contains(answer.Crashes, name) })
		if len(known.crashes) < prefixThreshold {
			if now.Before(known.refusedUntil) {
				released = append(released, fingerprint)
			}
			known.refusedUntil, known.quarantines = time.Time{}, 0
		}
		known.forgetAt = now.Add(prefixEvidence)
	}
	return released
}

// find returns what is known of a beginning, or nil.
func (p *Prefixes) find(now time.Time, fingerprint request.Fingerprint) *prefix {
	element := p.known[fingerprint]
	if element == nil {
		return nil
	}
	known, is := element.Value.(*prefix)
	if !is || !now.Before(known.forgetAt) {
		p.remove(element)
		return nil
	}
	p.order.MoveToBack(element)
	return known
}

// findOrAdd returns nil if the memory is full of quarantines.
func (p *Prefixes) findOrAdd(now time.Time, fingerprint request.Fingerprint) *prefix {
	if known := p.find(now, fingerprint); known != nil {
		return known
	}
	if len(p.known) >= maxPrefixes && !p.evict(now) {
		return nil
	}
	known := &prefix{fingerprint: fingerprint, forgetAt: now.Add(prefixEvidence)}
	p.known[fingerprint] = p.order.PushBack(known)
	return known
}

// maxEvictionSteps bounds the prefixes that are looked at to find one that may be forgotten.
const maxEvictionSteps = 64

// evict forgets the prefix least recently seen of those that are not refused.
func (p *Prefixes) evict(now time.Time) bool {
	element := p.order.Front()
	for range maxEvictionSteps {
		if element == nil {
			return false
		}
		if known, is := element.Value.(*prefix); !is || !now.Before(known.refusedUntil) {
			p.remove(element)
			return true
		}
		element = element.Next()
	}
	return false
}

func (p *Prefixes) remove(element *list.Element) {
	if known, is := element.Value.(*prefix); is {
		delete(p.known, known.fingerprint)
	}
	p.order.Remove(element)
}

func containsAll[T comparable](all, some []T) bool {
	return !slices.ContainsFunc(some, func(one T) bool { return !slices.Contains(all, one) })
}
