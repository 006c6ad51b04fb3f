package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/replay/capacity"
)

// deploymentFlags are the flags that identify a running deployment.
type deploymentFlags struct {
	entries          []string
	pids             []int
	document, tokens string
}

func (f *deploymentFlags) register(command *cobra.Command) {
	flags := command.Flags()
	flags.StringSliceVar(&f.entries, "entries", nil, "callers' addresses of the entries, used in turn")
	flags.IntSliceVar(&f.pids, "pids", nil, "process ids of the entries, to read their processor time and memory")
	flags.StringVar(&f.document, "document", "", "document in force")
	flags.StringVar(&f.tokens, "tokens", "", "JSON file with the bearer token of each organisation")
	mustMarkRequired(command, "entries", "document", "tokens")
}

func (f *deploymentFlags) read() (*document.Document, map[string]string, error) {
	doc, err := readDocument(f.document)
	if err != nil {
		return nil, nil, err
	}
	tokens, err := readTokens(f.tokens)
	return doc, tokens, err
}

// streamsReport is the result of the streams command.
type streamsReport struct {
	Streams capacity.Tally   `json:"streams"`
	Entries capacity.Watched `json:"entries"`
}

func streamsCommand() *cobra.Command {
	f := &deploymentFlags{}
	load := capacity.Load{Kind: capacity.Completion}
	var out string
	command := &cobra.Command{
		Use:   "streams",
		Short: "Read many streams at once and check every chunk",
		Long: `Opens so many streamed completions at once, counts and checks every chunk of each
against its end mark, and reads what the entries use meanwhile. Exits with 1 when
a stream lost a chunk or was not answered.`,
		Example: `  sycamore-replay streams --entries 127.0.0.1:24001 --pids 4711 --document out/streams/document.json \
      --tokens out/streams/tokens.json --count 1000 --tokens-each 100`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var err error
			if load.Document, load.Tokens, err = f.read(); err != nil {
				return err
			}
			load.Entries = f.entries
			var r streamsReport
			r.Entries, err = capacity.Watch(command.Context(), f.pids, f.entries, func(ctx context.Context) error {
				var err error
				r.Streams, err = load.Run(ctx)
				return err
			})
			if err != nil {
				return err
			}
			r.print()
			if err := writeJSON(out, r); err != nil {
				return err
			}
			if r.Streams.Answered != r.Streams.Sent || r.Streams.Chunks != r.Streams.Expected {
				return fmt.Errorf("%w: not every stream came whole", errOutcomes)
			}
			return nil
		},
	}
	f.register(command)
	flags := command.Flags()
	flags.IntVar(&load.Count, "count", 1000, "streams")
	flags.Float64Var(&load.Rate, "rate", 0, "streams begun a second (0: all at once)")
	flags.IntVar(&load.AnswerTokens, "tokens-each", 100, "tokens of each answer")
	flags.IntVar(&load.PromptTokens, "prompt-tokens", 16, "tokens of each prompt")
	flags.StringVar(&out, "report", "", "file for the result as JSON")
	return command
}

func (r *streamsReport) print() {
	s, e := &r.Streams, &r.Entries
	streams := float64(max(s.Sent, 1))
	fmt.Printf("streams %d, answered whole %d, faulty %d, refused %d, failed %d, open at once %d\n",
		s.Sent, s.Answered, s.Faulty, s.Refused, s.Failed, s.OpenMost)
	for _, why := range slices.Sorted(maps.Keys(s.Why)) {
		fmt.Printf("  %d: %s\n", s.Why[why], why)
	}
	fmt.Printf("chunks %d of %d in %.1f s; first chunk p50 %.0f p99 %.0f ms, whole p50 %.0f p99 %.0f ms\n",
		s.Chunks, s.Expected, s.Seconds, s.FirstChunk.P50, s.FirstChunk.P99, s.Total.P50, s.Total.P99)
	fmt.Printf("entries: %.2f s of processor time, %.1f us a chunk\n", e.CPU, e.CPU*1e6/float64(max(s.Chunks, 1)))
	fmt.Printf("resident %.1f MB before, %.1f MB at most: %.1f kB a stream; heap %.1f and %.1f MB: %.1f kB a stream\n",
		megabytes(e.ResidentBefore), megabytes(e.ResidentMost), float64(e.ResidentMost-e.ResidentBefore)/streams/1e3,
		megabytes(e.HeapBefore), megabytes(e.HeapMost), float64(e.HeapMost-e.HeapBefore)/streams/1e3)
	fmt.Printf("load average %.1f before, %.1f after\n", e.LoadBefore, e.LoadAfter)
}

func megabytes(bytes int64) float64 { return float64(bytes) / 1e6 }

// hopReport is the result of the hop command.
type hopReport struct {
	LoadBefore float64           `json:"load_average_before"`
	LoadAfter  float64           `json:"load_average_after"`
	Rows       []capacity.HopRow `json:"rows"`
}

func hopCommand() *cobra.Command {
	f := &deploymentFlags{}
	options := capacity.HopOptions{}
	var out string
	command := &cobra.Command{
		Use:   "hop",
		Short: "Measure what the way by an entry adds to a call",
		Long: `Makes the same small calls in turn straight to a stand-in and by way of the first
entry, one at a time: a call of the plain service and a short streamed completion.`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			doc, tokens, err := f.read()
			if err != nil {
				return err
			}
			options.Document, options.Entry = doc, f.entries[0]
			options.Organisation = slices.Sorted(maps.Keys(tokens))[0]
			options.Token = tokens[options.Organisation]
			r := hopReport{LoadBefore: capacity.LoadAverage()}
			if r.Rows, err = capacity.Hop(options); err != nil {
				return err
			}
			r.LoadAfter = capacity.LoadAverage()
			if err := r.print(); err != nil {
				return err
			}
			return writeJSON(out, r)
		},
	}
	f.register(command)
	flags := command.Flags()
	flags.IntVar(&options.Count, "count", 1000, "calls of each kind each way")
	flags.IntVar(&options.AnswerTokens, "tokens-each", 4, "tokens of the completion")
	flags.IntVar(&options.PromptTokens, "prompt-tokens", 16, "tokens of its prompt")
	flags.StringVar(&out, "report", "", "file for the result as JSON")
	return command
}

func (r *hopReport) print() error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "kind\tway\tcalls\tfirst byte p50\tp99\twhole p50\tp99 (ms)")
	for _, row := range r.Rows {
		fmt.Fprintf(table, "%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\n", row.Kind, row.Way, row.Total.Count,
			row.FirstByte.P50, row.FirstByte.P99, row.Total.P50, row.Total.P99)
	}
	fmt.Fprintf(table, "load average %.1f before, %.1f after\n", r.LoadBefore, r.LoadAfter)
	return table.Flush()
}

// writeJSON writes a result, unless the path is empty.
func writeJSON(path string, result any) error {
	if path == "" {
		return nil
	}
	data, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return nil
}
