package metadata

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/valveslip/valveslip/platform"
)

// TestKeyFaultsRefuseOrHideWritesOfOneKeyOnly guards against a fault of one key that lets its writes through, or that
// disturbs those of others.
func TestKeyFaultsRefuseOrHideWritesOfOneKeyOnly(t *testing.T) {
	store := New(1)
	server := httptest.NewServer(store)
	defer server.Close()
	put := func(key string) int {
		body, err := json.Marshal(platform.TxnRequest{Put: []platform.Put{{Key: key, Value: []byte(`{}`)}}})
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.Post(server.URL+platform.PathTxn, "application/json", bytes.NewReader(body))
		if err != nil {
			return 0
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	expect := func(when string, faulty int, stored int) {
		t.Helper()
		if got := put("faulty"); got != faulty {
			t.Errorf("%s: the faulty key got %d, want %d", when, got, faulty)
		}
		if got := put("other"); got != http.StatusOK {
			t.Errorf("%s: the other key got %d", when, got)
		}
		if got := len(store.Keys("faulty")); got != stored {
			t.Errorf("%s: the faulty key is stored %d times, want %d", when, got, stored)
		}
	}
	store.RefuseWrites("faulty")
	expect("refused", http.StatusTooManyRequests, 0)
	store.LoseWriteAnswers("faulty")
	expect("answer lost", 0, 1)
	store.ClearKeyFault()
	expect("cleared", http.StatusOK, 1)
}
