// Command sycamore-standin runs stand-ins for the external components that
// sycamoretrail depends on: engines, plain services, log, instance list and
// weight store.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"sycamoretrail/internal/standin/settings"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:          "sycamore-standin",
		Short:        "Stand-ins for engines, services and the platform",
		SilenceUsage: true,
	}
	root.AddCommand(runCommand(), layoutCommand())
	return root
}

func runCommand() *cobra.Command {
	var path, only string
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Run the stand-ins of a settings file until SIGTERM or SIGINT",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return run(ctx, path, only)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file, JSON")
	cmd.Flags().StringVar(&only, "only", "", "run just the stand-in of this name")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

func run(ctx context.Context, path, only string) error {
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	file, err := settings.Parse(data)
	if err != nil {
		return err
	}
	if only != "" {
		if file, err = file.Only(only); err != nil {
			return err
		}
	}
	running, err := file.Start(log)
	if err != nil {
		return err
	}
	log.WithField("standins", len(running)).Info("all started")
	<-ctx.Done()
	log.Info("stopping")
	return settings.CloseAll(running)
}
