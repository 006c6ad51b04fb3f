package ingress

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
)

func requestHeader(names ...string) *fasthttp.RequestHeader {
	header := &fasthttp.RequestHeader{}
	header.DisableNormalizing()
	for _, name := range names {
		header.Add(name, "1")
	}
	return header
}

// Guards against names of headers that are no tokens being accepted.
func TestHeaderNamesAreTokens(t *testing.T) {
	g := NewWithT(t)
	g.Expect(CheckHeaderNames(requestHeader("Host", "x-lower", "X_1", "!#$%&'*+-.^_`|~9"))).To(Succeed())
	for _, name := range []string{"X Broken", " ", "X\tBroken", "X\x01Broken", "X(Broken)", "X-Brok\xe9n"} {
		g.Expect(CheckHeaderNames(requestHeader("Host", name))).To(MatchError(ErrHeaderName), "%q", name)
	}
}

func BenchmarkCheckHeaderNames(b *testing.B) {
	header := requestHeader("Host", "X-Request-Id", "X-Deadline-Ms", "Authorization", "X-Model", "X-Token-Counts", "X-Prompt-Prefix", "Content-Length")
	b.ReportAllocs()
	for b.Loop() {
		if err := CheckHeaderNames(header); err != nil {
			b.Fatal(err)
		}
	}
}
