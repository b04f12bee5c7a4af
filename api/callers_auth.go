package api

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/verdict"
)

// bearerPrefix is the prefix of a bearer token in the Authorization header field.
const bearerPrefix = "Bearer "

// authenticate returns the token of a request, looked up in the snapshot. The secret is neither
// stored nor logged.
func authenticate(snapshot *settings.Snapshot, r *http.Request, now time.Time) (*settings.Token, *verdict.Error) {
	if snapshot == nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the node has no configuration yet").After(time.Second)
	}
	field := r.Header.Get("Authorization")
	if len(field) <= len(bearerPrefix) || !strings.EqualFold(field[:len(bearerPrefix)], bearerPrefix) {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "a bearer token is required")
	}
	hash := sha256.Sum256([]byte(field[len(bearerPrefix):]))
	var name [2 * sha256.Size]byte
	hex.Encode(name[:], hash[:])
	token := snapshot.Token(string(name[:]))
	if token == nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "the token is not known")
	}
	if !token.NotAfter.IsZero() && now.After(token.NotAfter) {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "the token has expired")
	}
	return token, nil
}

// authorizeCall returns an error if the token's role may not call models.
func authorizeCall(token *settings.Token) *verdict.Error {
	switch token.Role {
	case settings.RoleCall, settings.RoleEdit, settings.RoleAdminister:
		return nil
	default:
		return verdict.New(verdict.NotRun, verdict.CodeForbidden, "the token's role %q may not call models", token.Role)
	}
}
