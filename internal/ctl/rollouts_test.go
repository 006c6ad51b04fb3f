package ctl

import (
	"bytes"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("rollouts", func() {
	// The second of two entries is the leader, and the first has not received the end of
	// the roll-out. The lines were collected out of order, with lines of another service
	// and of requests.
	const log = `prefix {"entry":"entry-2","msg":"rollout","service":"desk","order":7,"to":"v2","action":"roll_back","reason":"failures","answers":12,"bad":9,"expected":0.25,"worse":11.62,"time":"2026-01-01T00:00:05Z"}
{"entry":"entry-1","msg":"rollout","service":"desk","order":7,"to":"v2","phase":"ordered","duration_ms":12000,"time":"2026-01-01T00:00:01Z"}
{"entry":"entry-2","msg":"rollout","service":"desk","order":7,"to":"v2","phase":"ordered","duration_ms":12000,"time":"2026-01-01T00:00:02Z"}
{"entry":"entry-2","msg":"rollout","service":"desk","order":7,"to":"v2","phase":"canary","from":"store","time":"2026-01-01T00:00:03Z"}
{"entry":"entry-1","msg":"rollout","service":"desk","order":7,"to":"v2","phase":"canary","from":"leader","time":"2026-01-01T00:00:04Z"}
{"entry":"entry-2","msg":"rollout","service":"desk","order":7,"to":"v2","phase":"rolled_back","from":"store","time":"2026-01-01T00:00:06Z"}
{"entry":"entry-2","msg":"rollout","service":"engines","order":8,"to":"v3","phase":"ordered","duration_ms":500,"time":"2026-01-01T00:00:07Z"}
{"entry":"entry-2","msg":"settled","id":"r1","time":"2026-01-01T00:00:08Z"}
`

	show := func(arguments ...string) (string, int) {
		var out, errors bytes.Buffer
		code := Run("dev", append([]string{"rollouts"}, arguments...), Streams{In: strings.NewReader(log), Out: &out, Err: &errors})
		return out.String() + errors.String(), code
	}

	It("shows the steps with their inputs, and how many entries entered each phase", func() {
		shown, code := show()
		Expect(code).To(Equal(exitDone))
		Expect(shown).To(Equal(`desk to v2, order 7, within 12 s, known to 2 entries
TIME                  LEADER   STEP       REASON    UNCLEAR  ANSWERS  BAD  EXPECTED  WORSE
2026-01-01T00:00:05Z  entry-2  roll_back  failures  -        12       9    0.2       11.6
PHASE        FIRST                 LAST                  ENTRIES
canary       2026-01-01T00:00:03Z  2026-01-01T00:00:04Z  2
rolled_back  2026-01-01T00:00:06Z  2026-01-01T00:00:06Z  1

engines to v3, order 8, within 0.5 s, known to 1 entries
no step is in the store
`))
	})

	It("writes JSON that names the entries of each phase", func() {
		shown, code := show("-o", "json")
		Expect(code).To(Equal(exitDone))
		Expect(shown).To(ContainSubstring(`"phase": "rolled_back"`))
		Expect(shown).To(MatchRegexp(`"entries": \[\s+"entry-2",\s+"entry-1"\s+\]`))
	})

	It("reports logs without a roll-out, and names the file that cannot be read", func() {
		var out, errors bytes.Buffer
		Expect(Run("dev", []string{"rollouts"}, Streams{In: strings.NewReader("{}\n"), Out: &out, Err: &errors})).To(Equal(exitFault))
		Expect(errors.String()).To(ContainSubstring("no line of the logs"))
		shown, code := show("no-such-file")
		Expect(code).To(Equal(exitFault))
		Expect(shown).To(ContainSubstring("no-such-file"))
	})
})
