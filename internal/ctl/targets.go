package ctl

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"sycamoretrail/internal/operators/api"
)

func (a *app) targetsCommand() *cobra.Command {
	var pool string
	cmd := &cobra.Command{
		Use:   "targets",
		Short: "Show the targets: scheduler, requests in flight, queue by tier, estimates, suspects",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			answer, err := client.Targets()
			if err != nil {
				return err
			}
			answer.Targets = inPool(answer.Targets, pool)
			return a.print(answer, func(w io.Writer) { writeTargets(w, answer.Targets) })
		},
	}
	cmd.Flags().StringVar(&pool, "pool", "", "only the targets of this pool")
	return cmd
}

func inPool(targets []api.Target, pool string) []api.Target {
	if pool == "" {
		return targets
	}
	out := make([]api.Target, 0, len(targets))
	for _, target := range targets {
		if target.Pool == pool {
			out = append(out, target)
		}
	}
	return out
}

func writeTargets(w io.Writer, targets []api.Target) {
	rows := make([][]string, len(targets))
	for i := range targets {
		rows[i] = targetCells(&targets[i])
	}
	columns(w, []string{"TARGET", "POOL", "CLASS", "ZONE", "SCHEDULER", "STATE", "IN FLIGHT", "QUEUE BY TIER", "PREFILL/S", "STEP MS", "WAIT MS", "SUSPECTS"}, rows)
}

func targetCells(t *api.Target) []string {
	scheduler := orDash(t.Scheduler)
	if t.ScheduledHere {
		scheduler += " (asked)"
	}
	queue := make([]string, len(t.QueuedByTier))
	for i, queued := range t.QueuedByTier {
		queue[i] = strconv.Itoa(queued)
	}
	return []string{
		t.Name, t.Pool, t.Class, t.Zone, scheduler, targetState(t),
		fmt.Sprintf("%d of %d", t.InFlight, t.Limit), orDash(strings.Join(queue, "/")),
		fmt.Sprintf("%.0f", t.PrefillRate), fmt.Sprintf("%.1f", t.StepMS),
		strconv.FormatInt(t.WaitMS, 10), strconv.Itoa(t.Suspects),
	}
}

func targetState(t *api.Target) string {
	switch {
	case t.Leaving:
		return "leaving"
	case !t.Available:
		return "unavailable"
	case t.Straggler:
		return "straggler"
	}
	return "available"
}

func (a *app) floorsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "floors",
		Short: "Show the tier floors: pools that currently serve no request below a tier",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			answer, err := client.Floors()
			if err != nil {
				return err
			}
			return a.print(answer, func(w io.Writer) { writeFloors(w, answer.Floors) })
		},
	}
}

func writeFloors(w io.Writer, floors []api.Floor) {
	if len(floors) == 0 {
		fmt.Fprintln(w, "no floor is in force")
		return
	}
	rows := make([][]string, len(floors))
	for i, floor := range floors {
		rows[i] = []string{floor.Pool, strconv.Itoa(int(floor.Tier)), strconv.FormatInt(floor.RemainingMS, 10), orDash(floor.RaisedBy)}
	}
	columns(w, []string{"POOL", "LOWEST TIER SERVED", "REMAINING MS", "ASKED BY"}, rows)
}
