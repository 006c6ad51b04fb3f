package gateway

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/feed"
)

// Guards against records of many quarantines displacing each other, with a write each time.
func TestRecordsOfQuarantinesStayAtTheBound(t *testing.T) {
	g := NewWithT(t)
	all := func() map[string]quarantineRecord {
		records := make(map[string]quarantineRecord)
		for i := range 4 * maxQuarantineRecords {
			records[fmt.Sprint(i)] = quarantineRecord{ID: fmt.Sprint(i)}
		}
		return records
	}
	first := all()
	limitNew(first, nil)
	g.Expect(first).To(HaveLen(maxQuarantineRecords))
	second := all()
	limitNew(second, first)
	g.Expect(second).To(Equal(first))
}

// Guards against an entry dropping, or stumbling over, records of a later release.
func TestRecordsOfLaterReleasesAreLeftAlone(t *testing.T) {
	g := NewWithT(t)
	gateway, _ := newLoggingGateway()
	restored := make(map[string]quarantineRecord)
	for value, known := range map[string]bool{`{"kind":1,"service":"desk","id":"ab"}`: true, `{"kind":200,"id":"ab"}`: false, `{`: false} {
		clear(restored)
		g.Expect(gateway.feeds.restoreQuarantine(feed.Record{Key: quarantineKeys + "x", Value: []byte(value)}, restored)).To(BeTrue())
		g.Expect(len(restored) == 1).To(Equal(known), value)
	}
	g.Expect(gateway.feeds.restoreQuarantine(feed.Record{Key: "riders"}, restored)).To(BeFalse())
	g.Expect(gateway.state.causes.Quarantined()).To(Equal(1))
}
