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
	defaultSoakDuration = 45 * time.Second
	defaultSoakNodes    = 4
	// maxShrinkRuns is the maximum number of runs to shrink a schedule.
	maxShrinkRuns = 40
	// soakJudgementTime is how long a run goes on at most until each promise can be judged.
	soakJudgementTime = 20 * time.Second
	// maxShownBreaches is the maximum number of breaches of each promise that are printed.
	// The report file contains all of them.
	maxShownBreaches = 5
)

// soakFlags holds the values of the soak command's flags.
type soakFlags struct {
	seed                                 uint64
	duration, until                      time.Duration
	nodes                                int
	schedule, report, logs               string
	binary, previousBinary               string
	printOnly, shrinkFaults, regressions bool
	restores, lateEntries, surplus       bool
	allKilled                            bool
}

// soakCommand returns the command that runs nodes as processes under faults and checks the
// promises of the product.
func soakCommand(out io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("valveslip soak", flag.ContinueOnError)
	var f soakFlags
	flags.Uint64Var(&f.seed, "seed", 1, "seed that the schedule is drawn from")
	flags.DurationVar(&f.duration, "duration", defaultSoakDuration, "time within which the run ends; with --schedule it follows from the file")
	flags.IntVar(&f.nodes, "nodes", defaultSoakNodes, "processes of nodes")
	flags.StringVar(&f.schedule, "schedule", "", "schedule file to play instead of a seed's")
	flags.DurationVar(&f.until, "until", 0, "leave out the faults from this time on, 0 for none")
	flags.BoolVar(&f.restores, "restores", false, "also draw returns of the store from copies that are some seconds old")
	flags.BoolVar(&f.surplus, "surplus", false, "also draw workers that send answers which nobody expects, or answers without end")
	flags.BoolVar(&f.lateEntries, "late-entries", false, "also draw workers that start again with another software version before their entries say so")
	flags.BoolVar(&f.allKilled, "all-killed", false, "also draw kills of all nodes at once, beside changes of the workers' software version")
	flags.BoolVar(&f.printOnly, "print", false, "print the schedule and run nothing")
	flags.BoolVar(&f.shrinkFaults, "shrink", false, "drop faults while the run still fails and print what is left")
	flags.BoolVar(&f.regressions, "regressions", false, "run every schedule that once failed")
	flags.StringVar(&f.report, "report", "", "file for the report as JSON")
	flags.StringVar(&f.logs, "logs", "", "folder for the nodes' settings and logs; by default one that stays when a promise is broken")
	flags.StringVar(&f.binary, "binary", "", "program whose nodes are run, by default this one")
	flags.StringVar(&f.previousBinary, "from", "", "earlier build that nodes begin with; the schedule's stops and upgrades bring the other in its place")
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

// run executes the command according to the flags.
func (f *soakFlags) run(ctx context.Context, out io.Writer) error {
	if f.regressions {
		return f.runRegressions(ctx, out)
	}
	schedule, err := f.loadSchedule()
	if err != nil {
		return &exitError{code: exitInvalid, err: err}
	}
	if err := printSchedule(out, &schedule); err != nil || f.printOnly {
		return err
	}
	if f.shrinkFaults {
		return f.shrink(ctx, out, schedule)
	}
	return f.runOne(ctx, out, schedule)
}

// loadSchedule returns the schedule to run: that of the schedule file, or one drawn from
// the seed.
func (f *soakFlags) loadSchedule() (schedule plan.Schedule, err error) {
	if f.schedule != "" {
		schedule, err = plan.Read(f.schedule)
	} else {
		var size plan.Size
		size, err = soak.Size(f.nodes, f.duration)
		size.Upgrades, size.Restores, size.LateEntries, size.Surplus = f.previousBinary != "", f.restores, f.lateEntries, f.surplus
		if size.AllKilled = f.allKilled; f.allKilled {
			size.Workers = soak.AllKilledWorkers
		}
		schedule = plan.Draw(f.seed, size)
	}
	if f.until > 0 {
		schedule = schedule.Until(f.until)
	}
	return schedule, err
}

// runOne runs a schedule and prints the report. It returns an error if a promise was
// broken, or if a drawn schedule tested a promise too rarely to judge it.
func (f *soakFlags) runOne(ctx context.Context, out io.Writer, schedule plan.Schedule) error {
	report, err := f.runSchedule(ctx, schedule)
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
	if missing := report.NotJudged(); f.mustJudge() && len(missing) > 0 && len(report.Breaches()) == 0 {
		return &exitError{code: exitFailure, err: eris.Errorf("seed %d: %d promises were tested and not judged", schedule.Seed, len(missing))}
	}
	if breaches := report.Breaches(); len(breaches) > 0 {
		return &exitError{code: exitFailure, err: eris.Errorf("seed %d: %d times a promise was broken", schedule.Seed, len(breaches))}
	}
	return nil
}

// mustJudge reports whether the run fails if it tested a promise too rarely to judge it: schedules from files are about
// one fault each.
func (f *soakFlags) mustJudge() bool { return f.schedule == "" && !f.regressions && !f.shrinkFaults }

// runSchedule runs a schedule and returns its report. The logs of a run without breaches
// are removed, unless their folder was given by a flag.
func (f *soakFlags) runSchedule(ctx context.Context, schedule plan.Schedule) (*soak.Report, error) {
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
	var await time.Duration
	if f.mustJudge() {
		await = soakJudgementTime
	}
	report, err := soak.Run(ctx, soak.Options{
		Schedule: schedule, Duration: duration, AwaitJudgement: await, Binary: binary, From: f.previousBinary, LogDir: logs,
		Tick: newProgress(int(duration.Seconds()), fmt.Sprintf("seed %d, seconds", schedule.Seed)),
	})
	if f.logs == "" && err == nil && len(report.Breaches()) == 0 {
		err = os.RemoveAll(logs)
	}
	return report, err
}

// shrink removes faults from the schedule while its run still fails, and prints the
// smallest schedule found.
func (f *soakFlags) shrink(ctx context.Context, out io.Writer, schedule plan.Schedule) error {
	smallest, err := plan.Shrink(schedule, maxShrinkRuns, func(smaller plan.Schedule) (bool, error) {
		report, err := f.runSchedule(ctx, smaller)
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

// runRegressions runs all saved schedules, each of which once failed.
func (f *soakFlags) runRegressions(ctx context.Context, out io.Writer) error {
	saved, err := schedules.All()
	if err != nil {
		return err
	}
	broken := 0
	for _, name := range slices.Sorted(maps.Keys(saved)) {
		fmt.Fprintf(out, "%s: %s\n", name, saved[name].Cause)
		err := f.runOne(ctx, out, saved[name])
		if ctx.Err() != nil {
			return err
		}
		if err != nil {
			broken++
			fmt.Fprintln(out, err)
		}
	}
	if broken > 0 {
		return &exitError{code: exitFailure, err: eris.Errorf("%d of %d schedules broke a promise", broken, len(saved))}
	}
	return nil
}

// printSchedule prints a schedule in the format of a schedule file.
func printSchedule(out io.Writer, schedule *plan.Schedule) error {
	text, err := schedule.Encode()
	if err != nil {
		return err
	}
	_, err = out.Write(text)
	return err
}

// printSoak prints a report as text.
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
	if after := &report.AfterKills; after.Kills > 0 {
		fmt.Fprintf(out, "all nodes killed %d times: %d streams cut, %d taken up, %d went on, %d of them to the end, %d refused, %d joined from two software versions; %d of %d went on that had to\n\n",
			after.Kills, after.Cut, after.TakenUp, after.WentOn, after.Whole, after.Refused, after.Joined, after.PromisedWentOn, after.Promised)
	}
	var rows [][]string
	for _, finding := range report.Findings {
		note := ""
		if finding.NotJudged() {
			note = fmt.Sprintf("not judged: less than %d", finding.MinCases)
		}
		rows = append(rows, []string{string(finding.Promise), strconv.Itoa(finding.Judged), strconv.Itoa(len(finding.Breaches)), note})
	}
	if err := writeSection(out, "promises", []string{"PROMISE", "JUDGED", "BROKEN", ""}, rows); err != nil {
		return err
	}
	latencyRows := [][]string{
		latencyRow("a version was taken, to its first answer by a node", &report.ConfigurationTook),
		latencyRow("a worker left, to the last request of a node", &report.LeavingTook),
	}
	if err := writeSection(out, "times", []string{"FROM", "COUNT", "P50", "P99", "MAX", "SLOWEST"}, latencyRows); err != nil {
		return err
	}
	for _, finding := range report.Findings {
		for _, breach := range finding.Breaches[:min(len(finding.Breaches), maxShownBreaches)] {
			fmt.Fprintln(out, breach)
		}
	}
	if len(report.Breaches()) > 0 {
		fmt.Fprintf(out, "zero is %s; logs of the nodes: %s\n", report.Began.UTC().Format(time.RFC3339Nano), report.LogDir)
	}
	return nil
}

// latencyRow returns a table row with the quantiles of a duration and the node with the
// longest one.
func latencyRow(name string, latencies *check.Distributions) []string {
	slowest := ""
	for _, node := range slices.Sorted(maps.Keys(latencies.Nodes)) {
		if longest := latencies.Nodes[node].Max; longest > 0 && longest == latencies.All.Max {
			slowest = fmt.Sprintf("node %d", node)
		}
	}
	row := []string{name, strconv.Itoa(latencies.All.Count)}
	for _, value := range []time.Duration{latencies.All.P50, latencies.All.P99, latencies.All.Max} {
		row = append(row, value.Round(time.Millisecond).String())
	}
	return append(row, slowest)
}

// countRows returns table rows with counts, sorted by name.
func countRows[Name cmp.Ordered](counts map[Name]int) [][]string {
	var rows [][]string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		rows = append(rows, []string{fmt.Sprint(name), strconv.Itoa(counts[name])})
	}
	return rows
}
