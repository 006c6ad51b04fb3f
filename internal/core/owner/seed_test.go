package owner_test

import (
	"flag"

	_ "pgregory.net/rapid" // declares the flag
)

// A fixed seed makes every run of CI try the same cases; -rapid.seed on the
// command line tries others.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
