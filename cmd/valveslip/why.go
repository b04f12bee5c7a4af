package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/valveslip/valveslip/cluster"
)

// whyCommand returns the command that prints the reasons for placement and routing
// decisions.
func whyCommand(out io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:        "why",
		ShortUsage:  "valveslip why <model|request> [flags] NAME",
		ShortHelp:   "print why a model is loaded or not, or where a request went",
		Subcommands: []*ffcli.Command{whyModelCommand(out), whyRequestCommand(out)},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// whyModelCommand returns the command that prints why a model is or is not loaded.
func whyModelCommand(out io.Writer) *ffcli.Command {
	flags, o := operatorFlags("why model", out)
	return operatorCommand("[flags] MODEL", "print why a model is or is not loaded", flags, 1, 1, func(ctx context.Context, arguments []string) error {
		client, err := o.newClient(adminTimeout)
		if err != nil {
			return err
		}
		reasons, err := client.WhyModel(ctx, cluster.ModelID(arguments[0]))
		if err != nil {
			return err
		}
		return o.printValue(reasons, func(out io.Writer) error {
			if _, err := fmt.Fprintf(out, "%s (%s)\n%s\n\n", reasons.Model, reasons.Path, reasons.Text); err != nil {
				return err
			}
			return writeSection(out, "replicas", replicaHeader, replicaRows(reasons.Replicas))
		})
	})
}

// whyRequestCommand returns the command that prints where a request was dispatched and why.
func whyRequestCommand(out io.Writer) *ffcli.Command {
	flags, o := operatorFlags("why request", out)
	return operatorCommand("[flags] ID", "print where a request went and why", flags, 1, 1, func(ctx context.Context, arguments []string) error {
		client, err := o.newClient(adminTimeout)
		if err != nil {
			return err
		}
		reasons, err := client.WhyRequest(ctx, cluster.RequestID(arguments[0]))
		if err != nil {
			return err
		}
		return o.printValue(reasons, func(out io.Writer) error {
			_, err := fmt.Fprintf(out, "request %s for %s, accepted by %s at %s\n%s\n",
				reasons.ID, reasons.Model, reasons.Node, timeText(reasons.Arrived), reasons.Text)
			return err
		})
	})
}
