package main

import (
	"context"
	"flag"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/schollz/progressbar/v3"
)

// experimentCommand returns the command that groups the simulator's subcommands.
func experimentCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "experiment",
		ShortUsage: "valveslip experiment <subcommand> [flags]",
		ShortHelp:  "run the product's cores on a virtual clock and measure them",
		Subcommands: []*ffcli.Command{
			experimentCapacityCommand(), experimentFaultsCommand(), experimentListCommand(), experimentRunCommand(),
			experimentMembershipCommand(os.Stdout),
			experimentRecoveryCommand(os.Stdout),
			experimentSpreadCommand(os.Stdout),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// newProgress returns a function that advances a progress bar on standard error by
// one step. If standard error is not a terminal, the function does nothing.
func newProgress(total int, description string) func() {
	if info, err := os.Stderr.Stat(); err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return func() {}
	}
	bar := progressbar.NewOptions(total, progressbar.OptionSetWriter(os.Stderr),
		progressbar.OptionSetDescription(description), progressbar.OptionShowCount(), progressbar.OptionClearOnFinish())
	return func() { _ = bar.Add(1) }
}
