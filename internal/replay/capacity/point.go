package capacity

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/answerhead"
	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/operatorclient"
	"sycamoretrail/internal/operators/api"
)

// Point is the resource use of daemons at one value of the varied quantity. Rates
// are per second and daemon, as the mean of all daemons that were read.
type Point struct {
	// Series names the varied quantity, X is its value.
	Series string  `json:"series"`
	X      float64 `json:"x"`
	// Daemons is the number of daemons read, Seconds the time between the readings.
	Daemons int     `json:"daemons"`
	Seconds float64 `json:"seconds"`
	// LoadBefore and LoadAfter are the load average of the machine.
	LoadBefore float64 `json:"load_average_before"`
	LoadAfter  float64 `json:"load_average_after"`
	// Values holds the readings by name; see the constants.
	Values map[string]float64 `json:"values"`
	// Sent is the result of the load, if one was sent.
	Sent *Tally `json:"sent,omitempty"`
}

// Names of readings. Those by message type are prefixed with the type.
const (
	valueCPU          = "cpu_ms"           // processor time, in ms a second
	valueResident     = "resident_mb"      // memory at the end
	valueHeap         = "heap_mb"          // live and not yet collected objects at the end
	valueSent         = "peer_sent_bytes"  // frames to peers, without WebSocket, TCP and IP headers
	valueReceived     = "peer_recv_bytes"  // the same from peers
	valueFrames       = "peer_sent_frames" // frames to peers
	valueFramesIn     = "peer_recv_frames" // frames from peers
	valueLogSent      = "log_sent_bytes"   // to the log, HTTP headers included
	valueLogReceived  = "log_recv_bytes"   // from the log
	valueListReceived = "list_recv_bytes"  // from the instance list
	valueAppends      = "log_appends"      // appends that this daemon made
	valueAnswered     = "answered"         // requests answered
	suffixMessages    = "_messages"        // messages sent, by type
	suffixBytes       = "_bytes"           // their bytes, by type
	megabyte          = 1e6                // as in the budget, 64 MB
	settleBefore      = 2 * time.Second    // load runs so long before reading
	settleAfter       = 5 * time.Second    // and is given so long to end
	milliseconds      = float64(time.Second / time.Millisecond)
)

// errPublish is returned if a change was not accepted.
var errPublish = errors.New("change was not accepted")

// Measurement describes which daemons to read and under which load.
type Measurement struct {
	Series string
	X      float64
	// Addresses are the callers' addresses of the daemons, Pids their processes.
	Addresses []string
	Pids      []int
	Duration  time.Duration
	// Load is sent meanwhile, unless both Rate and Count are 0.
	Load Load
	// Changes is the interval at which the document is published again; 0 means never.
	Changes   time.Duration
	Operators []string
	Token     string
}

// reading holds the counters of all daemons at one time.
type reading struct {
	at      time.Time
	usage   Usage
	metrics []Series
}

// Measure reads the daemons twice and returns the usage between the readings.
func (m Measurement) Measure(ctx context.Context) (Point, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	loaded := m.startLoad(ctx)
	changed := m.startChanges(ctx)
	if m.Load.Rate > 0 || m.Load.Count > 0 || m.Changes > 0 {
		time.Sleep(settleBefore)
	}
	p := Point{Series: m.Series, X: m.X, Daemons: len(m.Pids), LoadBefore: LoadAverage()}
	before, err := m.read()
	if err != nil {
		return p, err
	}
	time.Sleep(m.Duration)
	after, err := m.read()
	if err != nil {
		return p, err
	}
	p.LoadAfter = LoadAverage()
	cancel()
	p.Sent = <-loaded
	if err := <-changed; err != nil {
		return p, err
	}
	p.compare(before, after)
	return p, nil
}

func (m Measurement) startLoad(ctx context.Context) <-chan *Tally {
	done := make(chan *Tally, 1)
	if m.Load.Rate <= 0 && m.Load.Count <= 0 {
		done <- nil
		return done
	}
	go func() {
		ended := make(chan Tally, 1)
		go func() {
			tally, err := m.Load.Run(ctx)
			if err != nil {
				tally.Why = map[string]int{err.Error(): 1}
			}
			ended <- tally
		}()
		<-ctx.Done()
		// Requests that are still waiting after settleAfter are ignored.
		select {
		case tally := <-ended:
			done <- &tally
		case <-time.After(settleAfter):
			done <- nil
		}
	}()
	return done
}

