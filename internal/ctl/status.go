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
		Long: `Asks each entry of the settings. Exit codes: 0 all answer and hold the same version,
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

// statusReport is the JSON of sycamorectl status.
type statusReport struct {
	Entries []statusRow `json:"entries"`
	// VersionsDiffer: the entries that answered hold more than one version.
	VersionsDiffer bool `json:"versions_differ"`
	// Newest is the highest version that an entry holds.
	Newest int64 `json:"newest"`
	// Silent counts the entries that gave no status.
	Silent int `json:"silent"`
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
	if code := refusedCode(statuses); code != exitDone {
		return silent(code)
	}
	if report.VersionsDiffer {
		return silent(exitUnknown)
	}
	return nil
}

// refusedCode is that of the first entry that gave no status.
func refusedCode(statuses []operatorclient.EntryStatus) int {
	for _, one := range statuses {
		if one.Err != nil {
			return exitCode(one.Err)
		}
	}
	return exitDone
}

func reportOf(statuses []operatorclient.EntryStatus) statusReport {
	report := statusReport{Entries: make([]statusRow, 0, len(statuses))}
	seen := false
	for i := range statuses {
		one := &statuses[i]
		row := statusRow{Address: one.Address}
		if one.Err != nil {
			row.Error = one.Err.Error()
			report.Silent++
			report.Entries = append(report.Entries, row)
			continue
		}
		row.Status = &one.Status
		report.VersionsDiffer = report.VersionsDiffer || seen && one.Status.Version != report.Newest
		report.Newest = max(report.Newest, one.Status.Version)
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
