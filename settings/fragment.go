package settings

import (
	"errors"
	"maps"
	"slices"
)

// Fragment is a part of a tree as operators write it in files, checked by
// itself but not against the rest of the tree.
type Fragment struct {
	path   string
	reader *yamlReader
}

// ParseFragment reads files whose documents begin at the level at path. Levels
// may leave out their kind when they exist already.
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

// Changes returns what brings the tree in line with the fragment. Without prune
// it only creates levels and sets keys and tokens; with prune it also removes
// what the fragment does not have, at its path and below.
func (f *Fragment) Changes(tree *Tree, prune bool) ([]Change, error) {
	var changes []Change
	var problems ValidationErrors
	if prune {
		changes = f.pruneLevels(tree)
	}
	for _, path := range slices.Sorted(maps.Keys(f.reader.levels)) {
		wanted, old := f.reader.levels[path], tree.Level(path)
		if problem := wanted.kindProblem(old); problem != "" {
			problems = append(problems, f.reader.locate(&ValidationError{Path: path, Key: fieldKind, Reason: problem}))
			continue
		}
		change, differs := wanted.diff(old)
		if !prune {
			change.Unset, change.RemoveTokens = nil, nil
			differs = change.Create != "" || change.touches()
		}
		if differs {
			changes = append(changes, change)
		}
	}
	return changes, problems.orNil()
}

// kindProblem says why the level cannot take the place of old, or "".
func (l *Level) kindProblem(old *Level) string {
	switch {
	case old == nil && l.Kind == "":
		return "a new level wants a kind: organization, team, service, model or adapter"
	case old != nil && l.Kind != "" && l.Kind != old.Kind:
		return "the level is " + article(old.Kind) + "; delete it to make it " + article(l.Kind)
	default:
		return ""
	}
}

// pruneLevels deletes the topmost levels that the fragment does not have.
func (f *Fragment) pruneLevels(tree *Tree) []Change {
	var changes []Change
	for _, level := range tree.Levels(f.path) {
		if f.reader.levels[level.Path] == nil && !covers(changes, level.Path) {
			changes = append(changes, Change{Path: level.Path, Delete: true})
		}
	}
	return changes
}

// Locate adds the files and lines at which the named keys stand to errors of
// an edit made from the fragment.
func (f *Fragment) Locate(err error) error {
	var problems ValidationErrors
	if !errors.As(err, &problems) {
		return err
	}
	return f.reader.withLocations(problems)
}
