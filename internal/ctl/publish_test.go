package ctl_test

import (
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/operators/operatorstest"
)

func lower(d *document.Document) { d.Limits.InFlight = 100 }
func raise(d *document.Document) { d.Limits.InFlight = 9000 }

var _ = Describe("check", func() {
	It("takes a sound document without any entry", func() {
		got := run("check", write("d.json", operatorstest.Bytes(operatorstest.Document(2))))
		Expect(got.code).To(Equal(0), got.err)
		Expect(got.out).To(ContainSubstring("no faults"))
	})

	It("lists every fault with its remedy", func() {
		d := operatorstest.Document(1)
		d.Targets[0].Pool = "nowhere"
		d.Limits.InFlight = 0
		got := run("check", write("d.json", operatorstest.Bytes(d)))
		Expect(got.code).To(Equal(1))
		Expect(got.out).To(ContainSubstring(`targets[0].pool: no pool is called "nowhere"; name one that the document lists, or add it`))
		Expect(got.out).To(ContainSubstring("limits.in_flight: 0 is out of bounds"))

		got = run("check", "-o", "json", write("d.json", operatorstest.Bytes(d)))
		var said struct {
			Faults []document.Fault `json:"faults"`
		}
		Expect(json.Unmarshal([]byte(got.out), &said)).To(Succeed())
		Expect(said.Faults).To(HaveLen(len(d.Check())))
	})

	It("names the remedy where there is no document", func() {
		Expect(run("check", "/nowhere/d.json").code).To(Equal(1))
		got := run("check", write("d.json", []byte(`{"schema":1,"tears":[]}`)))
		Expect(got.code).To(Equal(1))
		Expect(got.err).To(ContainSubstring("docs/SETTINGS.md"))
	})
})

