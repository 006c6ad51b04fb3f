package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/replay/plot"
	"sycamoretrail/internal/replay/report"
	"sycamoretrail/internal/replay/sweep"
)

func plotCommand() *cobra.Command {
	var sweepPath, before, out, name string
	var reports, scenarios []string
	command := &cobra.Command{
		Use:   "plot",
		Short: "Draw goodput, times and wasted prefill against load",
		Long: `plot draws three pictures for each tier: goodput against load, with the oracle's
bound, and p50, p95 and p99 of the first token and of the time between tokens;
and one of wasted prefill. It reads a sweep, beside a former version's if there
is one, or single reports with a label each. With --scenarios it draws one
picture for each tier instead: goodput in each of several sweeps.`,
		Example: `  sycamore-replay plot --sweep out/tanglaw.json --out docs/plots
  sycamore-replay plot --report now=out/a.json --report now=out/b.json --report before=old/a.json --out docs/plots --name versions`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if err := os.MkdirAll(out, 0o755); err != nil {
				return fmt.Errorf("plot: %w", err)
			}
			if len(scenarios) > 0 {
				return drawScenarios(scenarios, out, name)
			}
			points, err := readPoints(sweepPath, before, reports)
			if err != nil {
				return err
			}
			if name == "" {
				name = "replay"
				if result, err := sweep.ReadFile(sweepPath); err == nil {
					name = fmt.Sprintf("%s-%s", result.Deployment, result.Name)
				}
			}
			files, err := plot.Draw(points, out, name)
			list(files)
			return err
		},
	}
	flags := command.Flags()
	flags.StringVar(&sweepPath, "sweep", "", "result of a sweep")
	flags.StringVar(&before, "before", "", "result of a former version's sweep, drawn as POLICY before")
	flags.StringSliceVar(&scenarios, "scenarios", nil, "results of several sweeps of one load, side by side")
	flags.StringArrayVar(&reports, "report", nil, "LABEL=FILE; may be given several times")
	flags.StringVar(&out, "out", "docs/plots", "folder for the pictures")
	flags.StringVar(&name, "name", "", "beginning of the pictures' names (default: deployment and scenario)")
	return command
}

func list(files []string) {
	for _, file := range files {
		fmt.Println(file)
	}
}

func drawScenarios(paths []string, out, name string) error {
	var sweeps []*sweep.Result
	for _, path := range paths {
		result, err := sweep.ReadFile(path)
		if err != nil {
			return err
		}
		sweeps = append(sweeps, result)
	}
	if name == "" {
		name = string(sweeps[0].Deployment)
	}
	files, err := plot.DrawScenarios(sweeps, out, name)
	list(files)
	return err
}

// readPoints reads the points to draw from the sweeps and reports.
func readPoints(sweepPath, before string, reports []string) ([]plot.Point, error) {
	var points []plot.Point
	if sweepPath != "" {
		result, err := sweep.ReadFile(sweepPath)
		if err != nil {
			return nil, err
		}
		points = append(points, plot.FromSweep(result)...)
	}
	if before != "" {
		result, err := sweep.ReadFile(before)
		if err != nil {
			return nil, err
		}
		points = append(points, plot.FromPreviousSweep(result, entry.PolicyScheduler)...)
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
