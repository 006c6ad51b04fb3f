package crashes_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/crashes"
)

func noJitter(time.Duration) time.Duration { return 0 }

func newCauses() *crashes.Causes { return crashes.NewCauses(noJitter) }

func evidence(ids ...string) []crashes.Evidence {
	var list []crashes.Evidence
	for _, cause := range partsOf(ids...) {
		list = append(list, crashes.Evidence{Cause: cause})
	}
	return list
}

// crashInTurn records crashes of targets, a second apart, and returns the time after them.
func crashInTurn(s *crashes.Causes, at time.Time, targets int, ids ...string) time.Time {
	for i := range targets {
		s.RecordBroken(at, fmt.Sprint(at.Unix(), "-", i), simRun, evidence(ids...))
		at = at.Add(time.Second)
	}
	return at
}

// Guards against a part being refused for fewer crashes than the threshold, or for several runs that broke
// with one target.
func TestPartIsRefusedAfterCrashesOfSeveralTargets(t *testing.T) {
	g := NewWithT(t)
	s := newCauses()
	for range 10 {
		s.RecordBroken(now, "t", simRun, evidence("p"))
	}
	at := crashInTurn(s, now.Add(time.Second), 1, "p")
	g.Expect(s.Check(at, partsOf("p")).Refused).To(BeFalse())
	at = crashInTurn(s, at, 1, "p")
	g.Expect(s.Check(at, partsOf("p")).Refused).To(BeTrue())
	g.Expect(s.Check(at, partsOf("other")).Refused).To(BeFalse())
	g.Expect(s.Quarantined()).To(Equal(1))
}

// Guards against a part that comes at long intervals taking down a target each time, as its evidence ends before.
func TestRarePartIsRefused(t *testing.T) {
	g := NewWithT(t)
	s := newCauses()
	at := now
	for i := range 3 {
		g.Expect(s.Claim(at, partsOf("p")).Refused).To(BeFalse())
		s.RecordBroken(at, fmt.Sprint(i), simRun, evidence("p"))
		at = at.Add(time.Hour)
	}
	s.Check(at, partsOf("p"))
	g.Expect(s.Quarantined()).To(Equal(1))
}

// Guards against an entry that loses its links to several targets at once counting that as several crashes.
func TestSimultaneousCrashesCountOnce(t *testing.T) {
	g := NewWithT(t)
	s := newCauses()
	for i := range 10 {
		s.RecordBroken(now, fmt.Sprint(i), simRun, evidence("p"))
	}
	g.Expect(s.Check(now.Add(time.Second), partsOf("p")).Refused).To(BeFalse())
}

// Guards against a shared part that targets answer between their crashes being refused, however many there are.
func TestAnsweredPartIsNotRefused(t *testing.T) {
	g := NewWithT(t)
	s := newCauses()
	at := now
	for range 50 {
		at = crashInTurn(s, at, 2, "p")
		s.RecordAnswer(at, partsOf("p"))
		g.Expect(s.Check(at, partsOf("p")).Refused).To(BeFalse())
	}
}

// Guards against crashes under a refused part counting against the other parts of its requests.
func TestCrashesUnderRefusedPartAreExplained(t *testing.T) {
	g := NewWithT(t)
	s := newCauses()
	at := crashInTurn(s, now, 2, "bad", "a")
	s.RecordAnswer(at, partsOf("a"))
	at = crashInTurn(s, at, 20, "bad", "a", "b")
	g.Expect(s.Check(at, partsOf("bad")).Refused).To(BeTrue())
	g.Expect(s.Check(at, partsOf("a")).Refused).To(BeFalse())
	g.Expect(s.Check(at, partsOf("b")).Refused).To(BeFalse())
}

