package quarantine

import (
	"time"

	"sycamoretrail/internal/core/request"
)

const (
	// prefixThreshold is higher than that of requests, since a prefix that others share may be in
	// flight at any crash and nothing that shares it runs apart.
	prefixThreshold = 3
	// prefixQuarantine is shorter, as a mistake refuses all requests whose prompts begin alike.
	prefixQuarantine = 10 * time.Minute
)

// ForPrefixes is the configuration of a Suspects of prompt prefixes, whose fingerprints are elements of
// FingerprintsOf.
func ForPrefixes() Config {
	return Config{Threshold: prefixThreshold, Quarantine: prefixQuarantine}
}

// FingerprintsOf returns the prefixes of a prompt against which crashes count: two in each doubling of the
// length, so that their number grows with its logarithm. A beginning that crashes engines is recognised by
// the longest of these within it.
func FingerprintsOf(prefixes []uint64) []request.Fingerprint {
	var found []request.Fingerprint
	for blocks := 1; blocks <= len(prefixes); blocks *= 2 {
		found = append(found, request.Fingerprint(prefixes[blocks-1]))
		if between := blocks + blocks/2; between > blocks && between <= len(prefixes) {
			found = append(found, request.Fingerprint(prefixes[between-1]))
		}
	}
	return found
}
