package instances

import (
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/standin/base"
)

func TestInstances(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "instances")
}

var _ = Describe("the instance list", func() {
	call := func(s *Server, method, path, body string) (int, string) {
		request, err := http.NewRequest(method, "http://"+s.Address()+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		return response.StatusCode, string(data)
	}

	// A target is added to the list and an entry is removed from it. Until the lag
	// has passed, reads still return the entry and not the target.
	It("shows changes only after the lag", func() {
		old := Row{Name: "old", Address: "127.0.0.1:1", Zone: "z", Role: RoleEntry}
		hour := base.Faults{LagMS: 3_600_000}
		s, err := Start("127.0.0.1:0", Params{Common: base.Common{Faults: hour}, Instances: []Row{old}})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Close)
		status, _ := call(s, http.MethodPut, "/instances/new", `{"address":"127.0.0.1:2","zone":"z","role":"target","leaving":true}`)
		Expect(status).To(Equal(http.StatusNoContent))
		_, _ = call(s, http.MethodDelete, "/instances/old", "")
		_, late := call(s, http.MethodGet, "/instances", "")
		Expect(late).To(ContainSubstring(`"old"`))
		Expect(late).NotTo(ContainSubstring(`"new"`))
		Expect(s.Apply(base.Faults{})).To(Succeed())
		_, fresh := call(s, http.MethodGet, "/instances", "")
		Expect(fresh).To(Equal(`{"instances":[{"name":"new","address":"127.0.0.1:2","zone":"z","role":"target","leaving":true}]}`))
		status, _ = call(s, http.MethodPut, "/instances/bad", `{"address":"127.0.0.1:2","role":"oven"}`)
		Expect(status).To(Equal(http.StatusBadRequest))
	})
})
