package gateway

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/core/quota"
	"sycamoretrail/internal/gossip"
	"sycamoretrail/internal/settings"
)

// Forms of names: letters take room in a datagram, and so do numbers.
const longNames, shortNames = "organisation-%04d", "%d"

// manyOrganisations is an entry whose callers belong to so many organisations.
func manyOrganisations(t *testing.T, n int, form string) *Gateway {
	g := New(settings.DefaultGateway(), &scripted{}, silentLogger(&bytes.Buffer{}))
	conn, err := gossip.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	g.links = newLinks(g, conn)
	var organisations []catalog.Organisation
	for i := range n {
		organisations = append(organisations, catalog.Organisation{Name: fmt.Sprintf(form, i), Rate: 1e9})
	}
	g.state.quota.SetOrganisations(organisations)
	for _, each := range organisations {
		g.state.charge((*quota.Limiter).Reserve, each.Name, 1e15)
	}
	return g
}

// Callers of two thousand organisations use an entry. Its heartbeat did not fit a datagram
// and was not sent at all; the others took it for silent, and it them, so each refused
// what all might have used. What fits is sent, and after some heartbeats all has been told.
func TestHeartbeatsOfManyOrganisationsAreSent(t *testing.T) {
	w := NewWithT(t)
	const organisations = 2000
	g := manyOrganisations(t, organisations, longNames)
	told := make(map[string]bool)
	for range 120 {
		m := g.links.heartbeat()
		_, err := g.links.conn.Encode(m)
		w.Expect(err).NotTo(HaveOccurred())
		w.Expect(m.Heartbeat.Partial).To(BeTrue())
		for name := range m.Heartbeat.Totals {
			told[name] = true
		}
	}
	w.Expect(told).To(HaveLen(organisations))
}

// The same for what a relay passes on to the other cells: a word with all totals did not
// fit, so none was passed on, and whole cells were silent to each other.
func TestDigestsOfManyOrganisationsAreSent(t *testing.T) {
	for _, form := range []string{longNames, shortNames} {
		w := NewWithT(t)
		g := manyOrganisations(t, 300, form)
		told := make(map[string]bool)
		for range 30 {
			organisations, words, whole := g.links.words()
			w.Expect(whole).To(BeFalse())
			digests, err := gossip.Digests(organisations, words)
			w.Expect(err).NotTo(HaveOccurred())
			for _, digest := range digests {
				m := g.links.message()
				m.Digest = digest
				_, err := g.links.conn.Encode(m)
				w.Expect(err).NotTo(HaveOccurred())
				for _, name := range digest.Organisations {
					told[name] = true
				}
			}
		}
		w.Expect(told).To(HaveLen(300))
	}
}

// Where all organisations have room each heartbeat tells of all, as entries without this
// rule expect.
func TestHeartbeatsOfFewOrganisationsAreWhole(t *testing.T) {
	w := NewWithT(t)
	g := manyOrganisations(t, 16, longNames)
	for range 2 {
		m := g.links.heartbeat()
		w.Expect(m.Heartbeat.Totals).To(HaveLen(16))
		w.Expect(m.Heartbeat.Partial).To(BeFalse())
	}
	_, _, whole := g.links.words()
	w.Expect(whole).To(BeTrue())
}

// An entry that joins is told what quotas have been used, in as many datagrams as it takes.
func TestHistoriesOfManyOrganisationsAreSent(t *testing.T) {
	w := NewWithT(t)
	g := manyOrganisations(t, 0, longNames)
	histories := make(map[string]quota.History)
	for i := range 200 {
		histories[fmt.Sprintf("organisation-%04d", i)] = quota.History{Older: 1e9, Recent: 1e9}
	}
	told := make(map[string]bool)
	for _, part := range partsOf(histories, heartbeatBytes, historyBytes) {
		m := g.links.message()
		m.History = mapValues(part, historyMessage)
		_, err := g.links.conn.Encode(m)
		w.Expect(err).NotTo(HaveOccurred())
		for name := range part {
			told[name] = true
		}
	}
	w.Expect(told).To(HaveLen(200))
}

// Guards against load reports that are not sent: many targets declare limits, and the totals
// of many organisations have changed.
func TestLoadReportsWithManyLimitsAreSent(t *testing.T) {
	w := NewWithT(t)
	g := manyOrganisations(t, 300, longNames)
	const limited = 60
	load := dispatch.Load{Limits: make(map[string]dispatch.LimitReport), InFlight: make(map[string]int), Reading: make(map[string]int)}
	for i := range limited {
		id := fmt.Sprintf("i-%010x@%d", i, int64(1.8e12))
		load.Limits[id] = dispatch.LimitReport{Limit: dispatch.Limit{Declared: true, PerSecond: 1.9}, Age: time.Hour, Sent: 1e6}
		if i < 8 {
			load.InFlight[id], load.Reading[id] = 4, 40_000
		}
	}
	told := make(map[string]bool)
	for range 10 {
		m := g.links.loadReport(load, g.state.quota.Totals())
		_, err := g.links.conn.Encode(m)
		w.Expect(err).NotTo(HaveOccurred())
		w.Expect(m.Load.Totals).NotTo(BeEmpty())
		for id, limit := range m.Load.Limits {
			w.Expect(limitReportOf(limit)).To(Equal(load.Limits[id]))
			told[id] = true
		}
	}
	w.Expect(told).To(HaveLen(limited))
}
