package answerhead_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/answerhead"
)

// Guards against trailers that violate the protocol passing as part of a complete answer at clients of the library.
func TestClientsGetNoInvalidTrailers(t *testing.T) {
	for _, name := range []string{"X Sum", "X-Sum ", "X\x01Sum", ""} {
		g := NewWithT(t)
		_, _, err := get(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"+name+": 1\r\n\r\n", answerhead.Checked(dial))
		g.Expect(err).To(HaveOccurred(), "%q", name)
	}
}
