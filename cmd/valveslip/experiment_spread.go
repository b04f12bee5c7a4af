package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/valveslip/valveslip/experiment/hollow"
)

// experimentSpreadCommand returns the command that compares schemes to distribute
// configuration to all nodes.
func experimentSpreadCommand(out io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("spread", flag.ContinueOnError)
	options := hollow.SpreadOptions{
		BurstTime: 4 * time.Second, RestartInterval: 10 * time.Second,
		PauseInterval: 15 * time.Second, PauseMean: 3 * time.Second,
		OutageTime: time.Minute, PartitionTime: time.Minute,
	}
	flags.IntVar(&options.Nodes, "nodes", 340, "number of nodes")
	flags.IntVar(&options.Regions, "regions", 5, "number of regions")
	flags.IntVar(&options.Zones, "zones", 18, "number of zones")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of all draws")
	flags.Float64Var(&options.Loss, "loss", 0.01, "share of messages lost")
	flags.DurationVar(&options.Duration, "duration", 10*time.Minute, "virtual time of each measurement")
	flags.DurationVar(&options.EditInterval, "edit-interval", 15*time.Second, "mean time between single edits")
	flags.DurationVar(&options.BurstInterval, "burst-interval", 2*time.Minute, "time between bursts of edits")
	flags.IntVar(&options.BurstEdits, "burst-edits", 20, "edits of a burst, within 4 s")
	flags.IntVar(&options.Models, "models", 62, "base models in the tree")
	flags.IntVar(&options.Adapters, "adapters", 1600, "adapters in the tree")
	flags.Float64Var(&options.EventsPerSecond, "service-events", 200, "watch events a second the key-value service sends")
	flags.BoolVar(&options.Faults, "faults", false, "restarts, pauses, an outage of the service and a cut-off region")
	only := flags.String("scheme", "", "measure this scheme only")
	asJSON := flags.Bool("json", false, "print the reports as JSON")
	return &ffcli.Command{
		Name: "spread", ShortUsage: "valveslip experiment spread [flags]",
		ShortHelp: "measure how fast and at what cost configuration comes in force",
		FlagSet:   flags,
		Exec: func(context.Context, []string) error {
			var reports []hollow.SpreadReport
			for _, scheme := range hollow.Schemes() {
				if *only != "" && *only != string(scheme) {
					continue
				}
				options.Scheme = scheme
				report, err := hollow.MeasureSpread(options)
				if err != nil {
					return err
				}
				reports = append(reports, report)
			}
			return printSpread(out, reports, *asJSON)
		},
	}
}

// printSpread prints the reports with one column for each scheme.
func printSpread(out io.Writer, reports []hollow.SpreadReport, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(reports)
	}
	header := []string{"MEASURE"}
	usage := make([]hollow.Usage, len(reports))
	for i := range reports {
		header = append(header, string(reports[i].Scheme))
		usage[i] = reports[i].Usage
	}
	row := func(name string, value func(*hollow.SpreadReport) string) []string {
		cells := []string{name}
		for i := range reports {
			cells = append(cells, value(&reports[i]))
		}
		return cells
	}
	type report = hollow.SpreadReport
	rows := [][]string{
		row("edits", func(r *report) string { return fmt.Sprint(r.Edits) }),
		row("bytes of an edit and of the tree", func(r *report) string { return fmt.Sprintf("%d, %d", r.EditBytes, r.TreeBytes) }),
		row("in force, p50 p99 max", func(r *report) string { return formatQuantiles(r.InForce) }),
		row("cut-off region after the cut, p50 p99 max", func(r *report) string { return formatQuantiles(r.CutOff) }),
		row("new process, p50 p99 max", func(r *report) string { return formatQuantiles(r.Started) }),
		row("new process in the outage, p50 p99 max", func(r *report) string { return formatQuantiles(r.StartedInOutage) }),
		row("nodes behind at the end", func(r *report) string { return fmt.Sprint(r.Behind) }),
		row("steps back", func(r *report) string { return fmt.Sprint(r.StepsBack) }),
		row("events of the key-value service", func(r *report) string { return fmt.Sprint(r.ServiceEvents) }),
		row("compilations a node an hour", func(r *report) string { return fmt.Sprintf("%.0f", r.Compiles*3600) }),
		row("decoded trees a node an hour", func(r *report) string { return fmt.Sprintf("%.0f", r.Decodes*3600) }),
	}
	return writeTable(out, header, append(rows, usageRows(usage)...))
}
