package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/valveslip/valveslip/experiment"
)

// experimentCapacityCommand measures control at growing sizes.
func experimentCapacityCommand() *ffcli.Command {
	flags := flag.NewFlagSet("valveslip experiment capacity", flag.ContinueOnError)
	name := flags.String("scenario", "two-year", "scenario whose whole size is asked about")
	zones := flags.String("zones", "1,2,4", "sizes to measure, in zones of the scenario")
	settle := flags.Duration("settle", 45*time.Second, "virtual time before measuring")
	measure := flags.Duration("measure", 20*time.Second, "virtual time measured")
	edits := flags.Int("edits", 5, "edits whose spread is timed")
	seed := flags.Uint64("seed", 1, "seed")
	asJSON := flags.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name: "capacity", ShortUsage: "valveslip experiment capacity [flags]", FlagSet: flags,
		ShortHelp: "measure what control costs at growing sizes and work out the whole size",
		LongHelp:  "Bytes, messages and calls are the same on every machine; processor time and memory are not.",
		Exec: func(context.Context, []string) error {
			scenario, err := experiment.Load(*name)
			if err != nil {
				return &exitError{code: exitInvalid, err: err}
			}
			options := experiment.CapacityOptions{
				Settle: *settle, Measure: *measure, Edits: *edits, EditInterval: 2 * time.Second, Seed: *seed,
			}
			var samples []*experiment.CapacitySample
			for text := range strings.SplitSeq(*zones, ",") {
				count, err := strconv.Atoi(strings.TrimSpace(text))
				if err != nil {
					return &exitError{code: exitUsage, err: err}
				}
				sample, err := experiment.MeasureCapacity(scenario, count, options)
				if err != nil {
					return err
				}
				fmt.Fprintf(os.Stderr, "%d zones, %d nodes: %.0f s, %.0f s of processor time, %.0f MB of heap\n",
					sample.Zones, sample.Nodes, sample.RealSeconds, sample.CPUSeconds, sample.HeapBytes/1e6)
				samples = append(samples, sample)
			}
			report := experiment.NewCapacityReport(scenario, samples)
			if *asJSON {
				return json.NewEncoder(os.Stdout).Encode(report)
			}
			return printCapacity(report)
		},
	}
}

// printCapacity writes the page's tables.
func printCapacity(report *experiment.CapacityReport) error {
	header := []string{"WHO", "WHAT", "UNIT"}
	for _, sample := range report.Samples {
		header = append(header, fmt.Sprintf("%d NODES", sample.Nodes))
	}
	header = append(header, "A ZONE MORE", fmt.Sprintf("AT %d ZONES", report.Whole.Zones), "BUDGET", "")
	var rows [][]string
	for _, row := range report.Rows {
		cells := []string{row.Who, row.What, row.Unit}
		for _, value := range row.Values {
			cells = append(cells, number(value))
		}
		budget, over := "-", ""
		if row.Budget > 0 {
			budget = number(row.Budget)
		}
		if row.Over() {
			over = "OVER"
		}
		rows = append(rows, append(cells, number(row.Slope), number(row.Whole), budget, over))
	}
	return writeSection(os.Stdout, fmt.Sprintf("%s: %d nodes, %d zones, %d regions, %d workers, %d models, %d adapters",
		report.Scenario, report.Whole.Nodes, report.Whole.Zones, report.Whole.Regions, report.Whole.Workers,
		report.Whole.Models, report.Whole.Adapters), header, rows)
}

// number writes a value with three digits.
func number(value float64) string { return strconv.FormatFloat(value, 'g', 3, 64) }
