package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/experiment"
)

// defaultPolicies are the policies that are compared by default.
const defaultPolicies = "adaptive,always,fixed-1m,fixed-5m,fixed-15m,lru,oracle"

// experimentRunCommand returns the command that compares placement policies in
// scenarios.
func experimentRunCommand() *ffcli.Command {
	flags := flag.NewFlagSet("valveslip experiment run", flag.ContinueOnError)
	policies := flags.String("policy", defaultPolicies, "policies: adaptive, adaptive@WEIGHT, always, fixed-DURATION, lru, oracle")
	seeds := flags.Int("seeds", 3, "number of seeds")
	first := flags.Uint64("first-seed", 1, "first seed")
	workers := flags.Int("workers", 4, "runs at once")
	out := flags.String("out", "", "folder for results.json, summary.csv, samples.csv and report.html; empty for none")
	reference := flags.String("reference", "fixed-5m", "policy that the ratios compare with")
	against := flags.String("against", "", "results.json of an earlier run to compare with")
	return &ffcli.Command{
		Name: "run", ShortUsage: "valveslip experiment run [flags] SCENARIO...", FlagSet: flags,
		ShortHelp: "compare placement policies on scenarios",
		LongHelp:  "A scenario is a file or the name of a committed one; valveslip experiment list shows these.",
		Exec: func(ctx context.Context, names []string) error {
			plan, err := experimentPlan(names, *policies)
			if err != nil {
				return &exitError{code: exitInvalid, err: err}
			}
			plan.FirstSeed, plan.Seeds, plan.Workers = *first, *seeds, *workers
			plan.Progress = newProgress(len(plan.Scenarios)*len(plan.Policies)**seeds, "runs")
			start := time.Now()
			measurements, err := plan.Run(ctx)
			if err != nil {
				return err
			}
			report := experiment.NewReport(measurements, *reference)
			if err := printReport(os.Stdout, report); err != nil {
				return err
			}
			fmt.Fprintf(os.Stderr, "took %s\n", time.Since(start).Round(time.Second))
			if *against != "" {
				if err := printComparison(os.Stdout, report, *against); err != nil {
					return err
				}
			}
			if *out == "" {
				return nil
			}
			return report.Write(*out)
		},
	}
}

// experimentPlan returns a plan with the named scenarios and policies.
func experimentPlan(names []string, policies string) (*experiment.Plan, error) {
	if len(names) == 0 {
		return nil, eris.New("name at least one scenario")
	}
	parsed, err := experiment.ParsePolicies(policies)
	if err != nil {
		return nil, err
	}
	plan := &experiment.Plan{Policies: parsed}
	for _, name := range names {
		scenario, err := experiment.Load(name)
		if err != nil {
			return nil, err
		}
		plan.Scenarios = append(plan.Scenarios, scenario)
	}
	return plan, nil
}

// printReport prints a row for each scenario and policy: first the medians, then
// their ratios to the reference policy.
func printReport(out io.Writer, report *experiment.Report) error {
	header := []string{"SCENARIO", "POLICY", "SEEDS"}
	for _, metric := range experiment.Metrics() {
		header = append(header, metric.Title)
	}
	var rows, ratios [][]string
	for _, summary := range report.Summaries {
		row := []string{summary.Scenario, summary.Policy, fmt.Sprint(summary.Seeds)}
		for _, metric := range experiment.Metrics() {
			row = append(row, summary.Metrics[metric.Name].Text())
		}
		rows = append(rows, row)
		if summary.Ratios == nil {
			continue
		}
		row = []string{summary.Scenario, summary.Policy}
		for _, metric := range experiment.Metrics() {
			text := "-"
			if spread, ok := summary.Ratios[metric.Name]; ok {
				text = spread.Text()
			}
			row = append(row, text)
		}
		ratios = append(ratios, row)
	}
	if err := writeSection(out, "median [95% of the seeds]", header, rows); err != nil {
		return err
	}
	if err := writeSection(out, "ratio to "+report.Reference, append([]string{"SCENARIO", "POLICY"}, header[3:]...), ratios); err != nil {
		return err
	}
	return printGoals(out, report.Goals)
}

// printGoals prints the comparison with fixed keep-alive times, at equal idle hours and
// at equal cold start time.
func printGoals(out io.Writer, goals []experiment.Goal) error {
	var rows [][]string
	for _, goal := range goals {
		rows = append(rows, []string{goal.Scenario, goal.Policy, formatGoal(goal.AtEqualIdle), formatGoal(goal.AtEqualColdStart)})
	}
	return writeSection(out, "against the fixed keep-alives that ran, interpolated",
		[]string{"SCENARIO", "POLICY", "p99 COLD START AT EQUAL IDLE HOURS", "IDLE HOURS AT EQUAL p99"}, rows)
}

// formatGoal formats a ratio, or states that it is outside the range of the fixed
// keep-alive times.
func formatGoal(value float64) string {
	if value == 0 {
		return "out of their range"
	}
	return fmt.Sprintf("%.3g", value)
}

// printComparison prints the medians beside those of an earlier run.
func printComparison(out io.Writer, report *experiment.Report, path string) error {
	earlier, err := experiment.ReadReport(path)
	if err != nil {
		return &exitError{code: exitInvalid, err: err}
	}
	header := []string{"SCENARIO", "POLICY"}
	for _, metric := range experiment.Metrics() {
		header = append(header, metric.Title)
	}
	var rows [][]string
	for _, summary := range report.Summaries {
		before := earlier.Summary(summary.Scenario, summary.Policy)
		if before == nil {
			continue
		}
		row := []string{summary.Scenario, summary.Policy}
		for _, metric := range experiment.Metrics() {
			row = append(row, fmt.Sprintf("%.4g -> %.4g", before.Metrics[metric.Name].Median, summary.Metrics[metric.Name].Median))
		}
		rows = append(rows, row)
	}
	return writeSection(out, "medians before and now", header, rows)
}

// experimentListCommand returns the command that lists the committed scenarios.
func experimentListCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "list", ShortUsage: "valveslip experiment list", ShortHelp: "list the committed scenarios",
		Exec: func(context.Context, []string) error {
			var rows [][]string
			for _, name := range experiment.Names() {
				scenario, err := experiment.Load(name)
				if err != nil {
					return err
				}
				rows = append(rows, []string{name, scenario.Duration.String(), scenario.Description})
			}
			return writeTable(os.Stdout, []string{"NAME", "MEASURED", "DESCRIPTION"}, rows)
		},
	}
}