// Guards against parts of which one crashes targets, and that nothing tells apart yet, being refused for
// longer than it takes to try them one by one.
func TestCoSuspectsAreTriedOneByOne(t *testing.T) {
	g := NewWithT(t)
	s := newCauses()
	at := crashInTurn(s, now, 3, "bad", "sound")
	g.Expect(s.Check(at, partsOf("bad", "sound")).Refused).To(BeTrue())
	at = at.Add(2 * time.Second)
	g.Expect(s.Claim(at, partsOf("bad", "sound")).Refused).To(BeTrue(), "shows nothing of either")
	g.Expect(s.Claim(at, partsOf("sound")).Probe).To(BeTrue())
	g.Expect(s.Claim(at, partsOf("sound")).Refused).To(BeTrue(), "one probe at a time")
	answered, _ := s.RecordAnswer(at, partsOf("sound"))
	g.Expect(answered).To(HaveLen(1))
	g.Expect(s.Check(at, partsOf("sound")).Refused).To(BeFalse())
	g.Expect(s.Check(at.Add(20*time.Second), partsOf("bad", "sound")).Refused).To(BeTrue())
	g.Expect(s.Check(at.Add(40*time.Second), partsOf("bad", "sound")).Probe).To(BeTrue())
}

// Guards against callers being told to come back long before or after the next probe.
func TestRetryAfterOfRefusedPart(t *testing.T) {
	g := NewWithT(t)
	s := newCauses()
	at := crashInTurn(s, now, 3, "p")
	g.Expect(s.Check(at, partsOf("p")).RetryAfter).To(Equal(30 * time.Second))
	g.Expect(s.Claim(at.Add(31*time.Second), partsOf("p")).Probe).To(BeTrue())
	g.Expect(s.Check(at.Add(31*time.Second), partsOf("p")).RetryAfter).To(Equal(10 * time.Minute))
}

// Guards against a part that crashed one service's targets going on to crash those of another, and against
// that keeping it from a service which answers it.
func TestRefusalHoldsForServicesThatHaveNotAnsweredThePart(t *testing.T) {
	g := NewWithT(t)
	s := newCauses()
	at := crashInTurn(s, now, 3, "p")
	elsewhere := []crashes.Cause{{Kind: crashes.Part, Service: "elsewhere", ID: "p"}}
	g.Expect(s.Check(at, elsewhere).Refused).To(BeTrue())
	s.RecordAnswer(at, elsewhere)
	g.Expect(s.Check(at, elsewhere).Refused).To(BeFalse())
	g.Expect(s.Check(at, partsOf("p")).Refused).To(BeTrue())
}

// Guards against a target that answers on counting as crashed.
func TestPartIsNotRefusedForTargetsThatLiveOn(t *testing.T) {
	g := NewWithT(t)
	s := newCauses()
	at := now
	for i := range 10 {
		s.RecordBroken(at, fmt.Sprint(i), simRun, evidence("p"))
		g.Expect(s.RecordLife(fmt.Sprint(i), at.Add(500*time.Millisecond))).To(Equal(1))
		at = at.Add(time.Second)
	}
	g.Expect(s.Check(at, partsOf("p")).Refused).To(BeFalse())
}

// Guards against a request taking a suspected part to a further target after its run broke.
func TestSuspectedPartIsNotRepeated(t *testing.T) {
	g := NewWithT(t)
	s := newCauses()
	at := crashInTurn(s, now, 1, "p")
	g.Expect(s.MayRepeat(at, partsOf("p"))).To(BeTrue())
	at = crashInTurn(s, at, 1, "p")
	g.Expect(s.MayRepeat(at, partsOf("p"))).To(BeFalse())
	s.RecordAnswer(at, partsOf("p"))
	g.Expect(s.MayRepeat(at, partsOf("p"))).To(BeTrue())
}

// Guards against an entry refusing a part that others remember as answered.
func TestConfirmedPartTakesMoreCrashes(t *testing.T) {
	g := NewWithT(t)
	s := newCauses()
	at := crashInTurn(s, now, 3, "p")
	g.Expect(s.Check(at, partsOf("p")).Refused).To(BeTrue())
	s.ConfirmAnswered(at, partsOf("p"))
	g.Expect(s.Check(at, partsOf("p")).Refused).To(BeFalse())
	at = crashInTurn(s, at, 5, "p")
	g.Expect(s.Check(at, partsOf("p")).Refused).To(BeFalse())
	at = crashInTurn(s, at, 1, "p")
	g.Expect(s.Check(at, partsOf("p")).Refused).To(BeTrue())
	s.ConfirmAnswered(at, partsOf("p"))
	g.Expect(s.Check(at, partsOf("p")).Refused).To(BeTrue(), "refused although it had been answered")
}

