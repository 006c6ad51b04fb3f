package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sycamoretrail/platform/platformtest"
)

const (
	slowClients = 8
	// shortRequests are sent before the long one on the same connection.
	shortRequests = 2
	// unreadFor is how long a client does not read. It has waitLimit for its request.
	unreadFor = 4600 * time.Millisecond
	waitLimit = 12 * time.Second
	longText  = 400 << 10
	// The largest stream of the sheets: its events, their size and their interval.
	streamEvents  = 300
	eventBytes    = 300
	eventInterval = 5 * time.Millisecond
	// smallWindow is the receive buffer of the clients: links have small windows.
	smallWindow = 16 << 10
	// maxLost is the bound of the rule.
	maxLost = 3
)

const (
	shortPath  = "/approve/short"
	longPath   = "/approve/long"
	streamPath = "/suggest/long"
)

// answerStream answers with a stream of events.
func answerStream(a *platformtest.Arrival) {
	_, _ = io.WriteString(a.Conn, a.Head(http.StatusOK, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
	for n := range streamEvents {
		event := fmt.Sprintf("id: %d\ndata: ", n+1)
		a.Chunk(event + strings.Repeat("x", eventBytes-len(event)) + "\n\n")
		time.Sleep(eventInterval)
	}
	a.Chunk("")
}

// trialUnreadAnswers sends requests on kept connections. With trouble the clients begin to read the last answer
// after a while.
func trialUnreadAnswers(w *world, trouble bool) (broken bool, err error) {
	if err := w.configure(1, []string{desk}, routeFor(desk, "/approve/", "unsafe", 1, waitLimit), routeFor(desk, "/suggest/", "streaming", 1, waitLimit)); err != nil {
		return false, err
	}
	for i := range 3 {
		id := fmt.Sprintf("i-%d", i)
		server, err := platformtest.NewServer(id, desk, func(a *platformtest.Arrival) {
			w.record.notef("server %s runs %s", id, a.ID())
			time.Sleep(workTime)
			switch a.URL.Path {
			case longPath:
				a.Answer(200, "", strings.Repeat("x", longText))
			case streamPath:
				answerStream(a)
			default:
				a.Answer(200, "", "short")
			}
			w.record.notef("server %s has answered %s", id, a.ID())
		})
		if err != nil {
			return false, err
		}
		w.servers = append(w.servers, server)
		go w.beat(server)
	}
	if err := w.startGateways(3); err != nil {
		return false, err
	}
	var lost atomic.Int64
	var done sync.WaitGroup
	for i := range slowClients {
		done.Add(1)
		go func() {
			defer done.Done()
			if err := w.readSlowly(i, trouble); err != nil {
				lost.Add(1)
			}
		}()
	}
	done.Wait()
	w.reportf("%d of %d clients lost the connection before the end of an answer; allowed are %d", lost.Load(), slowClients, maxLost)
	return lost.Load() > maxLost, nil
}

// readSlowly sends short requests and a long one on one connection. It returns an error if an answer is not complete.
func (w *world) readSlowly(number int, trouble bool) error {
	g := w.gateways[number%len(w.gateways)]
	conn, err := net.Dial("tcp", g.callers)
	if err != nil {
		return nil // nothing was sent
	}
	defer func() { _ = conn.Close() }()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(smallWindow)
	}
	reader := bufio.NewReader(conn)
	for n := range shortRequests + 1 {
		id, path := fmt.Sprintf("c%d-%d", number, n), shortPath
		switch {
		case n < shortRequests:
		case number%2 == 0:
			path = longPath
		default:
			path = streamPath
		}
		w.record.notef("client sends %s to %s", id, g.name)
		fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\nContent-Length: 2\r\n\r\nok", path, host, id, waitLimit.Milliseconds(), key)
		if trouble && n == shortRequests {
			time.Sleep(unreadFor)
		}
		_ = conn.SetReadDeadline(time.Now().Add(waitLimit - unreadFor))
		size := int64(0)
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			size, err = io.Copy(io.Discard, response.Body)
		}
		w.record.notef("client got %d bytes of the answer to %s (%s), error %v", size, id, path, err)
		if err != nil {
			return err
		}
	}
	return nil
}
