package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

func (a *app) checkOutput() error {
	if a.output != outputTable && a.output != outputJSON {
		return exit(exitFault, "--output %q: write table or json", a.output)
	}
	return nil
}

// print writes the value as JSON or calls table, as --output requires.
func (a *app) print(value any, table func(io.Writer)) error {
	if a.output == outputTable {
		table(a.streams.Out)
		return nil
	}
	encoder := json.NewEncoder(a.streams.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// columns writes rows under a heading, in aligned columns.
func columns(w io.Writer, heading []string, rows [][]string) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, strings.Join(heading, "\t"))
	for _, row := range rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	_ = table.Flush() // an error of standard output cannot be reported
}

// orDash returns the text, or "-" if it is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
