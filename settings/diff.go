package settings

import (
	"maps"
	"slices"
)

// Diff returns the changes that turn before into the tree. Deletions come first and the other
// changes are sorted by path, so that they can be applied in order.
func (t *Tree) Diff(before *Tree) []Change {
	changes := t.deletions(before)
	deleted := slices.Clone(changes)
	for _, path := range t.paths {
		old := before.levels[path]
		if isDeleted(deleted, path) {
			old = nil
		}
		if change, differs := t.levels[path].diff(old); differs {
			changes = append(changes, change)
		}
	}
	return changes
}

// deletions returns the deletions of the topmost levels of before that are missing from the tree
// or have another kind in it.
func (t *Tree) deletions(before *Tree) []Change {
	var changes []Change
	for _, path := range before.paths {
		level := t.levels[path]
		if level != nil && level.Kind == before.levels[path].Kind {
			continue
		}
		if !isDeleted(changes, path) {
			changes = append(changes, Change{Path: path, Delete: true})
		}
	}
	return changes
}

// isDeleted reports whether one of the deletions removes the level at path.
func isDeleted(deletions []Change, path string) bool {
	return slices.ContainsFunc(deletions, func(c Change) bool { return contains(c.Path, path) })
}

// diff returns the change that turns old into the level, and false if they are equal. A nil old
// means that the level is new.
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
	return change, change.Create != "" || change.modifiesLevel()
}

// diffTokens adds the token changes that turn before into after.
func (c *Change) diffTokens(before, after []AccessToken) {
	for _, token := range after {
		if !slices.Contains(before, token) {
			c.PutTokens = append(c.PutTokens, token)
		}
	}
	for _, token := range before {
		hasSameName := func(candidate AccessToken) bool { return candidate.Name == token.Name }
		if !slices.ContainsFunc(after, hasSameName) {
			c.RemoveTokens = append(c.RemoveTokens, token.Name)
		}
	}
}
