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

// Formats of names: both long names and many short ones fill a datagram.
const longNames, shortNames = "organisation-%04d", "%d"

// manyOrganisations returns an entry with usage of n organisations.
func manyOrganisations(t *testing.T, n int, form string) *Gateway {
	g := New(settings.DefaultGateway(), &fakePlatform{}, loggerTo(&bytes.Buffer{}))
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

// Callers of two thousand organisations use an entry. A heartbeat with all totals does not fit
// a datagram and would not be sent at all; the entries would take each other for unresponsive,
// and each would refuse what all might have used. So each heartbeat contains the totals that fit,
// and after some heartbeats all totals have been sent.
func TestHeartbeatsOfManyOrganisationsAreSent(t *testing.T) {
	w := NewWithT(t)
	const organisations = 2000
	g := manyOrganisations(t, organisations, longNames)
	sent := make(map[string]bool)
	for range 120 {
		m := g.links.heartbeat()
		_, err := g.links.conn.Encode(m)
		w.Expect(err).NotTo(HaveOccurred())
		w.Expect(m.Heartbeat.Partial).To(BeTrue())
		for name := range m.Heartbeat.Totals {
			sent[name] = true
		}
	}
	w.Expect(sent).To(HaveLen(organisations))
}

// The same for the digests that a relay sends to other cells: if a status with all totals did
// not fit, no digest would be sent, and whole cells would appear unresponsive to each other.
func TestDigestsOfManyOrganisationsAreSent(t *testing.T) {
	for _, form := range []string{longNames, shortNames} {
		w := NewWithT(t)
		g := manyOrganisations(t, 300, form)
		sent := make(map[string]bool)
		for range 30 {
			organisations, statuses, complete := g.links.statuses()
			w.Expect(complete).To(BeFalse())
			digests, err := gossip.Digests(organisations, statuses)
			w.Expect(err).NotTo(HaveOccurred())
			for _, digest := range digests {
				m := g.links.message()
				m.Digest = digest
				_, err := g.links.conn.Encode(m)
				w.Expect(err).NotTo(HaveOccurred())
				for _, name := range digest.Organisations {
					sent[name] = true
				}
			}
		}
		w.Expect(sent).To(HaveLen(300))
	}
}

// Where the totals of all organisations fit, each heartbeat contains all of them, as entries
// without this rule expect.
func TestHeartbeatsOfFewOrganisationsAreComplete(t *testing.T) {
	w := NewWithT(t)
	g := manyOrganisations(t, 16, longNames)
	for range 2 {
		m := g.links.heartbeat()
		w.Expect(m.Heartbeat.Totals).To(HaveLen(16))
		w.Expect(m.Heartbeat.Partial).To(BeFalse())
	}
	_, _, complete := g.links.statuses()
	w.Expect(complete).To(BeTrue())
}

// An entry that joins receives the histories of all organisations, in as many datagrams as
// they take.
func TestHistoriesOfManyOrganisationsAreSent(t *testing.T) {
	w := NewWithT(t)
	g := manyOrganisations(t, 0, longNames)
	histories := make(map[string]quota.History)
	for i := range 200 {
		histories[fmt.Sprintf("organisation-%04d", i)] = quota.History{Older: 1e9, Recent: 1e9}
	}
	sent := make(map[string]bool)
	for _, part := range partsOf(histories, heartbeatBytes, historyBytes) {
		m := g.links.message()
		m.History = mapValues(part, historyMessage)
		_, err := g.links.conn.Encode(m)
		w.Expect(err).NotTo(HaveOccurred())
		for name := range part {
			sent[name] = true
		}
	}
	w.Expect(sent).To(HaveLen(200))
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
	sent := make(map[string]bool)
	for range 10 {
		m := g.links.loadReport(load, g.state.quota.Totals())
		_, err := g.links.conn.Encode(m)
		w.Expect(err).NotTo(HaveOccurred())
		w.Expect(m.Load.Totals).NotTo(BeEmpty())
		for id, limit := range m.Load.Limits {
			w.Expect(limitReportOf(limit)).To(Equal(load.Limits[id]))
			sent[id] = true
		}
	}
	w.Expect(sent).To(HaveLen(limited))
}
