package upstream

import (
	"bufio"
	"net"
	"net/http"
	"testing"
)

// repeatingConn brings one answer after the other.
type repeatingConn struct {
	net.Conn
	answer []byte
}

func (c repeatingConn) Read(p []byte) (int, error) { return copy(p, c.answer), nil }

// BenchmarkReadHead measures the reading of the head of an ordinary answer.
func BenchmarkReadHead(b *testing.B) {
	answer := []byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Request-Id: 9c41d07be2a35f68\r\n" +
		"X-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: 0\r\nKeep-Alive: timeout=5\r\n\r\n")
	source := &source{conn: repeatingConn{answer: answer}, left: unbounded}
	conn := &Conn{source: source, reader: bufio.NewReaderSize(source, readBuffer)}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := conn.readHead(http.MethodGet); err != nil {
			b.Fatal(err)
		}
	}
}
