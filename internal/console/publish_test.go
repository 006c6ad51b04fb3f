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

// review brings a browser to the review of a change of limits.in_flight.
func (b *browser) review(inFlight string) {
	b.get("/")
	b.post("/edit", "go", "limits")
	b.post("/edit", "v.in_flight", inFlight, "go", "review")
}

var _ = Describe("publishing", func() {
	It("publishes a change and counts the entries where it is in force", func() {
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

	It("changes nothing but what was changed", func() {
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

	DescribeTable("puts a tier at the position written",
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

	// Two operators begin from the same version; the other's record comes first.
	// This one's change must not be in force nor lost: the page shows who came
	// first and both differences, and one button puts the change onto theirs.
	It("tells who came first, and goes on from theirs", func() {
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

	// Another document comes in force while the operator still edits. Waiting until
	// the publication to say so would waste the work, so the next page says it.
	It("tells early that a draft was overtaken", func() {
		s := newSite(operatorstest.Document(1))
		b := s.loggedIn()
		b.review("5000")
		s.fake.Publish(s.fake.Edited("theirs", func(d *document.Document) { d.Tiers = d.Tiers[:2]; d.Organisations[0].Tiers = []string{"rider"} }))
		b.post("/edit", "go", "limits")
		Expect(b.status).To(Equal(http.StatusConflict))
		Expect(b.text()).To(ContainSubstring("Another document came in force since you began: theirs"))
		Expect(b.text()).NotTo(ContainSubstring("Both changed"))
	})

	// The log is out when the operator publishes: nobody can say whether the record
	// will land. The page says so and keeps the draft. After the outage the same
	// page, looked at again, finds the document in force.
	It("says that it is not known yet, and looks again", func() {
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

	// As before, but another document follows ours before the operator looks again,
	// so that ours is no longer in force. It was accepted, and that must be said:
	// "beaten" would make the operator publish the change a second time.
	It("finds an accepted document that another has followed", func() {
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

	// A publication is undecided; the operator goes back, edits and publishes again
	// before the log is back. The first record lands and wins. Under one id for both
	// the entry would say "accepted", and the edit would be lost without a word.
	It("does not take an edited draft for the one that was sent", func() {
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

	It("says when nothing was published, and when nobody answers", func() {
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

	It("publishes twice without harm", func() {
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
