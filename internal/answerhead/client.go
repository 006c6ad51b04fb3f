package answerhead

import (
	"crypto/tls"
	"fmt"
	"net"

	"github.com/valyala/fasthttp"
)

// Configure makes the connections of a client check the heads of answers, over TLS too. It can be the
// ConfigureClient of a fasthttp.Client.
func Configure(client *fasthttp.HostClient) error {
	dial := client.Dial
	switch {
	case dial != nil:
	case client.DialDualStack:
		dial = fasthttp.DialDualStack
	default:
		dial = fasthttp.Dial
	}
	if client.IsTLS {
		client.Dial = checkedTLS(dial, client.TLSConfig)
		return nil
	}
	client.Dial = Checked(dial)
	return nil
}

// tlsConn is a Conn over TLS. By its method Handshake the library sees that it needs no further TLS.
type tlsConn struct {
	*Conn
	secured *tls.Conn
}

// Handshake performs the TLS handshake, as the first Write does.
func (c tlsConn) Handshake() error { return c.secured.Handshake() }

func checkedTLS(dial fasthttp.DialFunc, config *tls.Config) fasthttp.DialFunc {
	return func(address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, fmt.Errorf("TLS: %w", err)
		}
		raw, err := dial(address)
		if err != nil {
			return nil, err
		}
		secured := tls.Client(raw, configFor(host, config))
		return tlsConn{&Conn{Conn: secured}, secured}, nil
	}
}

func configFor(host string, config *tls.Config) *tls.Config {
	if config == nil {
		return &tls.Config{ServerName: host}
	}
	config = config.Clone()
	if config.ServerName == "" {
		config.ServerName = host
	}
	return config
}
