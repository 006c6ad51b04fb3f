package logclient

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/entry"
)

// fakeLog is a log of one stream with faults that a test can inject.
type fakeLog struct {
	mutex   sync.Mutex
	url     string
	first   int64
	records []item
	// status, if not 0, is the answer to all calls. With loseAnswers, appends take
	// effect and the connection is closed without an answer. With absent, reads get
	// 404 until the first append.
	status      int
	loseAnswers bool
	absent      bool
	appends     int
	// seeks counts reads of a single record.
	seeks int
}

func startLog() *fakeLog {
	f := &fakeLog{first: 1}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f.url = "http://" + listener.Addr().String()
	server := &fasthttp.Server{Handler: f.handle}
	go server.Serve(listener)
	DeferCleanup(func() { listener.Close() })
	return f
}

func (f *fakeLog) change(change func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change()
}

func (f *fakeLog) handle(ctx *fasthttp.RequestCtx) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	switch {
	case f.status != 0:
		ctx.SetStatusCode(f.status)
	case ctx.IsPost():
		f.append(ctx)
	case f.absent:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	default:
		f.read(ctx)
	}
}

func (f *fakeLog) append(ctx *fasthttp.RequestCtx) {
	f.appends++
	f.absent = false
	offset := f.first + int64(len(f.records))
	f.records = append(f.records, item{Offset: offset, Data: append([]byte(nil), ctx.PostBody()...)})
	if f.loseAnswers {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	}
	writeJSON(ctx, map[string]int64{"offset": offset})
}

func (f *fakeLog) read(ctx *fasthttp.RequestCtx) {
	from, _ := strconv.ParseInt(string(ctx.QueryArgs().Peek("from")), 10, 64)
	limit, _ := strconv.Atoi(string(ctx.QueryArgs().Peek("max")))
	if limit == 1 {
		f.seeks++
	}
	end := f.first + int64(len(f.records))
	p := page{Next: min(max(from, f.first), end), First: f.first, End: end}
	for _, r := range f.records {
		if r.Offset >= from && len(p.Records) < limit {
			p.Records = append(p.Records, r)
			p.Next = r.Offset + 1
		}
	}
	writeJSON(ctx, p)
}

func writeJSON(ctx *fasthttp.RequestCtx, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	ctx.SetBody(data)
}

// inputs collects the inputs that a client delivers; repeated LogCaughtUp of one offset
// are collected once.
type inputs struct {
	mutex sync.Mutex
	list  []entry.Input
}

func (i *inputs) add(in entry.Input) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if caught, ok := in.(entry.LogCaughtUp); ok {
		caught.Since = time.Time{}
		in = caught
		if len(i.list) > 0 && i.list[len(i.list)-1] == in {
			return
		}
	}
	i.list = append(i.list, in)
}

func (i *inputs) seen() []entry.Input {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return append([]entry.Input(nil), i.list...)
}

func client(got *inputs, urls ...string) *Log {
	l := NewLog(urls, got.add, time.Now, quiet())
	l.pollWait = 0
	DeferCleanup(l.Close)
	return l
}

// refusingURL returns a URL whose port refuses connections.
func refusingURL() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return "http://" + listener.Addr().String()
}

func logRecord(offset int64, age time.Duration, data string) entry.LogRecord {
	return entry.LogRecord{Stream: "s", Offset: offset, Age: age, Data: []byte(data)}
}

func caughtUp(offset int64) entry.LogCaughtUp { return entry.LogCaughtUp{Stream: "s", Offset: offset} }

