package settings

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Edit is one operator's change of the tree. It takes effect as a whole or not
// at all.
type Edit struct {
	// ID is chosen by the writer and unique; giving an edit again with the
	// same ID has no further effect.
	ID      string    `json:"id"`
	Author  string    `json:"author"`
	Message string    `json:"message,omitempty"`
	At      time.Time `json:"at,omitzero"`
	// BaseHistory and BaseRevision are what the writer read. An empty history
	// fits any.
	BaseHistory  string   `json:"base_history,omitempty"`
	BaseRevision int64    `json:"base_revision"`
	Changes      []Change `json:"changes"`
}

// Change is what an edit does to one level. Within a change Delete comes
// first, then Create, Unset, Set, RemoveTokens and PutTokens.
type Change struct {
	Path string `json:"path"`
	// Delete removes the level and all below it.
	Delete bool `json:"delete,omitempty"`
	// Create adds the level with this kind; the level above must exist.
	Create Kind `json:"create,omitempty"`
	// Set gives keys a value at this level.
	Set map[string]Value `json:"set,omitempty"`
	// Unset makes keys inherit again.
	Unset []string `json:"unset,omitempty"`
	// PutTokens adds tokens or replaces those of the same name.
	PutTokens []AccessToken `json:"put_tokens,omitempty"`
	// RemoveTokens names tokens to remove.
	RemoveTokens []string `json:"remove_tokens,omitempty"`
}

// Entry is one accepted edit in the history.
type Entry struct {
	// Revision the edit led to.
	Revision int64 `json:"revision"`
	// Digest of the whole tree after it.
	Digest uint64 `json:"digest,string"`
	Edit   Edit   `json:"edit"`
	// Undo leads back to the tree before it.
	Undo []Change `json:"undo,omitempty"`

	// parts is the number of values the entry takes in the store.
	parts int
}

// Encode returns the JSON form of the edit.
func (e Edit) Encode() []byte { return encodeJSON(e) }

// DecodeEdit reads what Encode wrote. Unknown fields are an error: an edit that
// is not fully understood cannot be applied.
func DecodeEdit(data []byte) (Edit, error) {
	decoder := json.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	var edit Edit
	if err := decoder.Decode(&edit); err != nil {
		return Edit{}, eris.Wrap(err, "edit is not readable")
	}
	return edit, nil
}

// Apply replays an accepted edit. It checks that the levels it names exist or
// not as needed, but not values: keys of a newer version are kept. The same
// tree and edit give the same result in every version.
func (t *Tree) Apply(edit Edit) (*Tree, error) {
	var problems ValidationErrors
	result := t.copy()
	for i := range edit.Changes {
		result.applyChange(&edit.Changes[i], &problems)
	}
	if err := problems.orNil(); err != nil {
		return nil, err
	}
	return result, nil
}

// applyChange changes one level of a tree that is still private.
func (t *Tree) applyChange(change *Change, problems *ValidationErrors) {
	if problem := checkPath(change.Path); problem != "" {
		problems.add(change.Path, "", "%s", problem)
		return
	}
	if change.Delete && !t.applyDelete(change, problems) {
		return
	}
	if change.Create != "" && !t.applyCreate(change, problems) {
		return
	}
	old := t.levels[change.Path]
	if old == nil {
		if !change.Delete || change.touches() {
			problems.add(change.Path, "", "there is no such level")
		}
		return
	}
	if change.touches() {
		level := old.clone()
		level.applyValues(change)
		level.applyTokens(change, problems)
		level.normaliseForm()
		t.put(level)
	}
}

// touches reports whether the change does something to a level that exists.
func (c *Change) touches() bool {
	return len(c.Set)+len(c.Unset)+len(c.PutTokens)+len(c.RemoveTokens) > 0
}

func (t *Tree) applyDelete(change *Change, problems *ValidationErrors) bool {
	switch {
	case change.Path == RootPath:
		problems.add(change.Path, "", "the root cannot be deleted")
		return false
	case t.levels[change.Path] == nil:
		problems.add(change.Path, "", "there is no such level to delete")
		return false
	}
	t.remove(change.Path)
	return true
}

func (t *Tree) applyCreate(change *Change, problems *ValidationErrors) bool {
	switch {
	case t.levels[change.Path] != nil:
		problems.add(change.Path, "", "the level exists already")
		return false
	case t.levels[parent(change.Path)] == nil:
		problems.add(change.Path, "", "there is no level %s above it", parent(change.Path))
		return false
	}
	t.put(&Level{Path: change.Path, Kind: change.Create})
	return true
}

