package streams_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/streams"
)

const (
	clockError = 4 * time.Second
	within     = 10 * time.Second
)

// conclude returns the only version that a stream of the desk may have begun at, or "".
func conclude(v *streams.Versions, at time.Time) string {
	version, only := v.Only(at, "desk", within)
	if !only || v.KnownFor(at, "desk") < within {
		return ""
	}
	return version
}

// Guards against an entry that has just started taking the versions of its first list for all that there were.
func TestWhatAnEntryConcludesAfterItsStart(t *testing.T) {
	long := now.Add(-time.Hour)
	listed := time.Time{}
	for _, c := range []struct {
		name       string
		history    streams.History
		none       bool
		incomplete bool
		after      time.Duration
		want       string
	}{
		{"no record", streams.History{}, true, false, time.Second, ""},
		{"no record, observed for long enough", streams.History{}, true, false, within, "v2"},
		{"the same version for long", streams.History{Since: long, Versions: map[string]time.Time{"v2": listed}}, false, false, time.Second, "v2"},
		{"recorded since a moment ago", streams.History{Since: now.Add(-3 * time.Second), Versions: map[string]time.Time{"v2": listed}}, false, false, time.Second, ""},
		{"another version was listed when all ended", streams.History{Since: long, Versions: map[string]time.Time{"v1": listed}}, false, false, time.Second, ""},
		{"another version left a moment ago", streams.History{Since: long, Versions: map[string]time.Time{"v1": now.Add(-5 * time.Second), "v2": listed}}, false, false, time.Second, ""},
		{"it left a moment ago by a clock that is behind", streams.History{Since: long, Versions: map[string]time.Time{"v1": now.Add(-within - 3*time.Second), "v2": listed}}, false, false, time.Second, ""},
		{"another version left long ago", streams.History{Since: long, Versions: map[string]time.Time{"v1": now.Add(-time.Minute), "v2": listed}}, false, false, time.Second, "v2"},
		{"the store was restored from an older copy", streams.History{Since: long, Versions: map[string]time.Time{"v2": listed}}, false, true, time.Second, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			v := streams.NewVersions()
			v.Observe(now, []catalog.Target{target("desk", "v2")})
			if !c.none {
				v.Restore(now, "desk", c.history, clockError, c.incomplete)
			}
			g.Expect(conclude(v, now.Add(c.after))).To(Equal(c.want))
		})
	}
}

// Guards against an entry trusting its view of the versions across a time in which it missed lists.
func TestMissedListsEndWhatIsKnown(t *testing.T) {
	g := NewWithT(t)
	v := streams.NewVersions()
	v.Observe(now, []catalog.Target{target("desk", "v2")})
	v.RestoreOthers()
	g.Expect(conclude(v, now)).To(Equal("v2"))
	v.Missed(now.Add(time.Hour))
	v.Observe(now.Add(time.Hour), []catalog.Target{target("desk", "v2")})
	g.Expect(conclude(v, now.Add(time.Hour))).To(BeEmpty())
	g.Expect(conclude(v, now.Add(time.Hour+within))).To(Equal("v2"))
}

// Guards against a service being taken for one of a single version although its streams name another.
func TestVersionsOfStreamsCount(t *testing.T) {
	g := NewWithT(t)
	v := streams.NewVersions()
	v.Observe(now.Add(-time.Hour), []catalog.Target{target("desk", "v2")})
	v.Note(now, streams.Origin{Service: "desk", Version: "v1"})
	g.Expect(conclude(v, now)).To(BeEmpty())
	g.Expect(conclude(v, now.Add(2*within))).To(Equal("v2"))
}

