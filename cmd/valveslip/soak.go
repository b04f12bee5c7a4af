package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/soak"
	"github.com/valveslip/valveslip/soak/check"
	"github.com/valveslip/valveslip/soak/plan"
	"github.com/valveslip/valveslip/soak/schedules"
)

// Defaults of the soak.
const (
	soakDuration = 45 * time.Second
	soakNodes    = 4
	// shrinkTrials bounds the runs of a shrinking.
	shrinkTrials = 40
	// shownBreaches of each promise are printed; the report holds all.
	shownBreaches = 5
)

// soakFlags are the flags of the soak.
type soakFlags struct {
	seed                            uint64
	duration, until                 time.Duration
	nodes                           int
	schedule, report, logs          string
	binary, from                    string
	printOnly, shrinks, regressions bool
}

// soakCommand runs real processes under faults.
func soakCommand(out io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("valveslip soak", flag.ContinueOnError)
	var f soakFlags
	flags.Uint64Var(&f.seed, "seed", 1, "seed that the schedule is drawn from")
	flags.DurationVar(&f.duration, "duration", soakDuration, "time within which the run ends; with --schedule it follows from the file")
	flags.IntVar(&f.nodes, "nodes", soakNodes, "processes of nodes")
	flags.StringVar(&f.schedule, "schedule", "", "schedule file to play instead of a seed's")
	flags.DurationVar(&f.until, "until", 0, "leave out the faults from this time on, 0 for none")
	flags.BoolVar(&f.printOnly, "print", false, "print the schedule and run nothing")
	flags.BoolVar(&f.shrinks, "shrink", false, "drop faults while the run still fails and print what is left")
	flags.BoolVar(&f.regressions, "regressions", false, "run every schedule that once failed")
	flags.StringVar(&f.report, "report", "", "file for the report as JSON")
	flags.StringVar(&f.logs, "logs", "", "folder for the nodes' settings and logs; by default one that stays when a promise is broken")
	flags.StringVar(&f.binary, "binary", "", "program whose nodes are run, by default this one")
	flags.StringVar(&f.from, "from", "", "earlier build that nodes begin with; the schedule's stops and upgrades bring the other in its place")
	return &ffcli.Command{
		Name: "soak", ShortUsage: "valveslip soak [flags]", ShortHelp: "run real nodes under faults and check every promise",
		LongHelp: "Nodes run as processes of this machine over loopback, against stand-ins of the platform.\nIt ends with 1 when a promise is broken.",
		FlagSet:  flags, Options: []ff.Option{ff.WithEnvVarPrefix("VALVESLIP_SOAK")},
		Exec: func(ctx context.Context, _ []string) error {
			ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
			defer stop()
			return f.run(ctx, out)
		},
	}
}

// run does what the flags ask for.
func (f *soakFlags) run(ctx context.Context, out io.Writer) error {
	if f.regressions {
		return f.runRegressions(ctx, out)
	}
	schedule, err := f.drawn()
	if err != nil {
		return &exitError{code: exitInvalid, err: err}
	}
	if err := printSchedule(out, &schedule); err != nil || f.printOnly {
		return err
	}
	if f.shrinks {
		return f.shrink(ctx, out, schedule)
	}
	return f.runOne(ctx, out, schedule)
}

// drawn returns the schedule to play.
func (f *soakFlags) drawn() (schedule plan.Schedule, err error) {
	if f.schedule != "" {
		schedule, err = plan.Read(f.schedule)
	} else {
		var size plan.Size
		size, err = soak.Size(f.nodes, f.duration)
		size.Upgrades = f.from != ""
		schedule = plan.Draw(f.seed, size)
	}
	if f.until > 0 {
		schedule = schedule.Until(f.until)
	}
	return schedule, err
}

// runOne plays a schedule and reports; broken promises are an error.
func (f *soakFlags) runOne(ctx context.Context, out io.Writer, schedule plan.Schedule) error {
	report, err := f.play(ctx, schedule)
	if err != nil {
		return err
	}
	if f.report != "" {
		if err := report.Write(f.report); err != nil {
			return err
		}
	}
	if err := printSoak(out, report); err != nil {
		return err
	}
	drawn := f.schedule == "" && !f.regressions
	if missing := report.NotJudged(); drawn && len(missing) > 0 && len(report.Breaches()) == 0 {
		return &exitError{code: exitFailure, err: eris.Errorf("seed %d: %d promises were tested and not judged", schedule.Seed, len(missing))}
	}
	if breaches := report.Breaches(); len(breaches) > 0 {
		return &exitError{code: exitFailure, err: eris.Errorf("seed %d: %d times a promise was broken", schedule.Seed, len(breaches))}
	}
	return nil
}

// play plays a schedule. The logs of a run that broke nothing are removed unless
// their folder was named.
func (f *soakFlags) play(ctx context.Context, schedule plan.Schedule) (*soak.Report, error) {
	binary, logs := f.binary, f.logs
	var err error
	if binary == "" {
		if binary, err = os.Executable(); err != nil {
			return nil, eris.Wrap(err, "own program")
		}
	}
	if logs == "" {
		logs, err = os.MkdirTemp("", "valveslip-soak-")
	} else {
		err = os.MkdirAll(logs, 0o700)
	}
	if err != nil {
		return nil, eris.Wrap(err, "folder for logs")
	}
	duration := soak.DurationOf(&schedule)
	report, err := soak.Run(ctx, soak.Options{
		Schedule: schedule, Duration: duration, Binary: binary, From: f.from, LogDir: logs,
		Tick: progress(int(duration.Seconds()), fmt.Sprintf("seed %d, seconds", schedule.Seed)),
	})
	if f.logs == "" && err == nil && len(report.Breaches()) == 0 {
		err = os.RemoveAll(logs)
	}
	return report, err
}

