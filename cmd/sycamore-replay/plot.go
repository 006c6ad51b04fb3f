package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"sycamoretrail/internal/replay/plot"
	"sycamoretrail/internal/replay/report"
	"sycamoretrail/internal/replay/sweep"
)

func plotCommand() *cobra.Command {
	var sweepPath, out, name string
	var reports []string
	command := &cobra.Command{
		Use:   "plot",
		Short: "Draw goodput and first-token times against load",
		Long: `plot draws two pictures for each tier: goodput against load, with the oracle's
bound, and the first token's p50, p95 and p99 against load. It reads a sweep, or
single reports with a label each, such as a former version's.`,
		Example: `  sycamore-replay plot --sweep out/tanglaw.json --out docs/plots
  sycamore-replay plot --report now=out/a.json --report now=out/b.json --report before=old/a.json --out docs/plots --name versions`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			points, err := readPoints(sweepPath, reports)
			if err != nil {
				return err
			}
			if name == "" {
				name = "replay"
				if result, err := sweep.ReadFile(sweepPath); err == nil {
					name = fmt.Sprintf("%s-%s", result.Deployment, result.Name)
				}
			}
			if err := os.MkdirAll(out, 0o755); err != nil {
				return fmt.Errorf("plot: %w", err)
			}
			files, err := plot.Draw(points, out, name)
			for _, file := range files {
				fmt.Println(file)
			}
			return err
		},
	}
	flags := command.Flags()
	flags.StringVar(&sweepPath, "sweep", "", "result of a sweep")
	flags.StringArrayVar(&reports, "report", nil, "LABEL=FILE; may be given several times")
	flags.StringVar(&out, "out", "docs/plots", "folder for the pictures")
	flags.StringVar(&name, "name", "", "beginning of the pictures' names (default: deployment and scenario)")
	return command
}

// readPoints gathers what is to be drawn.
func readPoints(sweepPath string, reports []string) ([]plot.Point, error) {
	var points []plot.Point
	if sweepPath != "" {
		result, err := sweep.ReadFile(sweepPath)
		if err != nil {
			return nil, err
		}
		points = append(points, plot.FromSweep(result)...)
	}
	for _, labelled := range reports {
		label, path, found := strings.Cut(labelled, "=")
		if !found {
			return nil, fmt.Errorf("--report %q: want LABEL=FILE", labelled)
		}
		r, err := report.ReadFile(path)
		if err != nil {
			return nil, err
		}
		points = append(points, plot.FromReport(label, r)...)
	}
	if len(points) == 0 {
		return nil, errors.New("nothing to draw: name a --sweep or a --report")
	}
	return points, nil
}
