package engine

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/standin/base"
	"sycamoretrail/internal/standin/weights"
)

func TestEngine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine")
}

// endless is a token limit that no test reaches.
const endless = 100_000

func startEngine(p Params) *Server {
	p.StepBaseMS = 1
	s, err := Start("127.0.0.1:0", p)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Close)
	return s
}

// call uses a separate connection, so that a crash affects no other call.
func call(s *Server, method, path, id, body string) (*http.Response, error) {
	request, err := http.NewRequest(method, "http://"+s.Address()+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set(headerRequestID, id)
	request.Close = true
	return http.DefaultClient.Do(request)
}

func read(s *Server, method, path, id, body string) (int, string) {
	response, err := call(s, method, path, id, body)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(data)
}

func body(stream bool, tokens int) string {
	data, err := json.Marshal(map[string]any{"model": "m", "stream": stream, "max_tokens": tokens, "prompt": "where is a free rack?"})
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

func answerOf(id, body string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(TokenText(id, []byte(body), i))
	}
	return text.String()
}

// textOf checks the number of the first event and joins the texts of all events.
func textOf(events string, from int) string {
	var text strings.Builder
	for _, line := range strings.Split(events, "\n") {
		data, found := strings.CutPrefix(line, dataPrefix)
		if !found || data == "[DONE]" {
			continue
		}
		var event completionJSON
		Expect(json.Unmarshal([]byte(data), &event)).To(Succeed())
		for _, choice := range event.Choices {
			text.WriteString(*choice.Text)
		}
	}
	Expect(events).To(HavePrefix("id: " + string(rune('0'+from)) + "\n"))
	return text.String()
}

// openStream starts a stream and waits for its first token.
func openStream(s *Server, id, body string) *bufio.Reader {
	response, err := call(s, http.MethodPost, pathText, id, body)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.StatusCode).To(Equal(http.StatusOK))
	DeferCleanup(response.Body.Close)
	reader := bufio.NewReader(response.Body)
	Expect(reader.ReadString('\n')).To(Equal("id: 0\n"))
	return reader
}

var _ = Describe("answers", func() {
	It("depend only on id and body, streamed or complete, on any engine", func() {
		s, other := startEngine(Params{}), startEngine(Params{Generation: GenerationOlder})
		_, streamed := read(s, http.MethodPost, pathText, "id-1", body(true, 5))
		Expect(textOf(streamed, 0)).To(Equal(answerOf("id-1", body(true, 5), 5)))
		Expect(streamed).To(HaveSuffix(doneEvent))
		Expect(streamed).To(ContainSubstring(`"prompt_tokens":6,"completion_tokens":5`))
		_, again := read(other, http.MethodPost, pathText, "id-1", body(true, 5))
		Expect(textOf(again, 0)).To(Equal(textOf(streamed, 0)))
		_, complete := read(s, http.MethodPost, pathChat, "id-2", body(false, 5))
		var answer completionJSON
		Expect(json.Unmarshal([]byte(complete), &answer)).To(Succeed())
		Expect(answer.Choices[0].Message.Content).To(Equal(answerOf("id-2", body(false, 5), 5)))
		Expect(answer.Usage.CompletionTokens).To(Equal(5))
	})

	// The connection to the engine breaks after the first token. The stream
	// continues, and reading it again returns the same bytes from any token on.
	It("are the same bytes when read again", func() {
		s := startEngine(Params{})
		response, err := call(s, http.MethodPost, pathText, "id-1", body(true, 6))
		Expect(err).NotTo(HaveOccurred())
		_, err = bufio.NewReader(response.Body).ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		_, all := read(s, http.MethodGet, "/streams/id-1", "", "")
		_, tail := read(s, http.MethodGet, "/streams/id-1?from=2", "", "")
		Expect(textOf(all, 0)).To(Equal(answerOf("id-1", body(true, 6), 6)))
		Expect(all).To(HaveSuffix(tail))
		Expect(tail).To(HavePrefix("id: 2\n"))
		Expect(s.Ledger().Report().Runs).To(HaveLen(1))
	})

	It("can be cancelled and report their usage", func() {
		s := startEngine(Params{})
		openStream(s, "id-1", body(true, endless))
		status, answer := read(s, http.MethodDelete, "/streams/id-1", "", "")
		Expect(status).To(Equal(http.StatusOK))
		Expect(answer).To(ContainSubstring(`"computed_prompt_tokens":6`))
		run := s.Ledger().Report().Runs[0]
		Expect(run.Cancelled).To(BeTrue())
		Expect(run.Complete).To(BeFalse())
		Expect(run.Tokens).To(BeNumerically(">=", 1))
		status, _ = read(s, http.MethodDelete, "/streams/none", "", "")
		Expect(status).To(Equal(http.StatusNotFound))
	})
})

