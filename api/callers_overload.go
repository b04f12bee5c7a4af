package api

import (
	"net/http"
	"time"

	"github.com/valveslip/valveslip/overload"
)

// AdmissionHandler returns a handler that refuses a request before reading its body if admit
// returns false. Under overload, each further request would delay all others, including the node's
// own control messages.
func AdmissionHandler(next http.Handler, admit func() (lateness time.Duration, admitted bool)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if lateness, admitted := admit(); !admitted {
			failure := overload.Refusal(lateness)
			w.Header().Set("Connection", "close")
			writeError(w, StatusOf(failure.Code), failure, "")
			return
		}
		next.ServeHTTP(w, r)
	})
}
