package ctl

import (
	"fmt"
	"io"
	"strconv"

	"github.com/spf13/cobra"

	"sycamoretrail/internal/operatorclient"
	"sycamoretrail/internal/operators/api"
)

func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show every listed entry: state, incarnation, version in force, requests in flight",
		Long: `Queries each entry of the settings. Exit codes: 0 all answer and hold the same version,
3 versions differ, 4 an entry does not answer.`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			return a.status(client.Statuses())
		},
	}
}

// statusReport is the JSON output of the status command.
type statusReport struct {
	Entries []statusRow `json:"entries"`
	// VersionsDiffer is true if the entries that answered hold more than one version.
	VersionsDiffer bool `json:"versions_differ"`
	// Newest is the highest version that an entry holds.
	Newest int64 `json:"newest"`
	// Unanswered is the number of entries that returned no status.
	Unanswered int `json:"silent"`
}

type statusRow struct {
	Address string      `json:"address"`
	Status  *api.Status `json:"status,omitempty"`
	Error   string      `json:"error,omitempty"`
}

func (a *app) status(statuses []operatorclient.EntryStatus) error {
	report := reportOf(statuses)
	if err := a.print(report, report.write); err != nil {
		return err
	}
	if code := failureCode(statuses); code != exitDone {
		return exitQuietly(code)
	}
	if report.VersionsDiffer {
		return exitQuietly(exitUnknown)
	}
	return nil
}

// failureCode returns the exit code for the first entry that returned no status,
// or exitDone if all did.
func failureCode(statuses []operatorclient.EntryStatus) int {
	for _, entry := range statuses {
		if entry.Err != nil {
			return exitCode(entry.Err)
		}
	}
	return exitDone
}

func reportOf(statuses []operatorclient.EntryStatus) statusReport {
	report := statusReport{Entries: make([]statusRow, 0, len(statuses))}
	seen := false
	for i := range statuses {
		entry := &statuses[i]
		row := statusRow{Address: entry.Address}
		if entry.Err != nil {
			row.Error = entry.Err.Error()
			report.Unanswered++
			report.Entries = append(report.Entries, row)
			continue
		}
		row.Status = &entry.Status
		report.VersionsDiffer = report.VersionsDiffer || seen && entry.Status.Version != report.Newest
		report.Newest = max(report.Newest, entry.Status.Version)
		seen = true
		report.Entries = append(report.Entries, row)
	}
	return report
}

func (r statusReport) write(w io.Writer) {
	var rows [][]string
	for _, row := range r.Entries {
		if row.Status == nil {
			rows = append(rows, []string{"-", row.Address, "no answer", "-", "-", "-", "-", "-", "-"})
			continue
		}
		rows = append(rows, row.cells())
	}
	columns(w, []string{"ENTRY", "ADDRESS", "STATE", "ZONE", "VERSION", "IN FLIGHT", "LOG", "PEERS", "INCARNATION"}, rows)
	r.writeNotes(w)
}

func (row statusRow) cells() []string {
	s := row.Status
	log := "available"
	if !s.LogAvailable {
		log = "out"
	}
	linked := 0
	for _, peer := range s.Peers {
		if peer.Linked {
			linked++
		}
	}
	return []string{
		orDash(s.Entry.Name), row.Address, s.State, orDash(s.Entry.Zone), strconv.FormatInt(s.Version, 10),
		strconv.Itoa(s.InFlight), log, fmt.Sprintf("%d of %d linked", linked, len(s.Peers)), orDash(s.Entry.Incarnation),
	}
}

func (r statusReport) writeNotes(w io.Writer) {
	for _, row := range r.Entries {
		switch {
		case row.Status == nil:
			fmt.Fprintf(w, "\n%s\n", row.Error)
		case row.Status.Version < r.Newest:
			fmt.Fprintf(w, "\n%s holds version %d (%s), others %d; if that lasts longer than seconds, see whether it reads the log\n",
				orDash(row.Status.Entry.Name), row.Status.Version, orDash(row.Status.DocumentID), r.Newest)
		}
	}
}
