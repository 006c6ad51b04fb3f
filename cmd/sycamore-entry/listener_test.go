package main

import (
	"context"
	"errors"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/replay/capacity"
	"sycamoretrail/internal/settings"
	"sycamoretrail/internal/standin/layout"
)

// Guards against an entry that stays ready and in its peers' lists though one of its listeners has ended.
var _ = DescribeTable("drains and ends when a listener has ended", func(end func(*process, error)) {
	document, err := capacity.Generate("listener", capacity.Size{Targets: 1, Services: 1, Organisations: 1, Models: 1, Zones: 1})
	Expect(err).NotTo(HaveOccurred())
	dir := GinkgoT().TempDir()
	Expect(layout.Write(dir, layout.Options{Document: document, Entries: 1})).To(Succeed())
	s, err := settings.LoadEntry(dir + "/entry-1.json")
	Expect(err).NotTo(HaveOccurred())
	s.LogLevel = "fatal"
	cfg, err := coreConfig(s)
	Expect(err).NotTo(HaveOccurred())
	p, err := newProcess(s, cfg)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.loop.Run(ctx)
	ended := make(chan error, 1)
	go func() { ended <- p.wait() }()
	Consistently(ended, 50*time.Millisecond).ShouldNot(Receive())
	broken := errors.New("the listener broke")
	end(p, broken)
	var got error
	Eventually(ended, 10*time.Second).Should(Receive(&got))
	Expect(got).To(MatchError(broken))
	Expect(got).To(MatchError(errListenerEnded))
},
	Entry("of callers", func(p *process, broken error) { p.serve("callers", func() error { return broken }) }),
	Entry("of operators", func(p *process, broken error) { p.serve("operators", func() error { return broken }) }),
	Entry("of peers", func(p *process, broken error) { p.links.Start(brokenListener{broken}) }),
)

// brokenListener fails each time.
type brokenListener struct{ err error }

func (l brokenListener) Accept() (net.Conn, error) { return nil, l.err }
func (l brokenListener) Close() error              { return nil }
func (l brokenListener) Addr() net.Addr            { return &net.TCPAddr{} }
