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

// print writes the value as JSON or hands it to the table's writer.
func (a *app) print(value any, table func(io.Writer)) error {
	if a.output == outputTable {
		table(a.streams.Out)
		return nil
	}
	encoder := json.NewEncoder(a.streams.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// columns writes rows under a heading, each column as wide as it must be.
func columns(w io.Writer, heading []string, rows [][]string) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, strings.Join(heading, "\t"))
	for _, row := range rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	_ = table.Flush() // the writer is the process's output; there is nobody to tell
}

// orDash stands for what is not known.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
