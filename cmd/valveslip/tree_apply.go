package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/api/admin"
	"github.com/valveslip/valveslip/settings"
)

// treeApplyCommand brings a subtree in line with files. It reads the tree,
// computes what differs, shows the plan and commits it as one edit; given again
// after a lost answer it finds nothing left to do.
func treeApplyCommand(out io.Writer) *ffcli.Command {
	flags, o := operatorFlags("tree apply", out)
	edit := addEditFlags(flags)
	var paths listFlag
	flags.Var(&paths, "f", "YAML file, or directory of them; may be given often")
	root := flags.String("path", settings.RootPath, "level at which the files' documents begin")
	prune := flags.Bool("prune", false, "also delete levels and unset keys and tokens that the files do not have")
	return operatorCommand("-f FILE|DIRECTORY [flags]", "bring the tree in line with files", flags, 0, 0, func(ctx context.Context, _ []string) error {
		files, err := readFiles(paths)
		if err != nil {
			return err
		}
		fragment, err := settings.ParseFragment(*root, files)
		if err != nil {
			return invalidError(err)
		}
		client, err := o.client(adminTimeout)
		if err != nil {
			return err
		}
		tree, stamp, err := readStored(ctx, client, *root)
		if err != nil {
			return err
		}
		changes, err := fragment.Changes(tree, *prune)
		if err != nil {
			return invalidError(err)
		}
		return located(fragment, o.apply(ctx, client, edit, stamp, changes))
	})
}

// apply shows the plan of the changes and commits them.
func (o *operator) apply(ctx context.Context, client *admin.Client, edit *editFlags, stamp admin.Stamp, changes []settings.Change) error {
	if len(changes) == 0 {
		_, err := fmt.Fprintf(o.out, "nothing to change at revision %d\n", stamp.Revision)
		return err
	}
	if edit.id == "" {
		edit.id = contentID(stamp, changes)
	}
	if !edit.dryRun && !o.json {
		plan, err := client.DryRun(ctx, admin.EditRequest{ID: edit.id, Changes: changes}, stamp)
		if err != nil {
			return err
		}
		if err := writePlan(o.out, plan); err != nil {
			return err
		}
	}
	return o.commit(ctx, client, edit, stamp, changes)
}

// contentID names an edit by what it does to which revision, so that the same
// files applied to the same revision are the same edit.
func contentID(stamp admin.Stamp, changes []settings.Change) string {
	hash := sha256.New()
	encoder := json.NewEncoder(hash)
	// Writing to a hash does not fail, and these types always encode.
	_ = encoder.Encode(stamp)
	_ = encoder.Encode(changes)
	return "apply-" + hex.EncodeToString(hash.Sum(nil)[:16])
}

// located adds files and lines to the problems that the API found.
func located(fragment *settings.Fragment, err error) error {
	var failed *admin.RequestError
	if errors.As(err, &failed) && len(failed.Problems) > 0 {
		// Locate changes the problems that failed holds.
		_ = fragment.Locate(settings.ValidationErrors(failed.Problems))
	}
	return err
}

// readFiles reads the YAML files at the paths; of a directory all below it, in
// order of their names.
func readFiles(paths []string) ([]settings.File, error) {
	if len(paths) == 0 {
		return nil, usageError("-f FILE or -f DIRECTORY is required")
	}
	var files []settings.File
	for _, path := range paths {
		err := filepath.WalkDir(path, func(name string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() {
				return err
			}
			isYAML := slices.Contains([]string{".yaml", ".yml"}, filepath.Ext(name))
			if name != path && !isYAML {
				return nil
			}
			data, err := os.ReadFile(name)
			files = append(files, settings.File{Name: name, Data: data})
			return err
		})
		if err != nil {
			return nil, eris.Wrap(err, "read files")
		}
	}
	if len(files) == 0 {
		return nil, usageError("no YAML files found")
	}
	return files, nil
}
