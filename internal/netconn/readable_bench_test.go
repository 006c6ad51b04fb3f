package netconn_test

import (
	"net"
	"testing"

	"sycamoretrail/internal/netconn"
)

// BenchmarkReadable measures what a read of an answer that ends with its connection costs more.
func BenchmarkReadable(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	for b.Loop() {
		if netconn.Readable(conn) {
			b.Fatal("nothing was sent")
		}
	}
}
