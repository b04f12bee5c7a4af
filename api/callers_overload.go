package api

import (
	"net/http"
	"time"

	"github.com/valveslip/valveslip/overload"
)

// Bounded refuses requests that may not be taken, before anything of them is read: each one
// more would have all others wait longer, and with them what keeps the node informed.
func Bounded(next http.Handler, mayTake func() (late time.Duration, may bool)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if late, may := mayTake(); !may {
			failure := overload.Refusal(late)
			w.Header().Set("Connection", "close")
			writeError(w, StatusOf(failure.Code), failure, "")
			return
		}
		next.ServeHTTP(w, r)
	})
}
