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
		Short: "Tell what was decided on a request, and why",
		Long: `Asks the entry that owns the request: the part of the id before its first '.' is the entry's
incarnation. Where that entry is not among those listed, all are asked. Entries forget a
request after a while. Exit code 3: nobody who can be asked knows of it. What an entry refuses
before it becomes a request (an unknown key, model or tier) stands in its decision log only.`,
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
				return silent(exitUnknown)
			}
			return nil
		},
	}
}

// explain asks the owner first, then the others. It fails where no entry answers.
func explain(client *operatorclient.Client, id string) (api.Explanation, error) {
	owner, _, _ := strings.Cut(id, ".")
	statuses := ownerFirst(client.Statuses(), owner)
	unknown := api.Explanation{ID: id, Owner: owner}
	answered := false
	var failure error
	for _, one := range statuses {
		if one.Err != nil {
			failure = errors.Join(failure, one.Err)
			continue
		}
		found, err := client.At(one.Address).Explain(id)
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
	for _, one := range statuses {
		if one.Err == nil && one.Status.Entry.Incarnation == owner {
			first = append(first, one)
			continue
		}
		rest = append(rest, one)
	}
	return append(first, rest...)
}

func writeExplanation(w io.Writer, found api.Explanation) {
	if !found.Known {
		fmt.Fprintf(w, "%s: no listed entry knows of it. Its owner, %s, was replaced, is not listed in the settings, or has forgotten it.\n", found.ID, orDash(found.Owner))
		return
	}
	fmt.Fprintf(w, "%s\nowner %s, standing: %s\n", found.ID, orDash(found.Owner), orDash(found.Standing))
	writeWhy(w, found.Decisions)
	fmt.Fprintln(w)
	rows := make([][]string, len(found.Decisions))
	for i, d := range found.Decisions {
		age := time.Duration(d.AgeMS) * time.Millisecond
		rows[i] = []string{age.String() + " ago", d.Event, orDash(d.Target), tierOf(d), orDash(d.Reason), d.Detail}
	}
	columns(w, []string{"WHEN", "EVENT", "TARGET", "TIER", "REASON", "DETAIL"}, rows)
}

// tierOf is the tier's name, or its rank where the document has none for it.
func tierOf(d api.Decision) string {
	if d.TierName != "" {
		return d.TierName
	}
	return strconv.Itoa(int(d.Tier))
}

// writeWhy says in words why the request ended, by the last reason given.
func writeWhy(w io.Writer, decisions []api.Decision) {
	for i := len(decisions) - 1; i >= 0; i-- {
		why := reasons.Of(outcome.Reason(decisions[i].Reason))
		if why.Meaning == "" {
			continue
		}
		fmt.Fprintf(w, "%s: %s.\nWhat to do: %s.\n", decisions[i].Reason, why.Meaning, why.Remedy)
		return
	}
}
