package main

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus/hooks/test"

	"sycamoretrail/internal/core/entry"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sycamore-entry")
}

var _ = It("logs each change of a target once", func() {
	logger, hook := test.NewNullLogger()
	targets := newTargetLog(logger)
	for _, found := range []entry.TargetState{
		{Target: "a", Reachable: true}, {Target: "a"}, {Target: "a"}, {Target: "b", Reachable: true, Leaving: true},
		{Target: "a", Reachable: true}, {Target: "a", Reachable: true}, {Target: "b", Reachable: true, Leaving: true},
	} {
		targets.note(found)
	}
	var lines []string
	for _, line := range hook.AllEntries() {
		lines = append(lines, line.Data["target"].(string)+": "+line.Message)
	}
	Expect(lines).To(Equal([]string{
		"a: target does not answer its probe; it gets no new work",
		"b: target is leaving; it gets no new work",
		"a: target takes work again",
	}))
})
