package peers

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/settings"
)

// authority is a certificate authority that signs certificates of entries.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

func newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	return key
}

func pemOf(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

func newAuthority(name string) *authority {
	a := &authority{key: newKey()}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	Expect(err).NotTo(HaveOccurred())
	a.certificate, err = x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	a.pem = pemOf("CERTIFICATE", der)
	return a
}

// issue writes the certificate files of an entry at an IP address that trusts the
// given authorities, and loads them as an entry does.
func (a *authority) issue(ip string, trusts ...*authority) *tls.Config {
	key := newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: ip}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP(ip)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	var pool []byte
	for _, trusted := range trusts {
		pool = append(pool, trusted.pem...)
	}
	dir := GinkgoT().TempDir()
	file := func(name string, data []byte) string {
		path := filepath.Join(dir, name)
		Expect(os.WriteFile(path, data, 0o600)).To(Succeed())
		return path
	}
	files := settings.TLS{
		CertFile: file("cert.pem", pemOf("CERTIFICATE", der)),
		KeyFile:  file("key.pem", pemOf("EC PRIVATE KEY", keyDER)),
		CAFile:   file("ca.pem", pool),
	}
	config, err := files.Config()
	Expect(err).NotTo(HaveOccurred())
	return config
}

func withTLS(config *tls.Config, addresses ...string) func(*Options) {
	return func(o *Options) { o.TLS, o.Seeds = config, addresses }
}

// readError returns the error that a client gets from an entry, at the handshake or at the
// first read: with TLS 1.3 the entry checks a client's certificate only after the client
// has completed the handshake.
func readError(address string, config *tls.Config) error {
	conn, err := tls.Dial("tcp", address, config)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_, err = conn.Read(make([]byte, 1))
	return err
}

var _ = Describe("links under TLS", func() {
	const loopback = "127.0.0.1"

	It("are established and carry messages between entries of one authority", func() {
		ca := newAuthority("ca")
		a := startNode("1", listenAt(loopback+":0"), withTLS(ca.issue(loopback, ca)))
		b := startNode("2", listenAt(loopback+":0"), withTLS(ca.issue(loopback, ca), a.address))
		Eventually(a.delivered).Should(HaveLen(1))
		Eventually(b.delivered).Should(HaveLen(1))
		a.Send("2", message.DocumentRequest{})
		Eventually(b.delivered).Should(ContainElement(entry.FromPeer{From: "1", Message: message.DocumentRequest{}}))
	})

	// Certificates are replaced entry by entry. While some entries have a certificate of
	// the new authority and some of the old one, all must still link with each other, or
	// they would be partitioned into two groups. In the meantime ca_file holds both.
	It("are established between entries of the old and the new authority while both are trusted", func() {
		old, fresh := newAuthority("old"), newAuthority("new")
		a := startNode("1", listenAt(loopback+":0"), withTLS(old.issue(loopback, old, fresh)))
		b := startNode("2", listenAt(loopback+":0"), withTLS(fresh.issue(loopback, old, fresh), a.address))
		Eventually(a.delivered).Should(Equal([]entry.Input{a.up(b)}))
		Eventually(b.delivered).Should(Equal([]entry.Input{b.up(a)}))
	})

	It("are refused to clients without a certificate of the authority, whatever they trust", func() {
		ca, other := newAuthority("ca"), newAuthority("other")
		a := startNode("1", listenAt(loopback+":0"), withTLS(ca.issue(loopback, ca)))
		err := readError(a.address, other.issue(loopback, ca))
		Expect(err).To(MatchError(ContainSubstring("remote error: tls")))
		Expect(certificateRefused(err)).To(BeTrue(), "operators must see it")
		bare := ca.issue(loopback, ca)
		bare.Certificates = nil
		Expect(readError(a.address, bare)).To(MatchError(ContainSubstring("remote error: tls: certificate required")))
		plain := startNode("2", listenAt(loopback+":0"), nil)
		_, err = plain.dial(a.address)
		Expect(err).To(HaveOccurred())
		Expect(a.delivered()).To(BeEmpty())
	})

	It("are not established to an entry whose certificate names another address or authority", func() {
		ca, other := newAuthority("ca"), newAuthority("other")
		a := startNode("1", listenAt(loopback+":0"), withTLS(ca.issue(loopback, ca)))
		elsewhere := startNode("2", listenAt(loopback+":0"), withTLS(ca.issue("127.0.0.2", ca)))
		_, err := a.dial(elsewhere.address)
		Expect(err).To(MatchError(ContainSubstring("127.0.0.2")))
		Expect(certificateRefused(err)).To(BeTrue(), "operators must see it")
		untrusted := startNode("3", listenAt(loopback+":0"), withTLS(other.issue(loopback, ca)))
		_, err = a.dial(untrusted.address)
		Expect(err).To(MatchError(ContainSubstring("unknown authority")))
		open := startNode("4", listenAt(loopback+":0"), nil)
		_, err = a.dial(open.address)
		Expect(err).To(HaveOccurred())
	})
})
