package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

const connectLimit = time.Second

// request is one attempt of a client.
type request struct {
	id, method, path string
	body             string
	deadline         time.Duration
}

// answer is what a client saw of its request.
type answer struct {
	status int
	header http.Header
	body   []byte
	// err is why the answer is not complete; nil: it is complete.
	err error
}

func (a *answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer: %v", a.err)
	}
	end := "complete"
	if a.err != nil {
		end = "cut: " + a.err.Error()
	}
	return fmt.Sprintf("status %d, seal %q, %d bytes, %s", a.status, a.header.Get("X-Server-Seal"), len(a.body), end)
}

// write sends the request on a connection.
func (q *request) write(conn net.Conn) error {
	_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		q.method, q.path, host, q.id, q.deadline.Milliseconds(), len(q.body), q.body)
	return err
}

// send sends the request on a new connection and reads the answer.
func (q *request) send(address string) *answer {
	conn, err := net.DialTimeout("tcp", address, connectLimit)
	if err != nil {
		return &answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	if err := q.write(conn); err != nil {
		return &answer{err: err}
	}
	_ = conn.SetReadDeadline(time.Now().Add(q.deadline + time.Second))
	return readAnswer(bufio.NewReader(conn), q.method)
}

func readAnswer(reader *bufio.Reader, method string) *answer {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return &answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return &answer{status: response.StatusCode, header: response.Header, body: body, err: err}
}

func get(address, path string) (status int, err error) {
	client := http.Client{Timeout: connectLimit}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode, nil
}

func number(n int) string { return strconv.Itoa(n) }
