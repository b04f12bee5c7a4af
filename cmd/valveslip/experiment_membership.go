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

// deploymentSize is the number of nodes, regions and zones of a deployment.
type deploymentSize struct{ nodes, regions, zones int }

// membershipSizes are the deployment sizes to measure, in this order.
var membershipSizes = []deploymentSize{{20, 1, 3}, {80, 2, 6}, {340, 5, 18}}

// experimentMembershipCommand returns the command that measures the failure detection
// between nodes.
func experimentMembershipCommand(out io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("membership", flag.ContinueOnError)
	options := hollow.MembershipOptions{PauseMax: 20 * time.Second}
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of all draws")
	flags.Float64Var(&options.Loss, "loss", 0.01, "share of messages lost")
	flags.DurationVar(&options.Duration, "duration", 10*time.Minute, "virtual time of each measurement")
	flags.DurationVar(&options.CrashInterval, "crash-interval", 10*time.Second, "mean time between crashes, 0 for none")
	flags.DurationVar(&options.DownTime, "down-time", 45*time.Second, "time until a crashed node is replaced")
	flags.DurationVar(&options.PauseInterval, "pause-interval", 5*time.Second, "mean time between pauses, 0 for none")
	flags.DurationVar(&options.PauseMean, "pause-mean", 3*time.Second, "mean length of a pause")
	maxNodes := flags.Int("max-nodes", 340, "leave out larger deployments")
	asJSON := flags.Bool("json", false, "print the reports as JSON")
	return &ffcli.Command{
		Name: "membership", ShortUsage: "valveslip experiment membership [flags]",
		ShortHelp: "measure failure detection, false suspicion and cost at 20, 80 and 340 nodes",
		FlagSet:   flags,
		Exec: func(context.Context, []string) error {
			var reports []hollow.MembershipReport
			for _, size := range membershipSizes {
				if size.nodes <= *maxNodes {
					options.Nodes, options.Regions, options.Zones = size.nodes, size.regions, size.zones
					reports = append(reports, hollow.MeasureMembership(options))
				}
			}
			return printMembership(out, reports, *asJSON)
		},
	}
}

// printMembership prints the reports with one column for each deployment size.
func printMembership(out io.Writer, reports []hollow.MembershipReport, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(reports)
	}
	header := []string{"MEASURE"}
	for i := range reports {
		header = append(header, fmt.Sprintf("%d NODES", reports[i].Nodes))
	}
	row := func(name string, value func(*hollow.MembershipReport) string) []string {
		cells := []string{name}
		for i := range reports {
			cells = append(cells, value(&reports[i]))
		}
		return cells
	}
	type report = hollow.MembershipReport
	rows := [][]string{
		row("crashes", func(r *report) string { return fmt.Sprint(r.Crashes) }),
		row("detection in the zone, p50 p99 max", func(r *report) string { return formatQuantiles(r.InZone) }),
		row("detection anywhere, p50 p99 max", func(r *report) string { return formatQuantiles(r.Anywhere) }),
		row("crashes a node did not notice", func(r *report) string { return fmt.Sprint(r.Missed) }),
		row("pauses under 6 s, and given up for it", func(r *report) string {
			return fmt.Sprintf("%d, %d", r.ShortPauses, r.ShortPausesGivenUp)
		}),
		row("longer pauses, and given up for it", func(r *report) string {
			return fmt.Sprintf("%d, %d", r.LongPauses, r.LongPausesGivenUp)
		}),
		row("known again after a pause, p50 p99 max", func(r *report) string { return formatQuantiles(r.Returned) }),
		row("given up without crash or pause", func(r *report) string { return fmt.Sprint(r.FalseDeaths) }),
		row("wrong views after a minute of rest", func(r *report) string { return fmt.Sprint(r.StillWrong) }),
	}
	usage := make([]hollow.Usage, len(reports))
	for i := range reports {
		usage[i] = reports[i].Usage
	}
	return writeTable(out, header, append(rows, usageRows(usage)...))
}

// usageRows returns the table rows of a node's resource usage, with one column for
// each report.
func usageRows(usage []hollow.Usage) [][]string {
	row := func(name string, value func(hollow.Usage) string) []string {
		cells := []string{name}
		for _, u := range usage {
			cells = append(cells, value(u))
		}
		return cells
	}
	return [][]string{
		row("sent a node, B/s, mean and max", func(u hollow.Usage) string {
			return fmt.Sprintf("%.0f, %.0f", u.SentMean, u.SentMax)
		}),
		row("received a node, B/s, mean and max", func(u hollow.Usage) string {
			return fmt.Sprintf("%.0f, %.0f", u.ReceivedMean, u.ReceivedMax)
		}),
		row("messages sent a node a second", func(u hollow.Usage) string { return fmt.Sprintf("%.2f", u.Messages) }),
		row("bytes of a heartbeat", func(u hollow.Usage) string { return fmt.Sprintf("%.0f", u.HeartbeatBytes) }),
		row("configuration sent a node, B/s", func(u hollow.Usage) string { return fmt.Sprintf("%.0f", u.ConfigurationSent) }),
		row("processor, share of a core", func(u hollow.Usage) string { return fmt.Sprintf("%.3f%%", 100*u.Processor) }),
	}
}

// formatQuantiles formats the median, the 99th percentile and the maximum.
func formatQuantiles(durations hollow.Durations) string {
	if len(durations) == 0 {
		return "-"
	}
	return fmt.Sprintf("%s %s %s", formatSeconds(durations.Quantile(0.5)), formatSeconds(durations.Quantile(0.99)), formatSeconds(durations.Max()))
}

// formatSeconds formats a duration in seconds with two decimals.
func formatSeconds(d time.Duration) string { return fmt.Sprintf("%.2fs", d.Seconds()) }
