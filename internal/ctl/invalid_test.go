package ctl_test

import (
	"fmt"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/answerhead/answerheadtest"
)

const (
	exitUnknown     = 3
	exitUnreachable = 4
)

// Guards against an entry's answer whose head violates the protocol passing for the answer to a request.
func TestInvalidAnswersToCallersAreUnknown(t *testing.T) {
	t.Setenv("SYCAMORE_ORGANISATION_TOKEN", "t")
	for name, answer := range answerheadtest.Invalid() {
		g := NewWithT(t)
		names := "X-Outcome: answered\r\nContent-Type: application/json\r\n"
		submitted := answerheadtest.Serve(t, func(*http.Request) string { return answer.TextWith(names, "{}") })
		entries := fmt.Sprintf(`{"entries":[{"name":"e1","address":%q,"zone":"a"}],"good_for_ms":1000,"id_prefix":"p-"}`, submitted)
		resolved := answerheadtest.Serve(t, func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\n" + entries })
		got := run("submit", "--entry", resolved, "--model", "assistant", "--prompt", "Where?")
		g.Expect(got.code).To(Equal(exitUnknown), "%s: %+v", name, got)

		unresolved := answerheadtest.Serve(t, func(*http.Request) string { return answer.TextWith("", entries) })
		got = run("resolve", "--entry", unresolved)
		g.Expect(got.code).To(Equal(exitUnreachable), "%s: %+v", name, got)
	}
}
