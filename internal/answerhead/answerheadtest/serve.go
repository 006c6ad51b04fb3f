package answerheadtest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Serve starts a server that answers each request with a text and closes its connection. It returns the
// server's address.
func Serve(tb testing.TB, answer func(*http.Request) string) string {
	return serveConns(tb, func(conn net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		_, _ = io.WriteString(conn, answer(request))
	})
}

// serveConns starts a server on a loopback port that closes each connection after a function.
func serveConns(tb testing.TB, serve func(net.Conn)) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn)
			}()
		}
	}()
	return listener.Addr().String()
}
