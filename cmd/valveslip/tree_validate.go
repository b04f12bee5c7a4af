package main

import (
	"context"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/valveslip/valveslip/settings"
)

// treeValidateCommand returns the command that validates the files of a whole tree without
// a node.
func treeValidateCommand(out io.Writer) *ffcli.Command {
	flags, o := operatorFlags("tree validate", out)
	var paths listFlag
	flags.Var(&paths, "f", "YAML file, or directory of them; may be given often")
	return operatorCommand("-f FILE|DIRECTORY", "check the files of a whole tree, without a node", flags, 0, 0, func(context.Context, []string) error {
		files, err := readFiles(paths)
		if err != nil {
			return err
		}
		tree, err := settings.ParseYAMLFiles(files)
		if err != nil {
			return invalidError(err)
		}
		valid := struct {
			Levels int `json:"levels"`
		}{tree.Len()}
		return o.printValue(valid, func(out io.Writer) error {
			_, err := fmt.Fprintf(out, "valid: %d levels\n", valid.Levels)
			return err
		})
	})
}
