package streams_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/streams"
)

var (
	now    = time.Unix(1_000_000, 0)
	origin = streams.Origin{Service: "desk", Version: "v1"}
)

func key(i int) streams.Key { return streams.KeyOf("riders", fmt.Sprint(i)) }

// Guards against streams of two organisations being mistaken for each other.
func TestKeysDifferByOrganisation(t *testing.T) {
	g := NewWithT(t)
	g.Expect(streams.KeyOf("a", "bc")).NotTo(Equal(streams.KeyOf("ab", "c")))
	g.Expect(streams.KeyOf("a", "1")).NotTo(Equal(streams.KeyOf("b", "1")))
}

func TestStreamIsRememberedForItsTime(t *testing.T) {
	g := NewWithT(t)
	r := streams.NewRegistry()
	r.Record(now, key(1), origin, time.Second, true)
	known, found := r.Lookup(now.Add(900*time.Millisecond), key(1))
	g.Expect(found).To(BeTrue())
	g.Expect(known).To(Equal(origin))
	_, found = r.Lookup(now.Add(time.Second), key(1))
	g.Expect(found).To(BeFalse())
	_, found = r.Lookup(now, key(2))
	g.Expect(found).To(BeFalse())
}

// Guards against a stream that its caller reconnects to twice, and that is recorded again, being forgotten by its first record.
func TestLaterRecordReplacesEarlierOne(t *testing.T) {
	g := NewWithT(t)
	r := streams.NewRegistry()
	r.Record(now, key(1), origin, time.Second, true)
	moved := streams.Origin{Service: "other", Version: "v2"}
	r.Record(now, key(1), moved, 10*time.Second, false)
	for i := range 100 {
		r.Record(now.Add(2*time.Second), key(100+i), origin, time.Second, false)
	}
	known, found := r.Lookup(now.Add(2*time.Second), key(1))
	g.Expect(found).To(BeTrue())
	g.Expect(known).To(Equal(moved))
}

// Guards against memory growing with the streams of a long time, or with those of a long wait limit.
func TestMemoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	r := streams.NewRegistry()
	for i := range 100_000 {
		r.Record(now.Add(time.Duration(i)*time.Millisecond), key(i), origin, time.Hour, false)
	}
	g.Expect(r.Size()).To(BeNumerically("<=", 1<<15))
	r.Record(now.Add(time.Hour), key(0), origin, time.Second, false)
	g.Expect(r.Size()).To(Equal(1))
}

func TestOnlyOwnStreamsAreTold(t *testing.T) {
	g := NewWithT(t)
	r := streams.NewRegistry()
	r.Record(now, key(1), origin, time.Second, true)
	r.Record(now, key(2), origin, time.Second, false)
	r.Record(now, key(3), origin, 10*time.Second, true)
	g.Expect(r.Own(now.Add(2 * time.Second))).To(Equal([]streams.Record{{Key: key(3), Origin: origin, Keep: 8 * time.Second}}))
}

func target(service, version string) catalog.Target {
	return catalog.Target{ID: service + version, Service: service, Version: version}
}

// Guards against a stream of unknown version going on at the only version that is left, though another one
// served a moment ago.
func TestVersionsThatAreGoneStillCount(t *testing.T) {
	g := NewWithT(t)
	v := streams.NewVersions()
	v.Observe(now, []catalog.Target{target("desk", "v1"), target("desk", "v2"), target("chat", "v1")})
	_, only := v.Only(now, "desk", streams.VersionMemory)
	g.Expect(only).To(BeFalse())
	g.Expect(v.Several(now, streams.VersionMemory)).To(Equal([]string{"desk"}))
	version, only := v.Only(now, "chat", streams.VersionMemory)
	g.Expect(only).To(BeTrue())
	g.Expect(version).To(Equal("v1"))
	v.Observe(now.Add(time.Hour), []catalog.Target{target("desk", "v2")})
	_, only = v.Only(now.Add(time.Hour+time.Minute), "desk", streams.VersionMemory)
	g.Expect(only).To(BeFalse(), "v1 was listed until an hour later")
	_, only = v.Only(now.Add(2*time.Hour), "desk", streams.VersionMemory)
	g.Expect(only).To(BeTrue())
	g.Expect(v.Several(now.Add(2*time.Hour), streams.VersionMemory)).To(BeEmpty())
	_, only = v.Only(now, "unheard", streams.VersionMemory)
	g.Expect(only).To(BeFalse())
}

func BenchmarkRecord(b *testing.B) {
	for _, n := range []int{1_000, 30_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := streams.NewRegistry()
			for i := range n {
				r.Record(now, key(i), origin, time.Minute, false)
			}
			for i := 0; b.Loop(); i++ {
				r.Record(now, key(n+i), origin, time.Minute, false)
			}
		})
	}
}
