package gateway

import (
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/crashes"
	"sycamoretrail/internal/gossip"
)

// Guards against a broken run not being reported because its prompt has many parts, or long ids.
func TestReportOfManyPartsFitsDatagram(t *testing.T) {
	const parts = 32 // of a prompt, as the platform's headers are read
	g := NewWithT(t)
	var ids []string
	for range parts {
		ids = append(ids, strings.Repeat("a", maxPartID))
	}
	service := strings.Repeat("s", 100)
	m := &gossip.Message{From: strings.Repeat("e", 100), Incarnation: 1 << 63, AgeMS: 1 << 40, Sequence: 1 << 40}
	m.Crash = &gossip.Crash{Fingerprint: 1 << 63, ID: strings.Repeat("i", 100), Target: strings.Repeat("t", 100), Service: service, RanMS: 1 << 40}
	for _, cause := range sharedCauses(service, ids) {
		g.Expect(cause.Kind).To(Equal(crashes.Part))
		m.Crash.Causes = append(m.Crash.Causes, gossip.CauseEvidence{Kind: uint8(cause.Kind), ID: cause.ID, Answered: true})
	}
	g.Expect(m.Crash.Causes).To(HaveLen(parts))
	data, err := cbor.Marshal(m)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(data)).To(BeNumerically("<=", gossip.MaxDatagram))
}
