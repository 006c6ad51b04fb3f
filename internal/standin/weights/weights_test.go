package weights

import (
	"net/http"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/standin/base"
)

func TestWeights(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "weights")
}

var _ = Describe("the weight store", func() {
	It("answers 429 with Retry-After above its rate", func() {
		once := base.Common{Faults: base.Faults{Rate: 0.01}}
		s, err := Start("127.0.0.1:0", Params{Common: once, Bytes: 10})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Close)
		get := func() *http.Response {
			response, err := http.Get("http://" + s.Address() + "/weights/m/1")
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			return response
		}
		Expect(get().ContentLength).To(BeEquivalentTo(10))
		second := get()
		Expect(second.StatusCode).To(Equal(http.StatusTooManyRequests))
		Expect(second.Header.Get("Retry-After")).To(MatchRegexp(`^(99|100)$`))
		Expect(s.Ledger().Report().Runs).To(HaveLen(1))
	})
})
