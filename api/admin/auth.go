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

// tokenContextKey is the context key of the token that authenticated a request.
type tokenContextKey struct{}

// requestToken returns the token that authenticated the request.
func requestToken(r *http.Request) *settings.Token {
	return r.Context().Value(tokenContextKey{}).(*settings.Token)
}

// roleRanks orders the roles of the administration API; a role includes those of
// lower rank. RoleCall and roles that only newer versions know have rank zero,
// which permits nothing.
var roleRanks = map[settings.Role]int{settings.RoleRead: 1, settings.RoleEdit: 2, settings.RoleAdminister: 3}

// hasRole reports whether the token's role is the given role or includes it.
func hasRole(token *settings.Token, role settings.Role) bool {
	return roleRanks[token.Role] >= roleRanks[role]
}

// requireReadAccess is middleware that rejects requests without a valid token of
// at least RoleRead, and stores the token in the request's context.
func (s *server) requireReadAccess(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, verdictErr := s.authenticate(r)
		if verdictErr == nil && !hasRole(token, settings.RoleRead) {
			verdictErr = forbidden("the token's role %q may not use the administration API", token.Role)
		}
		if verdictErr != nil {
			writeVerdict(w, verdictErr)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), tokenContextKey{}, token)))
	})
}

// authenticate returns the token whose secret the request carries: the bootstrap
// token, or a token of the settings in force on this node.
func (s *server) authenticate(r *http.Request) (*settings.Token, *verdict.Error) {
	if s.Bootstrap != nil && carriesSecret(s.Bootstrap, r) {
		return s.Bootstrap, nil
	}
	_, snapshot := s.Backend.Settings()
	return api.Authenticate(snapshot, r, s.Now())
}

// carriesSecret reports whether the request carries the token's secret. The
// comparison takes constant time.
func carriesSecret(token *settings.Token, r *http.Request) bool {
	_, secret, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	hash := sha256.Sum256([]byte(secret))
	return subtle.ConstantTimeCompare([]byte(hex.EncodeToString(hash[:])), []byte(token.SHA256)) == 1
}

// requireRole returns middleware that rejects requests whose token has less than
// the role.
func requireRole(role settings.Role) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if token := requestToken(r); !hasRole(token, role) {
				writeVerdict(w, forbidden("this wants the role %s, the token's is %s", role, token.Role))
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}

// forbidden returns an error for a request that the token has no permission for.
func forbidden(format string, arguments ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeForbidden, format, arguments...)
}

// ownLevelLockedKeys are the keys that limit a subtree's share of common
// resources. A token cannot change them at the level it is bound to, so that a
// team cannot raise its own share.
var ownLevelLockedKeys = append([]string{"max_concurrency", "requests_per_second", "tokens_per_second"}, cappedKeys...)

// cappedKeys are the keys whose effective value at the level a token is bound to
// is also the maximum that the token may set at any level below.
var cappedKeys = []string{"priority", "min_replicas", "max_replicas"}

// authorizeEdit checks that the token may make every change of an edit of the
// tree. It returns the error of the first change that is not permitted.
func authorizeEdit(token *settings.Token, tree *settings.Tree, changes []settings.Change) *verdict.Error {
	for i := range changes {
		change := &changes[i]
		if !settings.Contains(token.Path, change.Path) {
			return forbidden("the token is bound to %s and cannot change %s", token.Path, change.Path)
		}
		if token.Path != settings.RootPath && change.Path == token.Path {
			if verdictErr := authorizeOwnLevel(change); verdictErr != nil {
				return verdictErr
			}
		}
		if verdictErr := authorizeCappedKeys(token, tree, change); verdictErr != nil {
			return verdictErr
		}
		if changesTokens(change, tree) && !hasRole(token, settings.RoleAdminister) {
			return forbidden("changing the tokens of %s wants the role %s", change.Path, settings.RoleAdminister)
		}
	}
	return nil
}

// authorizeOwnLevel checks a change of the level that the token is bound to.
func authorizeOwnLevel(change *settings.Change) *verdict.Error {
	if change.Delete || change.Create != "" {
		return forbidden("the token is bound to %s and cannot delete or create it", change.Path)
	}
	for _, key := range ownLevelLockedKeys {
		_, set := change.Set[key]
		if set || slices.Contains(change.Unset, key) {
			return forbidden("%s of %s is set by the level above it", key, change.Path)
		}
	}
	return nil
}

// authorizeCappedKeys checks that a change sets no capped key to more than its
// effective value at the token's own level.
func authorizeCappedKeys(token *settings.Token, tree *settings.Tree, change *settings.Change) *verdict.Error {
	effective, found := tree.Effective(token.Path)
	if token.Path == settings.RootPath || !found {
		return nil
	}
	for _, key := range cappedKeys {
		value, set := change.Set[key]
		maximum, _ := effective.Policy.Get(key)
		// A value that is not a number is rejected later by the tree's validation.
		requested, _ := strconv.Atoi(string(value))
		if limit, err := strconv.Atoi(string(maximum)); set && err == nil && requested > limit {
			return forbidden("%s below %s is at most %s, from %s", key, token.Path, maximum, effective.Sources[key])
		}
	}
	return nil
}

// changesTokens reports whether the change adds, replaces or removes access
// tokens, including by deletion of a subtree that has some.
func changesTokens(change *settings.Change, tree *settings.Tree) bool {
	if len(change.PutTokens)+len(change.RemoveTokens) > 0 {
		return true
	}
	return change.Delete && slices.ContainsFunc(tree.Levels(change.Path), func(level *settings.Level) bool {
		return len(level.Tokens) > 0
	})
}

// redactTokens returns the tokens as the reader may see them: without the hashes
// of their secrets unless the reader has RoleAdminister.
func redactTokens(reader *settings.Token, tokens []settings.AccessToken) []settings.AccessToken {
	if hasRole(reader, settings.RoleAdminister) || len(tokens) == 0 {
		return tokens
	}
	redacted := slices.Clone(tokens)
	for i := range redacted {
		redacted[i].SHA256 = ""
	}
	return redacted
}

// visibleChanges returns the changes in the reader's subtree, with redacted tokens.
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

// visibleEntry returns a history entry reduced to the changes that the reader may
// see. It returns false if there are none.
func visibleEntry(reader *settings.Token, entry settings.Entry) (settings.Entry, bool) {
	entry.Edit.Changes = visibleChanges(reader, entry.Edit.Changes)
	entry.Undo = visibleChanges(reader, entry.Undo)
	return entry, len(entry.Edit.Changes)+len(entry.Undo) > 0
}

// visibleProblems returns the validation errors without paths outside of the
// reader's subtree. An error of a level outside of it is replaced by a general one.
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
