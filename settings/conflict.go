package settings

import (
	"maps"
	"slices"
)

// Edits are merged by optimistic concurrency control. An edit made from an older revision is
// rebased onto the newest one if no edit accepted since touches the same key or token of the same
// level, and neither edit creates or deletes a level that the other changes. Otherwise the edit is
// refused with a conflict that its author has to resolve. A rebased edit is validated against the
// newest tree like any other.

// conflicts returns the parts of the accepted entries that overlap with the edit.
func (e *Edit) conflicts(entries []Entry) []Conflict {
	var found []Conflict
	for i := range entries {
		entry := &entries[i]
		for j := range entry.Edit.Changes {
			accepted := &entry.Edit.Changes[j]
			for _, key := range e.overlappingKeys(accepted) {
				found = append(found, Conflict{
					Path: accepted.Path, Key: key, Revision: entry.Revision,
					Author: entry.Edit.Author, EditID: entry.Edit.ID,
				})
			}
		}
	}
	return found
}

// overlappingKeys returns the keys of the accepted change that the edit touches too, sorted. The
// empty key stands for the level itself.
func (e *Edit) overlappingKeys(accepted *Change) []string {
	touched := map[string]bool{}
	for i := range e.Changes {
		for _, key := range e.Changes[i].overlappingKeys(accepted) {
			touched[key] = true
		}
	}
	return slices.Sorted(maps.Keys(touched))
}

func (c *Change) overlappingKeys(accepted *Change) []string {
	switch {
	case accepted.Delete && contains(accepted.Path, c.Path),
		accepted.Create != "" && contains(accepted.Path, c.Path),
		c.Delete && contains(c.Path, accepted.Path),
		c.Create != "" && c.Path == accepted.Path,
		accepted.Delete && c.Create != "" && contains(c.Path, accepted.Path):
		return []string{""}
	case c.Path != accepted.Path:
		return nil
	}
	editKeys := c.touchedKeys()
	return slices.DeleteFunc(accepted.touchedKeys(), func(key string) bool { return !slices.Contains(editKeys, key) })
}

// touchedKeys returns the keys that the change sets or unsets, and the tokens that it puts or
// removes as "tokens/<name>".
func (c *Change) touchedKeys() []string {
	touched := slices.Collect(maps.Keys(c.Set))
	touched = append(touched, c.Unset...)
	for _, token := range c.PutTokens {
		touched = append(touched, fieldTokens+"/"+token.Name)
	}
	for _, name := range c.RemoveTokens {
		touched = append(touched, fieldTokens+"/"+name)
	}
	return touched
}
