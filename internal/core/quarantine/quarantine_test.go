package quarantine_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/quarantine"
	"sycamoretrail/internal/core/record"
	"sycamoretrail/internal/core/request"
)

var start = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func running(fps ...request.Fingerprint) []request.Fingerprint { return fps }

const crashing, other, third = request.Fingerprint(1), request.Fingerprint(2), request.Fingerprint(3)

var _ = Describe("Suspects", func() {
	// A request crashes a target while two others are in flight there. Its caller sends
	// it again under a new id, with the same fingerprint. It runs apart from other
	// suspects, crashes a second target and is quarantined. The others, which
	// completed, are clean. Peers and the log are informed.
	It("quarantines a crashing request at its second crash, under any id", func() {
		s := quarantine.New(quarantine.Config{})
		Expect(s.Crash(start, "t1", "1", running(crashing, other, third, crashing))).To(HaveLen(3))
		Expect(s.Check(start, crashing)).To(Equal(quarantine.Suspect))
		cleared := s.Completed(at(time.Second), other)
		Expect(cleared[0].Share.Cleared).To(BeTrue())
		effects := s.Crash(at(5*time.Second), "t2", "1", running(crashing, 9))
		Expect(effects).To(HaveLen(2))
		Expect(effects[0].Append).To(Equal(&record.Quarantine{Fingerprint: crashing, Crashes: []string{"t1/1", "t2/1"}}))
		Expect(effects[0].Share.Quarantined).To(BeTrue())
		Expect(s.Check(at(6*time.Second), crashing)).To(Equal(quarantine.Quarantined))
		Expect(s.Check(at(6*time.Second), other)).To(Equal(quarantine.Clean))
		Expect(s.Check(at(6*time.Second), 9)).To(Equal(quarantine.Suspect))
		Expect(s.Completed(at(6*time.Second), crashing)).To(BeEmpty())
		Expect(s.QuarantinedFingerprints(at(6 * time.Second))).To(Equal(running(crashing)))
		Expect(s.QuarantineLeft(at(6*time.Second), crashing)).To(Equal(quarantine.DefaultQuarantine - time.Second))
	})

	// Three entries had requests at the target that crashed. Each reports the crash and
	// shares its own state. It is one crash and must not lead to quarantine.
	It("counts a crash once, whoever reports it", func() {
		s := quarantine.New(quarantine.Config{})
		s.Crash(start, "t1", "1", running(crashing))
		Expect(s.Crash(at(9*time.Second), "t1", "1", running(crashing))).To(BeEmpty())
		Expect(s.Merge(at(9*time.Second), message.Suspicion{Fingerprint: crashing, Crashes: []string{"t1/1"}})).To(BeEmpty())
		Expect(s.Check(at(9*time.Second), crashing)).To(Equal(quarantine.Suspect))
	})

	It("quarantines after two crashes observed by two entries", func() {
		s, peer := quarantine.New(quarantine.Config{}), quarantine.New(quarantine.Config{})
		share := s.Crash(start, "t1", "1", running(crashing))[0].Share
		peer.Crash(at(5*time.Second), "t2", "1", running(crashing))
		effects := peer.Merge(at(5*time.Second), *share)
		Expect(effects).To(HaveLen(1))
		Expect(effects[0].Append).NotTo(BeNil())
		Expect(s.Merge(at(5*time.Second), *effects[0].Share)).To(BeEmpty())
		Expect(s.Check(at(5*time.Second), crashing)).To(Equal(quarantine.Quarantined))
	})

	// A peer's report of a crash arrives after the answer that cleared it. The request
	// must not become a suspect again.
	It("does not count a cleared crash again", func() {
		s, peer := quarantine.New(quarantine.Config{}), quarantine.New(quarantine.Config{})
		late := *s.Crash(start, "t1", "1", running(other))[0].Share
		clearing := *s.Completed(start, other)[0].Share
		peer.Merge(start, clearing)
		Expect(peer.Merge(start, late)).To(BeEmpty())
		Expect(peer.Check(start, other)).To(Equal(quarantine.Clean))
		Expect(s.Crash(start, "t1", "1", running(other))).To(BeEmpty())
	})

	// A zone fails and takes many targets down. A popular request ran on several of
	// them and has crashed none: it must not be quarantined.
	It("quarantines no request because of a burst of crashes", func() {
		s := quarantine.New(quarantine.Config{})
		for i, target := range []string{"a", "b", "c", "d", "e"} {
			fp := running(request.Fingerprint(10 + i))
			if i >= 2 {
				fp = append(fp, crashing)
			}
			s.Crash(at(time.Duration(i)*100*time.Millisecond), target, "1", fp)
		}
		Expect(s.Check(at(time.Second), crashing)).To(Equal(quarantine.Suspect))
		s.Crash(at(time.Minute), "f", "1", running(crashing))
		Expect(s.Check(at(time.Minute), crashing)).To(Equal(quarantine.Quarantined))
	})

	It("lets suspicions and quarantines expire", func() {
		s := quarantine.New(quarantine.Config{Suspicion: time.Minute, Quarantine: time.Hour})
		s.Crash(start, "t1", "1", running(crashing, other))
		s.Crash(at(30*time.Second), "t2", "1", running(crashing))
		Expect(s.Check(at(time.Minute), other)).To(Equal(quarantine.Clean))
		s.Crash(at(2*time.Minute), "t3", "1", running(other))
		Expect(s.Check(at(2*time.Minute), other)).To(Equal(quarantine.Suspect), "two crashes far apart")
		Expect(s.Check(at(time.Hour+29*time.Second), crashing)).To(Equal(quarantine.Quarantined))
		Expect(s.Check(at(time.Hour+30*time.Second), crashing)).To(Equal(quarantine.Clean))
		Expect(s.Len()).To(BeZero())
	})

	// All entries are replaced. A record from the log must lead to quarantine for the
	// rest of its time, not for the full time since the restart.
	It("restores the rest of a quarantine from the log", func() {
		s := quarantine.New(quarantine.Config{Quarantine: time.Hour})
		s.FromLog(start, 59*time.Minute, record.Quarantine{Fingerprint: crashing})
		s.FromLog(start, 2*time.Hour, record.Quarantine{Fingerprint: other})
		Expect(s.Check(start, crashing)).To(Equal(quarantine.Quarantined))
		Expect(s.Check(start, other)).To(Equal(quarantine.Clean))
		Expect(s.Check(at(time.Minute), crashing)).To(Equal(quarantine.Clean))
	})

	It("bounds its memory and never evicts a quarantined request", func() {
		s := quarantine.New(quarantine.Config{Max: 3})
		s.FromLog(start, 0, record.Quarantine{Fingerprint: crashing})
		for fp := request.Fingerprint(10); fp < 100; fp++ {
			s.Crash(at(time.Duration(fp)*2*time.Second), "t", string(rune(fp)), running(fp))
			Expect(s.Len()).To(BeNumerically("<=", 3))
		}
		now := at(200 * time.Second)
		Expect(s.Check(now, crashing)).To(Equal(quarantine.Quarantined))
		Expect(s.Check(now, 99)).To(Equal(quarantine.Suspect))
		Expect(s.Check(now, 97)).To(Equal(quarantine.Clean))
		s.FromLog(now, 0, record.Quarantine{Fingerprint: 98})
		s.FromLog(now, 0, record.Quarantine{Fingerprint: 99})
		s.FromLog(now, 0, record.Quarantine{Fingerprint: other})
		Expect(s.Dropped()).To(Equal(1))
		Expect(s.QuarantinedFingerprints(now)).To(Equal(running(crashing, 98, 99)))
	})
})