var _ = Describe("publish", func() {
	It("says under which version the document came in force", func() {
		fake := fakeWith(2)
		got := run("publish", edited(fake, "second", lower), "--settings", settingsFor(fake.Addresses()...))
		Expect(got.code).To(Equal(0), got.err)
		Expect(got.out).To(ContainSubstring("accepted: second is in force as version 2"))
	})

	It("takes the version in force as base, and draws an id", func() {
		fake := fakeWith(1)
		path := edited(fake, "first", lower)
		fake.Publish(fake.Racing("other", func(d *document.Document) { d.Tiers[0].DeadlineMS++ }))
		got := run("publish", path, "--base", "current", "--id", "new", "--settings", settingsFor(fake.Addresses()...))
		Expect(got.code).To(Equal(0), got.err+got.out)
		version, id, _ := fake.Document()
		Expect(version).To(Equal(int64(3)))
		Expect(id).NotTo(BeElementOf("first", "other"))
	})

	// Two operators start from the same version; the other's document is first on
	// the log. The client's document must not come in force, and the operator must
	// see who came first and what differs, with the exit code for beaten.
	It("shows by whom it was beaten and the difference", func() {
		fake := fakeWith(1)
		path := edited(fake, "mine", lower)
		fake.BeforeNextPublish(func() { fake.Publish(fake.Racing("theirs", raise)) })
		got := run("publish", path, "--settings", settingsFor(fake.Addresses()...))
		Expect(got.code).To(Equal(2))
		Expect(got.out).To(ContainSubstring("beaten: theirs came first as version 2"))
		Expect(got.out).To(ContainSubstring("~ limits.in_flight: 9000 -> 100"))
		_, id, _ := fake.Document()
		Expect(id).To(Equal("theirs"))
	})

	// The log is out: the entry cannot say whether the record will land. The client
	// says unknown with a command that settles it. After the outage the record has
	// landed, and that command reports the first acceptance, not a second version.
	It("says unknown while the log is out, and settles it later", func() {
		fake := fakeWith(1)
		path := edited(fake, "mine", lower)
		settings := settingsFor(fake.Addresses()...)
		fake.SetLogOut(true)
		got := run("publish", path, "--settings", settings)
		Expect(got.code).To(Equal(3))
		Expect(got.out).To(ContainSubstring("publish FILE --base 1 --id mine"))
		fake.SetLogOut(false)
		got = run("publish", path, "--base", "1", "--id", "mine", "--settings", settings)
		Expect(got.code).To(Equal(0), got.out+got.err)
		Expect(got.out).To(ContainSubstring("as version 2"))
	})

	// The entry publishes, then dies before it answers. The client asks the next
	// entry with the same bytes: one version, and a true "accepted".
	It("asks the next entry when the answer is lost", func() {
		fake := fakeWith(2)
		fake.Entry(0).LoseAnswers(true)
		got := run("publish", edited(fake, "mine", lower), "--settings", settingsFor(fake.Addresses()...))
		Expect(got.code).To(Equal(0), got.err)
		version, _, _ := fake.Document()
		Expect(version).To(Equal(int64(2)))
	})

	// The only entry publishes and its answer is lost. To say "cannot be reached"
	// would suggest that nothing happened, while the document is in force.
	It("says unknown when the answer is lost and nobody else can be asked", func() {
		fake := fakeWith(1)
		fake.Entry(0).LoseAnswers(true)
		got := run("publish", edited(fake, "mine", lower), "--settings", settingsFor(fake.Addresses()...))
		Expect(got.code).To(Equal(3), got.err)
		version, _, _ := fake.Document()
		Expect(version).To(Equal(int64(2)))
	})

	It("sends nothing that has faults", func() {
		fake := fakeWith(1)
		got := run("publish", edited(fake, "mine", func(d *document.Document) { d.Limits.Connections = 0 }), "--settings", settingsFor(fake.Addresses()...))
		Expect(got.code).To(Equal(1))
		Expect(got.out).To(ContainSubstring("limits.connections"))
		version, _, _ := fake.Document()
		Expect(version).To(Equal(int64(1)))
	})

	// An operator prints the document, edits it and forgets to change its id. The
	// entries would ignore the record and report the older acceptance.
	It("refuses an edited document that kept the id in force", func() {
		fake := fakeWith(1)
		got := run("publish", edited(fake, "first", lower), "--settings", settingsFor(fake.Addresses()...))
		Expect(got.code).To(Equal(1))
		Expect(got.err).To(ContainSubstring("--id new"))
	})

	// The first publication is undecided when the operator edits the file and sends
	// it under the same id. The first lands; "accepted" alone would hide that the
	// edit is not in force.
	It("tells an id that came in force with other content", func() {
		fake := fakeWith(1)
		settings := settingsFor(fake.Addresses()...)
		first, second := edited(fake, "mine", lower), edited(fake, "mine", raise)
		fake.SetLogOut(true)
		Expect(run("publish", first, "--settings", settings).code).To(Equal(3))
		fake.BeforeNextPublish(func() { fake.SetLogOut(false) })
		got := run("publish", second, "--settings", settings)
		Expect(got.code).To(Equal(2), got.out)
		Expect(got.err).To(ContainSubstring("other content"))
	})

	It("says when the log took nothing", func() {
		fake := fakeWith(1)
		fake.SetLogRefuses(true)
		got := run("publish", edited(fake, "mine", lower), "--settings", settingsFor(fake.Addresses()...))
		Expect(got.code).To(Equal(2))
		Expect(got.out).To(ContainSubstring("nothing was changed"))
	})

	It("says when no entry can be reached", func() {
		fake := fakeWith(1)
		path := edited(fake, "mine", lower)
		settings := settingsFor(fake.Addresses()...)
		fake.Close()
		got := run("publish", path, "--settings", settings)
		Expect(got.code).To(Equal(4))
		Expect(got.err).To(ContainSubstring("see that the entries run"))
	})

	It("shows no difference as none, and a change with both values", func() {
		fake := fakeWith(1)
		settings := settingsFor(fake.Addresses()...)
		Expect(run("diff", edited(fake, "x", func(*document.Document) {}), "--settings", settings).out).To(ContainSubstring(`~ comment: "to begin with" -> "x"`))
		got := run("diff", edited(fake, "x", lower), "--settings", settings)
		Expect(got.code).To(Equal(0), got.err)
		Expect(got.out).To(ContainSubstring("~ limits.in_flight: 4000 -> 100"))
		a := write("a.json", operatorstest.Bytes(operatorstest.Document(1)))
		b := write("b.json", operatorstest.Bytes(operatorstest.Document(2)))
		Expect(run("diff", a, b).out).To(ContainSubstring("+ organisations[org-00001]"))
		Expect(run("diff", a, a).out).To(Equal("no difference\n"))
	})

	It("prints the document in force so that it can be published again", func() {
		fake := fakeWith(1)
		settings := settingsFor(fake.Addresses()...)
		got := run("document", "--settings", settings)
		Expect(got.code).To(Equal(0), got.err)
		again := run("publish", write("again.json", []byte(got.out)), "--id", "again", "--settings", settings)
		Expect(again.code).To(Equal(0), again.out+again.err)
	})
})
