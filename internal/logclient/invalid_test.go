package logclient

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"sycamoretrail/internal/answerhead"
	"sycamoretrail/internal/answerhead/answerheadtest"
	"sycamoretrail/internal/core/entry"
)

var _ = Describe("Invalid heads of answers", func() {
	serve := func(answer answerheadtest.Answer, body string) (url string) {
		return "http://" + answerheadtest.Serve(GinkgoTB(), func(*http.Request) string { return answer.TextWith("", body) })
	}
	for name, answer := range answerheadtest.Invalid() {
		// An append that nobody acknowledged must not count as written.
		It("confirm no append: "+name, func() {
			log := NewLog([]string{serve(answer, `{"offset":7}`)}, func(entry.Input) {}, time.Now, logrus.New())
			defer log.Close()
			_, err := log.AppendNow("documents", []byte("x"))
			Expect(err).To(MatchError(ErrUnknown))
			Expect(err).To(MatchError(answerhead.ErrInvalid))
			Expect(log.Appends()).To(BeZero())
		})
		// An empty list would make all instances look gone.
		It("bring no list of instances: "+name, func() {
			_, err := NewInstances(serve(answer, `{"instances":[]}`)).read()
			Expect(err).To(MatchError(answerhead.ErrInvalid))
		})
	}
})
