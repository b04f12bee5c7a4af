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
	// authorizationField holds the key of a caller after bearerScheme.
	authorizationField = "Authorization"
	bearerScheme       = "Bearer "
	// maxKeyBytes bounds the length of a key. A longer value is refused as no key.
	maxKeyBytes = 512
)

// credential identifies a caller by its key.
type credential struct {
	// hash is the lower-case hexadecimal SHA-256 of the key, empty for a caller without one.
	hash string
	// tenant is the holder of the key, nil for a caller without one.
	tenant *catalog.Tenant
}

// invalidKeyError returns the refusal for a caller whose key is missing or malformed.
func invalidKeyError() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "one key is required, as Authorization: Bearer KEY")
}

// readKey returns the hash of the caller's key. It refuses repeated fields, other schemes, and
// empty or overlong keys.
func readKey(header http.Header) (string, *verdict.Error) {
	fields := header.Values(authorizationField)
	if len(fields) != 1 {
		return "", invalidKeyError()
	}
	field := fields[0]
	if len(field) <= len(bearerScheme) || !strings.EqualFold(field[:len(bearerScheme)], bearerScheme) {
		return "", invalidKeyError()
	}
	key := field[len(bearerScheme):]
	if len(key) > maxKeyBytes || strings.ContainsAny(key, " \t,") {
		return "", invalidKeyError()
	}
	hash := sha256.Sum256([]byte(key))
	return hex.EncodeToString(hash[:]), nil
}

// authenticate returns the credential of the caller of a route. An unknown key is refused only if
// the key store of this node is known to be recent enough; until then the caller waits.
func (h *Handler) authenticate(compiled *catalog.Compiled, route *catalog.Route, r *http.Request) (credential, *verdict.Error) {
	if route.Public || !compiled.RequiresKeys() {
		return credential{}, nil
	}
	hash, failure := readKey(r.Header)
	if failure != nil {
		return credential{}, failure
	}
	tenant := compiled.TenantByKeyHash(hash)
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

// routeRanksPerTenantRank is the number of route ranks within one tenant rank: machines know ten
// ranks in total, enough for three tenant ranks.
const routeRanksPerTenantRank = 3

// rank returns the rank of the request, 0 being the highest. The rank of the tenant comes first;
// the priority of the route orders the requests of tenants with equal rank. With the tenant rank
// alone, an answer that is due in 0.6 s would wait behind one that is due in 4 s.
func (e *exchange) rank() int {
	if e.credential.tenant != nil && e.credential.tenant.OverridesRank {
		return e.credential.tenant.Rank*routeRanksPerTenantRank + min(max(e.route.Priority, 0), routeRanksPerTenantRank-1)
	}
	return e.route.Priority
}

// tenantName returns the name of the caller's tenant, empty without one.
func (e *exchange) tenantName() string {
	if e.credential.tenant == nil {
		return ""
	}
	return e.credential.tenant.Name
}
