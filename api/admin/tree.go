package admin

import (
	"net/http"
	"strconv"

	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/verdict"
)

// Stamp identifies the settings that a response was made from.
type Stamp struct {
	History  string `json:"history"`
	Revision int64  `json:"revision"`
	// Digest is the digest of the tree, in hexadecimal.
	Digest string `json:"digest"`
}

// newStamp returns the JSON form of a stamp.
func newStamp(stamp settings.Stamp) Stamp {
	return Stamp{History: stamp.History, Revision: stamp.Revision, Digest: strconv.FormatUint(stamp.Digest, 16)}
}

// TreePage is a page of levels with the values that are set at them.
type TreePage struct {
	Stamp  Stamp             `json:"stamp"`
	Levels []*settings.Level `json:"levels"`
	// Next is the value of "after" for the next page, empty on the last page.
	Next string `json:"next,omitempty"`
}

// EffectiveLevel holds the effective values at one level, inherited ones included.
type EffectiveLevel struct {
	Stamp  Stamp            `json:"stamp"`
	Path   string           `json:"path"`
	Kind   settings.Kind    `json:"kind"`
	Team   string           `json:"team"`
	Values []EffectiveValue `json:"values"`
}

// EffectiveValue is the effective value of a key, with the level that it came from.
type EffectiveValue struct {
	Key    string         `json:"key"`
	Value  settings.Value `json:"value"`
	Source string         `json:"source"`
}

// getTree handles GET /tree: it responds with a page of levels as they are set, or
// with "effective" with the effective values at one level. It reads the settings in
// force on this node, so that it works while the key-value service is not
// available; with "stored" it reads the tree from the service.
func (s *server) getTree(w http.ResponseWriter, r *http.Request) {
	tree, stamp, err := s.readTree(r)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", entityTag(stamp.Revision, stamp.History))
	if r.URL.Query().Has("effective") {
		s.writeEffective(w, r, tree, stamp)
		return
	}
	s.writeLevels(w, r, tree, stamp)
}

// readTree returns the tree that the request selects: the stored tree, or the one
// in force on this node, which is empty if there is none yet.
func (s *server) readTree(r *http.Request) (*settings.Tree, settings.Stamp, error) {
	if r.URL.Query().Get("stored") == "true" {
		return s.Store.Load(r.Context())
	}
	tree, snapshot := s.Backend.Settings()
	if tree == nil || snapshot == nil {
		return settings.EmptyTree(), settings.Stamp{}, nil
	}
	return tree, snapshot.Stamp, nil
}

// pathParameter returns a query parameter that holds a path in the token's subtree.
// The default is the root of that subtree.
func pathParameter(r *http.Request, name string) (string, *verdict.Error) {
	token, path := requestToken(r), r.URL.Query().Get(name)
	switch {
	case path == "":
		return token.Path, nil
	case !settings.Contains(token.Path, path):
		return "", forbidden("the token is bound to %s and cannot see %s", token.Path, path)
	default:
		return path, nil
	}
}

// writeLevels responds with a page of the levels of a subtree.
func (s *server) writeLevels(w http.ResponseWriter, r *http.Request, tree *settings.Tree, stamp settings.Stamp) {
	path, verdictErr := pathParameter(r, "path")
	if verdictErr != nil {
		writeVerdict(w, verdictErr)
		return
	}
	key := func(level *settings.Level) string { return level.Path }
	levels, next, verdictErr := paginate(r, tree.Levels(path), key)
	if verdictErr != nil {
		writeVerdict(w, verdictErr)
		return
	}
	view := TreePage{Stamp: newStamp(stamp), Levels: make([]*settings.Level, 0, len(levels)), Next: next}
	for _, level := range levels {
		shown := *level
		shown.Tokens = redactTokens(requestToken(r), level.Tokens)
		view.Levels = append(view.Levels, &shown)
	}
	writeJSON(w, http.StatusOK, view)
}

// writeEffective responds with the effective values at a level.
func (s *server) writeEffective(w http.ResponseWriter, r *http.Request, tree *settings.Tree, stamp settings.Stamp) {
	path, verdictErr := pathParameter(r, "effective")
	if verdictErr != nil {
		writeVerdict(w, verdictErr)
		return
	}
	effective, found := tree.Effective(path)
	if !found {
		writeError(w, ErrNotFound)
		return
	}
	view := EffectiveLevel{Stamp: newStamp(stamp), Path: path, Kind: effective.Kind, Team: effective.Team}
	for _, key := range settings.Keys() {
		value, _ := effective.Policy.Get(key.Name)
		view.Values = append(view.Values, EffectiveValue{Key: key.Name, Value: value, Source: effective.Sources[key.Name]})
	}
	writeJSON(w, http.StatusOK, view)
}

// KeyDoc documents one policy key.
type KeyDoc struct {
	Name    string         `json:"name"`
	Type    string         `json:"type"`
	Default settings.Value `json:"default"`
	Bounds  string         `json:"bounds,omitempty"`
	Doc     string         `json:"doc"`
}

// getKeys handles GET /tree/keys: it responds with the documentation of all policy
// keys.
func (s *server) getKeys(w http.ResponseWriter, _ *http.Request) {
	var body struct {
		Keys []KeyDoc `json:"keys"`
	}
	for _, key := range settings.Keys() {
		body.Keys = append(body.Keys, KeyDoc{Name: key.Name, Type: key.Type, Default: key.Default, Bounds: key.Bounds, Doc: key.Doc})
	}
	writeJSON(w, http.StatusOK, body)
}