var _ = Describe("rejected requests", func() {
	It("receive the reason and are not run", func() {
		s := startEngine(Params{MaxBatch: 1, MaxWaiting: 1})
		reason := func() string {
			response, err := call(s, http.MethodPost, pathText, "id", body(false, 1))
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
			return response.Header.Get(base.HeaderNotAdmitted)
		}
		Expect(s.Apply(base.Faults{Leaving: true})).To(Succeed())
		Expect(reason()).To(Equal(base.NotAdmittedLeaving))
		status, ready := read(s, http.MethodGet, "/ready", "", "")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(ready).To(Equal(`{"state":"leaving"}`))
		Expect(s.Apply(base.Faults{Refuse: true})).To(Succeed())
		Expect(reason()).To(Equal(base.NotAdmittedFull))
		Expect(s.Apply(base.Faults{})).To(Succeed())
		openStream(s, "running", body(true, endless))
		waiting, err := call(s, http.MethodPost, pathText, "waiting", body(true, endless))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(waiting.Body.Close)
		Expect(reason()).To(Equal(base.NotAdmittedFull))
		Expect(s.Ledger().Report().Runs).To(HaveLen(2))
	})
})

var _ = Describe("a crash", func() {
	// The engine crashes during a stream. The connection of the reader closes
	// without the end marker, connections are refused until the restart, and the
	// new process has no state. Only the ledger is kept, for tests.
	It("drops connections and state until the restart, but not the ledger", func() {
		s := startEngine(Params{})
		reader := openStream(s, "id-1", body(true, endless))
		admin := "http://" + s.AdminAddress() + "/admin/fault"
		answer, err := http.Post(admin, "application/json", strings.NewReader(`{"crash":true}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Body.Close()).To(Succeed())
		rest, err := io.ReadAll(reader)
		Expect(err).To(HaveOccurred())
		Expect(string(rest)).NotTo(ContainSubstring("[DONE]"))
		_, err = call(s, http.MethodGet, "/ready", "", "")
		Expect(err).To(HaveOccurred())
		answer, err = http.Post(admin, "application/json", strings.NewReader(`{"crash":false}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Body.Close()).To(Succeed())
		status, _ := read(s, http.MethodGet, "/streams/id-1", "", "")
		Expect(status).To(Equal(http.StatusNotFound))
		report := s.Ledger().Report()
		Expect(report.Incarnation).To(Equal(2))
		Expect(report.Runs).To(HaveLen(1))
		Expect(report.Runs[0].Complete).To(BeFalse())
		Expect(report.Runs[0].ComputedPromptTokens).To(Equal(6))
	})

	// A crashing request runs beside another one. The connections of both callers
	// close, and both runs are in the ledger as incomplete.
	It("occurs at the first token of a request whose body contains CrashOn", func() {
		s := startEngine(Params{})
		Expect(s.Apply(base.Faults{CrashOn: "poison"})).To(Succeed())
		reader := openStream(s, "beside", body(true, endless))
		_, err := call(s, http.MethodPost, pathText, "killer", `{"prompt":"poison","max_tokens":9}`)
		Expect(err).To(HaveOccurred())
		_, err = io.ReadAll(reader)
		Expect(err).To(HaveOccurred())
		for _, run := range s.Ledger().Report().Runs {
			Expect(run.Complete).To(BeFalse())
		}
		Expect(s.Ledger().Report().Runs).To(HaveLen(2))
		Expect(s.Faults().Crash).To(BeTrue())
	})
})

var _ = Describe("orders", func() {
	send := func(s *Server, order string) int {
		status, _ := read(s, http.MethodPost, "/orders", "", order)
		return status
	}
	loaded := func(s *Server) loadReport {
		_, answer := read(s, http.MethodGet, "/load", "", "")
		var report loadReport
		Expect(json.Unmarshal([]byte(answer), &report)).To(Succeed())
		return report
	}

	// A lease holder that was paused sends an order older than the one in force.
	// An engine that checks fencing numbers rejects it. An engine that does not
	// check applies it, which is visible only by reading the state back.
	It("with an old fencing number are rejected if the engine checks", func() {
		for _, checks := range []bool{true, false} {
			s := startEngine(Params{Common: base.Common{Faults: base.Faults{CheckFencing: checks}}})
			Expect(send(s, `{"fencing":5,"model":"m","version":"2","role":"both"}`)).To(Equal(http.StatusOK))
			status := send(s, `{"fencing":4,"model":"m","version":"1","role":"both"}`)
			if checks {
				Expect(status).To(Equal(http.StatusConflict))
				Expect(loaded(s).Version).To(Equal("2"))
				Expect(loaded(s).Fencing).To(BeEquivalentTo(5))
				continue
			}
			Expect(status).To(Equal(http.StatusOK))
			Expect(loaded(s).Version).To(Equal("1"))
		}
	})

	It("take effect after the weights are fetched", func() {
		store, err := weights.Start("127.0.0.1:0", weights.Params{})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(store.Close)
		Expect(store.Apply(base.Faults{Outage: true})).To(Succeed())
		s := startEngine(Params{Model: "m", Version: "1", WeightsAddress: store.Address()})
		Expect(send(s, `{"fencing":1,"model":"n","version":"2","role":"both"}`)).To(Equal(http.StatusOK))
		Expect(loaded(s).Model).To(Equal("m"))
		status, _ := read(s, http.MethodPost, pathText, "id", `{"model":"n","prompt":"early"}`)
		Expect(status).To(Equal(http.StatusNotFound))
		Expect(store.Apply(base.Faults{})).To(Succeed())
		Eventually(func() string { return loaded(s).Model }, 10*time.Second).Should(Equal("n"))
		Expect(store.Ledger().Report().Runs).To(HaveLen(1))
	})
})

var _ = Describe("KV cache", func() {
	It("moves a stream to another engine, which computes no prompt", func() {
		from, to := startEngine(Params{}), startEngine(Params{})
		openStream(from, "id-1", body(true, 400))
		_, kv := read(from, http.MethodGet, "/kv/id-1", "", "")
		_, _ = read(from, http.MethodDelete, "/streams/id-1", "", "")
		status, _ := read(to, http.MethodPut, "/kv/id-1", "", kv)
		Expect(status).To(Equal(http.StatusNoContent))
		_, answer := read(to, http.MethodPost, pathText, "id-1", body(true, 400))
		Expect(textOf(answer, 0)).To(Equal(answerOf("id-1", body(true, 400), 400)))
		run := to.Ledger().Report().Runs[0]
		Expect(run.Complete).To(BeTrue())
		Expect(run.ComputedPromptTokens).To(BeZero())
	})
})

var _ = Describe("cache events", func() {
	now := time.Unix(1000, 0)

	It("are published after the lag", func() {
		l := newCacheLog()
		l.add(now, opAdd, 7)
		l.add(now.Add(time.Second), opDrop, 7)
		late := base.Faults{LagMS: 500}
		Expect(l.read(0, now, late)).To(Equal(cacheEvents{Next: 1, Events: []cacheEvent{}}))
		Expect(l.read(0, now.Add(time.Second), late).Events).To(HaveLen(1))
		Expect(l.read(2, now.Add(2*time.Second), late).Events[0].Op).To(Equal(opDrop))
	})

	It("have the same gaps for every reader, in about the configured share", func() {
		l := newCacheLog()
		for i := range 1000 {
			l.add(now, opAdd, uint64(i))
		}
		gaps := base.Faults{Gaps: 0.3}
		first := l.read(0, now, gaps)
		Expect(l.read(0, now, gaps)).To(Equal(first))
		Expect(first.Next).To(BeEquivalentTo(1001))
		Expect(len(first.Events)).To(BeNumerically("~", 700, 60))
	})
})
