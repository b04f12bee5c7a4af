// Command valveslip is the whole program: the node and the tools around it.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

// run parses arguments, executes one subcommand and returns the exit code.
func run(arguments []string) int {
	root := rootCommand()
	err := root.ParseAndRun(context.Background(), arguments)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	default:
		fmt.Fprintln(os.Stderr, "valveslip:", err)
		return exitCode(err)
	}
}

// rootCommand assembles the subcommands; each stands in a file of its own.
func rootCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "valveslip",
		ShortUsage: "valveslip <subcommand> [flags]",
		ShortHelp:  "serve language models that see little use",
		Subcommands: []*ffcli.Command{
			checkCommand(),
			demoCommand(),
			eventsCommand(os.Stdout),
			experimentCommand(),
			loadCommand(),
			nodeCommand(),
			standinCommand(),
			statusCommand(os.Stdout),
			treeCommand(os.Stdout),
			whyCommand(os.Stdout),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}
