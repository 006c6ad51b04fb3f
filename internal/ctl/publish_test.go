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
	It("accepts a valid document without any entry", func() {
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
		var output struct {
			Faults []document.Fault `json:"faults"`
		}
		Expect(json.Unmarshal([]byte(got.out), &output)).To(Succeed())
		Expect(output.Faults).To(HaveLen(len(d.Check())))
	})

	It("names the remedy if the file is missing or malformed", func() {
		Expect(run("check", "/nowhere/d.json").code).To(Equal(1))
		got := run("check", write("d.json", []byte(`{"schema":1,"tears":[]}`)))
		Expect(got.code).To(Equal(1))
		Expect(got.err).To(ContainSubstring("docs/SETTINGS.md"))
	})
})

var _ = Describe("publish", func() {
	It("reports the version under which the document is in force", func() {
		fake := startFake(2)
		got := run("publish", editedFile(fake, "second", lower), "--settings", settingsFor(fake.Addresses()...))
		Expect(got.code).To(Equal(0), got.err)
		Expect(got.out).To(ContainSubstring("accepted: second is in force as version 2"))
	})

	It("uses the version in force as base, and generates an id", func() {
		fake := startFake(1)
		path := editedFile(fake, "first", lower)
		fake.Publish(fake.Edited("other", func(d *document.Document) { d.Tiers[0].DeadlineMS++ }))
		got := run("publish", path, "--base", "current", "--id", "new", "--settings", settingsFor(fake.Addresses()...))
		Expect(got.code).To(Equal(0), got.err+got.out)
		version, id, _ := fake.Document()
		Expect(version).To(Equal(int64(3)))
		Expect(id).NotTo(BeElementOf("first", "other"))
	})

	// Two operators start from the same version, and the other's document is first
	// in the log. The client's document must not come into force, and the output
	// must show the other document and the difference, with the exit code for superseded.
	It("shows the document that superseded this one, and the difference", func() {
		fake := startFake(1)
		path := editedFile(fake, "mine", lower)
		fake.BeforeNextPublish(func() { fake.Publish(fake.Edited("theirs", raise)) })
		got := run("publish", path, "--settings", settingsFor(fake.Addresses()...))
		Expect(got.code).To(Equal(2))
		Expect(got.out).To(ContainSubstring("beaten: theirs came first as version 2"))
		Expect(got.out).To(ContainSubstring("~ limits.in_flight: 9000 -> 100"))
		_, id, _ := fake.Document()
		Expect(id).To(Equal("theirs"))
	})

	// During a log outage the entry cannot determine whether the record will be
	// appended. The client reports unknown, with a command that resolves it. After
	// the outage the record is in the log, and that command reports the first
	// acceptance, not a second version.
	It("reports unknown during a log outage, and resolves it later", func() {
		fake := startFake(1)
		path := editedFile(fake, "mine", lower)
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

	// The entry publishes, then crashes before it answers. The client sends the same
	// bytes to the next entry: there is one new version, reported as accepted.
	It("tries the next entry if the answer is lost", func() {
		fake := startFake(2)
		fake.Entry(0).LoseAnswers(true)
		got := run("publish", editedFile(fake, "mine", lower), "--settings", settingsFor(fake.Addresses()...))
		Expect(got.code).To(Equal(0), got.err)
		version, _, _ := fake.Document()
		Expect(version).To(Equal(int64(2)))
	})

	// The only entry publishes and its answer is lost. Reporting it as unreachable
	// would suggest that nothing happened, while the document is in force.
	It("reports unknown if the answer is lost and there is no other entry", func() {
		fake := startFake(1)
		fake.Entry(0).LoseAnswers(true)
		got := run("publish", editedFile(fake, "mine", lower), "--settings", settingsFor(fake.Addresses()...))
		Expect(got.code).To(Equal(3), got.err)
		version, _, _ := fake.Document()
		Expect(version).To(Equal(int64(2)))
	})

	It("does not publish a document with faults", func() {
		fake := startFake(1)
		got := run("publish", editedFile(fake, "mine", func(d *document.Document) { d.Limits.Connections = 0 }), "--settings", settingsFor(fake.Addresses()...))
		Expect(got.code).To(Equal(1))
		Expect(got.out).To(ContainSubstring("limits.connections"))
		version, _, _ := fake.Document()
		Expect(version).To(Equal(int64(1)))
	})

	// An operator prints the document, edits it and does not change its id. The
	// entries would ignore the record and report the earlier acceptance.
	It("rejects an edited document with the id of the one in force", func() {
		fake := startFake(1)
		got := run("publish", editedFile(fake, "first", lower), "--settings", settingsFor(fake.Addresses()...))
		Expect(got.code).To(Equal(1))
		Expect(got.err).To(ContainSubstring("--id new"))
	})

	// The first publication is undecided when the operator edits the file and sends
	// it under the same id. The first is accepted; reporting only "accepted" would
	// hide that the edit is not in force.
	It("reports an id that was accepted with other content", func() {
		fake := startFake(1)
		settings := settingsFor(fake.Addresses()...)
		first, second := editedFile(fake, "mine", lower), editedFile(fake, "mine", raise)
		fake.SetLogOut(true)
		Expect(run("publish", first, "--settings", settings).code).To(Equal(3))
		fake.BeforeNextPublish(func() { fake.SetLogOut(false) })
		got := run("publish", second, "--settings", settings)
		Expect(got.code).To(Equal(2), got.out)
		Expect(got.err).To(ContainSubstring("other content"))
	})

	It("reports that the log refused the record", func() {
		fake := startFake(1)
		fake.SetLogRefuses(true)
		got := run("publish", editedFile(fake, "mine", lower), "--settings", settingsFor(fake.Addresses()...))
		Expect(got.code).To(Equal(2))
		Expect(got.out).To(ContainSubstring("nothing was changed"))
	})

	It("reports that no entry can be reached", func() {
		fake := startFake(1)
		path := editedFile(fake, "mine", lower)
		settings := settingsFor(fake.Addresses()...)
		fake.Close()
		got := run("publish", path, "--settings", settings)
		Expect(got.code).To(Equal(4))
		Expect(got.err).To(ContainSubstring("see that the entries run"))
	})

	It("shows equal documents as such, and a change with both values", func() {
		fake := startFake(1)
		settings := settingsFor(fake.Addresses()...)
		Expect(run("diff", editedFile(fake, "x", func(*document.Document) {}), "--settings", settings).out).To(ContainSubstring(`~ comment: "to begin with" -> "x"`))
		got := run("diff", editedFile(fake, "x", lower), "--settings", settings)
		Expect(got.code).To(Equal(0), got.err)
		Expect(got.out).To(ContainSubstring("~ limits.in_flight: 4000 -> 100"))
		a := write("a.json", operatorstest.Bytes(operatorstest.Document(1)))
		b := write("b.json", operatorstest.Bytes(operatorstest.Document(2)))
		Expect(run("diff", a, b).out).To(ContainSubstring("+ organisations[org-00001]"))
		Expect(run("diff", a, a).out).To(Equal("no difference\n"))
	})

	It("prints the document in force so that it can be published again", func() {
		fake := startFake(1)
		settings := settingsFor(fake.Addresses()...)
		got := run("document", "--settings", settings)
		Expect(got.code).To(Equal(0), got.err)
		again := run("publish", write("again.json", []byte(got.out)), "--id", "again", "--settings", settings)
		Expect(again.code).To(Equal(0), again.out+again.err)
	})
})
