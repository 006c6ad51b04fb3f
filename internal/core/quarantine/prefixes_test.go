package quarantine_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/quarantine"
)

var _ = Describe("Suspects of prompt prefixes", func() {
	It("quarantines a beginning at the third crash without an answer between, for a while", func() {
		s := quarantine.New(quarantine.ForPrefixes())
		for i, target := range []string{"t1", "t2"} {
			Expect(s.Crash(at(time.Duration(i)*time.Minute), target, "1", running(crashing, other))).To(HaveLen(2))
		}
		Expect(s.Completed(at(90*time.Second), other)).To(HaveLen(1))
		effects := s.Crash(at(2*time.Minute), "t3", "1", running(crashing, other))
		Expect(s.Check(at(2*time.Minute), crashing)).To(Equal(quarantine.Quarantined))
		Expect(s.Check(at(2*time.Minute), other)).NotTo(Equal(quarantine.Quarantined))
		Expect(effects).To(HaveLen(2))
		Expect(s.Check(at(2*time.Minute+s.QuarantineLeft(at(2*time.Minute), crashing)), crashing)).To(Equal(quarantine.Clean))
	})

	It("counts against few beginnings of a long prompt", func() {
		prompt := make([]uint64, 1000)
		for i := range prompt {
			prompt[i] = uint64(i + 1)
		}
		Expect(quarantine.FingerprintsOf(prompt[:1])).To(Equal(running(1)))
		Expect(quarantine.FingerprintsOf(prompt[:13])).To(Equal(running(1, 2, 3, 4, 6, 8, 12)))
		Expect(len(quarantine.FingerprintsOf(prompt))).To(BeNumerically("<=", 20))
		Expect(quarantine.FingerprintsOf(nil)).To(BeEmpty())
	})
})
