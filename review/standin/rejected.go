package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sycamoretrail/platform/platformtest"
)

// The case "rejected": servers of a service that reject part of their requests and send some of their
// answers twice, the second copy at the point where the next answer is expected.
const (
	deskService = "mesa-pedidos"
	deskServers = 1
	deskSlots   = 6
	deskQueue   = 24
	deskWork    = 30 * time.Millisecond

	shedShare  = 0.25
	extraShare = 0.05
	troubleFor = 5 * time.Second
	quietFor   = 4 * time.Second
	rounds     = 8
	perSecond  = 60
)

// desk is the state that all servers of the service share.
type desk struct {
	record   *record
	troubled atomic.Bool
	extras   atomic.Int64
	mutex    sync.Mutex
	// runs counts the runs of each request.
	runs map[string]int
}

// deskServer is one server.
type deskServer struct {
	desk  *desk
	name  string
	slots chan struct{}
	mutex sync.Mutex
	held  int
	// late holds, by connection, the copy of an answer that is sent before the next one.
	late map[any]string
}

func (s *deskServer) handle(a *platformtest.Arrival) {
	id := a.ID()
	s.mutex.Lock()
	copied := s.late[a.Conn]
	delete(s.late, a.Conn)
	full := s.held >= deskSlots+deskQueue
	if !full {
		s.held++
	}
	s.mutex.Unlock()
	if copied != "" {
		s.desk.record.line("%s sends the extra copy of an earlier answer as %s arrives", s.name, id)
		_, _ = fmt.Fprint(a.Conn, copied)
	}
	troubled := s.desk.troubled.Load()
	if full || troubled && rand.Float64() < shedShare {
		if !full {
			s.release()
		}
		s.desk.record.line("%s rejects %s: 503 with X-Not-Executed", s.name, id)
		s.answer(a, troubled, http.StatusServiceUnavailable, "X-Not-Executed: 1\r\n", "")
		return
	}
	defer s.release()
	s.slots <- struct{}{}
	s.desk.mutex.Lock()
	s.desk.runs[id]++
	n := s.desk.runs[id]
	s.desk.mutex.Unlock()
	s.desk.record.line("%s runs %s, run %d", s.name, id, n)
	time.Sleep(deskWork)
	<-s.slots
	s.answer(a, troubled, http.StatusOK, "", "approved "+id+"\n")
}

func (s *deskServer) release() {
	s.mutex.Lock()
	s.held--
	s.mutex.Unlock()
}

// answer writes an answer, and keeps a copy of some.
func (s *deskServer) answer(a *platformtest.Arrival, troubled bool, status int, headers, body string) {
	if troubled && rand.Float64() < extraShare {
		s.desk.extras.Add(1)
		s.mutex.Lock()
		s.late[a.Conn] = fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", a.Head(status, headers), len(body), body)
		s.mutex.Unlock()
	}
	a.Answer(status, headers, body)
}

func playRejected(r *record, trouble bool) ([]string, error) {
	w, err := newWorld(r, quebracho)
	if err != nil {
		return nil, err
	}
	defer w.close()
	d := &desk{record: r, runs: make(map[string]int)}
	for i := range deskServers {
		s := &deskServer{desk: d, name: fmt.Sprintf("desk-%d", i+1), slots: make(chan struct{}, deskSlots), late: make(map[any]string)}
		server, err := platformtest.NewServer(s.name, deskService, s.handle)
		if err != nil {
			return nil, err
		}
		defer server.Close()
		if err := w.register(s.name, deskService, server.Address(), deskSlots, 1); err != nil {
			return nil, err
		}
	}
	w.route("/approve/", deskService, "unsafe", 1, time.Second, false)
	if err := w.configure(); err != nil {
		return nil, err
	}
	if err := w.start(3); err != nil {
		return nil, err
	}
	answers := d.drive(w, trouble)
	return d.judge(answers), nil
}

// drive sends requests at an even pace, in rounds with and without the disruption.
func (d *desk) drive(w *world, trouble bool) map[string]*answer {
	answers := make(map[string]*answer)
	var mutex sync.Mutex
	var running sync.WaitGroup
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	began := time.Now()
	round := troubleFor + quietFor
	for n := 0; time.Since(began) < rounds*round; n++ {
		<-ticker.C
		d.troubled.Store(trouble && time.Since(began)%round < troubleFor)
		q := &request{id: fmt.Sprintf("%016x", rand.Uint64()), method: http.MethodPost, path: "/approve/a", body: "proof " + number(n), deadline: time.Second}
		g := w.gateways[rand.IntN(len(w.gateways))]
		running.Add(1)
		go func() {
			defer running.Done()
			d.record.line("client sends %s to %s", q.id, g.name)
			a := q.send(g.callers)
			d.record.line("client gets for %s: %v", q.id, a)
			mutex.Lock()
			answers[q.id] = a
			mutex.Unlock()
		}()
	}
	running.Wait()
	time.Sleep(time.Second)
	return answers
}

func (d *desk) judge(answers map[string]*answer) []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	statuses := make(map[int]int)
	var breaches []string
	for id, a := range answers {
		statuses[a.status]++
		runs := d.runs[id]
		if runs > 1 {
			breaches = append(breaches, fmt.Sprintf("TWICE: %s ran %d times; its client got %v", id, runs, a))
		}
		if runs > 0 && (a.status == 503 || a.status == 429) && a.header.Get("X-Server-Seal") == "" {
			breaches = append(breaches, fmt.Sprintf("REFUSED: %s ran and its client got %d", id, a.status))
		}
	}
	d.record.line("%d requests, answers by status %v, %d extra copies", len(answers), statuses, d.extras.Load())
	return breaches
}
