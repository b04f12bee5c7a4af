package settings

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Edit is an operator's change of the tree. It is applied atomically.
type Edit struct {
	// ID is unique and chosen by the author. Committing an edit again with the same ID has no
	// further effect.
	ID      string    `json:"id"`
	Author  string    `json:"author"`
	Message string    `json:"message,omitempty"`
	At      time.Time `json:"at,omitzero"`
	// BaseHistory and BaseRevision identify the tree that the author read. An empty BaseHistory
	// matches any history.
	BaseHistory  string   `json:"base_history,omitempty"`
	BaseRevision int64    `json:"base_revision"`
	Changes      []Change `json:"changes"`
}

// Change is the part of an edit that applies to one level. Its steps run in the order Delete,
// Create, Unset, Set, RemoveTokens, PutTokens.
type Change struct {
	Path string `json:"path"`
	// Delete removes the level and its subtree.
	Delete bool `json:"delete,omitempty"`
	// Create adds the level with this kind. Its parent must exist.
	Create Kind `json:"create,omitempty"`
	// Set assigns values to keys of the level.
	Set map[string]Value `json:"set,omitempty"`
	// Unset removes keys from the level, so that their values are inherited again.
	Unset []string `json:"unset,omitempty"`
	// PutTokens adds tokens, and replaces existing tokens of the same name.
	PutTokens []AccessToken `json:"put_tokens,omitempty"`
	// RemoveTokens lists the names of tokens to remove.
	RemoveTokens []string `json:"remove_tokens,omitempty"`
}

// Entry is an accepted edit in the history.
type Entry struct {
	// Revision of the tree after the edit.
	Revision int64 `json:"revision"`
	// Digest of the whole tree after the edit.
	Digest uint64 `json:"digest,string"`
	Edit   Edit   `json:"edit"`
	// Undo holds the changes that restore the tree before the edit.
	Undo []Change `json:"undo,omitempty"`

	// parts is the number of key-value pairs that store the entry.
	parts int
}

// Encode returns the JSON form of the edit.
func (e Edit) Encode() []byte { return encodeJSON(e) }

// DecodeEdit decodes the output of Encode. Unknown fields are an error, because applying only the
// known part of an edit would yield a different tree.
func DecodeEdit(data []byte) (Edit, error) {
	decoder := json.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	var edit Edit
	if err := decoder.Decode(&edit); err != nil {
		return Edit{}, eris.Wrap(err, "edit is not readable")
	}
	return edit, nil
}

// Apply replays an accepted edit. It checks that each level exists or is absent as the change
// requires, but does not check values: keys of newer versions are kept. The same tree and edit
// give the same result in every version.
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

// applyChange applies the change to t, which must not be shared yet.
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
		if !change.Delete || change.modifiesLevel() {
			problems.add(change.Path, "", "there is no such level")
		}
		return
	}
	if change.modifiesLevel() {
		level := old.clone()
		level.applyValues(change)
		level.applyTokens(change, problems)
		level.canonicalise()
		t.putLevel(level)
	}
}

// modifiesLevel reports whether the change sets or unsets keys or tokens.
func (c *Change) modifiesLevel() bool {
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
	t.removeSubtree(change.Path)
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
	t.putLevel(&Level{Path: change.Path, Kind: change.Create})
	return true
}

// applyValues sets and unsets keys of l, which must not be shared yet.
func (l *Level) applyValues(change *Change) {
	for _, key := range change.Unset {
		delete(l.Values, key)
	}
	if l.Values == nil && len(change.Set) > 0 {
		l.Values = make(map[string]Value, len(change.Set))
	}
	maps.Copy(l.Values, change.Set)
}

// applyTokens adds, replaces and removes tokens of l, which must not be shared yet.
func (l *Level) applyTokens(change *Change, problems *ValidationErrors) {
	hasName := func(name string) func(AccessToken) bool {
		return func(token AccessToken) bool { return token.Name == name }
	}
	for _, name := range change.RemoveTokens {
		if !slices.ContainsFunc(l.Tokens, hasName(name)) {
			problems.add(l.Path, "tokens", "there is no token %s to remove", name)
		}
		l.Tokens = slices.DeleteFunc(l.Tokens, hasName(name))
	}
	for _, token := range change.PutTokens {
		l.Tokens = append(slices.DeleteFunc(l.Tokens, hasName(token.Name)), token)
	}
}

// Validate checks an operator's edit strictly against the tree: every key must be known, every
// value well formed, and the resulting tree must compile. It returns the edit with normalised
// values and the resulting tree. The error is a ValidationErrors.
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

// Limits on the texts of an edit.
const (
	maxEditIDBytes  = 128
	maxAuthorBytes  = 256
	maxMessageBytes = 4 << 10
)

// normalise validates the change on its own and returns it with canonical values.
func (c Change) normalise(problems *ValidationErrors) Change {
	if c.Create != "" && !isKnownKind(c.Create) {
		problems.add(c.Path, "kind", "unknown kind %s", c.Create)
	}
	if !c.Delete && c.Create == "" && !c.modifiesLevel() {
		problems.add(c.Path, "", "the change does nothing")
	}
	values := make(map[string]Value, len(c.Set))
	for _, key := range slices.Sorted(maps.Keys(c.Set)) {
		value, err := normaliseValue(key, c.Set[key])
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

// isKnownKind reports whether this version knows the kind.
func isKnownKind(kind Kind) bool {
	switch kind {
	case KindOrganization, KindTeam, KindService, KindModel, KindAdapter:
		return true
	default:
		return false
	}
}

// sha256HexLength is the number of hexadecimal digits of a SHA-256 hash.
const sha256HexLength = 64

// checkToken reports an invalid name, hash or role of the token.
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
