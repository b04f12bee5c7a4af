package api

import (
	"net/http"
	"time"

	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/verdict"
)

// Authenticate returns the token of a request, looked up in the snapshot. It serves other APIs
// that use the same bearer tokens.
func Authenticate(snapshot *settings.Snapshot, r *http.Request, now time.Time) (*settings.Token, *verdict.Error) {
	return authenticate(snapshot, r, now)
}
