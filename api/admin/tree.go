package admin

import (
	"net/http"
	"strconv"

	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/verdict"
)

// Stamp names the configuration that an answer was made from.
type Stamp struct {
	History  string `json:"history"`
	Revision int64  `json:"revision"`
	// Digest in hexadecimal.
	Digest string `json:"digest"`
}

func viewStamp(stamp settings.Stamp) Stamp {
	return Stamp{History: stamp.History, Revision: stamp.Revision, Digest: strconv.FormatUint(stamp.Digest, 16)}
}

// TreePage is a page of raw levels.
type TreePage struct {
	Stamp  Stamp             `json:"stamp"`
	Levels []*settings.Level `json:"levels"`
	// Next is the value of "after" for the next page, empty on the last.
	Next string `json:"next,omitempty"`
}

// EffectiveLevel is what holds at one level.
type EffectiveLevel struct {
	Stamp  Stamp            `json:"stamp"`
	Path   string           `json:"path"`
	Kind   settings.Kind    `json:"kind"`
	Team   string           `json:"team"`
	Values []EffectiveValue `json:"values"`
}

// EffectiveValue is one key with the level its value came from.
type EffectiveValue struct {
	Key    string         `json:"key"`
	Value  settings.Value `json:"value"`
	Source string         `json:"source"`
}

// getTree answers with raw levels, or with what holds at one level. It reads
// what is in force on this node, so it works while the key-value service is
// away; with "stored" it reads the service.
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

// readTree returns the tree that the request asks for.
func (s *server) readTree(r *http.Request) (*settings.Tree, settings.Stamp, error) {
	if r.URL.Query().Get("stored") == "true" {
		return s.Store.Load(r.Context())
	}
	tree, snapshot := s.Backend.Settings()
	if tree == nil || snapshot == nil {
		return settings.Empty(), settings.Stamp{}, nil
	}
	return tree, snapshot.Stamp, nil
}

// pathParameter returns a path parameter inside of the token's subtree; the
// default is the whole of it.
func pathParameter(r *http.Request, name string) (string, *verdict.Error) {
	token, path := tokenOf(r), r.URL.Query().Get(name)
	switch {
	case path == "":
		return token.Path, nil
	case !settings.Contains(token.Path, path):
		return "", forbidden("the token is bound to %s and cannot see %s", token.Path, path)
	default:
		return path, nil
	}
}

func (s *server) writeLevels(w http.ResponseWriter, r *http.Request, tree *settings.Tree, stamp settings.Stamp) {
	path, failed := pathParameter(r, "path")
	if failed != nil {
		writeVerdict(w, failed)
		return
	}
	key := func(level *settings.Level) string { return level.Path }
	levels, next, failed := page(r, tree.Levels(path), key)
	if failed != nil {
		writeVerdict(w, failed)
		return
	}
	view := TreePage{Stamp: viewStamp(stamp), Levels: make([]*settings.Level, 0, len(levels)), Next: next}
	for _, level := range levels {
		shown := *level
		shown.Tokens = redactTokens(tokenOf(r), level.Tokens)
		view.Levels = append(view.Levels, &shown)
	}
	writeJSON(w, http.StatusOK, view)
}

func (s *server) writeEffective(w http.ResponseWriter, r *http.Request, tree *settings.Tree, stamp settings.Stamp) {
	path, failed := pathParameter(r, "effective")
	if failed != nil {
		writeVerdict(w, failed)
		return
	}
	effective, found := tree.Effective(path)
	if !found {
		writeError(w, ErrNotFound)
		return
	}
	view := EffectiveLevel{Stamp: viewStamp(stamp), Path: path, Kind: effective.Kind, Team: effective.Team}
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

// getKeys answers with the registry of policy keys.
func (s *server) getKeys(w http.ResponseWriter, _ *http.Request) {
	var body struct {
		Keys []KeyDoc `json:"keys"`
	}
	for _, key := range settings.Keys() {
		body.Keys = append(body.Keys, KeyDoc{Name: key.Name, Type: key.Type, Default: key.Default, Bounds: key.Bounds, Doc: key.Doc})
	}
	writeJSON(w, http.StatusOK, body)
}
