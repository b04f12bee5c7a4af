package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// ValidationError says what is wrong with one key of one tree level.
type ValidationError struct {
	// Path of the level.
	Path string `json:"path"`
	// Key that is wrong, empty when the level itself is.
	Key string `json:"key,omitempty"`
	// Reason is one sentence for people.
	Reason string `json:"reason"`
	// Other is the path of another level that stands in the way.
	Other string `json:"other,omitempty"`
	// File and Line of the YAML document, empty when not read from one.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
}

// Error implements error.
func (e *ValidationError) Error() string {
	var text strings.Builder
	switch {
	case e.File != "":
		fmt.Fprintf(&text, "%s:%d: ", e.File, e.Line)
	case e.Line > 0:
		fmt.Fprintf(&text, "line %d: ", e.Line)
	}
	text.WriteString(e.Path)
	if e.Key != "" {
		text.WriteString(": " + e.Key)
	}
	text.WriteString(": " + e.Reason)
	if e.Other != "" {
		text.WriteString(", see " + e.Other)
	}
	return text.String()
}

// ValidationErrors holds everything that is wrong with a tree or an edit,
// sorted by path and key.
type ValidationErrors []*ValidationError

// Error implements error: one line each.
func (e ValidationErrors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}

// add appends an error for a key of a level.
func (e *ValidationErrors) add(path, key, format string, arguments ...any) {
	*e = append(*e, &ValidationError{Path: path, Key: key, Reason: fmt.Sprintf(format, arguments...)})
}

// addOther appends an error that names another level.
func (e *ValidationErrors) addOther(path, key, other, format string, arguments ...any) {
	e.add(path, key, format, arguments...)
	(*e)[len(*e)-1].Other = other
}

// orNil sorts the errors and returns nil when there are none.
func (e ValidationErrors) orNil() error {
	if len(e) == 0 {
		return nil
	}
	slices.SortStableFunc(e, func(a, b *ValidationError) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Path, b.Path), cmp.Compare(a.Key, b.Key))
	})
	return e
}

// Conflict is one part of the tree that was changed since the edit's base.
type Conflict struct {
	// Path of the level.
	Path string `json:"path"`
	// Key of the level; empty when the level was created or deleted.
	Key string `json:"key,omitempty"`
	// Revision, Author and EditID of the change that is in the way.
	Revision int64  `json:"revision"`
	Author   string `json:"author"`
	EditID   string `json:"edit_id"`
}

// ConflictError refuses an edit made from an older revision that touches what
// has changed since. Nothing of the edit took effect.
type ConflictError struct {
	// Base of the edit, and the Current revision of the tree.
	Base    int64 `json:"base_revision"`
	Current int64 `json:"current_revision"`
	// Conflicts is empty when the base is older than the kept history.
	Conflicts []Conflict `json:"conflicts"`
}

// Error implements error.
func (e *ConflictError) Error() string {
	if len(e.Conflicts) == 0 {
		return fmt.Sprintf("edit is based on revision %d, which is not in the kept history; the tree is at %d", e.Base, e.Current)
	}
	var places []string
	for _, conflict := range e.Conflicts {
		places = append(places, strings.TrimSuffix(conflict.Path+": "+conflict.Key, ": "))
	}
	return fmt.Sprintf("edit is based on revision %d, but the tree is at %d and these changed: %s",
		e.Base, e.Current, strings.Join(places, ", "))
}
