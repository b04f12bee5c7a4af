package main

import (
	"context"
	"flag"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/valveslip/valveslip/cmd/valveslip/hangup"
	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/node/shell"
)

// nodeCommand returns the command that runs one node until a signal stops it.
func nodeCommand() *ffcli.Command {
	flags := flag.NewFlagSet("valveslip node", flag.ContinueOnError)
	loadConfig := configFlags(flags)
	onPlatform := flags.Bool("platform", false, "run on the users' platform, with the settings file that its environment names")
	poisonConfig := poisonFlags(flags)
	return &ffcli.Command{
		Name:       hangup.Command,
		ShortUsage: "valveslip node --config FILE [flags] | valveslip node --platform",
		ShortHelp:  "run a node; SIGTERM drains it",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(node.EnvironmentPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			if *onPlatform {
				return runPlatformNode(ctx, poisonConfig())
			}
			config, err := loadConfig()
			if err != nil {
				return &exitError{code: exitInvalid, err: err}
			}
			return runNode(ctx, config)
		},
	}
}

// runNode runs a node until SIGTERM or SIGINT and then drains it. SIGHUP terminates the
// process, as is the default.
func runNode(ctx context.Context, config node.Config) error {
	hangup.Release()
	var level slog.Level
	if err := level.UnmarshalText([]byte(config.LogLevel)); err != nil {
		return &exitError{code: exitInvalid, err: err}
	}
	logger := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	running, err := shell.Start(ctx, config, shell.Options{Logger: logger})
	if err != nil {
		return err
	}
	<-running.Done()
	return running.Stop()
}
