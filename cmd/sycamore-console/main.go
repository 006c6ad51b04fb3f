// Command sycamore-console serves the operators' web console.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"sycamoretrail/internal/cli"
	"sycamoretrail/internal/console"
	"sycamoretrail/internal/ingress"
	"sycamoretrail/internal/operatorclient"
	"sycamoretrail/internal/settings"
)

// version is set by the linker: -ldflags "-X main.version=...".
var version = "dev"

const about = `Serves the operators' pages: plain forms, without JavaScript, for the document that
governs sycamoretrail. It is stateless; several may run at once.

Log in with the operator token. The console sends it to the entries with each call, so
use the console only over loopback, a tunnel or a proxy with TLS.`

func main() {
	cli.Daemon[settings.Console]{
		Name:     "sycamore-console",
		Short:    "Operators' console of sycamoretrail",
		Long:     about,
		RunShort: "Serve until SIGTERM or SIGINT",
		Version:  version,
		Load:     settings.LoadConsole,
		Run:      run,
	}.Main()
}

func run(ctx context.Context, s settings.Console) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logger, err := newLogger(s.LogLevel)
	if err != nil {
		return err
	}
	pages, err := console.New(console.Options{
		Client:       operatorclient.New(operatorclient.Options{Entries: s.Entries}),
		TokenSHA256:  s.OperatorTokenSHA256,
		LogAvailable: console.LogChecker(s.Log),
		Logger:       logger,
	})
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return fmt.Errorf("listen for browsers: %w", err)
	}
	logger.WithField("address", listener.Addr().String()).Info("console started")
	served := make(chan error, 1)
	retrying := &ingress.RetryingListener{
		Listener: listener, OnError: func(err error) { logger.WithError(err).Warn("cannot accept a connection") },
	}
	go func() { served <- pages.Serve(retrying) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
		logger.Info("console stopping")
		return pages.Close()
	}
}

func newLogger(level string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	logger := logrus.New()
	logger.SetOutput(os.Stderr)
	logger.SetFormatter(&logrus.JSONFormatter{})
	logger.SetLevel(parsed)
	return logger, nil
}
