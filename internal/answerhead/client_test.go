package answerhead_test

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/answerhead"
)

// Guards against calls over TLS that fail or are not checked.
func TestAnswersOverTLSAreChecked(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/valid" {
			_, _ = fmt.Fprint(w, "valid")
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nX Broken: 1\r\nContent-Length: 0\r\n\r\n")
			_ = conn.Close()
		}
	}))
	defer server.Close()
	roots := x509.NewCertPool()
	roots.AddCert(server.Certificate())
	client := &fasthttp.Client{ConfigureClient: answerhead.Configure, TLSConfig: &tls.Config{RootCAs: roots}, MaxIdemponentCallAttempts: 1}
	status, body, err := client.GetTimeout(nil, server.URL+"/valid", time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(string(body)).To(Equal("valid"))
	_, _, err = client.GetTimeout(nil, server.URL+"/invalid", time.Second)
	g.Expect(err).To(MatchError(answerhead.ErrInvalid))

	untrusting := &fasthttp.Client{ConfigureClient: answerhead.Configure}
	_, _, err = untrusting.GetTimeout(nil, server.URL+"/valid", time.Second)
	g.Expect(err).To(HaveOccurred(), "the certificate is not known")
}
