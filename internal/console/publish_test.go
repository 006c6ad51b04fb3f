package console_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/operators/operatorstest"
)

func (s *site) inForce() *document.Document {
	_, _, data := s.fake.Document()
	d, err := document.Parse(data)
	Expect(err).NotTo(HaveOccurred())
	return d
}

// review changes limits.in_flight and goes on to the review.
func (b *browser) review(inFlight string) {
	b.get("/")
	b.post("/edit", "go", "limits")
	b.post("/edit", "v.in_flight", inFlight, "go", "review")
}

var _ = Describe("publishing", func() {
	It("publishes a change and shows at how many entries it is in force", func() {
		s := newSite(operatorstest.Document(2))
		s.fake.Entry(2).Freeze(1)
		b := s.loggedIn()
		b.review("5000")
		Expect(b.text()).To(ContainSubstring("limits.in_flight 4000 5000"))
		b.post("/publish", "comment", "more room")
		Expect(b.text()).To(ContainSubstring("Accepted as version 2. In force on 2 of 3 entries."))
		Expect(s.inForce().Limits.InFlight).To(Equal(5000))
		Expect(s.inForce().Comment).To(Equal("more room"))
	})

	It("publishes only the operator's changes", func() {
		first := operatorstest.Document(40)
		first.Refusal.Early = false
		s := newSite(first)
		before := s.inForce()
		b := s.loggedIn()
		for _, part := range []string{"tiers", "organisations", "organisations@2", "pools", "models", "services", "classes", "targets", "limits", "refusal", "shutdown", "timing", "tiers"} {
			b.post("/edit", "go", part)
			Expect(b.status).To(Equal(http.StatusOK), part)
		}
		b.post("/edit", "go", "review")
		Expect(b.text()).To(ContainSubstring("Nothing was changed"))
		b.post("/edit", "go", "refusal")
		b.post("/edit", "v.early", "on", "go", "review")
		b.post("/publish", "comment", before.Comment)
		changes := document.Diff(before, s.inForce())
		Expect(changes).To(HaveLen(3))
		Expect(changes[2]).To(Equal(document.Change{Path: "refusal.early", Before: "false", After: "true"}))
	})

	It("adds, changes and removes records, and orders tiers", func() {
		s := newSite(operatorstest.Document(2))
		b := s.loggedIn()
		b.post("/edit", "go", "tiers")
		b.post("/edit", "new.name", "urgent", "new.position", "1", "go", "targets")
		b.post("/edit", "r1.leaving", "on", "r2.remove", "on", "go", "services")
		b.post("/edit", "r0.remove", "on", "go", "organisations")
		b.post("/edit", "r0.services", "", "r1.services", "", "r1.tiers", "urgent, rider", "go", "review")
		Expect(b.text()).To(ContainSubstring("tiers (order, the most important first) rider, attendant, office urgent, rider, attendant, office"))
		b.post("/publish")
		Expect(b.text()).To(ContainSubstring("Accepted as version 2"))
		d := s.inForce()
		Expect(d.Tiers[0].Name).To(Equal("urgent"))
		Expect(d.Tiers[0].DeadlineMS).To(Equal(document.DefaultTierDeadlineMS))
		Expect(d.Targets).To(HaveLen(2))
		Expect(d.Targets[1].Leaving).To(BeTrue())
		Expect(d.Services).To(BeEmpty())
		Expect(d.Organisations[1].Tiers).To(Equal([]string{"urgent", "rider"}))
	})

	DescribeTable("moves a tier to the position entered",
		func(row, position string, want ...string) {
			s := newSite(operatorstest.Document(1))
			b := s.loggedIn()
			b.post("/edit", "go", "tiers")
			b.post("/edit", row+".position", position, "go", "review")
			b.post("/publish")
			var names []string
			for _, tier := range s.inForce().Tiers {
				names = append(names, tier.Name)
			}
			Expect(names).To(Equal(want))
		},
		Entry("up", "r2", "1", "office", "rider", "attendant"),
		Entry("down", "r0", "3", "attendant", "office", "rider"),
		Entry("by one", "r0", "2", "attendant", "rider", "office"),
	)

	// Two operators start from the same version, and the other's record is first in
	// the log. This operator's change must be neither in force nor lost: the page
	// shows the other document and the differences, and a button rebases the change.
	It("shows the document that came first, and rebases the change", func() {
		s := newSite(operatorstest.Document(1))
		b := s.loggedIn()
		b.review("5000")
		s.fake.BeforeNextPublish(func() {
			s.fake.Publish(s.fake.Edited("theirs", func(d *document.Document) {
				d.Limits.InFlight = 6000
				d.Limits.Connections = 77
			}))
		})
		b.post("/publish")
		Expect(b.status).To(Equal(http.StatusConflict))
		Expect(b.text()).To(ContainSubstring("Your document was beaten: theirs came first"))
		Expect(b.text()).To(ContainSubstring("What yours would change in theirs Changes Field Theirs Yours limits.in_flight 6000 5000"))
		Expect(b.text()).To(ContainSubstring("Both changed"))
		b.post("/edit", "go", "rebase")
		b.post("/publish")
		Expect(b.text()).To(ContainSubstring("Accepted as version 3"))
		Expect(s.inForce().Limits.InFlight).To(Equal(5000))
		Expect(s.inForce().Limits.Connections).To(Equal(77))
	})

	// Another document comes into force while the operator is editing. The next page
	// must report it, so that the operator does not continue on an outdated base.
	It("reports an outdated draft before publishing", func() {
		s := newSite(operatorstest.Document(1))
		b := s.loggedIn()
		b.review("5000")
		s.fake.Publish(s.fake.Edited("theirs", func(d *document.Document) { d.Tiers = d.Tiers[:2]; d.Organisations[0].Tiers = []string{"rider"} }))
		b.post("/edit", "go", "limits")
		Expect(b.status).To(Equal(http.StatusConflict))
		Expect(b.text()).To(ContainSubstring("Another document came in force since you began: theirs"))
		Expect(b.text()).NotTo(ContainSubstring("Both changed"))
	})

	// The log is unavailable when the operator publishes, so it is unknown whether
	// the record will be appended. The page must report that and keep the draft.
	// After the outage, checking again must find the document in force.
	It("reports that the result is not known yet, and checks again", func() {
		s := newSite(operatorstest.Document(1))
		b := s.loggedIn()
		b.review("5000")
		s.fake.SetLogOut(true)
		b.post("/publish")
		Expect(b.status).To(Equal(http.StatusAccepted))
		Expect(b.text()).To(ContainSubstring("not known yet"))
		b.post("/outcome")
		Expect(b.text()).To(ContainSubstring("is still in force, and your document is not"))
		s.fake.SetLogOut(false)
		b.post("/outcome")
		Expect(b.text()).To(ContainSubstring("Accepted as version 2"))
	})

	// As above, but another document follows before the operator checks again, so the
	// first is no longer in force. It must be reported as accepted: reported as
	// superseded, the operator would publish the change a second time.
	It("reports an accepted document that another has followed", func() {
		s := newSite(operatorstest.Document(1))
		b := s.loggedIn()
		b.review("5000")
		s.fake.SetLogOut(true)
		b.post("/publish")
		s.fake.SetLogOut(false)
		s.fake.Publish(s.fake.Edited("next", func(d *document.Document) { d.Limits.Connections = 77 }))
		b.post("/outcome")
		Expect(b.text()).To(ContainSubstring("Accepted as version 2"))
		Expect(b.text()).To(ContainSubstring("It was followed by version 3, next"))
	})

	// A publication is undecided, and the operator edits the draft and publishes it
	// again during the log outage. The first record is accepted. If both had the same
	// id, the entry would report "accepted" for the edit, which would be lost silently.
	It("distinguishes an edited draft from the published one", func() {
		s := newSite(operatorstest.Document(1))
		b := s.loggedIn()
		b.review("5000")
		s.fake.SetLogOut(true)
		b.post("/publish")
		b.post("/edit", "go", "limits")
		b.post("/edit", "v.in_flight", "7000", "go", "review")
		b.post("/publish")
		s.fake.SetLogOut(false)
		Expect(s.inForce().Limits.InFlight).To(Equal(5000))
		b.post("/outcome")
		Expect(b.text()).To(ContainSubstring("Your document was beaten"))
		Expect(b.text()).To(ContainSubstring("limits.in_flight 5000 7000"))
	})

	It("reports that nothing was published, or that no entry answers", func() {
		s := newSite(operatorstest.Document(1))
		b := s.loggedIn()
		b.review("5000")
		s.fake.SetLogRefuses(true)
		b.post("/publish")
		Expect(b.text()).To(ContainSubstring("Nothing was published: the log took nothing"))
		s.fake.Close()
		b.post("/publish")
		Expect(b.status).To(Equal(http.StatusBadGateway))
		Expect(b.text()).To(ContainSubstring("no entry answers"))
	})

	It("accepts the same draft only once", func() {
		s := newSite(operatorstest.Document(1))
		b := s.loggedIn()
		b.review("5000")
		form := b.body
		b.post("/publish")
		b.body = form
		b.post("/publish")
		Expect(b.text()).To(ContainSubstring("Accepted as version 2"))
		version, _, _ := s.fake.Document()
		Expect(version).To(Equal(int64(2)))
	})
})
