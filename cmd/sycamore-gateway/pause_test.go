package main

import (
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/platform/platformtest"
)

const (
	pausedHost    = "assistant.example"
	pausedService = "desk"
	// Two parts of an answer that ends with its connection. The first is a complete event.
	firstHalf, secondHalf = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
)

// Guards against the beginning of an answer without a length passing for the whole because the process
// was paused while the target crashed and another process took the target's address.
func TestAnswerInterruptedWhilePaused(t *testing.T) {
	for name, test := range map[string]struct {
		path string
		// replaced: another server takes the target's address during the pause; otherwise the target
		// completes its answer, and answers with a status at its health path.
		replaced bool
		health   int
		whole    bool
	}{
		"buffered answer, target replaced":       {path: "/unsafe/", replaced: true},
		"stream, target replaced":                {path: "/talk/", replaced: true},
		"buffered answer, target lives":          {path: "/unsafe/", health: http.StatusOK, whole: true},
		"stream, target lives":                   {path: "/talk/", health: http.StatusOK, whole: true},
		"buffered answer, target lives, leaving": {path: "/unsafe/", health: http.StatusServiceUnavailable, whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			store := newPausedStore(t)
			process := startProcess(t, store.Address())
			begun, proceed := make(chan struct{}), make(chan struct{})
			target := registerServer(t, store, "i-1", "127.0.0.1:0", func(a *platformtest.Arrival) {
				_, _ = io.WriteString(a.Conn, a.Head(http.StatusOK, "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n")+firstHalf)
				close(begun)
				<-proceed
				if !test.replaced {
					_, _ = io.WriteString(a.Conn, secondHalf)
				}
				_ = a.Conn.Close()
			})
			g.Eventually(process.isReady, 10*time.Second).Should(BeTrue())
			answer := process.send(t, test.path)
			<-begun
			time.Sleep(100 * time.Millisecond) // the first half arrives

			g.Expect(process.Process.Signal(syscall.SIGSTOP)).To(Succeed())
			if test.replaced {
				target.Close()
				close(proceed)
				registerServer(t, store, "i-2", target.Address(), func(a *platformtest.Arrival) { a.Answer(http.StatusOK, "", "") })
			} else {
				target.Health.Store(int32(test.health))
				close(proceed)
			}
			time.Sleep(2200 * time.Millisecond)
			g.Expect(process.Process.Signal(syscall.SIGCONT)).To(Succeed())

			r := <-answer
			g.Expect(r.complete && r.text == firstHalf+secondHalf).To(Equal(test.whole), "%+v", r)
			if !test.whole {
				g.Expect(r.complete && r.status == http.StatusOK).To(BeFalse(), "%+v", r)
			}
		})
	}
}

// received is what a caller got.
type received struct {
	status   int
	text     string
	complete bool
}

// send sends a request and returns its answer when it has ended.
func (p *process) send(t *testing.T, path string) <-chan received {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.callers+path, strings.NewReader("x"))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	request.Host = pausedHost
	request.Header.Set("X-Request-Id", "request-1")
	request.Header.Set("X-Deadline-Ms", "8000")
	answer := make(chan received, 1)
	go func() {
		response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
		if err != nil {
			answer <- received{}
			return
		}
		defer func() { _ = response.Body.Close() }()
		text, err := io.ReadAll(response.Body)
		answer <- received{response.StatusCode, string(text), err == nil}
	}()
	return answer
}

func (p *process) isReady() bool {
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}).Get("http://" + p.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// newPausedStore starts a store with a configuration of one service.
func newPausedStore(t *testing.T) *platformtest.Store {
	g := NewWithT(t)
	store, err := platformtest.NewStore()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(store.Close)
	route := func(path, kind string) map[string]any {
		return map[string]any{"host": pausedHost, "path_prefix": path, "service": pausedService, "kind": kind, "attempts": 1, "timeout_ms": 8000}
	}
	resumable := route("/resume/", "streaming")
	resumable["resumable"] = true
	g.Expect(store.PutJSON("keyed.op", "config", map[string]any{
		"version": 1, "routes": []any{route("/unsafe/", "unsafe"), route("/talk/", "streaming"), resumable},
		"services": []any{map[string]any{"name": pausedService, "health_path": platformtest.HealthPath}},
	})).To(Succeed())
	return store
}

func registerServer(t *testing.T, store *platformtest.Store, id, address string, handle func(*platformtest.Arrival)) *platformtest.Server {
	g := NewWithT(t)
	server, err := platformtest.NewServerAt(address, id, pausedService, handle)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Close)
	g.Expect(store.PutJSON("keyed.servers", id, server.Entry("ready", 4))).To(Succeed())
	return server
}
