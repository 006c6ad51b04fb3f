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
	unreadFor = 4 * time.Second
	waitLimit = 12 * time.Second
	longText  = 400 << 10
	// maxLost is the bound of the rule.
	maxLost = 3
)

// trialUnreadAnswers sends requests on kept connections. With trouble the clients begin to read the last answer
// after a while.
func trialUnreadAnswers(w *world, trouble bool) (broken bool, err error) {
	if err := w.configure(1, []string{desk}, routeFor(desk, "/approve/", "unsafe", 1, waitLimit)); err != nil {
		return false, err
	}
	for i := range 3 {
		id := fmt.Sprintf("i-%d", i)
		server, err := platformtest.NewServer(id, desk, func(a *platformtest.Arrival) {
			w.record.notef("server %s runs %s", id, a.ID())
			time.Sleep(workTime)
			text := "short"
			if strings.HasSuffix(a.URL.Path, "/long") {
				text = strings.Repeat("x", longText)
			}
			a.Answer(200, "", text)
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
	reader := bufio.NewReader(conn)
	for n := range shortRequests + 1 {
		id, path := fmt.Sprintf("c%d-%d", number, n), "/approve/short"
		if n == shortRequests {
			path = "/approve/long"
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
		w.record.notef("client got %d bytes of the answer to %s, error %v", size, id, err)
		if err != nil {
			return err
		}
	}
	return nil
}
