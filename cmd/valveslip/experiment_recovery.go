package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/experiment"
	"github.com/valveslip/valveslip/experiment/recovery"
)

// experimentRecoveryCommand returns the command that measures the recovery time of
// control and of service after each kind of fault.
func experimentRecoveryCommand(out io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("valveslip experiment recovery", flag.ContinueOnError)
	name := flags.String("scenario", "faults", "scenario file, or the name of a committed one; its faults are not used")
	options := recovery.Options{}
	flags.IntVar(&options.Seeds, "seeds", 20, "number of seeds of each case")
	flags.IntVar(&options.Workers, "workers", 4, "trials that run at once")
	names := flags.String("faults", "", "faults of the service table, separated by commas; all when empty")
	table := flags.String("table", "all", "what is measured: control, service or all")
	asJSON := flags.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name: "recovery", ShortUsage: "valveslip experiment recovery [flags]", FlagSet: flags,
		ShortHelp: "measure the time from each kind of fault to plans and to service again",
		Exec: func(ctx context.Context, _ []string) error {
			faults, err := recoveryFaults(*names)
			if err != nil {
				return &exitError{code: exitInvalid, err: err}
			}
			var measured recoveryReports
			if *table != "service" {
				if options.Scenario, err = experiment.Load(*name); err != nil {
					return &exitError{code: exitInvalid, err: err}
				}
				if measured.Control, err = recovery.Measure(ctx, options); err != nil {
					return err
				}
			}
			if *table != "control" {
				if measured.Service, err = measureService(ctx, options, faults); err != nil {
					return err
				}
			}
			if *asJSON {
				err = json.NewEncoder(out).Encode(measured)
			} else {
				err = printRecovery(out, measured)
			}
			if violations := measured.violations(); err == nil && violations > 0 {
				err = &exitError{code: exitViolation, err: eris.Errorf("%d violations", violations)}
			}
			return err
		},
	}
}

// recoveryReports holds the measurements of one run of the command.
type recoveryReports struct {
	Control []recovery.Report        `json:"control,omitempty"`
	Service []recovery.ServiceReport `json:"service,omitempty"`
}

// violations returns the total number of violations.
func (r *recoveryReports) violations() int {
	total := 0
	for i := range r.Control {
		total += r.Control[i].Violations
	}
	for i := range r.Service {
		total += r.Service[i].Violations
	}
	return total
}

// measureService measures how long requests wait after faults, in the scenario
// "recovery".
func measureService(ctx context.Context, options recovery.Options, faults []recovery.Fault) ([]recovery.ServiceReport, error) {
	scenario, err := experiment.Load("recovery")
	if err != nil {
		return nil, err
	}
	return recovery.MeasureService(ctx, recovery.ServiceOptions{
		Scenario: scenario, Faults: faults, Seeds: options.Seeds, Workers: options.Workers,
		Progress: newProgress(options.Seeds*len(faults), "runs"),
	})
}

// recoveryFaults parses a comma-separated list of faults. An empty list means all.
func recoveryFaults(names string) ([]recovery.Fault, error) {
	if names == "" {
		return recovery.Faults(), nil
	}
	var chosen []recovery.Fault
	for name := range strings.SplitSeq(names, ",") {
		fault := recovery.Fault(strings.TrimSpace(name))
		if !slices.Contains(recovery.Faults(), fault) {
			return nil, eris.Errorf("unknown fault %q; known are %v", name, recovery.Faults())
		}
		chosen = append(chosen, fault)
	}
	return chosen, nil
}

// printRecovery prints a table for each kind of measurement that was made.
func printRecovery(out io.Writer, measured recoveryReports) error {
	if measured.Control != nil {
		if err := printControl(out, measured.Control); err != nil {
			return err
		}
	}
	if measured.Service != nil {
		return printService(out, measured.Service)
	}
	return nil
}

// printService prints the service measurements, one line for each fault.
func printService(out io.Writer, reports []recovery.ServiceReport) error {
	fmt.Fprintln(out, "seconds after the fault, p50/p99/max; -n: did not happen in n seeds")
	var rows [][]string
	for i := range reports {
		report := &reports[i]
		rows = append(rows, []string{
			string(report.Fault), formatRecoveryQuantiles(report.Planning), formatRecoveryQuantiles(report.Apportioner),
			formatRecoveryQuantiles(report.UnderWay), formatRecoveryQuantiles(report.Here), formatRecoveryQuantiles(report.Anywhere),
			fmt.Sprintf("%d of %d", report.Served, report.Arrived),
			strconv.Itoa(len(report.Seeds)), strconv.Itoa(report.Violations),
		})
	}
	return writeTable(out, []string{
		"fault", "no plan", "apportioner", "load under way", "cold here", "cold anywhere", "served", "seeds", "violations",
	}, rows)
}

// formatRecoveryQuantiles formats quantiles in seconds, with the number of seeds
// without a measurement.
func formatRecoveryQuantiles(quantiles recovery.Quantiles) string {
	text := fmt.Sprintf("%.1f/%.1f/%.1f", quantiles.P50.Seconds(), quantiles.P99.Seconds(), quantiles.Max.Seconds())
	if quantiles.Missing > 0 {
		text += fmt.Sprintf(" -%d", quantiles.Missing)
	}
	return text
}

// printControl prints the control measurements, one line for each.
func printControl(out io.Writer, reports []recovery.Report) error {
	format := func(value time.Duration) string { return value.Round(10 * time.Millisecond).String() }
	var rows [][]string
	for i := range reports {
		report := &reports[i]
		rows = append(rows, []string{
			report.Name, report.Measure, strconv.Itoa(len(report.Times)), strconv.Itoa(report.Without),
			format(report.Quantile(0.5)), format(report.Quantile(0.9)), format(report.Quantile(1)), strconv.Itoa(report.Violations),
			strconv.Itoa(report.Served), strconv.Itoa(report.Refused), strconv.Itoa(report.Other),
		})
	}
	header := []string{"fault", "measured", "trials", "without", "p50", "p90", "max", "violations", "served", "refused", "other"}
	return writeTable(out, header, rows)
}
