package quarantine_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/quarantine"
	"sycamoretrail/internal/core/request"
)

var _ = Describe("Prefixes", func() {
	const short, long = request.Fingerprint(1), request.Fingerprint(2)
	var p *quarantine.Prefixes
	crashes := 0
	// crash lets another engine crash under a prompt.
	crash := func(now time.Time, prompt ...request.Fingerprint) (quarantined []request.Fingerprint) {
		crashes++
		target := fmt.Sprint("t", crashes)
		_, quarantined = p.Crash(now, target, target+"/1", prompt)
		return quarantined
	}
	left := func(now time.Time, prompt ...request.Fingerprint) time.Duration { return p.Left(now, prompt) }
	BeforeEach(func() { p = quarantine.NewPrefixes() })

	It("refuses a beginning at the third crash without an answer between", func() {
		Expect(crash(start, short, long)).To(BeEmpty())
		Expect(crash(at(time.Minute), short, long)).To(BeEmpty())
		p.Answered(at(90*time.Second), running(short), 0)
		Expect(crash(at(2*time.Minute), short, long)).To(Equal(running(long)))
		Expect(left(at(2*time.Minute), short)).To(BeZero())
		Expect(left(at(2*time.Minute), short, long)).To(Equal(10 * time.Minute))
		Expect(p.Quarantined(at(2 * time.Minute))).To(Equal(1))
	})

	// A beginning that comes once in a quarter of an hour, and callers who try again each minute.
	It("lets a beginning crash few engines, however rarely or often it comes", func() {
		for _, pause := range []time.Duration{15 * time.Minute, time.Minute} {
			p = quarantine.NewPrefixes()
			ran := 0
			for now := start; now.Before(at(24 * time.Hour)); now = now.Add(pause) {
				if left(now, long) <= 0 {
					ran++
					crash(now, long)
				}
			}
			Expect(ran).To(BeNumerically("<=", 9), "each %v", pause)
		}
	})

	It("ends a quarantine with an answer, here and at the peers, and late records don't begin it again", func() {
		peer := quarantine.NewPrefixes()
		for i := range 3 {
			crash(at(time.Duration(i)*time.Minute), long)
			target := fmt.Sprint("t", crashes)
			peer.Crash(at(time.Duration(i)*time.Minute), target, target+"/1", running(long))
		}
		now := at(3 * time.Minute)
		names := p.CrashesOf(now, long)
		Expect(p.Answered(now, running(long), time.Second)).To(Equal(running(long)))
		Expect(left(now, long)).To(BeZero())
		Expect(p.ToTell(now)).To(BeEmpty())
		told := p.ToTell(now.Add(time.Second))
		Expect(told).To(HaveLen(1))
		Expect(peer.MergeAnswer(now, told[0])).To(Equal(running(long)))
		Expect(peer.Left(now, running(long))).To(BeZero())
		peer.Restore(now, time.Second, long, names)
		Expect(peer.Left(now, running(long))).To(BeZero())
		counted, _ := peer.Crash(now, "t1", names[0], running(long))
		Expect(counted).To(BeEmpty(), "the crash has been ruled out")
	})

	It("tells the peers nothing that one of them has told", func() {
		crash(start, short, long)
		names := p.CrashesOf(start, long)
		p.Answered(start, running(short, long), time.Second)
		p.MergeAnswer(start, quarantine.Answer{Prefixes: running(short, long), Crashes: names})
		Expect(p.ToTell(at(time.Minute))).To(BeEmpty())
	})

	It("counts the crashes of a rack that fails as one", func() {
		for i := range 8 {
			crash(at(time.Duration(i)*100*time.Millisecond), long)
		}
		Expect(left(at(time.Second), long)).To(BeZero())
	})

	It("restores a quarantine from the log with the rest of its time", func() {
		p.Restore(start, 4*time.Minute, long, []string{"t1/1"})
		Expect(left(start, long)).To(Equal(6 * time.Minute))
		p.Restore(start, time.Hour, short, nil)
		Expect(left(start, short)).To(BeZero())
	})

	It("keeps what it refuses when the memory is full", func() {
		for i := range 3 {
			crash(at(time.Duration(2+i)*time.Minute), long)
		}
		for i := range 30_000 {
			crash(at(10*time.Minute), request.Fingerprint(100+i))
		}
		Expect(left(at(10*time.Minute), long)).To(BeNumerically(">", 0))
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
