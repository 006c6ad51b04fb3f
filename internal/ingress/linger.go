package ingress

import (
	"io"
	"net"
	"time"
)

// Bounds of the time and the bytes for which a connection stays open after an answer to a request that has
// not been read to its end. Closed with unread bytes, the kernel would reset it, and the client might lose the
// answer.
const (
	lingerTime  = time.Second
	lingerBytes = 16 << 20
	// lingerShare is the part of the connections that may linger at a time.
	lingerShare = 0.25
)

// Linger lets Close wait until the client has read the answer, for a while. The server must write no other
// answer on the connection.
func (c *Conn) Linger() { c.lingering = true }

// linger ends the sending side and throws away what the client still sends.
func (c *Conn) linger() {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || !c.gate.noteLingering(c) || tcp.CloseWrite() != nil {
		return
	}
	_ = tcp.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(onlyWriter{io.Discard}, onlyReader{tcp}, lingerBytes)
}

// onlyReader and onlyWriter hide the other methods, so that io.CopyN copies through a buffer of a fixed size.
type onlyReader struct{ io.Reader }
type onlyWriter struct{ io.Writer }
