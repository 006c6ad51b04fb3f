package answerhead_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/answerhead"
	"sycamoretrail/internal/answerhead/answerheadtest"
)

const named = "X-Request-Id: id-1\r\n"

// check checks heads up to the final one, in parts of a size, and returns the rest.
func check(text string, size int) (rest string, err error) {
	var checker answerhead.Checker
	for len(text) > 0 {
		n, err := checker.Check([]byte(text[:min(size, len(text))]))
		if err != nil {
			return "", err
		}
		text = text[n:]
		switch {
		case checker.Ended() && !checker.Informational():
			return text, nil
		case checker.Ended():
			checker = answerhead.Checker{}
		}
	}
	return text, nil
}

// Guards against a head that violates the protocol being accepted, also if it arrives byte by byte.
func TestInvalidHeadsAreRefused(t *testing.T) {
	for name, answer := range answerheadtest.Invalid() {
		for _, size := range []int{1, 7, 1 << 20} {
			g := NewWithT(t)
			_, err := check(answer.Text(named), size)
			g.Expect(err).To(MatchError(answerhead.ErrInvalid), "%s, %d bytes at a time", name, size)
			g.Expect(len(err.Error())).To(BeNumerically("<", 400))
			g.Expect(err.Error()).To(MatchRegexp(`^[ -~]*$`), name)
		}
	}
}

// Guards against a valid head being refused, and against a part of the body being taken for the head.
func TestUnusualHeadsAreAccepted(t *testing.T) {
	for name, answer := range answerheadtest.Unusual() {
		for _, size := range []int{1, 7, 1 << 20} {
			g := NewWithT(t)
			rest, err := check(answer.Text(named), size)
			g.Expect(err).NotTo(HaveOccurred(), name)
			g.Expect(rest).To(BeElementOf(answerheadtest.Body, "5\r\n"+answerheadtest.Body+"\r\n0\r\n\r\n"), name)
		}
	}
}

// FuzzChecker checks that the result doesn't depend on how the bytes are split, and that no name with whitespace is
// accepted.
func FuzzChecker(f *testing.F) {
	for _, answer := range answerheadtest.Invalid() {
		f.Add(answer.Text(named), 3)
	}
	for _, answer := range answerheadtest.Unusual() {
		f.Add(answer.Text(named), 3)
	}
	f.Fuzz(func(t *testing.T, text string, size int) {
		whole, wholeErr := check(text, len(text)+1)
		parts, partsErr := check(text, max(1, size))
		if whole != parts || (wholeErr == nil) != (partsErr == nil) {
			t.Fatalf("%q, %v as a whole, %q, %v in parts of %d", whole, wholeErr, parts, partsErr, size)
		}
		if wholeErr != nil {
			return
		}
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		if err != nil {
			return
		}
		for name := range response.Header {
			if strings.ContainsAny(name, " \t") {
				t.Errorf("accepted the name %q", name)
			}
		}
	})
}

func BenchmarkChecker(b *testing.B) {
	head := []byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Request-Id: 9c41d07be2a35f68\r\n" +
		"X-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: 600\r\nKeep-Alive: timeout=5\r\n\r\n")
	b.ReportAllocs()
	for b.Loop() {
		var checker answerhead.Checker
		if _, err := checker.Check(head); err != nil || !checker.Ended() {
			b.Fatal(err)
		}
	}
}
