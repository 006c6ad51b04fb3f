package console_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/answerhead/answerheadtest"
	"sycamoretrail/internal/console"
)

// Guards against an answer whose head violates the protocol passing for a log that answers.
func TestInvalidAnswersOfLogAreNoAnswers(t *testing.T) {
	for name, answer := range answerheadtest.Invalid() {
		g := NewWithT(t)
		address := answerheadtest.Serve(t, func(*http.Request) string { return answer.Text("") })
		g.Expect(console.LogChecker([]string{"http://" + address})()).To(BeFalse(), name)
	}
}
