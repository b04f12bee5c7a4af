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
	err := checkSubcommandExists(root, arguments)
	if err == nil {
		err = root.Parse(moveFlagsFirst(root, arguments))
	}
	switch {
	case errors.Is(err, flag.ErrHelp):
		// Help was requested by a flag. An incomplete command, which also prints help, is a
		// usage error and handled below.
		return exitOK
	case err != nil:
		fmt.Fprintln(os.Stderr, "valveslip:", err)
		return exitUsage
	}
	err = root.Run(context.Background())
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

// returnErrors makes a command and all commands below it return errors of the command line.
// The default flag set of a command without flags would terminate the program instead.
func returnErrors(command *ffcli.Command) {
	if command.FlagSet == nil {
		command.FlagSet = flag.NewFlagSet(command.Name, flag.ContinueOnError)
	}
	for _, child := range command.Subcommands {
		returnErrors(child)
	}
}

// rootCommand returns the root command with all subcommands. Each subcommand is in a file
// of its own.
func rootCommand() *ffcli.Command {
	flags := flag.NewFlagSet("valveslip", flag.ContinueOnError)
	version := flags.Bool("version", false, "print the version")
	root := &ffcli.Command{
		Name:       "valveslip",
		ShortUsage: "valveslip <subcommand> [flags]",
		ShortHelp:  "serve language models that see little use",
		FlagSet:    flags,
		Subcommands: []*ffcli.Command{
			checkCommand(),
			completionCommand(os.Stdout, rootCommand),
			demoCommand(),
			eventsCommand(os.Stdout),
			experimentCommand(),
			explainCommand(os.Stdout),
			loadCommand(),
			nodeCommand(),
			poisonCommand(os.Stdout),
			soakCommand(os.Stdout),
			standinCommand(),
			statusCommand(os.Stdout),
			tenantsCommand(os.Stdout),
			treeCommand(os.Stdout),
			whyCommand(os.Stdout),
		},
		Exec: func(context.Context, []string) error {
			if *version {
				fmt.Println(versionText())
				return nil
			}
			return flag.ErrHelp
		},
	}
	returnErrors(root)
	return root
}
