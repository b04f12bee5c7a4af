package shell_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// hello is a valid request body.
const hello = `{"model":"recall-letters","messages":[{"role":"user","content":"hello"}],"max_tokens":3}`

// TestInvalidRequestsAreRejectedAsNotRun checks status, header and body of each
// rejection, and that no rejected request reaches the engine.
func TestInvalidRequestsAreRejectedAsNotRun(t *testing.T) {
	f := startFixture(t, fixtureConfig{maxBodyBytes: 2048})
	golden := goldie.New(t)
	past := time.Unix(1, 0).UTC().Format(time.RFC3339)
	tests := []struct {
		name   string
		body   string
		status int
		header []string
	}{
		{"not json", `{"model":`, http.StatusBadRequest, nil},
		{"not an object", `["model"]`, http.StatusBadRequest, nil},
		{"trailing data", hello + `{}`, http.StatusBadRequest, nil},
		{"doubled field", `{"model":"recall-letters","model":"ledger","messages":[]}`, http.StatusBadRequest, nil},
		{"model missing", `{"messages":[]}`, http.StatusBadRequest, nil},
		{"other case is another field", `{"Model":"recall-letters","messages":[]}`, http.StatusBadRequest, nil},
		{"messages missing", `{"model":"recall-letters"}`, http.StatusBadRequest, nil},
		{"stream of wrong type", `{"model":"recall-letters","messages":[],"stream":"yes"}`, http.StatusBadRequest, nil},
		{"negative max tokens", `{"model":"recall-letters","messages":[],"max_tokens":-1}`, http.StatusBadRequest, nil},
		{"unknown model", `{"model":"nothing","messages":[]}`, http.StatusNotFound, nil},
		{"body too large", `{"model":"recall-letters","messages":["` + strings.Repeat("x", 2048) + `"]}`, http.StatusRequestEntityTooLarge, nil},
		{"deadline malformed", hello, http.StatusBadRequest, []string{"X-Valveslip-Deadline", "soon"}},
		{"deadline passed", hello, http.StatusBadRequest, []string{"X-Valveslip-Deadline", past}},
		{"priority malformed", hello, http.StatusBadRequest, []string{"X-Valveslip-Priority", "high"}},
		{"repeatable malformed", hello, http.StatusBadRequest, []string{"X-Valveslip-Repeatable", "perhaps"}},
		{"no token", hello, http.StatusUnauthorized, []string{"Authorization", ""}},
		{"wrong token", hello, http.StatusUnauthorized, []string{"Authorization", "Bearer guess"}},
		{"role may not call", hello, http.StatusForbidden, []string{"Authorization", "Bearer " + readerSecret}},
	}
	var bodies []byte
	for _, test := range tests {
		answer := f.post(test.body, test.header...)
		body, err := io.ReadAll(answer.Body)
		if err != nil {
			t.Fatal(err)
		}
		if answer.StatusCode != test.status || answer.Header.Get("X-Valveslip-Verdict") != "not-run" || answer.Header.Get("X-Request-Id") == "" {
			t.Errorf("%s: status %d, header %v", test.name, answer.StatusCode, answer.Header)
		}
		bodies = append(append(bodies, test.name+": "...), body...)
	}
	golden.Assert(t, "refusals", bodies)
	if runs := f.engine.Counters().Runs; runs != 0 {
		t.Fatalf("%d rejected requests ran on the engine", runs)
	}
}

// TestUnknownPathsAndMethodsAreRejectedAsNotRun checks that unknown paths and methods
// also get an error object with a verdict.
func TestUnknownPathsAndMethodsAreRejectedAsNotRun(t *testing.T) {
	f := startFixture(t, fixtureConfig{})
	for path, status := range map[string]int{"/v1/embeddings": http.StatusNotFound, "/v1/chat/completions": http.StatusMethodNotAllowed} {
		answer, err := http.Get(f.url(path))
		if err != nil {
			t.Fatal(err)
		}
		var object struct{ Error struct{ Verdict string } }
		err = json.NewDecoder(answer.Body).Decode(&object)
		_ = answer.Body.Close()
		if err != nil || answer.StatusCode != status || object.Error.Verdict != "not-run" {
			t.Errorf("%s: status %d, %+v, %v", path, answer.StatusCode, object, err)
		}
	}
}

// decodeRejection returns the code, verdict and Retry-After of a rejected request.
func decodeRejection(t *testing.T, answer *http.Response) (code, verdict, retryAfter string) {
	t.Helper()
	var object struct {
		Error struct{ Code, Verdict string }
	}
	if err := json.NewDecoder(answer.Body).Decode(&object); err != nil {
		t.Fatal(err)
	}
	return object.Error.Code, object.Error.Verdict, answer.Header.Get("Retry-After")
}

// TestUnmeetableDeadlineIsRejected checks that a request that cannot be served before
// its deadline fails as not-run.
func TestUnmeetableDeadlineIsRejected(t *testing.T) {
	f := startFixture(t, fixtureConfig{cold: true})
	answer := f.post(hello, "X-Valveslip-Deadline", "1ms")
	code, verdict, _ := decodeRejection(t, answer)
	if answer.StatusCode < 500 || verdict != "not-run" {
		t.Fatalf("status %d, %s, %s", answer.StatusCode, code, verdict)
	}
}
