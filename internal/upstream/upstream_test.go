package upstream_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/netconn"
	"sycamoretrail/internal/upstream"
)

const answerText = "the beginning of an answer"

// Guards against an answer without a declared length passing for complete when its connection
// was reset while the request's body was still being written: the write may take the only
// report of the reset, and a read after it sees a regular end.
func TestResetWhileBodyIsWrittenTruncatesAnswer(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	go answerAndReset(listener)
	pool := newPool()
	answers := 0
	for range 200 {
		answer, err := send(pool, listener.Addr().String())
		if errors.Is(err, upstream.ErrBroken) || errors.Is(err, upstream.ErrNotSent) {
			continue // reset before the answer was read
		}
		g.Expect(err).NotTo(HaveOccurred())
		answers++
		_, err = io.ReadAll(answer)
		answer.Close()
		g.Expect(errors.Is(err, upstream.ErrBroken)).To(BeTrue(), "%v", err)
	}
	g.Expect(answers).To(BeNumerically(">", 0))
}

// Guards against a complete answer passing for truncated because the target closed its connection
// without reading all of the request.
func TestRegularEndWhileBodyIsWrittenIsComplete(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n\r\n%s", answerText)
			_ = conn.(*net.TCPConn).CloseWrite()
			defer func() { _ = conn.Close() }()
		}
	}()
	pool := newPool()
	for range 20 {
		answer, err := send(pool, listener.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		text, err := io.ReadAll(answer)
		answer.Close()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(text)).To(Equal(answerText))
	}
}

// Guards against the beginning of an answer without a declared length passing for complete when its
// target crashed: the kernel closes the connections of a process that ends like any others.
func TestCrashOfTargetTruncatesAnswer(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n\r\n%s", answerText)
		_ = listener.Close()
		_ = conn.Close()
	}()
	answer, err := sendBody(newPool(), listener.Addr().String(), nil)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.ReadAll(answer)
	answer.Close()
	g.Expect(errors.Is(err, upstream.ErrBroken)).To(BeTrue(), "%v", err)
}

// Guards against the same where another connection of the target is closed a moment later.
func TestCrashOfTargetWithIdleConnectionTruncatesAnswer(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	pool := newPool()
	idle, err := pool.Get(address, "id-1", time.Hour)
	g.Expect(err).NotTo(HaveOccurred())
	idleEnd, err := listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(idleEnd))
		_, _ = fmt.Fprint(idleEnd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n\r\n%s", answerText)
		_ = listener.Close()
		_ = conn.Close()
		time.Sleep(50 * time.Millisecond)
		_ = idleEnd.Close()
	}()
	busy, err := pool.Get(address, "id-1", time.Hour)
	g.Expect(err).NotTo(HaveOccurred())
	first, err := pool.Send(idle, exchange(nil))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.ReadAll(first)
	g.Expect(err).NotTo(HaveOccurred())
	first.Close()
	answer, err := pool.Send(busy, exchange(nil))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.ReadAll(answer)
	answer.Close()
	g.Expect(errors.Is(err, upstream.ErrBroken)).To(BeTrue(), "%v", err)
}

func newPool() *upstream.Pool { return upstream.NewPool(poolOptions()) }

func poolOptions() upstream.Options {
	options := netconn.Options{Connect: time.Second, Unacknowledged: time.Second, ProbeAfter: time.Second, ProbeEvery: time.Second}
	return upstream.Options{Dial: options.Dial, KeepIdle: time.Minute, MaxIdle: 1}
}

// send sends a request whose body fills the socket's buffers.
func send(pool *upstream.Pool, address string) (*upstream.Answer, error) {
	return sendBody(pool, address, make([]byte, 8<<20))
}

func sendBody(pool *upstream.Pool, address string, body []byte) (*upstream.Answer, error) {
	conn, err := pool.Get(address, "id-1", time.Hour)
	if err != nil {
		return nil, err
	}
	return pool.Send(conn, exchange(body))
}

func exchange(body []byte) *upstream.Exchange {
	return &upstream.Exchange{
		Method: http.MethodPost, Head: []byte("POST / HTTP/1.1\r\nHost: a\r\n\r\n"), Body: body,
		Deadline: time.Now().Add(5 * time.Second), Matches: func(http.Header) bool { return true },
	}
}

// answerAndReset begins to answer each connection without reading from it, and resets it while
// the other side still writes.
func answerAndReset(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n\r\n%s", answerText)
			time.Sleep(2 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}()
	}
}
