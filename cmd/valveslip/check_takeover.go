package main

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/valveslip/valveslip/authority/explore"
)

// defaultTakeoverStates is the default maximum number of states of an exploration.
const defaultTakeoverStates = 300_000

// checkTakeoverCommand returns the command that explores the takeover of cells and
// the division of replica counts exhaustively for small configurations.
func checkTakeoverCommand(out io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("valveslip check takeover", flag.ContinueOnError)
	states := flags.Int("states", defaultTakeoverStates, "bound of the states of each scenario; 0 for none")
	custom := explore.Scenario{Name: "own", Memory: 1}
	flags.IntVar(&custom.Controllers, "controllers", 0, "explore one scenario with so many controllers instead of the usual ones")
	flags.IntVar(&custom.Machines, "machines", 2, "machines of the own scenario, at most 10")
	flags.IntVar(&custom.Joining, "joining", 0, "machines that may join")
	flags.IntVar(&custom.Depth, "depth", 1000, "bound of the steps")
	flags.IntVar(&custom.Lapses, "lapses", 1, "lapses of all leases in one run")
	flags.IntVar(&custom.Faults, "faults", 1, "lost or delayed calls and answers in one run")
	flags.IntVar(&custom.EngineRestarts, "engine-restarts", 0, "restarts of engines in one run")
	flags.IntVar(&custom.NodeRestarts, "node-restarts", 0, "restarts of controllers in one run")
	flags.IntVar(&custom.Outages, "outages", 0, "outages of the key-value service in one run")
	flags.IntVar(&custom.Leaves, "leaves", 0, "machines that go in one run")
	flags.IntVar(&custom.Unloads, "unloads", 0, "unloads in one run")
	replicas := flags.Int("replicas", 1, "decided replicas of the one model")
	return &ffcli.Command{
		Name:       "takeover",
		ShortUsage: "valveslip check takeover [flags]",
		ShortHelp:  "explore takeovers of cells and divisions of replica counts",
		LongHelp: "Explores every order of messages, losses, lapses and restarts at small size, with the\n" +
			"code that a node runs, and checks replica counts and memory in every state.",
		FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			if custom.Controllers == 0 {
				return exploreScenarios(ctx, out, explore.Scenarios(*states), explore.ApportionScenarios(*states))
			}
			if custom.Controllers < 0 || custom.Machines < 1 || custom.Machines+custom.Joining > 10 {
				return &exitError{code: exitUsage, err: errors.New("between 1 and 10 machines are needed")}
			}
			custom.Limits, custom.States = []int{*replicas}, *states
			return exploreScenarios(ctx, out, []explore.Scenario{custom}, nil)
		},
	}
}

// exploreScenarios explores the scenarios and prints a line for each. It fails if a
// scenario has a violation, and prints the steps that lead to it.
func exploreScenarios(ctx context.Context, out io.Writer, takeovers []explore.Scenario, apportionings []explore.ApportionScenario) error {
	var results []explore.Result
	for _, scenario := range takeovers {
		result, err := explore.Takeover(ctx, scenario, explore.VariantNone)
		if err != nil {
			return err
		}
		results = append(results, result)
	}
	for _, scenario := range apportionings {
		result, err := explore.Apportioning(ctx, scenario, explore.VariantNone)
		if err != nil {
			return err
		}
		results = append(results, result)
	}
	return printExplorations(out, results)
}

// printExplorations prints the results, their total and the steps to each violation.
func printExplorations(out io.Writer, results []explore.Result) error {
	var rows [][]string
	total := explore.Result{Name: "total", Complete: true}
	for _, result := range results {
		rows = append(rows, explorationRow(result))
		total.States += result.States
		total.Transitions += result.Transitions
		total.Depth = max(total.Depth, result.Depth)
		total.Elapsed += result.Elapsed
		total.Complete = total.Complete && result.Complete
		total.Violation = cmp.Or(total.Violation, result.Violation)
	}
	rows = append(rows, explorationRow(total))
	if err := writeTable(out, []string{"scenario", "states", "transitions", "depth", "complete", "safe", "time"}, rows); err != nil {
		return err
	}
	for _, result := range results {
		if result.Violation == "" {
			continue
		}
		fmt.Fprintf(out, "\n%s: %s\n", result.Name, result.Violation)
		for i, step := range result.Trace {
			fmt.Fprintf(out, "%3d  %s\n", i+1, step)
		}
	}
	if total.Violation != "" {
		return &exitError{code: exitViolation, err: errors.New("a promise can be broken")}
	}
	return nil
}

// explorationRow returns the table row of one exploration.
func explorationRow(result explore.Result) []string {
	return []string{
		result.Name, strconv.Itoa(result.States), strconv.Itoa(result.Transitions), strconv.Itoa(result.Depth),
		yesNo(result.Complete), yesNo(result.Violation == ""), result.Elapsed.Round(time.Millisecond).String(),
	}
}
