package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/valveslip/valveslip/api/admin"
	"github.com/valveslip/valveslip/settings"
)

// defaultLogLength is the default number of edits that tree log prints.
const defaultLogLength = 20

// treeLogCommand returns the command that prints accepted edits, newest first, or the one
// with a given id.
func treeLogCommand(out io.Writer) *ffcli.Command {
	flags, o := operatorFlags("tree log", out)
	before := flags.Int64("before", 0, "print only edits before this revision")
	limit := flags.Int("limit", defaultLogLength, "edits to print")
	id := flags.String("id", "", "print only the edit with this id")
	changes := flags.Bool("changes", false, "print what each edit changed")
	return operatorCommand("[flags]", "print accepted edits, newest first", flags, 0, 0, func(ctx context.Context, _ []string) error {
		client, err := o.newClient(adminTimeout)
		if err != nil {
			return err
		}
		var page admin.HistoryPage
		if *id != "" {
			entry, err := client.FindEdit(ctx, *id)
			if err != nil {
				return err
			}
			page.Entries = []settings.Entry{entry}
		} else if page, err = client.History(ctx, *before, *limit); err != nil {
			return err
		}
		return o.printValue(page, func(out io.Writer) error { return writeLog(out, page.Entries, *changes) })
	})
}

// writeLog prints edits as a table, or with their changes below each edit.
func writeLog(out io.Writer, entries []settings.Entry, changes bool) error {
	var rows [][]string
	for _, entry := range entries {
		rows = append(rows, []string{fmt.Sprint(entry.Revision), timeText(entry.Edit.At), entry.Edit.Author, entry.Edit.ID, summary(&entry.Edit)})
	}
	if !changes {
		return writeTable(out, []string{"revision", "at", "author", "edit", "message"}, rows)
	}
	for i, row := range rows {
		if _, err := fmt.Fprintf(out, "%s\n", strings.Join(row, "  ")); err != nil {
			return err
		}
		for _, line := range changeLines(entries[i].Edit.Changes) {
			if _, err := fmt.Fprintf(out, "    %s\n", line); err != nil {
				return err
			}
		}
	}
	return nil
}

// summary returns the message of an edit. Without a message it returns the first change
// and the number of further ones.
func summary(edit *settings.Edit) string {
	lines := changeLines(edit.Changes)
	switch {
	case edit.Message != "":
		return edit.Message
	case len(lines) > 1:
		return fmt.Sprintf("%s, and %d more", lines[0], len(lines)-1)
	default:
		return strings.Join(lines, "")
	}
}