var _ = Describe("an append", func() {
	var (
		log *fakeLog
		got *inputs
	)

	BeforeEach(func() { log, got = startLog(), &inputs{} })

	It("delivers the offset with its tag", func() {
		Expect(client(got, log.url).Append(entry.Append{Tag: 7, Stream: "s", Data: []byte("x")})).To(BeTrue())
		Eventually(got.seen).Should(Equal([]entry.Input{entry.LogAppended{Tag: 7, Offset: 1}}))
	})

	// The log writes the record and the connection breaks before its answer. The core
	// must receive neither Failed nor an offset: after Failed it would report "not run"
	// for a request whose claim is in the log. The client must not retry, which would
	// write a second record.
	It("is unknown when its answer is lost, and is not sent again", func() {
		log.loseAnswers = true
		client(got, log.url).Append(entry.Append{Tag: 7, Stream: "s"})
		Eventually(got.seen).Should(Equal([]entry.Input{entry.LogAppended{Tag: 7, Offset: -1}}))
		log.change(func() { Expect(log.appends).To(Equal(1)) })
	})

	DescribeTable("has failed only where the log certainly wrote nothing", func(status int, failed bool) {
		log.status = status
		client(got, log.url).Append(entry.Append{Tag: 7, Stream: "s"})
		Eventually(got.seen).Should(Equal([]entry.Input{entry.LogAppended{Tag: 7, Offset: -1, Failed: failed}}))
	},
		Entry("outage", 503, true), Entry("rate limit exceeded", 429, true), Entry("malformed", 400, true),
		Entry("fault inside the log", 500, false), Entry("gateway timeout", 504, false))

	It("tries the next URL after a refused connection, and fails when all refuse", func() {
		Expect(client(got, refusingURL(), log.url).AppendNow("s", []byte("x"))).To(Equal(int64(1)))
		_, err := client(got, refusingURL(), refusingURL()).AppendNow("s", nil)
		Expect(err).To(MatchError(ErrRefused))
	})

	It("does not try another URL when the answer was lost", func() {
		second := startLog()
		log.loseAnswers = true
		_, err := client(got, log.url, second.url).AppendNow("s", nil)
		Expect(err).To(MatchError(ErrUnknown))
		Expect(errors.Is(err, ErrRefused)).To(BeFalse())
		second.change(func() { Expect(second.appends).To(BeZero()) })
	})
})

