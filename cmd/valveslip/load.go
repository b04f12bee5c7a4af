package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/valveslip/valveslip/experiment/load"
)

// loadCommand returns the command that sends an open-loop load to the callers' API.
func loadCommand() *ffcli.Command {
	flags := flag.NewFlagSet("load", flag.ContinueOnError)
	var config load.Config
	flags.Func("target", "base URL of the callers' API; may be repeated", appendValues(&config.Targets))
	flags.Func("models", "names of models, separated by commas", appendValues(&config.Models))
	flags.Func("warm", "names of models that are loaded already", appendValues(&config.WarmModels))
	flags.Float64Var(&config.Rate, "rate", 10, "requests a second")
	flags.DurationVar(&config.Duration, "duration", 10*time.Second, "time over which requests start")
	flags.StringVar(&config.Token, "token", "", "token of the callers' API")
	flags.Float64Var(&config.StreamShare, "stream-share", 0.5, "share of streamed requests")
	flags.Float64Var(&config.CancelShare, "cancel-share", 0, "share of requests whose caller leaves early")
	flags.Float64Var(&config.NotRepeatableShare, "not-repeatable-share", 0, "share of requests that may run only once")
	flags.Float64Var(&config.RepeatShare, "repeat-share", 0, "share of requests sent twice with one Idempotency-Key")
	flags.IntVar(&config.MaxTokens, "max-tokens", 16, "tokens of each answer")
	flags.IntVar(&config.PromptBytes, "prompt-bytes", 128, "bytes of each prompt")
	flags.DurationVar(&config.Deadline, "deadline", 0, "deadline stated in each request, 0 for none")
	flags.Uint64Var(&config.Seed, "seed", 1, "seed of arrivals and draws")
	var engines []string
	flags.Func("engine", "base URL of an engine stand-in to ask how often requests ran; may be repeated", appendValues(&engines))
	asJSON := flags.Bool("json", false, "print the report as JSON")
	return &ffcli.Command{
		Name: "load", ShortUsage: "valveslip load --target URL --models a,b [flags]",
		ShortHelp: "send load to the callers' API and check every answer",
		LongHelp:  "Answers are checked against the text that the engine stand-in gives.",
		FlagSet:   flags, Options: []ff.Option{ff.WithEnvVarPrefix("VALVESLIP_LOAD")},
		Exec: func(ctx context.Context, _ []string) error {
			if len(engines) > 0 {
				config.Runs = load.RunsOfEngines(engines)
			}
			return runLoad(ctx, config, *asJSON)
		},
	}
}

// appendValues returns a flag function that appends comma-separated values to a list,
// without spaces around them or a trailing slash.
func appendValues(list *[]string) func(string) error {
	return func(value string) error {
		for _, part := range strings.Split(value, ",") {
			if part = strings.TrimSpace(part); part != "" {
				*list = append(*list, strings.TrimSuffix(part, "/"))
			}
		}
		return nil
	}
}

// runLoad runs the load and prints the report. It returns an error if a promise was
// broken.
func runLoad(ctx context.Context, config load.Config, asJSON bool) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	if isTerminal(os.Stderr) {
		config.Progress = os.Stderr
	}
	report, err := load.Run(ctx, config)
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	if asJSON {
		err = json.NewEncoder(os.Stdout).Encode(report)
	} else {
		err = report.WriteTable(os.Stdout)
	}
	if err != nil {
		return err
	}
	for _, example := range report.Examples {
		fmt.Fprintln(os.Stderr, example)
	}
	if broken := report.Violations(); len(broken) > 0 {
		return &exitError{code: exitViolation, err: errors.New(strings.Join(broken, "; "))}
	}
	return nil
}

// isTerminal reports whether a file is a terminal.
func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
