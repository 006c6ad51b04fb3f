package console

import (
	"flag"

	_ "pgregory.net/rapid" // declares the flag
)

// init sets a fixed seed, so that every run of CI tests the same cases. Set
// -rapid.seed on the command line to test others.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
