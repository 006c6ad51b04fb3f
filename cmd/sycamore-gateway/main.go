// Command sycamore-gateway runs an entry for routed traffic on the users' platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"sycamoretrail/internal/cli"
	"sycamoretrail/internal/gateway"
	"sycamoretrail/internal/settings"
	"sycamoretrail/internal/telemetry"
	"sycamoretrail/platform"
)

// version is set by the linker: -ldflags "-X main.version=...".
var version = "dev"

const about = `Routes callers' requests by host and path to targets that are registered in the
platform's metadata store. Routing is governed by the configuration in that
store; the settings file only identifies this process and the store's address.
A changed settings file is loaded on SIGHUP, or automatically within some seconds.
See docs/SETTINGS.md.`

// memoryShare is the part of the process' memory that the Go runtime may use; the
// rest is left for the kernel's memory of its connections.
const memoryShare = 0.6

func main() {
	var file watchedFile
	cli.Daemon[settings.Gateway]{
		Name:     "sycamore-gateway",
		Short:    "Entry for routed traffic",
		Long:     about,
		RunShort: "Run until drained (SIGTERM), then exit with 0",
		Version:  version,
		Load:     file.load,
		Run:      file.run,
	}.Main()
}

// run serves until SIGTERM.
func (f *watchedFile) run(ctx context.Context, s settings.Gateway) error {
	logger, err := telemetry.NewLogger(os.Stdout, s.LogLevel)
	if err != nil {
		return err
	}
	logger.AddHook(nameHook{s.Name})
	debug.SetMemoryLimit(int64(float64(s.MemoryMB<<20) * memoryShare))
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGPIPE)
	g := gateway.New(s, platform.New(s.StoreAddress, gateway.StoreDial), logger)
	go f.watch(ctx, g)
	if err := g.Run(ctx); err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	return nil
}
