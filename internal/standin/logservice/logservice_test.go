package logservice

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/standin/base"
)

func TestLogService(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logservice")
}

var start = time.Unix(1000, 0)

var _ = Describe("the log over HTTP", func() {
	var s *Server

	BeforeEach(func() {
		var err error
		s, err = Start("127.0.0.1:0", Params{})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Close)
	})

	url := func(stream string) string { return "http://" + s.Address() + "/logs/" + stream + "/records" }

	post := func(stream, data string) (int, appended, error) {
		response, err := http.Post(url(stream), "application/octet-stream", strings.NewReader(data))
		if err != nil {
			return 0, appended{}, err
		}
		defer response.Body.Close()
		var answer appended
		Expect(json.NewDecoder(response.Body).Decode(&answer)).To(Succeed())
		return response.StatusCode, answer, nil
	}

	get := func(stream, query string) (int, page) {
		response, err := http.Get(url(stream) + "?" + query)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		var answer page
		Expect(json.Unmarshal(data, &answer)).To(Succeed())
		return response.StatusCode, answer
	}

	It("counts offsets from 1 in each stream", func() {
		for i := range 3 {
			_, answer, err := post("a", fmt.Sprint("record ", i+1))
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Offset).To(BeEquivalentTo(i + 1))
		}
		_, answer, _ := post("b", "other")
		Expect(answer.Offset).To(BeEquivalentTo(1))
		_, read := get("a", "from=2&max=1")
		Expect(read.Next).To(BeEquivalentTo(3))
		Expect(read.First).To(BeEquivalentTo(1))
		Expect(read.End).To(BeEquivalentTo(4))
		Expect(read.Records).To(HaveLen(1))
		Expect(string(read.Records[0].Data)).To(Equal("record 2"))
	})

	It("rejects a record above 1 MiB", func() {
		status, _, err := post("a", strings.Repeat("x", maxRecordBytes+1))
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusRequestEntityTooLarge))
	})

	It("answers 429 over its rate", func() {
		Expect(s.Apply(base.Faults{Rate: 0.001})).To(Succeed())
		first, _, _ := post("a", "fits")
		second, _, _ := post("a", "does not")
		Expect([]int{first, second}).To(Equal([]int{http.StatusOK, http.StatusTooManyRequests}))
	})

	// During an outage every append and read fails with 503 and has no effect.
	// Afterwards the earlier records are still there and offsets continue.
	It("accepts no records during an outage and keeps earlier ones", func() {
		_, _, _ = post("a", "before")
		Expect(s.Apply(base.Faults{Outage: true})).To(Succeed())
		status, _, _ := post("a", "during")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		status, _ = get("a", "from=1")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(s.Apply(base.Faults{})).To(Succeed())
		_, answer, _ := post("a", "after")
		Expect(answer.Offset).To(BeEquivalentTo(2))
	})

	// The connection closes before the writer receives the answer with the offset.
	// The record is in the log nevertheless, which only a read reveals. Appending
	// again would add a second record.
	It("keeps a record whose answer was lost", func() {
		Expect(s.Apply(base.Faults{LoseAnswers: true})).To(Succeed())
		_, _, err := post("a", "unanswered")
		Expect(err).To(HaveOccurred())
		Expect(s.Apply(base.Faults{})).To(Succeed())
		_, read := get("a", "from=1")
		Expect(read.Records).To(HaveLen(1))
		Expect(string(read.Records[0].Data)).To(Equal("unanswered"))
	})

	It("wakes a waiting reader, also of a stream that does not exist yet", func() {
		read, changed := s.read(query{stream: "new", from: 1, limit: 1})
		Expect(read.Records).To(BeEmpty())
		Expect(changed).NotTo(BeClosed())
		_, _, _ = post("new", "news")
		Expect(changed).To(BeClosed())
		_, got := get("new", "from=1&wait_ms=60000")
		Expect(got.Records).To(HaveLen(1))
	})
})

var _ = Describe("retention", func() {
	// A reader that paused for longer than the retention requests an offset that
	// has expired. It receives the oldest retained record, and First shows how
	// many it has missed. Offsets are never reused.
	It("removes old records and reports the oldest retained offset", func() {
		s := newStream()
		for i := range 4 {
			s.append(start.Add(time.Duration(i)*time.Second), []byte{byte(i)})
		}
		now := start.Add(4 * time.Second)
		s.expire(now, 2*time.Second)
		read := s.read(now, 1, 10)
		Expect(read.First).To(BeEquivalentTo(3))
		Expect(read.Records[0].Offset).To(BeEquivalentTo(3))
		Expect(read.Records[0].AgeMS).To(BeEquivalentTo(2000))
		s.expire(now.Add(time.Hour), 2*time.Second)
		Expect(s.append(now, nil)).To(BeEquivalentTo(5))
	})
})
