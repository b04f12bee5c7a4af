package main

import (
	"context"
	"fmt"
	"io"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/valveslip/valveslip/api/admin"
	"github.com/valveslip/valveslip/settings"
)

// treeRevertCommand returns the command that reverts an accepted edit by a new edit. The
// new edit is based on the reverted revision, so it conflicts with later edits of the
// same keys.
func treeRevertCommand(out io.Writer) *ffcli.Command {
	flags, o := operatorFlags("tree revert", out)
	edit := addEditFlags(flags)
	return operatorCommand("[flags] REVISION", "undo one accepted edit by a new one", flags, 1, 1, func(ctx context.Context, arguments []string) error {
		revision, err := strconv.ParseInt(arguments[0], 10, 64)
		if err != nil || revision < 1 {
			return usageError("%q is not a revision", arguments[0])
		}
		client, err := o.newClient(adminTimeout)
		if err != nil {
			return err
		}
		entry, err := findRevision(ctx, client, revision)
		if err != nil {
			return err
		}
		if edit.message == "" {
			edit.message = fmt.Sprintf("revert revision %d, edit %s", revision, entry.Edit.ID)
		}
		return o.commit(ctx, client, edit, admin.Stamp{Revision: revision}, entry.Undo)
	})
}

// findRevision returns the history entry of a revision.
func findRevision(ctx context.Context, client *admin.Client, revision int64) (settings.Entry, error) {
	page, err := client.History(ctx, revision+1, 1)
	if err != nil {
		return settings.Entry{}, err
	}
	if len(page.Entries) == 0 || page.Entries[0].Revision != revision {
		return settings.Entry{}, &exitError{code: exitNotFound, err: fmt.Errorf("revision %d is not in the kept history", revision)}
	}
	return page.Entries[0], nil
}
