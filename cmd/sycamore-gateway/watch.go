package main

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"sycamoretrail/internal/gateway"
	"sycamoretrail/internal/settings"
)

// pollInterval is the time between two checks of the settings file, which may change
// without a signal.
const pollInterval = 5 * time.Second

// watchedFile is the settings file and its content when last read.
type watchedFile struct {
	path string
	data []byte
}

func (f *watchedFile) load(path string) (settings.Gateway, error) {
	f.path = path
	if data, err := os.ReadFile(path); err == nil {
		f.data = data // LoadGateway reports a file that cannot be read
	}
	return settings.LoadGateway(path)
}

// watch passes changed settings to the gateway until the context ends. SIGHUP reloads
// unchanged settings, too.
func (f *watchedFile) watch(ctx context.Context, g *gateway.Gateway) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			signalled = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(f.path)
		if err != nil {
			g.RejectReload(err)
			continue
		}
		if bytes.Equal(data, f.data) && !signalled {
			continue
		}
		f.data = data
		changed, err := settings.LoadGateway(f.path)
		if err != nil {
			g.RejectReload(err)
			continue
		}
		g.Reload(changed)
	}
}
