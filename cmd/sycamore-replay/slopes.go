package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"sycamoretrail/internal/replay/capacity"
)

func slopesCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "slopes",
		Short: "Measure what daemons cost at growing sizes, and fit slopes",
		Long:  `scripts/slopes.sh (make slopes) starts the processes and calls these commands.`,
	}
	command.AddCommand(measureCommand(), fitCommand())
	return command
}

func measureCommand() *cobra.Command {
	f := &deploymentFlags{}
	m := capacity.Measurement{}
	var points, kind string
	command := &cobra.Command{
		Use:   "measure",
		Short: "Read running entries for a while, idle or under a load, and add a point",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var err error
			if m.Load.Document, m.Load.Tokens, err = f.read(); err != nil {
				return err
			}
			m.Addresses, m.Load.Entries, m.Pids = f.entries, f.entries, f.pids
			m.Load.Kind = capacity.Kind(kind)
			p, err := m.Measure(command.Context())
			if err != nil {
				return err
			}
			fmt.Printf("%s %g: cpu %.2f ms/s, resident %.1f MB, peers %.0f B/s in %.1f frames/s, load average %.1f-%.1f\n", p.Series, p.X,
				p.Values["cpu_ms"], p.Values["resident_mb"], p.Values["peer_sent_bytes"], p.Values["peer_sent_frames"], p.LoadBefore, p.LoadAfter)
			if s := p.Sent; s != nil {
				fmt.Printf("  sent %d, answered %d, refused %d, failed %d, faulty %d\n", s.Sent, s.Answered, s.Refused, s.Failed, s.Faulty)
			}
			return capacity.AppendPoint(points, p)
		},
	}
	f.register(command)
	flags := command.Flags()
	flags.StringVar(&m.Series, "series", "", "name of what is varied")
	flags.Float64Var(&m.X, "x", 0, "its value")
	flags.DurationVar(&m.Duration, "duration", 10*time.Second, "time to read for; whole seconds, as the daemons' gauges are")
	flags.StringVar(&kind, "kind", string(capacity.Completion), "completion, service, keyed or resolve")
	flags.Float64Var(&m.Load.Rate, "rate", 0, "requests a second to all entries together (0: none)")
	flags.IntVar(&m.Load.Count, "count", 0, "so many requests at once, in place of a rate")
	flags.IntVar(&m.Load.AnswerTokens, "tokens-each", 10, "tokens of each answer")
	flags.IntVar(&m.Load.PromptTokens, "prompt-tokens", 16, "tokens of each prompt")
	flags.DurationVar(&m.Changes, "change-every", 0, "publish the document again so often (0: never)")
	flags.StringSliceVar(&m.Operators, "operators", nil, "operators' addresses of entries, to publish at")
	flags.StringVar(&m.Token, "operator-token", "", "operators' bearer token")
	flags.StringVar(&points, "points", "out/slopes/points.jsonl", "file to add the point to")
	mustMarkRequired(command, "series")
	return command
}

func fitCommand() *cobra.Command {
	var points, benchmarks, out, only string
	command := &cobra.Command{
		Use:   "fit",
		Short: "Fit slopes to the points by least squares",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			all, err := readAllPoints(points, benchmarks)
			if err != nil {
				return err
			}
			slopes := capacity.Fit(all)
			if err := writeSlopes(out, slopes); err != nil {
				return err
			}
			shown := slices.DeleteFunc(slices.Clone(slopes), func(s capacity.Slope) bool { return !strings.HasPrefix(s.Series, only) })
			return capacity.WriteTable(os.Stdout, shown)
		},
	}
	flags := command.Flags()
	flags.StringVar(&points, "points", "out/slopes/points.jsonl", "points that were measured with processes")
	flags.StringVar(&benchmarks, "benchmarks", "out/slopes/core.txt", "output of the core's benchmarks")
	flags.StringVar(&out, "out", "out/slopes", "folder for slopes.json and slopes.csv")
	flags.StringVar(&only, "only", "", "show the series that begin so")
	return command
}

// readAllPoints reads both files; one of them may be missing.
func readAllPoints(points, benchmarks string) ([]capacity.Point, error) {
	var all []capacity.Point
	for _, source := range []struct {
		path string
		read func(string) ([]capacity.Point, error)
	}{{points, capacity.ReadPoints}, {benchmarks, capacity.ReadBenchmarks}} {
		list, err := source.read(source.path)
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return nil, err
		}
		all = append(all, list...)
	}
	if len(all) == 0 {
		return nil, errors.New("no points: run scripts/slopes.sh first")
	}
	return all, nil
}

func writeSlopes(dir string, slopes []capacity.Slope) error {
	if err := writeJSON(filepath.Join(dir, "slopes.json"), slopes); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(dir, "slopes.csv"))
	if err != nil {
		return fmt.Errorf("write slopes: %w", err)
	}
	defer file.Close()
	return capacity.WriteCSV(file, slopes)
}
