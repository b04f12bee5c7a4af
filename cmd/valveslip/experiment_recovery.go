package main

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/experiment"
	"github.com/valveslip/valveslip/experiment/recovery"
)

// experimentRecoveryCommand measures the time from faults to control again.
func experimentRecoveryCommand(out io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("valveslip experiment recovery", flag.ContinueOnError)
	name := flags.String("scenario", "faults", "scenario file, or the name of a committed one; its faults are not used")
	options := recovery.Options{}
	flags.IntVar(&options.Seeds, "seeds", 20, "number of seeds of each case")
	flags.IntVar(&options.Workers, "workers", 4, "trials that run at once")
	asJSON := flags.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name: "recovery", ShortUsage: "valveslip experiment recovery [flags]", FlagSet: flags,
		ShortHelp: "measure the time from faults of control to planning again",
		Exec: func(ctx context.Context, _ []string) error {
			scenario, err := experiment.Load(*name)
			if err != nil {
				return &exitError{code: exitInvalid, err: err}
			}
			options.Scenario = scenario
			reports, err := recovery.Measure(ctx, options)
			if err != nil {
				return err
			}
			if *asJSON {
				err = json.NewEncoder(out).Encode(reports)
			} else {
				err = printRecovery(out, reports)
			}
			if err != nil {
				return err
			}
			for _, report := range reports {
				if report.Violations > 0 {
					return &exitError{code: exitBroken, err: eris.Errorf("%s: %d violations", report.Name, report.Violations)}
				}
			}
			return nil
		},
	}
}

// printRecovery prints a line for each measure.
func printRecovery(out io.Writer, reports []recovery.Report) error {
	text := func(value time.Duration) string { return value.Round(10 * time.Millisecond).String() }
	var rows [][]string
	for i := range reports {
		report := &reports[i]
		rows = append(rows, []string{
			report.Name, report.Measure, strconv.Itoa(len(report.Times)), strconv.Itoa(report.Without),
			text(report.Quantile(0.5)), text(report.Quantile(0.9)), text(report.Quantile(1)), strconv.Itoa(report.Violations),
			strconv.Itoa(report.Served), strconv.Itoa(report.Refused), strconv.Itoa(report.Other),
		})
	}
	header := []string{"fault", "measured", "trials", "without", "p50", "p90", "max", "violations", "served", "refused", "other"}
	return writeTable(out, header, rows)
}