var _ = Describe("following a stream", func() {
	var (
		log *fakeLog
		got *inputs
	)

	BeforeEach(func() { log, got = startLog(), &inputs{} })

	It("delivers records in order, then reports that it has caught up, and continues", func() {
		for offset := int64(1); offset <= 600; offset++ {
			log.records = append(log.records, item{Offset: offset, AgeMS: 5, Data: []byte("old")})
		}
		client(got, log.url).Follow(entry.Follow{Stream: "s"})
		Eventually(got.seen).Should(HaveLen(601))
		seen := got.seen()
		for i := range 600 {
			Expect(seen[i]).To(Equal(logRecord(int64(i+1), 5*time.Millisecond, "old")))
		}
		Expect(seen[600]).To(Equal(caughtUp(601)))
		log.change(func() { log.records = append(log.records, item{Offset: 601, Data: []byte("new")}) })
		Eventually(got.seen).Should(HaveLen(603))
		Expect(got.seen()[601:]).To(Equal([]entry.Input{logRecord(601, 0, "new"), caughtUp(602)}))
	})

	It("begins with the first record that is no older than Back", func() {
		for offset := int64(1); offset <= 1000; offset++ {
			log.records = append(log.records, item{Offset: offset, AgeMS: 1001 - offset, Data: []byte("x")})
		}
		client(got, log.url).Follow(entry.Follow{Stream: "s", Back: 3 * time.Millisecond})
		Eventually(got.seen).Should(Equal([]entry.Input{
			logRecord(998, 3*time.Millisecond, "x"), logRecord(999, 2*time.Millisecond, "x"), logRecord(1000, time.Millisecond, "x"), caughtUp(1001),
		}))
		log.change(func() { Expect(log.seeks).To(BeNumerically("<", 20), "the start must be found by binary search") })
	})

	It("treats a stream that does not exist yet as empty", func() {
		log.absent = true
		client(got, log.url).Follow(entry.Follow{Stream: "s"})
		Eventually(got.seen).Should(Equal([]entry.Input{caughtUp(1)}))
	})

	// The log is unavailable for some time and recovers with one more record. The core
	// receives LogDown once, so that it makes no decision on an outdated stream, then
	// the missed record, and only then LogCaughtUp.
	It("reports an outage once, and then catches up", func() {
		client(got, log.url).Follow(entry.Follow{Stream: "s"})
		Eventually(got.seen).Should(Equal([]entry.Input{caughtUp(1)}))
		log.change(func() { log.status = 503 })
		Eventually(got.seen).Should(Equal([]entry.Input{caughtUp(1), entry.LogDown{Stream: "s"}}))
		log.change(func() {
			log.status = 0
			log.records = append(log.records, item{Offset: 1, Data: []byte("x")})
		})
		Eventually(got.seen).Should(Equal([]entry.Input{caughtUp(1), entry.LogDown{Stream: "s"}, logRecord(1, 0, "x"), caughtUp(2)}))
	})

	// Records expired before the client read them. There is a gap before the next
	// record, so the core must not rely on its state of the stream any more.
	It("reports records that expired unread as an outage", func() {
		client(got, log.url).Follow(entry.Follow{Stream: "s"})
		Eventually(got.seen).Should(Equal([]entry.Input{caughtUp(1)}))
		log.change(func() {
			log.first = 5
			log.records = []item{{Offset: 5, Data: []byte("x")}}
		})
		Eventually(got.seen).Should(Equal([]entry.Input{caughtUp(1), entry.LogDown{Stream: "s"}, logRecord(5, 0, "x"), caughtUp(6)}))
	})

	It("uses the next URL when one fails, without an outage", func() {
		client(got, refusingURL(), log.url).Follow(entry.Follow{Stream: "s"})
		Eventually(got.seen).Should(Equal([]entry.Input{caughtUp(1)}))
	})

	// LogCaughtUp states that all records up to an instant have been read. If the
	// clock were read after the read, a record appended in between would count as
	// absent, and a key could be claimed twice.
	It("takes the instant of LogCaughtUp before the read", func() {
		var mutex sync.Mutex
		var first time.Time
		began := time.Unix(1000, 0)
		now := began
		clock := func() time.Time {
			mutex.Lock()
			defer mutex.Unlock()
			reading := now
			now = now.Add(time.Hour)
			return reading
		}
		done := make(chan struct{})
		var once sync.Once
		l := NewLog([]string{log.url}, func(in entry.Input) {
			once.Do(func() { first = in.(entry.LogCaughtUp).Since; close(done) })
		}, clock, quiet())
		DeferCleanup(l.Close)
		l.Follow(entry.Follow{Stream: "s"})
		Eventually(done).Should(BeClosed())
		Expect(first).To(Equal(began))
	})

	It("ends with Unfollow, and can be started again", func() {
		l := client(got, log.url)
		l.Follow(entry.Follow{Stream: "s"})
		l.Follow(entry.Follow{Stream: "s"})
		Eventually(got.seen).Should(Equal([]entry.Input{caughtUp(1)}))
		l.Unfollow(entry.Unfollow{Stream: "s"})
		l.followerGroup.Wait()
		log.change(func() { log.records = append(log.records, item{Offset: 1, Data: []byte("x")}) })
		l.Follow(entry.Follow{Stream: "s"})
		Eventually(got.seen).Should(Equal([]entry.Input{caughtUp(1), logRecord(1, 0, "x"), caughtUp(2)}))
	})
})

var _ = Describe("the instance list", func() {
	It("is read, and failures have no effect", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		rows := entry.InstanceList{Instances: []entry.Instance{{Name: "e", Address: "127.0.0.1:1", Zone: "a", Role: "entry", Leaving: true}}}
		go fasthttp.Serve(listener, func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, map[string]any{"instances": rows.Instances}) })
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		var took []entry.InstanceList
		var failed []error
		NewInstances("http://"+listener.Addr().String()).Poll(ctx, func(l entry.InstanceList) { took = append(took, l) }, func(err error) { failed = append(failed, err) })
		NewInstances(refusingURL()).Poll(ctx, func(l entry.InstanceList) { took = append(took, l) }, func(err error) { failed = append(failed, err) })
		Expect(took).To(Equal([]entry.InstanceList{rows}))
		Expect(failed).To(HaveLen(1))
	})
})
