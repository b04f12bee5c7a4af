package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/experiment"
	"github.com/valveslip/valveslip/simulation"
)

// experimentFaultsCommand returns the command that simulates many seeds with random
// faults and checks the promises of the product.
func experimentFaultsCommand() *ffcli.Command {
	flags := flag.NewFlagSet("valveslip experiment faults", flag.ContinueOnError)
	name := flags.String("scenario", "faults", "scenario file, or the name of a committed one")
	seeds := flags.Int("seeds", 100, "number of seeds")
	first := flags.Uint64("first-seed", 1, "first seed")
	workers := flags.Int("workers", 4, "seeds that run at once")
	zones := flags.Int("zones", 0, "run this many of the scenario's zones with the same share of everything else; 0 for all")
	asJSON := flags.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name: "faults", ShortUsage: "valveslip experiment faults [flags]", FlagSet: flags,
		ShortHelp: "run the whole product under random faults and check every promise",
		Exec: func(ctx context.Context, _ []string) error {
			scenario, err := experiment.Load(*name)
			if err != nil {
				return &exitError{code: exitInvalid, err: err}
			}
			if *zones < 0 || *zones > len(scenario.Zones) {
				return &exitError{code: exitUsage, err: eris.Errorf("the scenario has %d zones", len(scenario.Zones))}
			}
			if *zones > 0 {
				scenario = experiment.ScaleScenario(scenario, *zones)
			}
			campaign := experiment.Campaign{
				Scenario: scenario, FirstSeed: *first, Seeds: *seeds, Workers: *workers,
				Progress: newProgress(*seeds, "seeds"),
			}
			start := time.Now()
			report, err := campaign.Run(ctx)
			if err != nil {
				return err
			}
			if *asJSON {
				err = json.NewEncoder(os.Stdout).Encode(report)
			} else {
				err = printCampaign(os.Stdout, report)
			}
			fmt.Fprintf(os.Stderr, "took %s\n", time.Since(start).Round(time.Second))
			if err == nil && report.Violations() > 0 {
				err = &exitError{code: exitViolation, err: eris.Errorf("%d violations in %d seeds", report.Violations(), len(report.Failing))}
			}
			return err
		},
	}
}

// printCampaign prints the report as text.
func printCampaign(out io.Writer, report *experiment.CampaignReport) error {
	fmt.Fprintf(out, "scenario %s: %d seeds, %d events\n", report.Scenario, report.Seeds, report.Events)
	fmt.Fprintf(out, "requests: %d arrived, %d served, %d refused, %d failed, %d connections lost with their node\n",
		report.Arrived, report.Served, report.Refused, report.Failed, report.Lost)
	var faults, promises [][]string
	for _, kind := range simulation.FaultKinds() {
		faults = append(faults, []string{string(kind), strconv.Itoa(report.Faults[kind])})
	}
	if err := writeSection(out, "faults", []string{"KIND", "INJECTED"}, faults); err != nil {
		return err
	}
	for _, promise := range simulation.Promises() {
		promises = append(promises, []string{
			string(promise), strconv.FormatUint(report.Checked[promise], 10), strconv.Itoa(report.Violated[promise]),
		})
	}
	if err := writeSection(out, "promises", []string{"PROMISE", "CHECKS", "VIOLATIONS"}, promises); err != nil {
		return err
	}
	for _, failing := range report.Failing {
		fmt.Fprintf(out, "failing seed %d:\n", failing.Seed)
		for _, violation := range failing.Violations[:min(len(failing.Violations), 3)] {
			fmt.Fprintln(out, "  "+violation.String())
		}
	}
	return nil
}
