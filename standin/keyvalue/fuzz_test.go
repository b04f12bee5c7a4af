package keyvalue_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/valveslip/valveslip/keyvalue/gateway"
	"github.com/valveslip/valveslip/standin/keyvalue"
)

// FuzzGatewayBody sends arbitrary bodies to the unary paths. The response must
// be JSON without a server error, and a refused request must leave the revision
// unchanged.
func FuzzGatewayBody(f *testing.F) {
	paths := []string{
		gateway.PathRange, gateway.PathTxn, gateway.PathCompaction,
		gateway.PathLeaseGrant, gateway.PathLeaseRevoke, gateway.PathLeaseKeepAlive,
	}
	for i, body := range []string{
		`{"key":"AA==","range_end":"AA=="}`,
		`{"compare":[{"key":"L2E=","target":"MOD","result":"EQUAL","mod_revision":"0"}],"success":[{"request_put":{"key":"L2E=","value":"dg=="}}],"failure":[{"request_range":{"key":"L2E="}}]}`,
		`{"revision":"1"}`, `{"TTL":"10"}`, `{"ID":"7"}`, `{"ID":-1}`,
		`{"success":[{}]}`, `{"TTL":"9223372036854775807"}`, `[]`, `{"key":5}`, "",
	} {
		f.Add(i, body)
	}
	f.Fuzz(func(t *testing.T, path int, body string) {
		server := keyvalue.NewServer(keyvalue.Config{}, 1)
		defer server.Close()
		target := paths[((path%len(paths))+len(paths))%len(paths)]
		recorder := httptest.NewRecorder()
		server.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, target, strings.NewReader(body)))
		if recorder.Code >= http.StatusInternalServerError {
			t.Fatalf("status %d", recorder.Code)
		}
		if !json.Valid(recorder.Body.Bytes()) {
			t.Fatalf("answer %q", recorder.Body)
		}
		if recorder.Code == http.StatusOK {
			return
		}
		var revision gateway.RangeResponse
		after := httptest.NewRecorder()
		server.ServeHTTP(after, httptest.NewRequest(http.MethodPost, gateway.PathRange, strings.NewReader(`{"key":"AA==","range_end":"AA=="}`)))
		if err := json.Unmarshal(after.Body.Bytes(), &revision); err != nil || revision.Header.Revision != 1 {
			t.Fatalf("after a refusal: %s, %v", after.Body, err)
		}
	})
}
