package passthrough

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/verdict"
)

const (
	// authorizationField holds a caller's key after bearerScheme.
	authorizationField = "Authorization"
	bearerScheme       = "Bearer "
	// longestKey bounds a key in bytes; a longer one can't be meant.
	longestKey = 512
)

// credential is who a caller is, by its key.
type credential struct {
	// hash of the key in lower-case hexadecimal SHA-256, empty for a caller without one.
	hash string
	// tenant that holds the key, nil for a caller without one.
	tenant *catalog.Tenant
}

// errNoKey refuses a caller whose key is missing or not given in the one form there is.
func errNoKey() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "one key is required, as Authorization: Bearer KEY")
}

// readKey returns the hash of the caller's key. Two fields, another scheme, and an empty or
// overlong key are none.
func readKey(header http.Header) (string, *verdict.Error) {
	fields := header.Values(authorizationField)
	if len(fields) != 1 {
		return "", errNoKey()
	}
	field := fields[0]
	if len(field) <= len(bearerScheme) || !strings.EqualFold(field[:len(bearerScheme)], bearerScheme) {
		return "", errNoKey()
	}
	key := field[len(bearerScheme):]
	if len(key) > longestKey || strings.ContainsAny(key, " \t,") {
		return "", errNoKey()
	}
	hash := sha256.Sum256([]byte(key))
	return hex.EncodeToString(hash[:]), nil
}

// authenticate finds out who the caller of a route is. A key that isn't known is refused only
// on knowledge that is new enough; until then the caller waits for it.
func (h *Handler) authenticate(compiled *catalog.Compiled, route *catalog.Route, r *http.Request) (credential, *verdict.Error) {
	if route.Public || !compiled.Keyed() {
		return credential{}, nil
	}
	hash, failure := readKey(r.Header)
	if failure != nil {
		return credential{}, failure
	}
	tenant := compiled.Holder(hash)
	if tenant == nil && h.FindKey != nil {
		tenant, failure = h.FindKey(r.Context(), hash)
	}
	if failure != nil {
		return credential{}, failure
	}
	if tenant == nil {
		return credential{}, verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "the key is not known")
	}
	return credential{hash: hash, tenant: tenant}, nil
}

// routeRanks is how many ranks of routes are told apart within one of tenants: machines know
// ten ranks in all, and three of each fit.
const routeRanks = 3

// rank of the request, 0 being the highest: its tenant's goes before its route's, which
// orders the requests of tenants of one rank. With the tenant's alone an answer that is wanted
// within 0.6 s would wait behind one that has 4 s.
func (e *exchange) rank() int {
	if e.credential.tenant != nil && e.credential.tenant.Ranked {
		return e.credential.tenant.Rank*routeRanks + min(max(e.route.Priority, 0), routeRanks-1)
	}
	return e.route.Priority
}

// tenantName is the name of the caller's tenant, empty for none.
func (e *exchange) tenantName() string {
	if e.credential.tenant == nil {
		return ""
	}
	return e.credential.tenant.Name
}
