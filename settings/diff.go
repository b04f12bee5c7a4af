package settings

import (
	"maps"
	"slices"
)

// Diff returns the changes that turn before into the tree. They are sorted by
// path, deletions first, so that applying them in order works.
func (t *Tree) Diff(before *Tree) []Change {
	changes := t.deletions(before)
	deleted := slices.Clone(changes)
	for _, path := range t.paths {
		old := before.levels[path]
		if covers(deleted, path) {
			old = nil
		}
		if change, differs := t.levels[path].diff(old); differs {
			changes = append(changes, change)
		}
	}
	return changes
}

// deletions names the topmost levels that are gone or changed their kind.
func (t *Tree) deletions(before *Tree) []Change {
	var changes []Change
	for _, path := range before.paths {
		level := t.levels[path]
		if level != nil && level.Kind == before.levels[path].Kind {
			continue
		}
		if !covers(changes, path) {
			changes = append(changes, Change{Path: path, Delete: true})
		}
	}
	return changes
}

// covers reports whether one of the deletions removes the level at path.
func covers(deletions []Change, path string) bool {
	return slices.ContainsFunc(deletions, func(c Change) bool { return contains(c.Path, path) })
}

// diff returns the change that turns old, nil for none, into the level.
func (l *Level) diff(old *Level) (Change, bool) {
	if l == old {
		return Change{}, false
	}
	change := Change{Path: l.Path}
	if old == nil {
		change.Create = l.Kind
		old = &Level{}
	}
	for key, value := range l.Values {
		if old.Values[key] != value {
			if change.Set == nil {
				change.Set = map[string]Value{}
			}
			change.Set[key] = value
		}
	}
	for _, key := range slices.Sorted(maps.Keys(old.Values)) {
		if _, kept := l.Values[key]; !kept {
			change.Unset = append(change.Unset, key)
		}
	}
	change.diffTokens(old.Tokens, l.Tokens)
	return change, change.Create != "" || change.touches()
}

// diffTokens adds what turns the old tokens into the new ones.
func (c *Change) diffTokens(before, after []AccessToken) {
	for _, token := range after {
		if !slices.Contains(before, token) {
			c.PutTokens = append(c.PutTokens, token)
		}
	}
	for _, token := range before {
		named := func(candidate AccessToken) bool { return candidate.Name == token.Name }
		if !slices.ContainsFunc(after, named) {
			c.RemoveTokens = append(c.RemoveTokens, token.Name)
		}
	}
}
