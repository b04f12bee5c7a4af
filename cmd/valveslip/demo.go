package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/demo"
)

// demoCommand returns the command that runs a complete deployment in this process.
func demoCommand() *ffcli.Command {
	flags := flag.NewFlagSet("demo", flag.ContinueOnError)
	once := flags.Bool("once", false, "send a bounded mixed load, print a table and exit; non-zero when a promise broke")
	rolling := flags.Bool("rolling-restart", false, "restart every node under load, print a table and exit; non-zero when a promise broke")
	addressesFile := flags.String("addresses-file", "", "write the addresses as JSON to this file when ready")
	onPlatform := flags.Bool("platform", false, "run nodes on the users' platform's dialect, against stand-ins of it")
	verbose := flags.Bool("verbose", false, "log every event to standard error")
	return &ffcli.Command{
		Name: "demo", ShortUsage: "valveslip demo [flags]",
		ShortHelp: "run a whole deployment over loopback: platform stand-ins, engines and nodes in three zones",
		FlagSet:   flags, Options: []ff.Option{ff.WithEnvVarPrefix("VALVESLIP_DEMO")},
		Exec: func(ctx context.Context, _ []string) error {
			if *onPlatform {
				return runPlatformDemo(ctx, os.Stdout, *once, *verbose)
			}
			return runDemo(ctx, *once, *rolling, *addressesFile, *verbose)
		},
	}
}

// runDemo starts the demo and runs it until it is interrupted, or runs a bounded load
// or a rolling restart and stops it.
func runDemo(ctx context.Context, once, rolling bool, addressesFile string, verbose bool) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	logger := slog.New(slog.DiscardHandler)
	if verbose {
		logger = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	running, err := demo.Start(ctx, logger)
	if err != nil {
		return err
	}
	if err := publishAddresses(running, addressesFile); err != nil {
		_ = running.Stop()
		return err
	}
	if once {
		return runDemoOnce(ctx, running)
	}
	if rolling {
		return runRollingRestart(ctx, running, logger)
	}
	<-ctx.Done()
	return running.Stop()
}

// runDemoOnce sends a bounded load, stops the demo and prints the results. It returns
// an error if a promise was broken, by the load or by the stop.
func runDemoOnce(ctx context.Context, running *demo.Demo) error {
	var progress io.Writer
	if isTerminal(os.Stderr) {
		progress = os.Stderr
	}
	outcome, err := running.RunOnce(ctx, progress)
	if stopErr := running.Stop(); stopErr != nil {
		outcome.Broken = append(outcome.Broken, "a planned stop cut requests off: "+stopErr.Error())
	}
	if err != nil {
		return err
	}
	if err := printOutcome(os.Stdout, outcome); err != nil {
		return err
	}
	if len(outcome.Broken) > 0 {
		return &exitError{code: exitViolation, err: fmt.Errorf("broken: %s", strings.Join(outcome.Broken, "; "))}
	}
	return nil
}

// runRollingRestart restarts every node under load, stops the demo and prints the
// results. It returns an error if a promise was broken.
func runRollingRestart(ctx context.Context, running *demo.Demo, logger *slog.Logger) error {
	var progress io.Writer
	if isTerminal(os.Stderr) {
		progress = os.Stderr
	}
	outcome, err := running.RollingRestart(ctx, logger, progress)
	if stopErr := running.Stop(); stopErr != nil {
		outcome.Broken = append(outcome.Broken, "a planned stop cut requests off: "+stopErr.Error())
	}
	if err != nil {
		return err
	}
	if err := outcome.Load.WriteTable(os.Stdout); err != nil {
		return err
	}
	fmt.Printf("drains %v, starts %v\n", outcome.Drains, outcome.Starts)
	fmt.Printf("revisions stored meanwhile %d, configurations stepped back %d\n", outcome.Revisions, outcome.SteppedBack)
	fmt.Printf("promises broken: %d\n", len(outcome.Broken))
	if len(outcome.Broken) > 0 {
		return &exitError{code: exitViolation, err: fmt.Errorf("broken: %s", strings.Join(outcome.Broken, "; "))}
	}
	return nil
}

// printOutcome prints the table of the load and the counters of the engines.
func printOutcome(out io.Writer, outcome demo.Outcome) error {
	if err := outcome.Load.WriteTable(out); err != nil {
		return err
	}
	fmt.Fprintf(out, "loads %d, most replicas of one model %d, overcommitted loads %d\n",
		outcome.Loads, outcome.MostReplicas, outcome.Overcommitted)
	fmt.Fprintf(out, "accelerator-seconds idle %.1f, busy %.1f\n", outcome.IdleSeconds, outcome.BusySeconds)
	fmt.Fprintf(out, "promises broken: %d\n", len(outcome.Broken))
	return nil
}

// publishAddresses writes the addresses file, unless its name is empty, and prints
// example calls.
func publishAddresses(running *demo.Demo, addressesFile string) error {
	addresses := running.Addresses()
	if addressesFile != "" {
		if err := writeAddresses(addressesFile, addresses); err != nil {
			return err
		}
	}
	printExampleCalls(os.Stdout, addresses)
	return nil
}

// writeAddresses writes the file atomically, so that a process that waits for the
// file never reads a partial one.
func writeAddresses(file string, addresses demo.Addresses) error {
	data, err := json.MarshalIndent(addresses, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode addresses")
	}
	temporary, err := os.CreateTemp(filepath.Dir(file), ".addresses-*")
	if err != nil {
		return eris.Wrap(err, "write addresses")
	}
	_, err = temporary.Write(append(data, '\n'))
	if closeErr := temporary.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(temporary.Name(), file)
	}
	return eris.Wrap(err, "write addresses")
}

// printExampleCalls prints how to call the demo with curl.
func printExampleCalls(out io.Writer, addresses demo.Addresses) {
	fmt.Fprintf(out, "A deployment of %d nodes serves %d models. Call it:\n\n", len(addresses.Callers), len(addresses.Models))
	fmt.Fprintf(out, "  curl -s %s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n", addresses.Callers[0], addresses.CallerToken)
	fmt.Fprintf(out, "    -d '{\"model\":%q,\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}],\"max_tokens\":16}'\n\n", addresses.Models[0])
	fmt.Fprintf(out, "Administration: %s/admin/v1/ with 'Authorization: Bearer %s'\n", addresses.Admin[0], addresses.AdminToken)
	fmt.Fprintf(out, "Stop it with an interrupt; requests in flight end whole.\n")
}
