package main

import (
	"context"
	"os"
	"path/filepath"
	"runtime/pprof"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/operatorclient"
	"sycamoretrail/internal/replay/capacity"
	"sycamoretrail/internal/settings"
	"sycamoretrail/internal/standin/layout"
	standins "sycamoretrail/internal/standin/settings"
)

// The benchmarks of this file run one entry, its stand-ins and its caller in one
// process and on fixed loopback ports, so that one profile covers them. The label
// "side" distinguishes them:
//
//	go test ./cmd/sycamore-entry -run xxx -bench Streams -benchtime 1000x -cpuprofile cpu.out
//	go tool pprof -tagfocus side=entry -top cpu.out

const labelSide = "side"

// runLabelled runs start with a label that all goroutines started by it inherit.
func runLabelled(side string, start func()) {
	pprof.Do(context.Background(), pprof.Labels(labelSide, side), func(context.Context) { start() })
}

type deployment struct {
	doc    *document.Document
	tokens map[string]string
	entry  string
}

// newDeployment starts a deployment with one entry.
func newDeployment(b *testing.B, size capacity.Size, stepMS float64) deployment {
	b.Helper()
	doc, err := capacity.Generate("bench", size)
	check(b, err)
	dir := b.TempDir()
	check(b, layout.Write(dir, layout.Options{Document: doc, Entries: 1, EngineStepMS: stepMS}))
	runLabelled("standin", func() { startStandins(b, filepath.Join(dir, "standin.json")) })
	s, err := settings.LoadEntry(filepath.Join(dir, "entry-1.json"))
	check(b, err)
	runLabelled("entry", func() { startEntry(b, s) })
	data, err := document.Encode(doc)
	check(b, err)
	client := operatorclient.New(operatorclient.Options{Entries: []string{s.OperatorsAddress}, Token: layout.OperatorToken})
	await(b, func() bool {
		_, err := client.Publish(doc.ID, data)
		return err == nil
	})
	await(b, func() bool {
		status, err := client.Status()
		return err == nil && status.State == message.Ready.String()
	})
	// The schedulers grant nothing until they have received the others' requests in flight.
	time.Sleep(2 * document.Milliseconds(doc.Timing.SilenceMS))
	name := capacity.OrganisationName(0)
	return deployment{doc: doc, tokens: map[string]string{name: capacity.Token(name)}, entry: s.CallersAddress}
}

func startStandins(b *testing.B, path string) {
	data, err := os.ReadFile(path)
	check(b, err)
	file, err := standins.Parse(data)
	check(b, err)
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	running, err := file.Start(log)
	check(b, err)
	b.Cleanup(func() { check(b, standins.CloseAll(running)) })
}

func startEntry(b *testing.B, s settings.Entry) {
	cfg, err := coreConfig(s)
	check(b, err)
	// The entry logs to standard output, which is reserved for the results here.
	stdout := os.Stdout
	null, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	check(b, err)
	os.Stdout = null
	p, err := newProcess(s, cfg)
	os.Stdout = stdout
	check(b, err)
	ended := make(chan error, 1)
	go func() { ended <- p.run(context.Background()) }()
	b.Cleanup(func() {
		p.Drain()
		check(b, <-ended)
	})
}

func await(b *testing.B, ready func() bool) {
	b.Helper()
	for range 200 {
		if ready() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	b.Fatal("the deployment did not get ready")
}

func check(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

// BenchmarkHop makes sequential calls, directly to a stand-in and through the entry. It
// reports the latency that the entry adds at p50 and p99, in microseconds.
func BenchmarkHop(b *testing.B) {
	d := newDeployment(b, capacity.Size{Targets: 2, Services: 1, Organisations: 1, Models: 1, Zones: 1}, 1)
	b.ResetTimer()
	name := capacity.OrganisationName(0)
	rows, err := capacity.Hop(capacity.HopOptions{
		Entry: d.entry, Document: d.doc, Organisation: name, Token: d.tokens[name],
		Count: b.N, PromptTokens: 16, AnswerTokens: 4,
	})
	check(b, err)
	for i := 0; i+1 < len(rows); i += 2 {
		direct, viaEntry := rows[i], rows[i+1]
		b.ReportMetric((viaEntry.Total.P50-direct.Total.P50)*1e3, string(viaEntry.Kind)+"-p50-us")
		b.ReportMetric((viaEntry.Total.P99-direct.Total.P99)*1e3, string(viaEntry.Kind)+"-p99-us")
	}
}

// BenchmarkStreams reads b.N concurrent streams of 100 tokens.
func BenchmarkStreams(b *testing.B) {
	d := newDeployment(b, capacity.Size{Targets: 64, OneGeneration: true, Services: 1, Organisations: 1, Models: 1, Zones: 1}, 0)
	b.ResetTimer()
	load := capacity.Load{
		Entries: []string{d.entry}, Document: d.doc, Tokens: d.tokens, Kind: capacity.Completion,
		Count: b.N, PromptTokens: 16, AnswerTokens: 100,
	}
	tally, err := load.Run(context.Background())
	check(b, err)
	if tally.Answered != tally.Sent || tally.Chunks != tally.Expected {
		b.Fatalf("streams were lost: %+v", tally)
	}
}
