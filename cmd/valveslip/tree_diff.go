package main

import (
	"context"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// treeDiffCommand returns the command that prints the changes between two revisions.
func treeDiffCommand(out io.Writer) *ffcli.Command {
	flags, o := operatorFlags("tree diff", out)
	from := flags.Int64("from", 0, "earlier revision")
	to := flags.Int64("to", 0, "later revision; the newest when 0")
	return operatorCommand("--from REVISION [--to REVISION]", "print what changed between two revisions", flags, 0, 0, func(ctx context.Context, _ []string) error {
		client, err := o.newClient(adminTimeout)
		if err != nil {
			return err
		}
		difference, err := client.Difference(ctx, *from, *to)
		if err != nil {
			return err
		}
		return o.printValue(difference, func(out io.Writer) error { return writeChanges(out, difference.Changes) })
	})
}