// shrink drops faults while the run fails.
func (f *soakFlags) shrink(ctx context.Context, out io.Writer, schedule plan.Schedule) error {
	smallest, err := plan.Shrink(schedule, shrinkTrials, func(smaller plan.Schedule) (bool, error) {
		report, err := f.play(ctx, smaller)
		if err != nil {
			return false, err
		}
		fmt.Fprintf(out, "%d faults: broken %d times\n", len(smaller.Faults), len(report.Breaches()))
		return len(report.Breaches()) > 0, nil
	})
	if err != nil {
		return err
	}
	return printSchedule(out, &smallest)
}

// runRegressions plays every kept schedule.
func (f *soakFlags) runRegressions(ctx context.Context, out io.Writer) error {
	kept, err := schedules.All()
	if err != nil {
		return err
	}
	broken := 0
	for _, name := range slices.Sorted(maps.Keys(kept)) {
		fmt.Fprintf(out, "%s: %s\n", name, kept[name].Cause)
		err := f.runOne(ctx, out, kept[name])
		if ctx.Err() != nil {
			return err
		}
		if err != nil {
			broken++
			fmt.Fprintln(out, err)
		}
	}
	if broken > 0 {
		return &exitError{code: exitFailure, err: eris.Errorf("%d of %d schedules broke a promise", broken, len(kept))}
	}
	return nil
}

// printSchedule writes a schedule's text.
func printSchedule(out io.Writer, schedule *plan.Schedule) error {
	text, err := schedule.Encode()
	if err != nil {
		return err
	}
	_, err = out.Write(text)
	return err
}

// printSoak writes a report for people.
func printSoak(out io.Writer, report *soak.Report) error {
	fmt.Fprintf(out, "\nseed %d: %s, %d nodes in %d lives, recovered after %s, %d runs on workers, %d orders\n",
		report.Schedule.Seed, report.Took.Round(time.Millisecond), report.Schedule.Nodes, report.Lives,
		report.Recovered.Round(time.Millisecond), report.Runs, report.Orders)
	usage := &report.Usage
	fmt.Fprintf(out, "at most: %d open files and %d MB in the soak, %d files in a node, %d MB in all nodes; late by %s\n\n",
		usage.Files, usage.OwnMB, usage.NodeFiles, usage.NodesMB, usage.Stall.Round(time.Millisecond))
	if err := writeSection(out, "requests", []string{"OUTCOME", "COUNT"}, countRows(report.Requests)); err != nil {
		return err
	}
	if err := writeSection(out, "faults", []string{"KIND", "STRUCK"}, countRows(report.Faults)); err != nil {
		return err
	}
	var rows [][]string
	for _, finding := range report.Findings {
		note := ""
		if finding.NotJudged() {
			note = fmt.Sprintf("not judged: less than %d", finding.Least)
		}
		rows = append(rows, []string{string(finding.Promise), strconv.Itoa(finding.Judged), strconv.Itoa(len(finding.Breaches)), note})
	}
	if err := writeSection(out, "promises", []string{"PROMISE", "JUDGED", "BROKEN", ""}, rows); err != nil {
		return err
	}
	took := [][]string{
		spreadRow("a version was taken, to its first answer by a node", &report.ConfigurationTook),
		spreadRow("a worker left, to the last request of a node", &report.LeavingTook),
	}
	if err := writeSection(out, "times", []string{"FROM", "COUNT", "P50", "P99", "MAX", "SLOWEST"}, took); err != nil {
		return err
	}
	for _, finding := range report.Findings {
		for _, breach := range finding.Breaches[:min(len(finding.Breaches), shownBreaches)] {
			fmt.Fprintln(out, breach)
		}
	}
	if len(report.Breaches()) > 0 {
		fmt.Fprintf(out, "zero is %s; logs of the nodes: %s\n", report.Began.UTC().Format(time.RFC3339Nano), report.LogDir)
	}
	return nil
}

// spreadRow lists how long something took, and the node with the longest time.
func spreadRow(name string, took *check.Spreads) []string {
	slowest := ""
	for _, node := range slices.Sorted(maps.Keys(took.Nodes)) {
		if longest := took.Nodes[node].Max; longest > 0 && longest == took.All.Max {
			slowest = fmt.Sprintf("node %d", node)
		}
	}
	row := []string{name, strconv.Itoa(took.All.Count)}
	for _, value := range []time.Duration{took.All.P50, took.All.P99, took.All.Max} {
		row = append(row, value.Round(time.Millisecond).String())
	}
	return append(row, slowest)
}

// countRows lists counts by name.
func countRows[Name cmp.Ordered](counts map[Name]int) [][]string {
	var rows [][]string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		rows = append(rows, []string{fmt.Sprint(name), strconv.Itoa(counts[name])})
	}
	return rows
}