// Guards against an entry that has just started dropping versions from the record that it has not seen.
func TestHistoriesKeepWhatOthersRecorded(t *testing.T) {
	g := NewWithT(t)
	long, gone := now.Add(-time.Hour), now.Add(-30*time.Second)
	v := streams.NewVersions()
	v.Observe(now, []catalog.Target{target("desk", "v2"), target("new", "v1")})
	histories := v.Histories(now, map[string]streams.History{
		"desk": {Since: long, Versions: map[string]time.Time{"v0": gone, "v1": {}, "old": now.Add(-time.Hour)}},
		"chat": {Since: long, Versions: map[string]time.Time{"v1": {}}},
	}, false)
	g.Expect(histories).To(Equal(map[string]streams.History{
		"desk": {Since: long, Versions: map[string]time.Time{"v0": gone, "v1": now, "v2": {}}},
		"chat": {Since: long, Versions: map[string]time.Time{"v1": now}},
		"new":  {Since: now, Versions: map[string]time.Time{"v1": {}}},
	}))
}

// Guards against a further write of the record extending what it covers to the time that it does not.
func TestHistoriesDoNotExtendWhatIsCovered(t *testing.T) {
	g := NewWithT(t)
	since := now.Add(-time.Second)
	v := streams.NewVersions()
	v.Observe(now, []catalog.Target{target("desk", "v2"), target("new", "v1")})
	histories := v.Histories(now, map[string]streams.History{"desk": {Since: since, Versions: map[string]time.Time{"v2": {}}}}, true)
	g.Expect(histories["desk"].Since).To(Equal(since))
	g.Expect(histories["new"].Since).To(BeZero(), "a service that had no target before")
}

func TestArchiveHoldsWhatWasPending(t *testing.T) {
	g := NewWithT(t)
	other := streams.Origin{Service: "desk", Version: "v2"}
	var pending streams.Pending
	pending.Add(now.Add(-time.Minute), streams.Record{Key: key(0), Origin: origin, Keep: time.Second})
	for i := 1; i <= 4; i++ {
		pending.Add(now, streams.Record{Key: key(i), Origin: origin, Keep: time.Duration(i) * time.Second})
	}
	pending.Add(now, streams.Record{Key: key(5), Origin: other, Keep: time.Second})
	batch := pending.Take(now, 6)
	g.Expect(batch.Expires).To(Equal(now.Add(4 * time.Second)))
	g.Expect(pending.Size()).To(BeZero())
	pending.Return(now, batch)
	g.Expect(pending.Size()).To(Equal(5), "a batch that could not be recorded is pending again")
	archive := streams.NewArchive()
	archive.Add(pending.Take(now, 3))
	archive.Add(pending.Take(now, 3))
	for i := range 7 {
		found, known := archive.Lookup(key(i))
		want := map[int]streams.Origin{1: origin, 2: origin, 3: origin, 4: origin, 5: other}[i]
		g.Expect(found).To(Equal(want))
		g.Expect(known).To(Equal(want != streams.Origin{}))
	}
}

// Guards against memory growing while the store cannot be written.
func TestPendingIsBounded(t *testing.T) {
	g := NewWithT(t)
	var pending streams.Pending
	for i := range 100_000 {
		pending.Add(now, streams.Record{Key: key(i), Origin: origin, Keep: time.Hour})
	}
	g.Expect(pending.Size()).To(Equal(1 << 15))
	batch := pending.Take(now, 1)
	g.Expect(batch.Groups[0].Keys).To(Equal([]streams.Key{key(100_000 - 1<<15)}), "the oldest are dropped first")
}

// The streams of a caller's time at 6, 79 and 985 entries.
func BenchmarkArchive(b *testing.B) {
	for _, n := range []int{300, 6_000, 240_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			batch := streams.Batch{Groups: []streams.Group{{Origin: origin}, {Origin: streams.Origin{Service: "desk", Version: "v2"}}}}
			for i := range n {
				group := &batch.Groups[i%2]
				group.Keys = append(group.Keys, key(i))
			}
			b.ReportAllocs()
			for b.Loop() {
				streams.NewArchive().Add(batch)
			}
		})
	}
}
