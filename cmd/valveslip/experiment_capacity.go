package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/valveslip/valveslip/experiment"
)

// experimentCapacityCommand returns the command that measures the cost of control at
// growing deployment sizes and extrapolates it to the scenario's full size.
func experimentCapacityCommand() *ffcli.Command {
	flags := flag.NewFlagSet("valveslip experiment capacity", flag.ContinueOnError)
	name := flags.String("scenario", "two-year", "scenario whose whole size is asked about")
	zones := flags.String("zones", "1,2,3,4", "sizes to measure, in zones of the scenario")
	settle := flags.Duration("settle", 3*time.Minute, "virtual time before measuring")
	measure := flags.Duration("measure", 20*time.Second, "virtual time measured")
	edits := flags.Int("edits", 5, "edits whose spread is timed")
	seed := flags.Uint64("seed", 1, "seed")
	asJSON := flags.Bool("json", false, "print JSON")
	markdown := flags.Bool("markdown", false, "print the table of docs/CAPACITY.md")
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
			return printCapacity(os.Stdout, report, *markdown)
		},
	}
}

// printCapacity prints the report as a table, in Markdown for the capacity page.
func printCapacity(out io.Writer, report *experiment.CapacityReport, markdown bool) error {
	header := []string{"WHO", "WHAT", "UNIT"}
	for _, sample := range report.Samples {
		header = append(header, fmt.Sprintf("%d NODES", sample.Nodes))
	}
	header = append(header, "A ZONE MORE", fmt.Sprintf("AT %d NODES", report.Whole.Nodes), "BUDGET", "MARK")
	rows := make([][]string, 0, len(report.Rows))
	for _, row := range report.Rows {
		rows = append(rows, capacityCells(row))
	}
	if markdown {
		return printMarkdown(out, header, rows)
	}
	return writeSection(out, fmt.Sprintf("%s: %d nodes, %d zones, %d regions, %d workers, %d models, %d adapters",
		report.Scenario, report.Whole.Nodes, report.Whole.Zones, report.Whole.Regions, report.Whole.Workers,
		report.Whole.Models, report.Whole.Adapters), header, rows)
}

// capacityCells returns the cells of a table row.
func capacityCells(row *experiment.CapacityRow) []string {
	cells := []string{row.Who, row.What, row.Unit}
	for _, value := range row.Values {
		cells = append(cells, formatNumber(value))
	}
	budget, mark := "-", "-"
	if row.Budget > 0 {
		budget, mark = formatNumber(row.Budget), "within"
	}
	if row.Over() {
		mark = "OVER"
	}
	return append(cells, formatNumber(row.Slope), formatNumber(row.Whole), budget, mark)
}

// printMarkdown prints a table in Markdown.
func printMarkdown(out io.Writer, header []string, rows [][]string) error {
	lines := append([][]string{header, slices.Repeat([]string{"---"}, len(header))}, rows...)
	for _, cells := range lines {
		if _, err := fmt.Fprintf(out, "| %s |\n", strings.Join(cells, " | ")); err != nil {
			return err
		}
	}
	return nil
}

// formatNumber formats a value with three significant digits and without an exponent.
func formatNumber(value float64) string {
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(value, 'e', 2, 64), 64)
	if err != nil {
		rounded = value
	}
	return strconv.FormatFloat(rounded, 'f', -1, 64)
}
