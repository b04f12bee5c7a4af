package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// ValidationError describes a problem with one key of one level.
type ValidationError struct {
	// Path of the level.
	Path string `json:"path"`
	// Key that is invalid. It is empty if the problem concerns the level itself.
	Key string `json:"key,omitempty"`
	// Reason is a sentence for the operator.
	Reason string `json:"reason"`
	// Other is the path of the level that the problem conflicts with.
	Other string `json:"other,omitempty"`
	// File and Line locate the problem in a YAML document. They are empty for input of another
	// form.
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

// ValidationErrors lists all problems of a tree or an edit, sorted by file, line, path and key.
type ValidationErrors []*ValidationError

// Error implements error. It returns one line for each problem.
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

// addOther appends an error that refers to another level.
func (e *ValidationErrors) addOther(path, key, other, format string, arguments ...any) {
	e.add(path, key, format, arguments...)
	(*e)[len(*e)-1].Other = other
}

// orNil returns the sorted errors, or nil if there are none.
func (e ValidationErrors) orNil() error {
	if len(e) == 0 {
		return nil
	}
	slices.SortStableFunc(e, func(a, b *ValidationError) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Path, b.Path), cmp.Compare(a.Key, b.Key))
	})
	return e
}

// Conflict is a part of the tree that was changed after the base revision of an edit.
type Conflict struct {
	// Path of the level.
	Path string `json:"path"`
	// Key of the level. It is empty if the level was created or deleted.
	Key string `json:"key,omitempty"`
	// Revision, Author and EditID identify the conflicting edit.
	Revision int64  `json:"revision"`
	Author   string `json:"author"`
	EditID   string `json:"edit_id"`
}

// ConflictError refuses an edit that was made from an older revision and touches a part of the
// tree that has changed since. Nothing of the edit was applied.
type ConflictError struct {
	// Base is the revision that the edit was made from, and Current that of the stored tree.
	Base    int64 `json:"base_revision"`
	Current int64 `json:"current_revision"`
	// Conflicts is empty if the base revision is not in the kept history.
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
