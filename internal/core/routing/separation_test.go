package routing

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("separation", func() {
	It("sends long prompts to targets with fast prefill and keeps short ones away from them", func() {
		r := routerFor(poolOf(60, 20), 5)
		longFast, shortFast := 0, 0
		const choices = 300
		for range choices {
			if isFast(first(r.Choose(start, newRequest(12000, 50), nil))) {
				longFast++
			}
			if isFast(first(r.Choose(start, newRequest(100, 50), nil))) {
				shortFast++
			}
		}
		Expect(longFast).To(Equal(choices))
		Expect(shortFast).To(BeNumerically("<", choices/5))
	})

	It("uses fast targets for short prompts when the others are full", func() {
		r := routerFor(poolOf(12, 4), 5)
		for i := range 8 {
			d := digest(targetName(4+i), 16, 16)
			d.Wait = 3e9
			r.Digest(start, d)
		}
		for range 50 {
			Expect(isFast(first(r.Choose(start, newRequest(100, 50), nil)))).To(BeTrue())
		}
	})
})

func isFast(name string) bool {
	for i := range 20 {
		if name == targetName(i) {
			return i < 20
		}
	}
	return false
}
