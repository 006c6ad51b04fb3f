package routing

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("separation", func() {
	It("sends long prompts to fast prefill and keeps short ones off it", func() {
		r := routerFor(poolOf(60, 20), 5)
		longFast, shortFast := 0, 0
		const asked = 300
		for range asked {
			if isFast(first(r.Choose(start, ask(12000, 50), nil))) {
				longFast++
			}
			if isFast(first(r.Choose(start, ask(100, 50), nil))) {
				shortFast++
			}
		}
		Expect(longFast).To(Equal(asked))
		Expect(shortFast).To(BeNumerically("<", asked/5))
	})

	It("lets short prompts use fast targets when the others are full", func() {
		r := routerFor(poolOf(12, 4), 5)
		for i := range 8 {
			d := digest(named(4+i), 16, 16)
			d.Wait = 3e9
			r.Digest(start, d)
		}
		for range 50 {
			Expect(isFast(first(r.Choose(start, ask(100, 50), nil)))).To(BeTrue())
		}
	})
})

func isFast(name string) bool {
	for i := range 20 {
		if name == named(i) {
			return i < 20
		}
	}
	return false
}
