// Command sycamore-entry is the daemon on an entry instance: it takes callers'
// requests, runs them at targets and agrees with the other entries on places.
package main

import (
	"sycamoretrail/internal/cli"
	"sycamoretrail/internal/settings"
)

// version is set by the linker: -ldflags "-X main.version=...".
var version = "dev"

const about = `Takes callers' requests and runs each at one target, in the order of tiers.
What governs it is the document that operators publish; the settings file only says
who this process is and where it finds the platform. See docs/SETTINGS.md.`

func main() {
	cli.Daemon[settings.Entry]{
		Name:     "sycamore-entry",
		Short:    "Daemon of sycamoretrail on an entry instance",
		Long:     about,
		RunShort: "Run until drained (SIGTERM), then exit with 0",
		Version:  version,
		Load:     settings.LoadEntry,
		Run:      run,
	}.Main()
}
