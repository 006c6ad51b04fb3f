package suspects_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/record"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/core/suspects"
)

var start = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func running(fps ...request.Fingerprint) []request.Fingerprint { return fps }

const poison, other, third = request.Fingerprint(1), request.Fingerprint(2), request.Fingerprint(3)

var _ = Describe("Suspects", func() {
	// A poisonous request kills a target with two others in flight. Its caller
	// sends it again under a new id: the fingerprint is the same, so it runs apart
	// from other suspects, kills a second target and is convicted; the others,
	// which completed, are clean. Peers and the log get to know.
	It("convicts the poisonous request at its second death, under any id", func() {
		s := suspects.New(suspects.Config{})
		Expect(s.Death(start, "t1", "1", running(poison, other, third, poison))).To(HaveLen(3))
		Expect(s.Judge(start, poison)).To(Equal(suspects.Suspect))
		cleared := s.Completed(at(time.Second), other)
		Expect(cleared[0].Share.Cleared).To(BeTrue())
		effects := s.Death(at(5*time.Second), "t2", "1", running(poison, 9))
		Expect(effects).To(HaveLen(2))
		Expect(effects[0].Append).To(Equal(&record.Verdict{Fingerprint: poison, Deaths: []string{"t1/1", "t2/1"}}))
		Expect(effects[0].Share.Convicted).To(BeTrue())
		Expect(s.Judge(at(6*time.Second), poison)).To(Equal(suspects.Convicted))
		Expect(s.Judge(at(6*time.Second), other)).To(Equal(suspects.Clean))
		Expect(s.Judge(at(6*time.Second), 9)).To(Equal(suspects.Suspect))
		Expect(s.Completed(at(6*time.Second), poison)).To(BeEmpty())
		Expect(s.Convictions(at(6 * time.Second))).To(Equal(running(poison)))
		Expect(s.Until(at(6*time.Second), poison)).To(Equal(suspects.DefaultConviction - time.Second))
	})

	// Three entries had requests at the target that died; each reports the death
	// and shares what it holds. It is one death and convicts nobody.
	It("counts a death once, whoever reports it", func() {
		s := suspects.New(suspects.Config{})
		s.Death(start, "t1", "1", running(poison))
		Expect(s.Death(at(9*time.Second), "t1", "1", running(poison))).To(BeEmpty())
		Expect(s.Merge(at(9*time.Second), message.Suspicion{Fingerprint: poison, Deaths: []string{"t1/1"}})).To(BeEmpty())
		Expect(s.Judge(at(9*time.Second), poison)).To(Equal(suspects.Suspect))
	})

	It("convicts on two deaths seen by two entries", func() {
		s, peer := suspects.New(suspects.Config{}), suspects.New(suspects.Config{})
		share := s.Death(start, "t1", "1", running(poison))[0].Share
		peer.Death(at(5*time.Second), "t2", "1", running(poison))
		effects := peer.Merge(at(5*time.Second), *share)
		Expect(effects).To(HaveLen(1))
		Expect(effects[0].Append).NotTo(BeNil())
		Expect(s.Merge(at(5*time.Second), *effects[0].Share)).To(BeEmpty())
		Expect(s.Judge(at(5*time.Second), poison)).To(Equal(suspects.Convicted))
	})

	// A peer's report of a death arrives after the answer that cleared it. It
	// must not make the request a suspect again.
	It("does not take up a cleared death again", func() {
		s, peer := suspects.New(suspects.Config{}), suspects.New(suspects.Config{})
		late := *s.Death(start, "t1", "1", running(other))[0].Share
		clearing := *s.Completed(start, other)[0].Share
		peer.Merge(start, clearing)
		Expect(peer.Merge(start, late)).To(BeEmpty())
		Expect(peer.Judge(start, other)).To(Equal(suspects.Clean))
		Expect(s.Death(start, "t1", "1", running(other))).To(BeEmpty())
	})

	// A zone goes and takes many targets along. A question that is asked often
	// ran on several of them and has killed none: it must not be convicted.
	It("convicts nobody by a burst of deaths", func() {
		s := suspects.New(suspects.Config{})
		for i, target := range []string{"a", "b", "c", "d", "e"} {
			fp := running(request.Fingerprint(10 + i))
			if i >= 2 {
				fp = append(fp, poison)
			}
			s.Death(at(time.Duration(i)*100*time.Millisecond), target, "1", fp)
		}
		Expect(s.Judge(at(time.Second), poison)).To(Equal(suspects.Suspect))
		s.Death(at(time.Minute), "f", "1", running(poison))
		Expect(s.Judge(at(time.Minute), poison)).To(Equal(suspects.Convicted))
	})

	It("lapses after its time", func() {
		s := suspects.New(suspects.Config{Suspicion: time.Minute, Conviction: time.Hour})
		s.Death(start, "t1", "1", running(poison, other))
		s.Death(at(30*time.Second), "t2", "1", running(poison))
		Expect(s.Judge(at(time.Minute), other)).To(Equal(suspects.Clean))
		s.Death(at(2*time.Minute), "t3", "1", running(other))
		Expect(s.Judge(at(2*time.Minute), other)).To(Equal(suspects.Suspect), "two deaths far apart")
		Expect(s.Judge(at(time.Hour+29*time.Second), poison)).To(Equal(suspects.Convicted))
		Expect(s.Judge(at(time.Hour+30*time.Second), poison)).To(Equal(suspects.Clean))
		Expect(s.Len()).To(BeZero())
	})

	// All entries are replaced. The log's record must convict for the rest of the
	// conviction's time, not for a new one from the restart on.
	It("takes the rest of a conviction off the log", func() {
		s := suspects.New(suspects.Config{Conviction: time.Hour})
		s.FromLog(start, 59*time.Minute, record.Verdict{Fingerprint: poison})
		s.FromLog(start, 2*time.Hour, record.Verdict{Fingerprint: other})
		Expect(s.Judge(start, poison)).To(Equal(suspects.Convicted))
		Expect(s.Judge(start, other)).To(Equal(suspects.Clean))
		Expect(s.Judge(at(time.Minute), poison)).To(Equal(suspects.Clean))
	})

	It("bounds its memory and never evicts a conviction", func() {
		s := suspects.New(suspects.Config{Max: 3})
		s.FromLog(start, 0, record.Verdict{Fingerprint: poison})
		for fp := request.Fingerprint(10); fp < 100; fp++ {
			s.Death(at(time.Duration(fp)*2*time.Second), "t", string(rune(fp)), running(fp))
			Expect(s.Len()).To(BeNumerically("<=", 3))
		}
		now := at(200 * time.Second)
		Expect(s.Judge(now, poison)).To(Equal(suspects.Convicted))
		Expect(s.Judge(now, 99)).To(Equal(suspects.Suspect))
		Expect(s.Judge(now, 97)).To(Equal(suspects.Clean))
		s.FromLog(now, 0, record.Verdict{Fingerprint: 98})
		s.FromLog(now, 0, record.Verdict{Fingerprint: 99})
		s.FromLog(now, 0, record.Verdict{Fingerprint: other})
		Expect(s.Dropped()).To(Equal(1))
		Expect(s.Convictions(now)).To(Equal(running(poison, 98, 99)))
	})
})
