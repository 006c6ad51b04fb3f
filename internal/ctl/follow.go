package ctl

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"
)

// errFollow is wrapped by errors of following a request through logs.
var errFollow = errors.New("cannot follow the request")

// maxLogLine bounds a line of a log; decision lines have some hundred bytes.
const maxLogLine = 1 << 20

// followed is a line that names the request.
type followed struct {
	time, event, entry string
	fields             map[string]any
}

func (a *app) followCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "follow ID [LOG...]",
		Short: "Show what the entries' logs say of one request, in order of time",
		Long: `Reads JSON lines of one or more entries from files, or from standard input, and
shows those that carry the id. Lines that are not JSON are passed over; text before
the object, such as a collector's prefix, is ignored. See docs/OPERATIONS.md.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := followIn(cmd.InOrStdin(), args[0], args[1:])
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return fmt.Errorf("%w: no line carries the id %s", errFollow, args[0])
			}
			for _, line := range lines {
				fmt.Fprintln(cmd.OutOrStdout(), line)
			}
			return nil
		},
	}
}

func followIn(stdin io.Reader, id string, paths []string) ([]followed, error) {
	var lines []followed
	if len(paths) == 0 {
		found, err := scan(stdin, id)
		lines = found
		if err != nil {
			return nil, err
		}
	}
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errFollow, err)
		}
		found, err := scan(file, id)
		_ = file.Close() // it was only read
		if err != nil {
			return nil, err
		}
		lines = append(lines, found...)
	}
	slices.SortStableFunc(lines, func(x, y followed) int { return strings.Compare(x.time, y.time) })
	return lines, nil
}

func scan(from io.Reader, id string) ([]followed, error) {
	var lines []followed
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if line, found := parseLine(scanner.Text(), id); found {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", errFollow, err)
	}
	return lines, nil
}

func parseLine(text, id string) (followed, bool) {
	begin := strings.IndexByte(text, '{')
	if begin < 0 || !strings.Contains(text, id) {
		return followed{}, false
	}
	fields := make(map[string]any)
	if json.Unmarshal([]byte(text[begin:]), &fields) != nil || fields["id"] != id {
		return followed{}, false
	}
	line := followed{fields: fields}
	line.time, _ = fields["time"].(string)
	line.event, _ = fields["msg"].(string)
	line.entry, _ = fields["entry"].(string)
	for _, shown := range []string{"time", "msg", "entry", "level", "id"} {
		delete(fields, shown)
	}
	return line, true
}

// String forms the line that a person reads: time, entry, event, then the inputs.
func (f followed) String() string {
	names := make([]string, 0, len(f.fields))
	for name := range f.fields {
		names = append(names, name)
	}
	slices.Sort(names)
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s %s", f.time, f.entry, f.event)
	for _, name := range names {
		fmt.Fprintf(&text, " %s=%v", name, f.fields[name])
	}
	return text.String()
}
