package ctl

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/operatorclient"
	"sycamoretrail/internal/operators/api"
	"sycamoretrail/internal/reasons"
)

func (a *app) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST-ID",
		Short: "Show what was decided on a request, and why",
		Long: `Queries the entry that owns the request: the part of the id before its first '.' is the
entry's incarnation. If that entry is not listed, all entries are queried. Entries keep
records of requests for a limited time. Exit code 3: no entry that answers has a record of
the request. What an entry refuses before it becomes a request (an unknown key, model or
tier) is only in its decision log.`,
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			found, err := explain(client, args[0])
			if err != nil {
				return err
			}
			if err := a.print(found, func(w io.Writer) { writeExplanation(w, found) }); err != nil {
				return err
			}
			if !found.Known {
				return exitQuietly(exitUnknown)
			}
			return nil
		},
	}
}

// explain queries the owner first, then the other entries. It returns an error
// if no entry answers.
func explain(client *operatorclient.Client, id string) (api.Explanation, error) {
	owner, _, _ := strings.Cut(id, ".")
	statuses := ownerFirst(client.Statuses(), owner)
	unknown := api.Explanation{ID: id, Owner: owner}
	answered := false
	var failure error
	for _, entry := range statuses {
		if entry.Err != nil {
			failure = errors.Join(failure, entry.Err)
			continue
		}
		found, err := client.At(entry.Address).Explain(id)
		if err != nil {
			failure = errors.Join(failure, err)
			continue
		}
		if found.Known {
			return found, nil
		}
		answered = true
	}
	if !answered {
		return unknown, failure
	}
	return unknown, nil
}

func ownerFirst(statuses []operatorclient.EntryStatus, owner string) []operatorclient.EntryStatus {
	var first, rest []operatorclient.EntryStatus
	for _, entry := range statuses {
		if entry.Err == nil && entry.Status.Entry.Incarnation == owner {
			first = append(first, entry)
			continue
		}
		rest = append(rest, entry)
	}
	return append(first, rest...)
}

func writeExplanation(w io.Writer, found api.Explanation) {
	if !found.Known {
		fmt.Fprintf(w, "%s: no listed entry knows of it. Its owner, %s, was replaced, is not listed in the settings, or has forgotten it.\n", found.ID, orDash(found.Owner))
		return
	}
	fmt.Fprintf(w, "%s\nowner %s, standing: %s\n", found.ID, orDash(found.Owner), orDash(found.State))
	writeReason(w, found.Decisions)
	fmt.Fprintln(w)
	rows := make([][]string, len(found.Decisions))
	for i, d := range found.Decisions {
		age := time.Duration(d.AgeMS) * time.Millisecond
		rows[i] = []string{age.String() + " ago", d.Event, orDash(d.Target), tierOf(d), orDash(d.Reason), d.Detail}
	}
	columns(w, []string{"WHEN", "EVENT", "TARGET", "TIER", "REASON", "DETAIL"}, rows)
}

// tierOf returns the tier's name, or its rank if the document has no name for it.
func tierOf(d api.Decision) string {
	if d.TierName != "" {
		return d.TierName
	}
	return strconv.Itoa(int(d.Tier))
}

// writeReason explains the last known reason among the decisions and its remedy.
func writeReason(w io.Writer, decisions []api.Decision) {
	for i := len(decisions) - 1; i >= 0; i-- {
		why := reasons.Of(outcome.Reason(decisions[i].Reason))
		if why.Meaning == "" {
			continue
		}
		fmt.Fprintf(w, "%s: %s.\nWhat to do: %s.\n", decisions[i].Reason, why.Meaning, why.Remedy)
		return
	}
}
