package inflight

import (
	"flag"

	_ "pgregory.net/rapid" // declares the flag
)

// The seed is fixed, so that every run of CI tries the same cases; -rapid.seed on the
// command line tries others.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
