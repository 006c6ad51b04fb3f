package callers

import (
	"bytes"
	"testing"
)

// BenchmarkServiceFingerprint measures the fingerprint of a service call whose body
// is as large as most documents allow.
func BenchmarkServiceFingerprint(b *testing.B) {
	body := bytes.Repeat([]byte("x"), 64<<10)
	b.ReportAllocs()
	for b.Loop() {
		_ = serviceFingerprint("acme", "slots", "POST", "/reserve", body)
	}
}
