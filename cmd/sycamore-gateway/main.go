// Command sycamore-gateway is the entry for routed traffic on the users' platform.
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

const about = `Routes callers' requests by host and path to targets that registered themselves
in the platform's metadata store. What governs it is the configuration in that
store; the settings file only says who this process is and where the store is.
See docs/SETTINGS.md.`

// memoryShare is the part of the process' memory that the runtime may use; the
// rest is for what the kernel holds of its connections.
const memoryShare = 0.6

func main() {
	cli.Daemon[settings.Gateway]{
		Name:     "sycamore-gateway",
		Short:    "Entry for routed traffic",
		Long:     about,
		RunShort: "Run until drained (SIGTERM), then exit with 0",
		Version:  version,
		Load:     settings.LoadGateway,
		Run:      run,
	}.Main()
}

func run(ctx context.Context, s settings.Gateway) error {
	logger, err := telemetry.NewLogger(os.Stdout, s.LogLevel)
	if err != nil {
		return err
	}
	logger.AddHook(nameHook{s.Name})
	debug.SetMemoryLimit(int64(float64(s.MemoryMB<<20) * memoryShare))
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGPIPE)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	adapter := platform.New(s.StoreAddress, gateway.StoreDial)
	if err := gateway.New(s, adapter, logger).Run(ctx); err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	return nil
}
