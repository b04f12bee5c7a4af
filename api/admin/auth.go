package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/valveslip/valveslip/api"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/verdict"
)

// tokenKey is the context key of the request's token.
type tokenKey struct{}

// tokenOf returns the token that authenticated the request.
func tokenOf(r *http.Request) *settings.Token {
	return r.Context().Value(tokenKey{}).(*settings.Token)
}

// roleRanks orders the roles of the administration API; RoleCall and roles of
// newer versions have rank zero, which may do nothing.
var roleRanks = map[settings.Role]int{settings.RoleRead: 1, settings.RoleEdit: 2, settings.RoleAdminister: 3}

// allows reports whether the token's role includes another.
func allows(token *settings.Token, role settings.Role) bool {
	return roleRanks[token.Role] >= roleRanks[role]
}

// authenticated lets requests pass whose token may read.
func (s *server) authenticated(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, failed := s.authenticate(r)
		if failed == nil && !allows(token, settings.RoleRead) {
			failed = forbidden("the token's role %q may not use the administration API", token.Role)
		}
		if failed != nil {
			writeVerdict(w, failed)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), tokenKey{}, token)))
	})
}

// authenticate returns the request's token.
func (s *server) authenticate(r *http.Request) (*settings.Token, *verdict.Error) {
	if s.Bootstrap != nil && matches(s.Bootstrap, r) {
		return s.Bootstrap, nil
	}
	_, snapshot := s.Backend.Settings()
	return api.Authenticate(snapshot, r, s.Now())
}

// matches reports whether the request carries the token's secret.
func matches(token *settings.Token, r *http.Request) bool {
	_, secret, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	hash := sha256.Sum256([]byte(secret))
	return subtle.ConstantTimeCompare([]byte(hex.EncodeToString(hash[:])), []byte(token.SHA256)) == 1
}

// requireRole lets requests pass whose token has at least the role.
func requireRole(role settings.Role) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if token := tokenOf(r); !allows(token, role) {
				writeVerdict(w, forbidden("this wants the role %s, the token's is %s", role, token.Role))
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}

func forbidden(format string, arguments ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeForbidden, format, arguments...)
}

// boundKeys decide what a subtree may take from others. A token cannot change
// them at the level it is bound to, so a team cannot lift its own share.
var boundKeys = append([]string{"max_concurrency", "requests_per_second", "tokens_per_second"}, cappedKeys...)

// cappedKeys are those whose value at the level a token is bound to is also the
// most that the token may give to any level below.
var cappedKeys = []string{"priority", "min_replicas", "max_replicas"}

// authorizeEdit checks that the token may make every change of an edit of the
// tree.
func authorizeEdit(token *settings.Token, tree *settings.Tree, changes []settings.Change) *verdict.Error {
	for i := range changes {
		change := &changes[i]
		if !settings.Contains(token.Path, change.Path) {
			return forbidden("the token is bound to %s and cannot change %s", token.Path, change.Path)
		}
		if token.Path != settings.RootPath && change.Path == token.Path {
			if failed := authorizeBound(change); failed != nil {
				return failed
			}
		}
		if failed := authorizeCapped(token, tree, change); failed != nil {
			return failed
		}
		if changesTokens(change, tree) && !allows(token, settings.RoleAdminister) {
			return forbidden("changing the tokens of %s wants the role %s", change.Path, settings.RoleAdminister)
		}
	}
	return nil
}

// authorizeBound checks a change of the level a token is bound to.
func authorizeBound(change *settings.Change) *verdict.Error {
	if change.Delete || change.Create != "" {
		return forbidden("the token is bound to %s and cannot delete or create it", change.Path)
	}
	for _, key := range boundKeys {
		_, set := change.Set[key]
		if set || slices.Contains(change.Unset, key) {
			return forbidden("%s of %s is set by the level above it", key, change.Path)
		}
	}
	return nil
}

// authorizeCapped checks that a change gives no level more than the token's own
// has.
func authorizeCapped(token *settings.Token, tree *settings.Tree, change *settings.Change) *verdict.Error {
	effective, found := tree.Effective(token.Path)
	if token.Path == settings.RootPath || !found {
		return nil
	}
	for _, key := range cappedKeys {
		value, set := change.Set[key]
		most, _ := effective.Policy.Get(key)
		// A value that is no number is refused by the tree's validation.
		wanted, _ := strconv.Atoi(string(value))
		if allowed, err := strconv.Atoi(string(most)); set && err == nil && wanted > allowed {
			return forbidden("%s below %s is at most %s, from %s", key, token.Path, most, effective.Sources[key])
		}
	}
	return nil
}

// changesTokens reports whether the change touches access tokens, also by
// deleting levels that have some.
func changesTokens(change *settings.Change, tree *settings.Tree) bool {
	if len(change.PutTokens)+len(change.RemoveTokens) > 0 {
		return true
	}
	return change.Delete && slices.ContainsFunc(tree.Levels(change.Path), func(level *settings.Level) bool {
		return len(level.Tokens) > 0
	})
}

// redactTokens returns the tokens as the reader may see them: without hashes
// unless it may administer.
func redactTokens(reader *settings.Token, tokens []settings.AccessToken) []settings.AccessToken {
	if allows(reader, settings.RoleAdminister) || len(tokens) == 0 {
		return tokens
	}
	redacted := slices.Clone(tokens)
	for i := range redacted {
		redacted[i].SHA256 = ""
	}
	return redacted
}

// visibleChanges returns the changes in the reader's subtree.
func visibleChanges(reader *settings.Token, changes []settings.Change) []settings.Change {
	visible := make([]settings.Change, 0, len(changes))
	for _, change := range changes {
		if settings.Contains(reader.Path, change.Path) {
			change.PutTokens = redactTokens(reader, change.PutTokens)
			visible = append(visible, change)
		}
	}
	return visible
}

// visibleEntry returns what the reader may see of a history entry, or false
// when that is nothing.
func visibleEntry(reader *settings.Token, entry settings.Entry) (settings.Entry, bool) {
	entry.Edit.Changes = visibleChanges(reader, entry.Edit.Changes)
	entry.Undo = visibleChanges(reader, entry.Undo)
	return entry, len(entry.Edit.Changes)+len(entry.Undo) > 0
}

// visibleProblems hides what lies outside of the reader's subtree.
func visibleProblems(reader *settings.Token, problems settings.ValidationErrors) settings.ValidationErrors {
	visible := make(settings.ValidationErrors, 0, len(problems))
	for _, problem := range problems {
		shown := *problem
		if shown.Other != "" && !settings.Contains(reader.Path, shown.Other) {
			shown.Other = ""
		}
		if !settings.Contains(reader.Path, shown.Path) {
			shown = settings.ValidationError{Path: reader.Path, Reason: "the edit does not fit the tree outside of " + reader.Path}
		}
		visible = append(visible, &shown)
	}
	return visible
}
