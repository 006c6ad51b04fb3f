package operatorclient_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/answerhead/answerheadtest"
	"sycamoretrail/internal/operatorclient"
	"sycamoretrail/internal/operators/api"
)

// Guards against an answer whose head violates the protocol passing for what an entry says, or for a
// publication that it has accepted.
func TestInvalidAnswersOfEntriesAreNoAnswers(t *testing.T) {
	for name, answer := range answerheadtest.Invalid() {
		g := NewWithT(t)
		address := answerheadtest.Serve(t, func(*http.Request) string { return answer.TextWith("", `{"id":"x","result":"accepted"}`) })
		client := operatorclient.New(operatorclient.Options{Entries: []string{address}})
		_, err := client.Status()
		g.Expect(err).To(MatchError(operatorclient.ErrNoAnswer), name)
		_, err = client.Drain(address)
		g.Expect(err).To(MatchError(operatorclient.ErrNoAnswer), name)
		g.Expect(err).NotTo(MatchError(operatorclient.ErrNotSent), name)
		published, err := client.Publish("x", []byte("{}"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(published.Result).To(Equal(api.ResultUnknown), name)
	}
}
