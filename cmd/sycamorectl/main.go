// Command sycamorectl is the operators' command-line client.
package main

import (
	"os"

	"sycamoretrail/internal/ctl"
)

// version is set by the linker: -ldflags "-X main.version=...".
var version = "dev"

func main() {
	os.Exit(ctl.Run(version, os.Args[1:], ctl.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
}