// Guards against an operator not seeing what spoke for a part that is refused, or is so no longer.
func TestChangesTellAnsweredRuns(t *testing.T) {
	for name, answered := range map[string]int{"never answered": 0, "answered": 3} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newCauses()
			for range answered {
				s.RecordAnswer(now, partsOf("p"))
			}
			at := crashInTurn(s, now, 6, "p")
			s.RecordAnswer(at, partsOf("p"))
			changes := s.Changes()
			g.Expect(changes).To(HaveLen(2))
			g.Expect(changes[0].Quarantined).To(BeTrue())
			g.Expect(changes[0].Answered).To(BeEquivalentTo(answered))
			g.Expect(changes[1].Quarantined).To(BeFalse())
			g.Expect(changes[1].Answered).To(BeEquivalentTo(answered + 1))
		})
	}
}

// Guards against an entry that has missed an answer making others refuse the part again.
func TestQuarantineOfAnsweredPartIsNotTakenOver(t *testing.T) {
	g := NewWithT(t)
	s := newCauses()
	s.RecordAnswer(now, partsOf("p"))
	reported := crashes.Quarantine{Cause: partsOf("p")[0]}
	g.Expect(s.ApplyQuarantine(now, reported)).To(BeFalse())
	reported.DespiteAnswers = true
	g.Expect(s.ApplyQuarantine(now, reported)).To(BeTrue())
	g.Expect(s.Check(now, partsOf("p")).Refused).To(BeTrue())
}

// Guards against each answer to a request with a popular part being announced by all entries.
func TestAnswerIsAnnouncedOnce(t *testing.T) {
	g := NewWithT(t)
	s := newCauses()
	s.RecordAnswer(now, partsOf("p"))
	for _, byOther := range []bool{false, true} {
		crashInTurn(s, now, 1, "p")
		atOnce, soon := s.RecordAnswer(now, partsOf("p"))
		g.Expect(atOnce).To(BeEmpty())
		g.Expect(soon).To(Equal(partsOf("p")))
		if byOther {
			s.Clear(now, partsOf("p"))
			g.Expect(s.Unreported(soon)).To(BeEmpty())
			continue
		}
		g.Expect(s.Unreported(soon)).To(Equal(partsOf("p")))
		g.Expect(s.Unreported(soon)).To(BeEmpty())
	}
}

// Guards against an operator being unable to free a part that is refused by mistake.
func TestAllowedPartIsNotRefused(t *testing.T) {
	g := NewWithT(t)
	s := newCauses()
	at := crashInTurn(s, now, 3, "p")
	s.SetAllowed([]string{"p"})
	g.Expect(s.Check(at, partsOf("p")).Refused).To(BeFalse())
	s.SetAllowed(nil)
	g.Expect(s.Check(at, partsOf("p")).Refused).To(BeTrue())
}

// Guards against parts that each break once, or are answered once, using up the memory.
func TestMemoryOfCausesIsBounded(t *testing.T) {
	g := NewWithT(t)
	s := newCauses()
	at := crashInTurn(s, now, 3, "bad")
	g.Expect(s.Check(at, partsOf("bad")).Refused).To(BeTrue())
	for i := range 10_000 {
		s.RecordBroken(at, fmt.Sprint("t", i%3000), simRun, evidence(fmt.Sprint("p", i)))
		s.RecordAnswer(at, partsOf(fmt.Sprint("q", i)))
	}
	g.Expect(s.Suspected()).To(BeNumerically("<=", 4096))
	g.Expect(s.Check(at, partsOf("bad")).Refused).To(BeTrue())
}

// BenchmarkRequest measures what a request with some shared parts costs where nothing is suspected, and where
// all memory is in use.
func BenchmarkRequest(b *testing.B) {
	for _, suspects := range []int{0, 4096} {
		b.Run(fmt.Sprint(suspects), func(b *testing.B) {
			s := newCauses()
			for i := range suspects {
				s.RecordBroken(now, fmt.Sprint("t", i%1000), simRun, evidence(fmt.Sprint("p", i)))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				causes := []crashes.Cause{
					{Kind: crashes.Part, Service: simService, ID: "first"}, {Kind: crashes.Part, Service: simService, ID: "second"},
					{Kind: crashes.Part, Service: simService, ID: fmt.Sprint(i)},
				}
				s.Check(now, causes)
				s.Claim(now, causes)
				s.RecordAnswer(now, causes)
			}
		})
	}
}
