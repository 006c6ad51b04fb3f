package sweep

import (
	"flag"

	_ "pgregory.net/rapid" // declares the flag
)

// The seed is fixed so that every run of CI checks the same cases. The flag
// -rapid.seed selects others.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
