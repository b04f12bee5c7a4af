package passthrough

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// TestStoppingPeerRefusesOnlyWhatMayOutlastIt guards against a node without a path that leaves a stopping one alone because
// that refused one long request, and against requests on a connection that a stopping node is about to close.
func TestStoppingPeerRefusesOnlyWhatMayOutlastIt(t *testing.T) {
	const left = time.Second
	for _, c := range []struct {
		name    string
		timeout time.Duration
		refuses bool
		want    PeerOutcome
	}{
		{"ends in time", left / 2, false, OutcomeUnknown},
		{"may outlast it", 2 * left, false, OutcomeEndsEarlier},
		{"callers are answered", left / 2, true, OutcomeDraining},
	} {
		t.Run(c.name, func(t *testing.T) {
			proxy := NewPeerProxy(PeerProxyConfig{
				Dialect: testDialect{}, Path: fixedPath{},
				FindMachine: func(cluster.MachineID) (string, PeerOutcome) { return "", OutcomeUnknown },
				Refuses: func(int64) PeerOutcome {
					if c.refuses {
						return OutcomeDraining
					}
					return ""
				},
				Admits:   func(within time.Duration) bool { return within <= left },
				Draining: func() bool { return true },
			})
			inner := httptest.NewRequest(http.MethodGet, "http://machine/", nil)
			outer, message, err := newPeerRequest(Peer{ID: "n2", Address: "n2:1"}, "n1", "m", "", c.timeout, inner)
			if err != nil {
				t.Fatal(err)
			}
			request := httptest.NewRequest(outer.Method, outer.URL.String(), bytes.NewReader(message))
			request.Header = outer.Header
			recorder := httptest.NewRecorder()
			proxy.ServeHTTP(recorder, request)
			answer := recorder.Result()
			if got := refusedPeerOutcome(answer); got != c.want || !got.notSent() {
				t.Errorf("outcome %s, want %s", got, c.want)
			}
			if answer.Header.Get("Connection") != "close" {
				t.Error("the connection is kept")
			}
		})
	}
}
