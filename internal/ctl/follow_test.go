package ctl

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("follow", func() {
	// Two entries dispatched the request. Their logs were collected out of order, with
	// a collector's prefix and lines of other requests.
	const log = `  3.2 entry-2 {"entry":"entry-2","id":"r1","msg":"settled","reason":"answered","time":"2026-01-01T00:00:03Z"}
not json, but r1
{"entry":"entry-1","id":"r2","msg":"granted","time":"2026-01-01T00:00:01Z"}
{"entry":"entry-1","id":"r1","msg":"granted","load":2,"target":"t","time":"2026-01-01T00:00:02Z"}
`

	It("shows the request's lines in order of time", func() {
		lines, err := readLines(strings.NewReader(log), nil, hasID("r1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(lines).To(HaveLen(2))
		Expect(lines[0].String()).To(Equal("2026-01-01T00:00:02Z entry-1 granted load=2 target=t"))
		Expect(lines[1].String()).To(Equal("2026-01-01T00:00:03Z entry-2 settled reason=answered"))
	})

	It("names the file that cannot be read", func() {
		_, err := readLines(strings.NewReader(""), []string{"no-such-file"}, hasID("r1"))
		Expect(err).To(MatchError(ContainSubstring("no-such-file")))
	})
})
