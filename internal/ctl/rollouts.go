package ctl

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"

	"github.com/spf13/cobra"
)

// errRollouts is wrapped by all errors of the rollouts command.
var errRollouts = errors.New("cannot show roll-outs")

// eventRollout is the event name of log lines about roll-outs.
const eventRollout = "rollout"

// rolloutView summarizes the log lines of one roll-out.
type rolloutView struct {
	Service string `json:"service"`
	// Order is the order's number, To the version to move to.
	Order      int64   `json:"order"`
	To         string  `json:"to"`
	DurationMS float64 `json:"duration_ms"`
	// Ordered lists the entries that received the order.
	Ordered []string       `json:"ordered"`
	Phases  []rolloutPhase `json:"phases"`
	Steps   []rolloutStep  `json:"steps"`
}

// rolloutPhase lists the entries that entered a phase.
type rolloutPhase struct {
	Phase       string   `json:"phase"`
	First, Last string   `json:"-"`
	Entries     []string `json:"entries"`
}

// rolloutStep is a leader's decision that was written to the store.
type rolloutStep struct {
	Time     string  `json:"time"`
	Leader   string  `json:"leader"`
	Action   string  `json:"action"`
	Reason   string  `json:"reason"`
	Unclear  string  `json:"unclear,omitempty"`
	Answers  float64 `json:"answers"`
	Bad      float64 `json:"bad"`
	Expected float64 `json:"expected"`
	Worse    float64 `json:"worse"`
}

func (a *app) rolloutsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "rollouts [LOG...]",
		Short: "Show roll-outs of versions from order to end, as recorded in the entries' logs",
		Long: `Reads JSON lines of the entries from files, or from standard input. Of each roll-out it
shows the leader's steps with their inputs, and when and at how many entries each
phase began. An entry that is missing from a phase did not receive it.
See docs/OPERATIONS.md.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLines(cmd.InOrStdin(), args, func(l logLine) bool { return l.event == eventRollout })
			if err != nil {
				return fmt.Errorf("%w: %w", errRollouts, err)
			}
			if len(lines) == 0 {
				return fmt.Errorf("%w: no line of the logs reports a roll-out", errRollouts)
			}
			views := rolloutsOf(lines)
			return a.print(views, func(w io.Writer) { printRollouts(w, views) })
		},
	}
}

// rolloutsOf groups the lines by roll-out, in order of each roll-out's first line.
func rolloutsOf(lines []logLine) []*rolloutView {
	var views []*rolloutView
	for _, line := range lines {
		service, order := line.text("service"), int64(line.number("order"))
		at := slices.IndexFunc(views, func(v *rolloutView) bool { return v.Service == service && v.Order == order })
		if at < 0 {
			at = len(views)
			views = append(views, &rolloutView{Service: service, Order: order, To: line.text("to")})
		}
		views[at].addLine(line)
	}
	return views
}

func (v *rolloutView) addLine(line logLine) {
	switch phase := line.text("phase"); {
	case line.text("action") != "":
		v.Steps = append(v.Steps, stepOf(line))
	case phase == "ordered":
		v.DurationMS = line.number("duration_ms")
		v.Ordered = append(v.Ordered, line.entry)
	case phase != "":
		v.addPhase(phase, line)
	}
}

// addPhase records that the line's entry entered the phase.
func (v *rolloutView) addPhase(phase string, line logLine) {
	at := slices.IndexFunc(v.Phases, func(p rolloutPhase) bool { return p.Phase == phase })
	if at < 0 {
		at = len(v.Phases)
		v.Phases = append(v.Phases, rolloutPhase{Phase: phase, First: line.time})
	}
	p := &v.Phases[at]
	p.Last = line.time
	if !slices.Contains(p.Entries, line.entry) {
		p.Entries = append(p.Entries, line.entry)
	}
}

func stepOf(line logLine) rolloutStep {
	return rolloutStep{
		Time: line.time, Leader: line.entry, Action: line.text("action"), Reason: line.text("reason"), Unclear: line.text("unclear"),
		Answers: line.number("answers"), Bad: line.number("bad"), Expected: line.number("expected"), Worse: line.number("worse"),
	}
}

func printRollouts(w io.Writer, views []*rolloutView) {
	for i, v := range views {
		if i > 0 {
			fmt.Fprintln(w)
		}
		fmt.Fprintf(w, "%s to %s, order %d, within %g s, known to %d entries\n", v.Service, orDash(v.To), v.Order, v.DurationMS/1000, len(v.Ordered))
		if len(v.Steps) == 0 {
			fmt.Fprintln(w, "no step is in the store")
		} else {
			v.printSteps(w)
		}
		if len(v.Phases) > 0 {
			v.printPhases(w)
		}
	}
}

func (v *rolloutView) printSteps(w io.Writer) {
	var rows [][]string
	for _, s := range v.Steps {
		rows = append(rows, []string{
			s.Time, s.Leader, s.Action, s.Reason, orDash(s.Unclear), shortNumber(s.Answers), shortNumber(s.Bad), shortNumber(s.Expected), shortNumber(s.Worse),
		})
	}
	columns(w, []string{"TIME", "LEADER", "STEP", "REASON", "UNCLEAR", "ANSWERS", "BAD", "EXPECTED", "WORSE"}, rows)
}

func (v *rolloutView) printPhases(w io.Writer) {
	var rows [][]string
	for _, p := range v.Phases {
		rows = append(rows, []string{p.Phase, p.First, p.Last, strconv.Itoa(len(p.Entries))})
	}
	columns(w, []string{"PHASE", "FIRST", "LAST", "ENTRIES"}, rows)
}

// shortNumber formats a number with at most one decimal, truncated.
func shortNumber(number float64) string {
	const tenths = 10
	rounded := float64(int64(number*tenths)) / tenths
	return strconv.FormatFloat(rounded, 'f', -1, 64)
}
