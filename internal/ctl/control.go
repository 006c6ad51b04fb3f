package ctl

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"sycamoretrail/internal/operatorclient"
	"sycamoretrail/internal/operators/api"
)

func (a *app) drainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "drain ENTRY",
		Short: "Begin a planned stop of one entry: it announces its departure, finishes its requests and exits",
		Long:  "ENTRY is the entry's name, its operators' address, or its incarnation. Requests in flight are not aborted.",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			address, err := addressOf(client, args[0])
			if err != nil {
				return err
			}
			answer, err := client.Drain(address)
			if err != nil {
				return err
			}
			return a.print(answer, func(w io.Writer) {
				fmt.Fprintf(w, "%s: %s; watch it with: sycamorectl status\n", args[0], answer.State)
			})
		},
	}
}

// addressOf finds one listed entry by name, address or incarnation. An ambiguous
// name is an error, because draining the wrong entry cannot be undone.
func addressOf(client *operatorclient.Client, entry string) (string, error) {
	for _, address := range client.Entries() {
		if address == entry {
			return address, nil
		}
	}
	var found []string
	statuses := client.Statuses()
	for _, status := range statuses {
		if status.Err == nil && (status.Status.Entry.Name == entry || status.Status.Entry.Incarnation == entry) {
			found = append(found, status.Address)
		}
	}
	switch len(found) {
	case 1:
		return found[0], nil
	case 0:
		if code := failureCode(statuses); code != exitDone {
			return "", exit(code, "no entry that answers is called %q, and some do not answer; see: sycamorectl status", entry)
		}
		return "", exit(exitFault, "no listed entry is called %q; see: sycamorectl status", entry)
	}
	return "", exit(exitFault, "%d entries are called %q; give the operators' address", len(found), entry)
}

// logLevels are the levels that an entry accepts.
var logLevels = []string{"debug", "info", "warn", "error"}

func (a *app) logLevelCommand() *cobra.Command {
	return &cobra.Command{
		Use:       "log-level LEVEL [ENTRY...]",
		Short:     "Change the level of the logs: debug, info, warn or error",
		Long:      "Changes the named entries, or all that are listed. The level lasts until the entry's restart.",
		Args:      cobra.MinimumNArgs(1),
		ValidArgs: logLevels,
		RunE: func(_ *cobra.Command, args []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			addresses, err := addressesOf(client, args[1:])
			if err != nil {
				return err
			}
			return a.setLevels(client, addresses, args[0])
		},
	}
}

func addressesOf(client *operatorclient.Client, entries []string) ([]string, error) {
	if len(entries) == 0 {
		return client.Entries(), nil
	}
	var out []string
	for _, entry := range entries {
		address, err := addressOf(client, entry)
		if err != nil {
			return nil, err
		}
		out = append(out, address)
	}
	return out, nil
}

// levelRow is the JSON output for one entry.
type levelRow struct {
	Address string `json:"address"`
	Level   string `json:"level,omitempty"`
	Error   string `json:"error,omitempty"`
}

// setLevels sets the level at every address. It continues after a failure and
// returns an error with the highest exit code.
func (a *app) setLevels(client *operatorclient.Client, addresses []string, level string) error {
	var rows []levelRow
	code := exitDone
	for _, address := range addresses {
		row := levelRow{Address: address}
		var answer api.LogLevel
		answer, err := client.SetLogLevel(address, level)
		row.Level = answer.Level
		if err != nil {
			row.Error = err.Error()
			code = max(code, exitCode(err))
		}
		rows = append(rows, row)
	}
	err := a.print(rows, func(w io.Writer) {
		for _, row := range rows {
			fmt.Fprintf(w, "%s  %s%s\n", row.Address, row.Level, row.Error)
		}
	})
	if err != nil {
		return err
	}
	return exitQuietly(code)
}
