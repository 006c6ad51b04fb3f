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

// lookEvery is the pause between two looks at the settings file, which may change
// without a signal.
const lookEvery = 5 * time.Second

// watchedFile is the settings file with what was last read of it.
type watchedFile struct {
	path string
	data []byte
}

func (f *watchedFile) load(path string) (settings.Gateway, error) {
	f.path = path
	if data, err := os.ReadFile(path); err == nil {
		f.data = data // a file that cannot be read is LoadGateway's to report
	}
	return settings.LoadGateway(path)
}

// watch hands changed settings on until the context ends.
func (f *watchedFile) watch(ctx context.Context, g *gateway.Gateway) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			asked = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(f.path)
		if err != nil {
			g.RejectReload(err)
			continue
		}
		if bytes.Equal(data, f.data) && !asked {
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
