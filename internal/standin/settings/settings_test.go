package settings

import (
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"sycamoretrail/internal/standin/base"
	"sycamoretrail/internal/standin/service"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

var _ = Describe("a settings file", func() {
	It("has all its errors reported at once", func() {
		_, err := Parse([]byte(`{"standins":[
			{"kind":"oven","name":"a","address":"127.0.0.1:1","admin_address":"127.0.0.1:2"},
			{"kind":"engine","name":"a","address":"127.0.0.1:1","admin_address":"nowhere","params":{"max_batch":-1,"role":"both"}},
			{"kind":"log","name":"c","address":"127.0.0.1:3","admin_address":"127.0.0.1:4","params":{"retention":1}}]}`))
		Expect(err).To(MatchError(ErrSettings))
		for _, problem := range []string{`unknown kind "oven"`, "not unique", "used twice", `"nowhere"`, "max batch", `"retention"`} {
			Expect(err.Error()).To(ContainSubstring(problem))
		}
	})

	It("starts every stand-in that it lists", func() {
		var list []string
		for _, kind := range []string{KindEngine, KindService, KindLog, KindInstances, KindWeights} {
			list = append(list, `{"kind":"`+kind+`","name":"`+kind+`","address":"127.0.0.1:0","admin_address":"127.0.0.1:0"}`)
		}
		file, err := Parse([]byte(`{"standins":[` + strings.Join(list, ",") + `]}`))
		Expect(err).NotTo(HaveOccurred())
		log := logrus.New()
		log.SetOutput(io.Discard)
		running, err := file.Start(log)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(CloseAll, running)
		Expect(running).To(HaveLen(len(list)))
		for _, one := range running {
			answer, err := http.Get("http://" + one.AdminAddress() + "/admin/ledger")
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.StatusCode).To(Equal(http.StatusOK))
			Expect(answer.Body.Close()).To(Succeed())
		}
	})
})

var _ = Describe("a plain service", func() {
	// The call takes effect, then its connection closes without an answer. For the
	// caller the outcome is unknown. The ledger contains one complete run.
	It("records a call whose answer was lost in the ledger", func() {
		s, err := service.Start("127.0.0.1:0", service.Params{Common: base.Common{Faults: base.Faults{LoseAnswers: true}}})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Close)
		request, err := http.NewRequest(http.MethodPut, "http://"+s.Address()+"/slots/7", strings.NewReader("reserve"))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("X-Request-Id", "id-1")
		request.Header.Set("Idempotency-Key", "key-1")
		_, err = http.DefaultClient.Do(request)
		Expect(err).To(HaveOccurred())
		runs := s.Ledger().Report().Runs
		Expect(runs).To(HaveLen(1))
		Expect(runs[0].Complete).To(BeTrue())
		Expect(runs[0].ID).To(Equal("id-1"))
		Expect(runs[0].Key).To(Equal("key-1"))
	})
})
