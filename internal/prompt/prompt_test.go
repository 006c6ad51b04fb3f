package prompt_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/prompt"
)

func TestPrompt(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "prompt")
}

const blockBytes = request.PrefixBlockTokens * prompt.BytesPerToken

var _ = Describe("Describe", func() {
	It("returns equal hashes for equal prefixes, and other hashes from the first difference on", func() {
		head := strings.Repeat("a", 2*blockBytes)
		tokensA, a := prompt.Describe(head + strings.Repeat("b", blockBytes) + "tail")
		_, b := prompt.Describe(head + strings.Repeat("c", blockBytes))
		_, other := prompt.Describe("x" + head[1:])
		Expect(tokensA).To(Equal(3*blockBytes/prompt.BytesPerToken + 1))
		Expect(a).To(HaveLen(3))
		Expect(b[:2]).To(Equal(a[:2]))
		Expect(b[2]).NotTo(Equal(a[2]))
		Expect(other[1]).NotTo(Equal(a[1]))
	})
})

var _ = Describe("Parse", func() {
	It("joins contents of either shape", func() {
		body, err := prompt.Parse([]byte(`{"model":"m","max_tokens":7,"stream":true,"messages":[
			{"role":"system","content":"one "},{"role":"user","content":[{"type":"text","text":"two"}]}]}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(body.Text()).To(Equal("one two"))
		Expect(body.MaxTokens).To(Equal(7))
		Expect(body.Stream).To(BeTrue())
	})

	DescribeTable("refuses", func(body string) {
		_, err := prompt.Parse([]byte(body))
		Expect(err).To(MatchError(prompt.ErrMalformed))
	},
		Entry("no JSON", "hello"),
		Entry("content that is a number", `{"messages":[{"content":3}]}`),
		Entry("negative max_tokens", `{"max_tokens":-1}`),
	)
})
