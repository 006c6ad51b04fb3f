package main

import (
	"bufio"
	"context"
	"fmt"
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
	oldVersion, newVersion = "v1", "v2"
	eventsBeforeBreak      = 3
)

// answerInVersion writes events that name a version: three until the caller leaves, or the three after them.
func answerInVersion(version string) func(*platformtest.Arrival) {
	return func(a *platformtest.Arrival) {
		from := 1
		if a.Header.Get("Last-Event-Id") != "" {
			from += eventsBeforeBreak
		}
		_, _ = io.WriteString(a.Conn, a.Head(http.StatusOK, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
		for i := from; i < from+eventsBeforeBreak; i++ {
			a.Chunk(fmt.Sprintf("id: %d\ndata: %s\n\n", i, version))
		}
		if from == 1 {
			<-a.Disconnected
			return
		}
		a.Chunk("")
	}
}

// resumable returns a request for a stream, or for the rest of one that another request began.
func (p *process) resumable(ctx context.Context, id, resumes string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.callers+"/resume/", strings.NewReader("x"))
	if err != nil {
		return nil, err
	}
	request.Host = pausedHost
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "8000")
	if resumes != "" {
		request.Header.Set("Last-Event-Id", fmt.Sprint(eventsBeforeBreak))
		request.Header.Set("Resumes", resumes)
	}
	return (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
}

// beginAndLeave begins a stream, leaves it after three events and returns their version.
func (p *process) beginAndLeave(id string) (version string, err error) {
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	response, err := p.resumable(ctx, id, "")
	if err != nil {
		return "", err
	}
	reader := bufio.NewReader(response.Body)
	for events := 0; events < eventsBeforeBreak; {
		line, err := reader.ReadString('\n')
		if err != nil {
			return "", fmt.Errorf("status %d: %w", response.StatusCode, err)
		}
		if text, isData := strings.CutPrefix(line, "data: "); isData {
			version = strings.TrimSpace(text)
			events++
		}
	}
	return version, nil
}

// Guards against a stream going on at another version at entries that were paused while servers of a new
// version joined and began it through others.
func TestPausedEntriesKeepVersionsApart(t *testing.T) {
	const entries, streams = 4, 12
	for name, play := range map[string]struct {
		stale int
		lasts time.Duration
		// retire: the servers of the old version leave meanwhile.
		retire bool
	}{
		"one, 2.5 s":                     {1, 2500 * time.Millisecond, false},
		"two, 6 s":                       {2, 6 * time.Second, false},
		"two, 2.5 s, old version leaves": {2, 2500 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			store := newPausedStore(t)
			var processes []*process
			for i := range entries {
				processes = append(processes, startNamed(t, fmt.Sprintf("entry-%d", i+1), store.Address()))
			}
			registerVersion(t, store, oldVersion)
			for _, p := range processes {
				g.Eventually(p.isReady, 10*time.Second).Should(BeTrue())
			}
			sound, stale := processes[:entries-play.stale], processes[entries-play.stale:]
			time.Sleep(time.Second) // the entries learn of each other
			for _, p := range stale {
				g.Expect(p.Process.Signal(syscall.SIGSTOP)).To(Succeed())
			}
			began := time.Now()
			registerVersion(t, store, newVersion)
			if play.retire {
				for i := range 2 {
					store.Put("keyed.servers", fmt.Sprintf("%s-%d", oldVersion, i), nil)
				}
			}
			versions := make(map[string]string)
			g.Eventually(func() string {
				id := fmt.Sprintf("stream-%d", len(versions))
				versions[id], _ = sound[0].beginAndLeave(id)
				return versions[id]
			}, 20*time.Second, 100*time.Millisecond).Should(Equal(newVersion))
			for i := len(versions); i < 2*streams; i++ {
				id := fmt.Sprintf("stream-%d", i)
				version, err := sound[i%len(sound)].beginAndLeave(id)
				g.Expect(err).NotTo(HaveOccurred())
				versions[id] = version
			}
			answers := make(chan string, len(versions))
			for id, version := range versions {
				at := stale[len(id)%len(stale)]
				go func() { answers <- goOn(at, id, version) }() // it waits at a paused entry
			}
			time.Sleep(time.Until(began.Add(play.lasts)))
			for _, p := range stale {
				g.Expect(p.Process.Signal(syscall.SIGCONT)).To(Succeed())
			}
			count := make(map[string]int)
			for range versions {
				count[<-answers]++
			}
			t.Log(count)
			g.Expect(count).NotTo(HaveKey(ContainSubstring("mixed")))
			g.Expect(count["whole"] + count["refused"]).To(Equal(len(versions)))
		})
	}
}

// goOn asks an entry for the rest of a stream and says what came.
func goOn(p *process, id, version string) string {
	response, err := p.resumable(context.Background(), id+"-again", id)
	if err != nil {
		return err.Error()
	}
	text, err := io.ReadAll(response.Body)
	switch {
	case response.StatusCode == http.StatusServiceUnavailable:
		return "refused"
	case err != nil || response.StatusCode != http.StatusOK:
		return fmt.Sprintf("status %d, %v", response.StatusCode, err)
	case strings.Count(string(text), "data: "+version+"\n") == eventsBeforeBreak:
		return "whole"
	default:
		return fmt.Sprintf("mixed: begun by %s, then %q", version, text)
	}
}

// registerVersion adds two servers of a version.
func registerVersion(t *testing.T, store *platformtest.Store, version string) {
	for i := range 2 {
		id := fmt.Sprintf("%s-%d", version, i)
		server, err := platformtest.NewServer(id, pausedService, answerInVersion(version))
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		t.Cleanup(server.Close)
		server.Version = version
		NewWithT(t).Expect(store.PutJSON("keyed.servers", id, server.Entry("ready", 40))).To(Succeed())
	}
}
