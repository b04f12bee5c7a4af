package main

import (
	"context"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/valveslip/valveslip/settings"
)

// maxSetArguments is the maximum number of arguments of tree set: the path and the values.
const maxSetArguments = 64

// treeSetCommand returns the command that changes, creates or deletes one level.
func treeSetCommand(out io.Writer) *ffcli.Command {
	flags, o := operatorFlags("tree set", out)
	edit := addEditFlags(flags)
	create := flags.String("create", "", "create the level with this kind: organization, team, service, model or adapter")
	remove := flags.Bool("delete", false, "delete the level and all below it")
	var unset listFlag
	flags.Var(&unset, "unset", "key to inherit again; may be given often")
	usage := "[flags] PATH [KEY=VALUE ...]"
	return operatorCommand(usage, "change one level of the tree", flags, 1, maxSetArguments, func(ctx context.Context, arguments []string) error {
		change := settings.Change{Path: arguments[0], Delete: *remove, Create: settings.Kind(*create), Unset: unset}
		var err error
		if change.Set, err = parseAssignments(change.Path, arguments[1:]); err != nil {
			return err
		}
		client, stamp, err := o.beginEdit(ctx)
		if err != nil {
			return err
		}
		return o.commit(ctx, client, edit, stamp, []settings.Change{change})
	})
}

// parseAssignments parses KEY=VALUE arguments. Its error lists all invalid values.
func parseAssignments(path string, arguments []string) (map[string]settings.Value, error) {
	var problems settings.ValidationErrors
	values := make(map[string]settings.Value, len(arguments))
	for _, argument := range arguments {
		key, text, found := strings.Cut(argument, "=")
		if !found {
			return nil, usageError("%q is not KEY=VALUE; flags stand before the path", argument)
		}
		value, err := settings.ParseValue(key, text)
		if err != nil {
			problems = append(problems, &settings.ValidationError{Path: path, Key: key, Reason: err.Error()})
		}
		values[key] = value
	}
	if len(problems) > 0 {
		return nil, invalidError(problems)
	}
	return values, nil
}
