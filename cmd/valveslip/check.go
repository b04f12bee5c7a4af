package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/platform"
)

// checkCommand returns the check command, which validates configuration files. Its
// subcommand explores the control protocols.
func checkCommand() *ffcli.Command {
	flags := flag.NewFlagSet("valveslip check", flag.ContinueOnError)
	loadConfig := configFlags(flags)
	platformSettings := flags.String("platform-settings", "", "check the settings file of a node on the users' platform instead")
	deploy := flags.String("deploy", "", "check a deploy file of the users' platform instead")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "valveslip check --config FILE [flags] | valveslip check [--platform-settings FILE] [--deploy FILE] | valveslip check takeover [flags]",
		ShortHelp:  "check a node's configuration or a deploy file, or explore the control protocols",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(node.EnvironmentPrefix)},
		Subcommands: []*ffcli.Command{
			checkTakeoverCommand(os.Stdout),
		},
		Exec: func(context.Context, []string) error {
			if *platformSettings != "" || *deploy != "" {
				return checkPlatformFiles(os.Stdout, *platformSettings, *deploy)
			}
			config, err := loadConfig()
			if err != nil {
				return &exitError{code: exitInvalid, err: err}
			}
			fmt.Printf("zone=%s caller_address=%s admin_address=%s peer_address=%s seeds=%d: valid\n",
				config.Zone, config.CallerAddress, config.AdminAddress, config.PeerAddress, len(config.Seeds))
			return nil
		},
	}
}

// configFlags adds --config and a flag for every node setting. It returns a function
// that loads the configuration, to be called after the flags have been parsed.
func configFlags(flags *flag.FlagSet) func() (node.Config, error) {
	file := flags.String("config", "", "YAML file of the node's settings")
	values := make(map[string]*string)
	keys := node.ConfigKeys()
	for _, key := range keys {
		values[key.FlagName()] = flags.String(key.FlagName(), "", key.Usage)
	}
	return func() (node.Config, error) {
		setFlags := make(map[string]bool)
		flags.Visit(func(f *flag.Flag) { setFlags[f.Name] = true })
		var overrides []node.Override
		for _, key := range keys {
			if setFlags[key.FlagName()] {
				overrides = append(overrides, node.Override{Key: key.Name, Value: *values[key.FlagName()], Source: "flag or environment"})
			}
		}
		return node.LoadConfig(*file, overrides)
	}
}

// checkPlatformFiles validates a settings file and a deploy file of the users'
// platform. An empty name skips the file.
func checkPlatformFiles(output io.Writer, settingsFile, deployFile string) error {
	if settingsFile != "" {
		settings, err := platform.ReadSettings(settingsFile)
		if err != nil {
			return &exitError{code: exitInvalid, err: err}
		}
		fmt.Fprintf(output, "node=%s zone=%s callers=%s store=%s: valid\n", settings.NodeName, settings.Zone, settings.Listen.Callers, settings.Store.Address)
	}
	if deployFile != "" {
		deploy, err := platform.ReadDeploy(deployFile)
		if err != nil {
			return &exitError{code: exitInvalid, err: err}
		}
		fmt.Fprintf(output, "%s: %d roles: valid\n", deployFile, len(deploy.Roles))
	}
	return nil
}
