// Command sycamore-entry is the daemon of an entry instance: it accepts callers'
// requests, runs them at targets and coordinates the targets' slots with the other
// entries.
package main

import (
	"sycamoretrail/internal/cli"
	"sycamoretrail/internal/settings"
)

// version is set by the linker: -ldflags "-X main.version=...".
var version = "dev"

const about = `Accepts callers' requests and runs each at one target, in the order of tiers.
It is governed by the document that operators publish; the settings file only
identifies this process and the platform's addresses. See docs/SETTINGS.md.`

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
