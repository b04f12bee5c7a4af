package main

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/valveslip/valveslip/api/admin"
	"github.com/valveslip/valveslip/settings"
)

// treeCommand returns the command that groups the subcommands for the settings tree.
func treeCommand(out io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "tree",
		ShortUsage: "valveslip tree <get|set|token|apply|diff|log|revert|validate> [flags]",
		ShortHelp:  "read and edit the settings tree",
		Subcommands: []*ffcli.Command{
			treeGetCommand(out), treeSetCommand(out), treeTokenCommand(out), treeApplyCommand(out),
			treeDiffCommand(out), treeLogCommand(out), treeRevertCommand(out), treeValidateCommand(out),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// editFlags holds the values of the flags of commands that edit the tree.
type editFlags struct {
	id, message string
	dryRun      bool
}

// addEditFlags adds the flags of commands that edit the tree.
func addEditFlags(flags *flag.FlagSet) *editFlags {
	edit := &editFlags{}
	flags.StringVar(&edit.id, "id", "", "id of the edit; the same id takes effect once, however often it is given; random when empty")
	flags.StringVar(&edit.message, "message", "", "why, for the history")
	flags.BoolVar(&edit.dryRun, "dry-run", false, "show what the edit would do and stop")
	return edit
}

// beginEdit returns a client and the stamp of the stored tree, on which an edit is based.
func (o *operatorOptions) beginEdit(ctx context.Context) (*admin.Client, admin.Stamp, error) {
	client, err := o.newClient(adminTimeout)
	if err != nil {
		return nil, admin.Stamp{}, err
	}
	_, stamp, err := client.Tree(ctx, "", true)
	return client, stamp, err
}

// commit commits the changes as an edit based on base, or with --dry-run prints the
// effects that it would have.
func (o *operatorOptions) commit(ctx context.Context, client *admin.Client, flags *editFlags, base admin.Stamp, changes []settings.Change) error {
	edit := admin.EditRequest{ID: flags.id, Message: flags.message, Changes: changes}
	if edit.ID == "" {
		edit.ID = rand.Text()
	}
	if flags.dryRun {
		plan, err := client.DryRun(ctx, edit, base)
		if err != nil {
			return err
		}
		return o.printValue(plan, func(out io.Writer) error { return writePlan(out, plan) })
	}
	entry, err := client.Edit(ctx, edit, base)
	if err != nil {
		return err
	}
	return o.printValue(entry, func(out io.Writer) error {
		_, err := fmt.Fprintf(out, "revision %d, edit %s\n", entry.Revision, entry.Edit.ID)
		return err
	})
}

// writePlan prints the effects that an edit would have.
func writePlan(out io.Writer, plan admin.DryRun) error {
	if err := writeChanges(out, plan.Changes); err != nil {
		return err
	}
	var values, steps [][]string
	for _, effect := range plan.Models {
		for _, value := range effect.Values {
			values = append(values, []string{string(effect.Model), value.Key, value.Before.String(), value.After.String(), value.AfterSource})
		}
		for _, step := range effect.Steps {
			steps = append(steps, []string{string(effect.Model), effect.Change, step.Step, formatCount(step.Count), step.Text})
		}
	}
	if err := writeSection(out, "effective values", []string{"model", "key", "before", "after", "from"}, values); err != nil {
		return err
	}
	if err := writeSection(out, "consequences", []string{"model", "model is", "step", "replicas", "because"}, steps); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "models %d -> %d, kept loaded %d -> %d replicas (%s -> %s), at most %d -> %d (%s -> %s)\n",
		plan.Before.Models, plan.After.Models, plan.Before.MinReplicas, plan.After.MinReplicas,
		settings.FormatBytes(plan.Before.MinBytes), settings.FormatBytes(plan.After.MinBytes),
		plan.Before.MaxReplicas, plan.After.MaxReplicas,
		settings.FormatBytes(plan.Before.MaxBytes), settings.FormatBytes(plan.After.MaxBytes))
	return err
}

// formatCount formats a count; zero is "-".
func formatCount(count int) string {
	if count == 0 {
		return "-"
	}
	return fmt.Sprint(count)
}

// writeChanges prints the lines of changeLines.
func writeChanges(out io.Writer, changes []settings.Change) error {
	for _, line := range changeLines(changes) {
		if _, err := fmt.Fprintln(out, line); err != nil {
			return err
		}
	}
	return nil
}

// changeLines describes changes, one line each. A line starts with + for an addition,
// - for a removal and = for a value that is set.
func changeLines(changes []settings.Change) []string {
	var lines []string
	add := func(format string, arguments ...any) { lines = append(lines, fmt.Sprintf(format, arguments...)) }
	for _, change := range changes {
		if change.Delete {
			add("- %s and all below it", change.Path)
		}
		if change.Create != "" {
			add("+ %s (%s)", change.Path, change.Create)
		}
		for _, key := range slices.Sorted(maps.Keys(change.Set)) {
			add("= %s %s: %s", change.Path, key, change.Set[key])
		}
		for _, key := range change.Unset {
			add("- %s %s: inherited again", change.Path, key)
		}
		for _, token := range change.PutTokens {
			add("+ %s token %s, role %s", change.Path, token.Name, token.Role)
		}
		for _, name := range change.RemoveTokens {
			add("- %s token %s", change.Path, name)
		}
	}
	return lines
}

// readStoredTree reads the subtree at a path from the key-value service, so that an edit
// can be based on the newest revision.
func readStoredTree(ctx context.Context, client *admin.Client, path string) (*settings.Tree, admin.Stamp, error) {
	levels, stamp, err := client.Tree(ctx, path, true)
	if err != nil {
		return nil, admin.Stamp{}, err
	}
	return settings.TreeFromLevels(levels), stamp, nil
}

// usageError returns the error for an invalid command line.
func usageError(format string, arguments ...any) error {
	return &exitError{code: exitUsage, err: fmt.Errorf(format, arguments...)}
}

// invalidError returns the error for invalid input.
func invalidError(err error) error { return &exitError{code: exitInvalid, err: err} }

// listFlag is a flag value that collects all values of a repeated flag.
type listFlag []string

// String implements flag.Value.
func (l *listFlag) String() string { return strings.Join(*l, ",") }

// Set implements flag.Value.
func (l *listFlag) Set(value string) error {
	*l = append(*l, value)
	return nil
}
