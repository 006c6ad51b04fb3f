package queue

import (
	"flag"

	_ "pgregory.net/rapid" // declares the flag
)

// The fixed seed makes every CI run test the same cases; -rapid.seed on the
// command line selects others.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
