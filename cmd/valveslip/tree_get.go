package main

import (
	"context"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/valveslip/valveslip/api/admin"
	"github.com/valveslip/valveslip/settings"
)

// treeGetCommand returns the command that prints a subtree as YAML, or the effective
// values at one level.
func treeGetCommand(out io.Writer) *ffcli.Command {
	flags, o := operatorFlags("tree get", out)
	effective := flags.Bool("effective", false, "show every value that holds at the level and the level it comes from")
	stored := flags.Bool("stored", false, "read the key-value service instead of what is in force on the node")
	return operatorCommand("[flags] [PATH]", "print a part of the tree", flags, 0, 1, func(ctx context.Context, arguments []string) error {
		path := ""
		if len(arguments) == 1 {
			path = arguments[0]
		}
		client, err := o.newClient(adminTimeout)
		if err != nil {
			return err
		}
		if *effective {
			return o.getEffective(ctx, client, path)
		}
		levels, stamp, err := client.Tree(ctx, path, *stored)
		if err != nil {
			return err
		}
		if len(levels) == 0 {
			return &exitError{code: exitNotFound, err: admin.ErrNotFound}
		}
		return o.printValue(admin.TreePage{Stamp: stamp, Levels: levels}, func(out io.Writer) error {
			data, err := settings.TreeFromLevels(levels).EncodeYAML(levels[0].Path)
			if err != nil {
				return err
			}
			_, err = out.Write(data)
			return err
		})
	})
}

// getEffective prints the effective values at a level.
func (o *operatorOptions) getEffective(ctx context.Context, client *admin.Client, path string) error {
	level, err := client.Effective(ctx, path)
	if err != nil {
		return err
	}
	return o.printValue(level, func(out io.Writer) error {
		rows := make([][]string, len(level.Values))
		for i, value := range level.Values {
			rows[i] = []string{value.Key, value.Value.String(), value.Source}
		}
		return writeTable(out, []string{"key", "value", "from"}, rows)
	})
}