// startChanges publishes the document repeatedly, each time as the next version of
// the one in force.
func (m Measurement) startChanges(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	if m.Changes <= 0 {
		done <- nil
		return done
	}
	go func() { done <- m.change(ctx) }()
	return done
}

func (m Measurement) change(ctx context.Context) error {
	client := operatorclient.New(operatorclient.Options{Entries: m.Operators, Token: m.Token})
	inForce, err := client.Document()
	if err != nil {
		return err
	}
	doc := *m.Load.Document
	doc.Base = inForce.Version
	ticker := time.NewTicker(m.Changes)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		doc.ID = fmt.Sprintf("change-%d-%d", inForce.Version, i)
		data, err := document.Encode(&doc)
		if err != nil {
			return err
		}
		published, err := client.Publish(doc.ID, data)
		if err != nil {
			return err
		}
		if published.Result != api.ResultAccepted {
			return fmt.Errorf("%w: %s %s", errPublish, published.Result, published.Detail)
		}
		doc.Base = published.Version
	}
}

func (m Measurement) read() (reading, error) {
	r := reading{at: time.Now()}
	var err error
	if r.usage, err = sumUsage(m.Pids); err != nil {
		return r, err
	}
	client := &fasthttp.Client{MaxConnsPerHost: 1, ConfigureClient: answerhead.Configure}
	defer client.CloseIdleConnections()
	for _, address := range m.Addresses {
		series, err := ReadMetrics(client, address)
		if err != nil {
			return r, err
		}
		r.metrics = append(r.metrics, series)
	}
	return r, nil
}

// compare computes the values from two readings.
func (p *Point) compare(before, after reading) {
	p.Seconds = after.at.Sub(before.at).Seconds()
	each := float64(p.Daemons)
	p.Values = map[string]float64{
		valueCPU:      (after.usage.CPU - before.usage.CPU).Seconds() * milliseconds / p.Seconds / each,
		valueResident: float64(after.usage.Resident) / megabyte / each,
	}
	for i := range after.metrics {
		p.Values[valueHeap] += after.metrics[i].Gauge("process_heap_bytes") / megabyte / each
	}
	rate := func(name string, read func(Series) float64) {
		for i := range after.metrics {
			p.Values[name] += (read(after.metrics[i]) - read(before.metrics[i])) / p.Seconds / each
		}
	}
	gauge := func(name, metric string) { rate(name, func(s Series) float64 { return s.Gauge(metric) }) }
	gauge(valueSent, "peer_sent_bytes")
	gauge(valueReceived, "peer_received_bytes")
	gauge(valueFrames, "peer_sent_frames")
	gauge(valueFramesIn, "peer_received_frames")
	gauge(valueAppends, "log_appends")
	part := func(name, metric, part string) {
		rate(name, func(s Series) float64 { return s.By(metric, "part")[part] })
	}
	part(valueLogSent, "platform_sent_bytes", "log")
	part(valueLogReceived, "platform_received_bytes", "log")
	part(valueListReceived, "platform_received_bytes", "instances")
	rate(valueAnswered, func(s Series) float64 { return s.Sum("requests_total", "outcome", "answered") })
	if len(after.metrics) == 0 {
		return
	}
	for kind := range after.metrics[0].By("peer_sent_messages", "type") {
		rate(kind+suffixMessages, func(s Series) float64 { return s.By("peer_sent_messages", "type")[kind] })
		rate(kind+suffixBytes, func(s Series) float64 { return s.By("peer_sent_message_bytes", "type")[kind] })
		if p.Values[kind+suffixMessages] == 0 {
			delete(p.Values, kind+suffixMessages)
			delete(p.Values, kind+suffixBytes)
		}
	}
}

// AppendPoint appends a point to a file with one JSON object per line.
func AppendPoint(path string, p Point) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fmt.Errorf("write point: %w", err)
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("write point: %w", err)
	}
	defer file.Close()
	if err := json.NewEncoder(file).Encode(p); err != nil {
		return fmt.Errorf("write point: %w", err)
	}
	return nil
}

// ReadPoints reads a file written by AppendPoint.
func ReadPoints(path string) ([]Point, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read points: %w", err)
	}
	defer file.Close()
	var points []Point
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var p Point
		if err := json.Unmarshal(lines.Bytes(), &p); err != nil {
			return nil, fmt.Errorf("read points: %w", err)
		}
		points = append(points, p)
	}
	return points, lines.Err()
}
