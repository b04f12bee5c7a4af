package settings

import (
	"errors"
	"maps"
	"slices"
)

// Fragment is a part of a tree that operators wrote as files. It is validated on its own, but not
// against the rest of the tree.
type Fragment struct {
	path   string
	reader *yamlReader
}

// ParseFragment parses files whose documents start at the level at path. A level that exists in
// the tree already may omit its kind.
func ParseFragment(path string, files []File) (*Fragment, error) {
	if problem := checkPath(path); problem != "" {
		return nil, ValidationErrors{{Path: path, Reason: problem}}
	}
	reader := newYAMLReader(path, files)
	if err := reader.problems.orNil(); err != nil {
		return nil, err
	}
	return &Fragment{path: path, reader: reader}, nil
}

// Changes returns the changes that apply the fragment to the tree. Without prune they only create
// levels and set keys and tokens. With prune they also remove everything in the subtree that the
// fragment does not contain.
func (f *Fragment) Changes(tree *Tree, prune bool) ([]Change, error) {
	var changes []Change
	var problems ValidationErrors
	if prune {
		changes = f.pruneLevels(tree)
	}
	for _, path := range slices.Sorted(maps.Keys(f.reader.levels)) {
		level, old := f.reader.levels[path], tree.Level(path)
		if problem := level.kindProblem(old); problem != "" {
			problems = append(problems, f.reader.locate(&ValidationError{Path: path, Key: fieldKind, Reason: problem}))
			continue
		}
		change, differs := level.diff(old)
		if !prune {
			change.Unset, change.RemoveTokens = nil, nil
			differs = change.Create != "" || change.modifiesLevel()
		}
		if differs {
			changes = append(changes, change)
		}
	}
	return changes, problems.orNil()
}

// kindProblem returns the reason why the level cannot replace existing, or "" if it can.
func (l *Level) kindProblem(existing *Level) string {
	switch {
	case existing == nil && l.Kind == "":
		return "a new level wants a kind: organization, team, service, model or adapter"
	case existing != nil && l.Kind != "" && l.Kind != existing.Kind:
		return "the level is " + withArticle(existing.Kind) + "; delete it to make it " + withArticle(l.Kind)
	default:
		return ""
	}
}

// pruneLevels deletes the topmost levels that the fragment does not contain.
func (f *Fragment) pruneLevels(tree *Tree) []Change {
	var changes []Change
	for _, level := range tree.Levels(f.path) {
		if f.reader.levels[level.Path] == nil && !isDeleted(changes, level.Path) {
			changes = append(changes, Change{Path: level.Path, Delete: true})
		}
	}
	return changes
}

// Locate adds files and lines to the validation errors of an edit that was made from the fragment.
func (f *Fragment) Locate(err error) error {
	var problems ValidationErrors
	if !errors.As(err, &problems) {
		return err
	}
	return f.reader.withLocations(problems)
}
