package quota_test

import (
	"fmt"
	"testing"
	"time"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/quota"
)

// entryCounts are a small installation, the largest ones in use, and the design size.
var entryCounts = []int{9, 48, 195, 410, 985}

// newBenchLimiter returns the limiter of one of the given number of entries: totals of
// a dozen of the others arrived with the last report, those of the rest some time ago.
func newBenchLimiter(entries int) (*quota.Limiter, time.Time) {
	const organisations, fresh = 19, 12
	now := time.Unix(1_000_000, 0)
	limiter := quota.New(quota.Config{Window: window, Overshoot: overshoot, Slack: slack}, now)
	var limits []catalog.Organisation
	for i := range organisations {
		limits = append(limits, catalog.Organisation{Name: fmt.Sprint("organisation-", i), Rate: rate, Burst: burst})
	}
	limiter.SetOrganisations(limits)
	limiter.SetPeersKnown(true)
	peers := make([]quota.Peer, entries-1)
	for i := range peers {
		peers[i] = quota.Peer{Name: fmt.Sprint("entry-", i), Started: now}
	}
	limiter.SetPeers(now, peers)
	totals := make(map[string]quota.Total, organisations)
	for at := now; at.Before(now.Add(2 * window)); at = at.Add(250 * time.Millisecond) {
		sum := at.Sub(now).Seconds() * rate / 4 / float64(entries)
		for _, o := range limits {
			totals[o.Name] = quota.Total{Admitted: sum, Sent: sum}
		}
		for i, p := range peers {
			totalsAt := at
			if i >= fresh {
				totalsAt = at.Add(-time.Duration(i) * time.Second / time.Duration(entries))
			}
			limiter.PeerTotals(totalsAt, p.Name, now, totals, false)
		}
	}
	return limiter, now.Add(2 * window)
}

// BenchmarkAdmit measures the cost of a request at an entry, by the number of entries.
func BenchmarkAdmit(b *testing.B) {
	for _, entries := range entryCounts {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			limiter, now := newBenchLimiter(entries)
			b.ReportAllocs()
			for b.Loop() {
				limiter.Admit(now, "organisation-3", 1, 0)
			}
		})
	}
}

// BenchmarkAdmitAfterStart measures the cost of a request while all entries have started
// within the window.
func BenchmarkAdmitAfterStart(b *testing.B) {
	for _, entries := range entryCounts {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			limiter := newLimiter(now)
			limiter.SetPeersKnown(true)
			peers := make([]quota.Peer, entries-1)
			for i := range peers {
				peers[i] = quota.Peer{Name: fmt.Sprint("entry-", i), Started: now}
			}
			limiter.SetPeers(now, peers)
			for _, p := range peers {
				limiter.PeerTotals(now.Add(time.Second), p.Name, now, map[string]quota.Total{organisation: {Admitted: 10, Sent: 10}}, false)
			}
			limiter.Admit(now.Add(time.Second), organisation, 1, 0)
			now = now.Add(2 * time.Second)
			b.ReportAllocs()
			for b.Loop() {
				limiter.Admit(now, organisation, 0, 0)
			}
		})
	}
}

// BenchmarkNearLimit measures the additional cost of each heartbeat.
func BenchmarkNearLimit(b *testing.B) {
	for _, entries := range entryCounts {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			limiter, now := newBenchLimiter(entries)
			b.ReportAllocs()
			for b.Loop() {
				limiter.NearLimit(now)
			}
		})
	}
}

// BenchmarkPeerTotals measures the cost of applying another entry's totals.
func BenchmarkPeerTotals(b *testing.B) {
	limiter, now := newBenchLimiter(195)
	totals := limiter.Totals()
	for i := range 19 {
		totals[fmt.Sprint("organisation-", i)] = quota.Total{Admitted: 1e7, Sent: 1e7}
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		limiter.PeerTotals(now, "entry-7", now.Add(-2*window), totals, false)
	}
}
