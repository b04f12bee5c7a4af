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

// treeApplyCommand returns the command that updates a subtree to match files. It reads the
// tree, computes the differences, prints the plan and commits it as one edit. If the
// response to the edit is lost, the command can be repeated: it then finds no differences.
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
		client, err := o.newClient(adminTimeout)
		if err != nil {
			return err
		}
		tree, stamp, err := readStoredTree(ctx, client, *root)
		if err != nil {
			return err
		}
		changes, err := fragment.Changes(tree, *prune)
		if err != nil {
			return invalidError(err)
		}
		return locateProblems(fragment, o.apply(ctx, client, edit, stamp, changes))
	})
}

// apply prints the plan of the changes and commits them.
func (o *operatorOptions) apply(ctx context.Context, client *admin.Client, edit *editFlags, stamp admin.Stamp, changes []settings.Change) error {
	if len(changes) == 0 {
		_, err := fmt.Fprintf(o.out, "nothing to change at revision %d\n", stamp.Revision)
		return err
	}
	if edit.id == "" {
		edit.id = editContentID(stamp, changes)
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

// editContentID returns an edit id that is a hash of the changes and of the revision they are
// based on, so that the same files applied to the same revision are the same edit.
func editContentID(stamp admin.Stamp, changes []settings.Change) string {
	hash := sha256.New()
	encoder := json.NewEncoder(hash)
	// Neither writing to a hash nor encoding these types can fail.
	_ = encoder.Encode(stamp)
	_ = encoder.Encode(changes)
	return "apply-" + hex.EncodeToString(hash.Sum(nil)[:16])
}

// locateProblems adds the file and line to the validation errors in an error of the API.
func locateProblems(fragment *settings.Fragment, err error) error {
	var requestErr *admin.RequestError
	if errors.As(err, &requestErr) && len(requestErr.Problems) > 0 {
		// Locate modifies the problems of requestErr in place.
		_ = fragment.Locate(settings.ValidationErrors(requestErr.Problems))
	}
	return err
}

// readFiles reads the files at the paths. For a directory it reads all YAML files below
// it, in the order of their names.
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
