package console_test

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/operators/operatorstest"
)

// fault returns the text of the fault shown at a control.
func (b *browser) fault(control string) string {
	_, rest, found := strings.Cut(b.body, `id="`+control+`-fault">`)
	if !found {
		return ""
	}
	text, _, _ := strings.Cut(rest, "</p>")
	return unescape(text)
}

var _ = Describe("forms", func() {
	It("shows invalid input at its field, and keeps the input", func() {
		b := newSite(operatorstest.Document(1)).loggedIn()
		b.post("/edit", "go", "limits")
		b.post("/edit", "v.in_flight", "many", "v.connections", "123", "go", "review")
		Expect(b.status).To(Equal(http.StatusUnprocessableEntity))
		Expect(b.fault("v.in_flight")).To(Equal(`"many" is not a number; write a whole number, without separators`))
		Expect(b.fields().Get("v.in_flight")).To(Equal("many"))
		Expect(b.fields().Get("v.connections")).To(Equal("123"))
		Expect(b.body).To(MatchRegexp(`id="v.in_flight"[^>]* aria-describedby="v.in_flight-fault v.in_flight-help" aria-invalid="true" autofocus`))
	})

	It("shows the check's faults at their fields, and publishes nothing", func() {
		s := newSite(operatorstest.Document(2))
		b := s.loggedIn()
		b.post("/edit", "go", "organisations")
		b.post("/edit", "r1.tiers", "rider, driver", "go", "organisations")
		Expect(b.fault("r1.tiers")).To(Equal(`item 2: no tier is called "driver"; name one that the document lists, or add it`))
		Expect(b.text()).To(ContainSubstring("1 change, 1 fault"))
		b.post("/edit", "go", "review")
		Expect(b.text()).To(ContainSubstring(`Organisations, org-00001, Tiers: item 2: no tier is called "driver"`))
		Expect(b.body).NotTo(ContainSubstring(`id="publish"`))
		b.post("/publish")
		Expect(b.text()).To(ContainSubstring("nothing was published"))
		b.post("/edit", "go", "tiers")
		b.post("/edit", "new.name", "driver", "go", "review")
		b.post("/publish")
		Expect(b.text()).To(ContainSubstring("Accepted as version 2"))
	})

	DescribeTable("refuses a new record without a valid, unique name",
		func(name, want string) {
			b := newSite(operatorstest.Document(1)).loggedIn()
			b.post("/edit", "go", "models")
			b.post("/edit", "new.name", name, "new.context_tokens", "1", "go", "models")
			Expect(b.status).To(Equal(http.StatusUnprocessableEntity))
			Expect(b.fault("new.name")).To(ContainSubstring(want))
		},
		Entry("doubled", "assistant", "is the name of another"),
		Entry("empty", "", "has no name"),
		Entry("with a bracket", "a]b", "not allowed"),
	)

	It("shows an added record, with its faults", func() {
		b := newSite(operatorstest.Document(60)).loggedIn()
		b.post("/edit", "go", "organisations")
		b.post("/edit", "new.name", "newcomer", "new.tiers", "rider", "go", "organisations")
		Expect(b.body).To(ContainSubstring("<legend>newcomer</legend>"))
		Expect(b.fault("r0.key_hashes")).To(ContainSubstring("has 0 hashes"))
	})

	// One page with 38,000 organisations would have 266,000 controls, too many for a
	// browser. A page shows some of them, others are found by name, and a change to
	// one organisation must be one change in a small draft.
	It("pages and searches 38,000 organisations", func() {
		b := newSite(operatorstest.Document(38_000)).loggedIn()
		b.post("/edit", "go", "organisations")
		Expect(b.text()).To(ContainSubstring("38000 of 38000, page 1 of 1520"))
		Expect(strings.Count(b.body, "<fieldset>")).To(Equal(25))
		b.post("/edit", "go", "organisations@1520")
		Expect(b.body).To(ContainSubstring("<legend>org-37999</legend>"))
		b.post("/edit", "q", "31415", "go", "organisations@1")
		Expect(strings.Count(b.body, "<fieldset>")).To(Equal(1))
		b.post("/edit", "r0.weight", "2.5", "go", "review")
		Expect(b.text()).To(ContainSubstring("organisations[org-31415].weight 1 2.5"))
		Expect(len(b.fields().Get("draft"))).To(BeNumerically("<", 1000))
	})

	It("labels every control", func() {
		b := newSite(operatorstest.Document(1)).loggedIn()
		for _, part := range []string{"tiers", "organisations", "pools", "models", "services", "classes", "targets", "limits", "refusal", "shutdown", "timing"} {
			b.post("/edit", "go", part)
			Expect(b.body).NotTo(MatchRegexp(`<label for="[^"]*"></label>`), part)
			Expect(b.body).NotTo(MatchRegexp(`value="on"[^>]*> *</label>`), part)
			for _, found := range inputs.FindAllStringSubmatch(b.body, -1) {
				if !strings.Contains(found[0], `type="hidden"`) {
					Expect(b.body).To(ContainSubstring(`<label for="`+found[1]+`">`), part)
				}
			}
		}
	})
})
