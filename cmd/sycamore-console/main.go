// Command sycamore-console serves the operators' forms.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"sycamoretrail/internal/console"
	"sycamoretrail/internal/operatorclient"
	"sycamoretrail/internal/settings"
)

// version is set by the linker: -ldflags "-X main.version=...".
var version = "dev"

// Exit codes for scripts.
const (
	exitFailed   = 1
	exitSettings = 2
)

const about = `Serves the operators' pages: plain forms, without JavaScript, for the document that
governs sycamoretrail. It keeps nothing; several may run at once.

Log in with the operator token. It goes to the entries with each call, so reach the
console over loopback, a tunnel or a proxy with TLS only.`

func main() {
	err := command().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "sycamore-console:", err)
	var faults settings.Faults
	if errors.As(err, &faults) || errors.Is(err, settings.ErrRead) {
		os.Exit(exitSettings)
	}
	os.Exit(exitFailed)
}

func command() *cobra.Command {
	root := &cobra.Command{
		Use:           "sycamore-console",
		Short:         "Operators' console of sycamoretrail",
		Long:          about,
		Version:       version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(runCommand(), checkCommand())
	return root
}

func runCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "run --settings FILE",
		Short: "Serve until SIGTERM or SIGINT",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			loaded, err := settings.LoadConsole(path)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return run(ctx, loaded)
		},
	}
	settingsFlag(cmd, &path)
	return cmd
}

func checkCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "check --settings FILE",
		Short: "Check a settings file and list every fault (exit code 2)",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := settings.LoadConsole(path); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
			return nil
		},
	}
	settingsFlag(cmd, &path)
	return cmd
}

func settingsFlag(cmd *cobra.Command, path *string) {
	cmd.Flags().StringVar(path, "settings", "", "settings file (JSON); see docs/SETTINGS.md")
	if err := cmd.MarkFlagRequired("settings"); err != nil {
		panic(err) // the flag is defined on the line above
	}
}

func run(ctx context.Context, s settings.Console) error {
	logger, err := newLogger(s.LogLevel)
	if err != nil {
		return err
	}
	pages, err := console.New(console.Options{
		Client:       operatorclient.New(operatorclient.Options{Entries: s.Entries}),
		TokenSHA256:  s.OperatorTokenSHA256,
		LogAvailable: console.AskLog(s.Log),
		Logger:       logger,
	})
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return fmt.Errorf("listen for browsers: %w", err)
	}
	logger.WithField("address", listener.Addr().String()).Info("console is up")
	served := make(chan error, 1)
	go func() { served <- pages.Serve(listener) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
		logger.Info("console stops")
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