// applyValues sets and unsets keys of a level that is still private.
func (l *Level) applyValues(change *Change) {
	for _, key := range change.Unset {
		delete(l.Values, key)
	}
	if l.Values == nil && len(change.Set) > 0 {
		l.Values = make(map[string]Value, len(change.Set))
	}
	maps.Copy(l.Values, change.Set)
}

// applyTokens changes the tokens of a level that is still private.
func (l *Level) applyTokens(change *Change, problems *ValidationErrors) {
	named := func(name string) func(AccessToken) bool {
		return func(token AccessToken) bool { return token.Name == name }
	}
	for _, name := range change.RemoveTokens {
		if !slices.ContainsFunc(l.Tokens, named(name)) {
			problems.add(l.Path, "tokens", "there is no token %s to remove", name)
		}
		l.Tokens = slices.DeleteFunc(l.Tokens, named(name))
	}
	for _, token := range change.PutTokens {
		l.Tokens = append(slices.DeleteFunc(l.Tokens, named(token.Name)), token)
	}
}

// Validate checks an operator's edit strictly against the tree: every key must
// be known and every value well formed, and the resulting tree must compile. It
// returns the edit with normalised values and the resulting tree; the error is
// a ValidationErrors.
func (t *Tree) Validate(edit Edit) (Edit, *Tree, error) {
	var problems ValidationErrors
	if edit.ID == "" || len(edit.ID) > maxEditIDBytes {
		problems.add(RootPath, "id", "an edit wants an id of 1 to %d bytes", maxEditIDBytes)
	}
	if len(edit.Author) > maxAuthorBytes || len(edit.Message) > maxMessageBytes {
		problems.add(RootPath, "message", "an author takes %d bytes and a message %d at most", maxAuthorBytes, maxMessageBytes)
	}
	if len(edit.Changes) == 0 {
		problems.add(RootPath, "changes", "an edit wants at least one change")
	}
	changes := make([]Change, len(edit.Changes))
	for i := range edit.Changes {
		changes[i] = edit.Changes[i].normalise(&problems)
	}
	edit.Changes = changes
	if err := problems.orNil(); err != nil {
		return edit, nil, err
	}
	result, err := t.Apply(edit)
	if err != nil {
		return edit, nil, err
	}
	if _, err := result.Compile(Stamp{}); err != nil {
		return edit, nil, err
	}
	return edit, result, nil
}

// The bounds of an edit's texts.
const (
	maxEditIDBytes  = 128
	maxAuthorBytes  = 256
	maxMessageBytes = 4 << 10
)

// normalise checks the change by itself and returns it with canonical values.
func (c Change) normalise(problems *ValidationErrors) Change {
	if c.Create != "" && !knownKind(c.Create) {
		problems.add(c.Path, "kind", "unknown kind %s", c.Create)
	}
	if !c.Delete && c.Create == "" && !c.touches() {
		problems.add(c.Path, "", "the change does nothing")
	}
	values := make(map[string]Value, len(c.Set))
	for _, key := range slices.Sorted(maps.Keys(c.Set)) {
		value, err := normalise(key, c.Set[key])
		if err != nil {
			problems.add(c.Path, key, "%s", err)
		}
		values[key] = value
		if slices.Contains(c.Unset, key) {
			problems.add(c.Path, key, "the key is both set and unset")
		}
	}
	c.Set = values
	tokens := slices.Clone(c.PutTokens)
	for i := range tokens {
		tokens[i].SHA256 = strings.ToLower(tokens[i].SHA256)
		checkToken(c.Path, &tokens[i], problems)
	}
	c.PutTokens = tokens
	return c
}

// knownKind reports whether this version knows the kind.
func knownKind(kind Kind) bool {
	switch kind {
	case KindOrganization, KindTeam, KindService, KindModel, KindAdapter:
		return true
	default:
		return false
	}
}

// sha256HexLength is the length of a SHA-256 hash in hexadecimal.
const sha256HexLength = 64

// checkToken checks one token strictly.
func checkToken(path string, token *AccessToken, problems *ValidationErrors) {
	if !namePattern.MatchString(token.Name) {
		problems.add(path, "tokens", "a token wants a name of letters, digits, '.', '_', ':' and '-'")
	}
	if len(token.SHA256) != sha256HexLength || strings.Trim(token.SHA256, "0123456789abcdef") != "" {
		problems.add(path, "tokens", "token %s wants a sha256 of %d hexadecimal digits", token.Name, sha256HexLength)
	}
	switch token.Role {
	case RoleCall, RoleRead, RoleEdit, RoleAdminister:
	default:
		problems.add(path, "tokens", "token %s wants a role of call, read, edit or administer, got %q", token.Name, token.Role)
	}
}
